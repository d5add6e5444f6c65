/** Guards against calls that get no answer, and a gateway that ends, because of a configuration with values that are odd or can't be used. */
import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as nodeTest from 'node:test'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import type * as types from '@switchridge/types'
import * as fleetTesting from '../_lib/fleetTesting.js'

const HOST = '127.0.0.1'
const LIMIT = { timeout: 60_000 }
const WRAPS_TO_A_MILLISECOND = 2 ** 32 + 1
const LONGER_THAN_A_TIMER = 2 ** 31
const LARGE = 1e300
const STATUS_SERVED = 200
const PATHS = ['/read/x', '/write/x', '/stream/x'] as const

interface Change {
  readonly name: string
  readonly apply: (configuration: testing.Configuration) => void
  /** Paths that need not be served. */
  readonly unserved?: readonly string[]
}

type Fields = Readonly<Record<string, unknown>>

/** A change of limits. */
function limits (fields: Fields, unserved: readonly string[] = []): Change {
  return { name: JSON.stringify(fields), apply: (configuration) => { Object.assign(configuration.limits, fields) }, unserved }
}

/** A change of the route of streams. */
function route (fields: Fields, unserved: readonly string[] = []): Change {
  return { name: JSON.stringify(fields), apply: ({ routes }) => { Object.assign(routes.find(({ name }) => name === 'stream') as object, fields) }, unserved }
}

function tenant (fields: Fields): Change {
  return { name: JSON.stringify(fields), apply: ({ tenants }) => { Object.assign(tenants[0] as object, fields) } }
}

/** A change of the figures of the engines of streams. */
function engine (fields: Fields, unserved: readonly string[] = []): Change {
  return { name: JSON.stringify(fields), apply: ({ services }) => { Object.assign((services.find(({ name }) => name === 'llm') as { engine: object }).engine, fields) }, unserved }
}

const STREAM = ['/stream/x']
const CHANGES: Readonly<Record<string, readonly Change[]>> = {
  limits: [
    limits({ idleTimeoutMs: -5000 }), limits({ idleTimeoutMs: 0 }), limits({ idleTimeoutMs: LARGE }),
    limits({ headerTimeoutMs: 0 }), limits({ headerTimeoutMs: -1 }), limits({ headerTimeoutMs: 0.5 }), limits({ headerTimeoutMs: WRAPS_TO_A_MILLISECOND }), limits({ headerTimeoutMs: LARGE }),
    limits({ maxHeaderBytes: 0 }), limits({ maxHeaderBytes: -1 }), limits({ maxHeaderBytes: LARGE }),
    limits({ maxBodyBytes: 0 }, PATHS), limits({ maxBodyBytes: -1 }), limits({ maxBodyBytes: LARGE })
  ],
  routes: [
    route({ trafficSplit: [] }), route({ trafficSplit: [{ service: 'llm', weight: 0 }] }), route({ trafficSplit: [{ service: 'llm', weight: -1 }, { service: 'none', weight: 0 }] }, STREAM),
    route({ service: 'none' }, STREAM), route({ service: undefined }, STREAM), route({ pathPrefix: '' }),
    route({ timeoutMs: LONGER_THAN_A_TIMER }), route({ timeoutMs: LARGE }), route({ timeoutMs: 0.5 }, STREAM),
    route({ targetLatencyMs: LONGER_THAN_A_TIMER }), route({ targetLatencyMs: LARGE }), route({ targetLatencyMs: 0.001 }, STREAM),
    route({ gapTargetMs: -LARGE }), route({ gapTargetMs: LONGER_THAN_A_TIMER }), route({ gapTargetMs: LARGE }),
    route({ maxAttempts: 0 }), route({ maxAttempts: -1 }), route({ maxAttempts: 0.5 }), route({ maxAttempts: LARGE }), route({ priority: LARGE }), route({ priority: -LARGE }),
    { name: 'duplicate routes', apply: (configuration) => { configuration.routes.push(...configuration.routes) } }
  ],
  tenants: [
    tenant({ name: '' }), tenant({ name: 'Zürich' }), tenant({ name: '東京' }), tenant({ name: 'a\r\nb' }), tenant({ priority: LARGE }),
    { name: 'duplicate tenants', apply: (configuration) => { configuration.tenants.push(...configuration.tenants) } }
  ],
  services: [
    engine({ slots: 0 }, STREAM), engine({ slots: -1 }, STREAM), engine({ step_ms: LARGE }, STREAM), engine({ step_ms: -LARGE }), engine({ read_per_s: 1e-300 }, STREAM), engine({ per_seq_ms: -1 }), engine({ layers: 0.5 }), engine({ chunks: -1 }),
    engine({ usual: { prompt: -1, answer: -1 } }), engine({ models: [] }, STREAM),
    { name: 'duplicate services', apply: (configuration) => { configuration.services.push(...configuration.services) } }
  ]
}

/** Sends a call to each path; returns what is wrong with the answers. */
async function findFaults (gateway: types.Address, agent: http.Agent, id: string, { name, unserved = [] }: Change): Promise<string[]> {
  return (await Promise.all(PATHS.map(async (path) => {
    const answer = await fleetTesting.call(gateway, { method: 'POST', path, agent, id: `${id}${path}`, body: 'quote', headers: testing.formatModelHeaders(fleetTesting.MODEL) })
    if (answer.status === 0 || !answer.isWhole) return [`${name}: ${path} has no whole answer (${answer.status})`]
    return answer.status === STATUS_SERVED || unserved.includes(path) ? [] : [`${name}: ${path} is not served (${answer.status} ${answer.body.trim()})`]
  }))).flat()
}

for (const [part, changes] of Object.entries(CHANGES)) {
  nodeTest.test(`every call is answered, and those that can be are served, whatever a configuration holds (${part})`, LIMIT, async (context) => {
    const fleet = await fleetTesting.createTestFleet(context)
    fleet.configure()
    for (const id of ['i-1', 'i-2']) await fleet.startEngine({ id }, 'api')
    for (const id of ['i-3', 'i-4']) await fleet.startEngine({ id, model: fleetTesting.MODEL, version: 1 })
    const gateway = await fleet.startGateway(HOST)
    await fleetTesting.waitUntilServed(gateway, '/read/probe')
    await fleetTesting.waitUntilServed(gateway, '/stream/probe')
    // A kept connection is the one to which the limits for idle ones apply.
    const agent = new http.Agent({ keepAlive: true })
    context.after(() => { agent.destroy() })
    const faults: string[] = []
    for (const [index, change] of changes.entries()) {
      let before: testing.Configuration | null = null
      fleet.configure((configuration) => {
        before = structuredClone(configuration)
        change.apply(configuration)
      })
      await fleet.waitForRevision(platform.OBJECT_KINDS.configuration, fleet.store.copy().revision)
      faults.push(...await findFaults(gateway, agent, `odd-${index}`, change))
      fleet.configure((configuration) => { Object.assign(configuration, { ...before, version: configuration.version }) })
      await fleet.waitForRevision(platform.OBJECT_KINDS.configuration, fleet.store.copy().revision)
      faults.push(...await findFaults(gateway, agent, `good-${index}`, { name: `after ${change.name}`, apply: () => {} }))
    }
    assert.deepEqual(faults, [])
  })
}
