/** Property test: random changes of the configuration and of the engines under calls that arrive, wait, run and are passed on; none may end without a whole answer. */
import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as callOracle from '../_lib/callOracle.js'
import * as fleetTesting from '../_lib/fleetTesting.js'

const HOST = '127.0.0.1'
const LIMIT = { timeout: 120_000 }
const SEEDS = [1, 7, 42]
const RUNS_PER_SEED = 5
const EVENTS = 6
const EVENT_MS = 15
/** Long enough for a change to be adopted. */
const LONGEST_WAIT_MS = 250
const MAXIMUM_ATTEMPTS = 3
const UPLOAD = 'x'.repeat(9000)
const PATHS = { repeatable: '/read/x', once: '/write/x', stream: '/stream/x' } as const
const OTHER_TENANT = { name: 'tenant-two', apiKeys: ['key-two'], priority: 0 }
/** Served, and refused by the gateway under a configuration without the route, with other tenants or with smaller limits, or for want of an engine. */
const EXPECTED_STATUSES: ReadonlySet<number> = new Set([200, 401, 404, 413, 503])

type Change = (configuration: testing.Configuration, base: testing.Configuration) => void

/** Each sets a part of the configuration, whatever the others have done to it. */
const CHANGES: Readonly<Record<string, Change>> = {
  base: (configuration, base) => { Object.assign(configuration, { ...structuredClone(base), version: configuration.version }) },
  noRoutes: (configuration) => { configuration.routes = [] },
  noStreams: (configuration) => { configuration.routes = configuration.routes.filter(({ name }) => name !== 'stream') },
  noServices: (configuration) => { configuration.services = [] },
  otherService: (configuration) => { for (const route of configuration.routes) Object.assign(route, { service: 'none' }) },
  otherTenants: (configuration) => { configuration.tenants = [OTHER_TENANT] },
  otherRegions: (configuration) => { for (const route of configuration.routes) Object.assign(route, { allowedRegions: ['nowhere'] }) },
  oneAttempt: (configuration) => { for (const route of configuration.routes) Object.assign(route, { maxAttempts: 1 }) },
  shorterTimes: (configuration) => { for (const route of configuration.routes) Object.assign(route, { targetLatencyMs: 100, gapTargetMs: 1 }) },
  plainStreams: (configuration) => { for (const route of configuration.routes) Object.assign(route, { routeType: 'idempotent', resumable: false }) },
  smallLimits: (configuration) => { Object.assign(configuration.limits, { maxBodyBytes: 100, headerTimeoutMs: 500, idleTimeoutMs: 0 }) },
  unreadable: (configuration) => { Object.assign(configuration, { limits: {} }) },
  unusable: (configuration) => { Object.assign(configuration.limits, { idleTimeoutMs: -5000 }) }
}

type Step =
  | { readonly step: 'call', readonly kind: keyof typeof PATHS, readonly uploadMs: number }
  | { readonly step: 'change', readonly change: string }
  /** An engine is listed no longer, or again; it goes on serving what it has. */
  | { readonly step: 'list', readonly engine: number, readonly isListed: boolean }
  | { readonly step: 'wait', readonly ms: number }

const stepArbitrary: fastCheck.Arbitrary<Step> = fastCheck.oneof(
  { weight: 6, arbitrary: fastCheck.record({ step: fastCheck.constant('call' as const), kind: fastCheck.constantFrom('repeatable', 'once', 'stream'), uploadMs: fastCheck.constantFrom(0, 0, 30, 150) }) },
  { weight: 3, arbitrary: fastCheck.record({ step: fastCheck.constant('change' as const), change: fastCheck.constantFrom(...Object.keys(CHANGES), 'base', 'base', 'base') }) },
  { weight: 1, arbitrary: fastCheck.record({ step: fastCheck.constant('list' as const), engine: fastCheck.nat(3), isListed: fastCheck.boolean() }) },
  { weight: 3, arbitrary: fastCheck.record({ step: fastCheck.constant('wait' as const), ms: fastCheck.integer({ min: 1, max: LONGEST_WAIT_MS }) }) }
)

/** Sends a call over a kept connection, its body in two parts. */
async function sendCall (address: types.Address, agent: http.Agent, id: string, kind: keyof typeof PATHS, uploadMs: number): Promise<callOracle.ObservedCall> {
  return await new Promise((resolve) => {
    const headers = { host: 'app.example', authorization: `Bearer ${fleetTesting.API_KEY}`, 'request-id': id, 'content-length': UPLOAD.length, ...testing.formatModelHeaders(fleetTesting.MODEL) }
    const fail = (): void => { resolve({ id, kind, status: 0, body: '', isWhole: false, seal: null }) }
    const outgoing = http.request({ ...address, method: 'POST', path: PATHS[kind], headers, agent }, (response) => {
      let body = ''
      response.on('data', (part: Buffer) => { body += part.toString() })
      response.on('error', () => {})
      response.on('close', () => { resolve({ id, kind, status: response.statusCode ?? 0, body, isWhole: response.complete, seal: String(response.headers['engine-seal'] ?? '') }) })
    })
    outgoing.on('error', fail)
    outgoing.write(UPLOAD.slice(1))
    setTimeout(() => { outgoing.end(UPLOAD.slice(0, 1)) }, uploadMs)
  })
}

for (const seed of SEEDS) {
  nodeTest.test(`no call ends without a whole answer while configuration and engines change (seed ${seed})`, LIMIT, async (context) => {
    const fleet = await fleetTesting.createTestFleet(context)
    let base: testing.Configuration | null = null
    fleet.configure((configuration) => { base = structuredClone(configuration) })
    const engines = [
      ...await Promise.all(['i-0', 'i-1'].map(async (id) => await fleet.startEngine({ id }, 'api'))),
      ...await Promise.all(['i-2', 'i-3'].map(async (id) => await fleet.startEngine({ id, model: fleetTesting.MODEL, version: 1, events: EVENTS, eventMs: EVENT_MS })))
    ]
    const listed = fleet.store.copy().kinds.get(platform.OBJECT_KINDS.backEnds)
    const address = await fleet.startGateway(HOST)
    await fleetTesting.waitUntilServed(address, '/read/probe')
    await fleetTesting.waitUntilServed(address, '/stream/probe')
    const agent = new http.Agent({ keepAlive: true })
    context.after(() => { agent.destroy() })
    const served = new Set<string>()
    let run = 0

    /** Returns to the configuration and the engines that serve every call. */
    async function restore (): Promise<void> {
      for (const { id } of engines) fleet.store.put(platform.OBJECT_KINDS.backEnds, id, listed?.get(id)?.spec)
      change('base')
      for (const kind of [platform.OBJECT_KINDS.backEnds, platform.OBJECT_KINDS.configuration]) await fleet.waitForRevision(kind, fleet.store.copy().revision)
    }

    function change (name: string): void {
      fleet.configure((configuration) => { CHANGES[name]?.(configuration, base as unknown as testing.Configuration) })
    }

    async function runSteps (steps: readonly Step[], name: string): Promise<callOracle.ObservedCall[]> {
      const pending: Array<Promise<callOracle.ObservedCall>> = []
      for (const [index, step] of steps.entries()) {
        if (step.step === 'call') pending.push(sendCall(address, agent, `${name}-${index}`, step.kind, step.uploadMs))
        else if (step.step === 'change') change(step.change)
        else if (step.step === 'wait') await types.delay(step.ms)
        else {
          const { id } = engines[step.engine] as testing.EngineStandIn
          if (step.isListed) fleet.store.put(platform.OBJECT_KINDS.backEnds, id, listed?.get(id)?.spec)
          else fleet.store.remove(platform.OBJECT_KINDS.backEnds, id)
        }
      }
      return await Promise.all(pending)
    }

    await fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(stepArbitrary, { minLength: 30, maxLength: 60 }), async (steps) => {
      run += 1
      const name = `c${seed}-${run}`
      await restore()
      const calls = await runSteps(steps, name)
      const arrivals = engines.flatMap((engine) => engine.arrivals).filter((arrival) => arrival.requestId.startsWith(`${name}-`))
      assert.deepEqual(calls.filter(({ status, isWhole }) => !isWhole || !EXPECTED_STATUSES.has(status)), [])
      assert.deepEqual(callOracle.findViolations(calls, arrivals, EVENTS, MAXIMUM_ATTEMPTS), [])
      for (const { kind, status } of calls) if (status === 200) served.add(kind)
    }), { seed, numRuns: RUNS_PER_SEED, endOnFailure: true })
    assert.equal(served.size, Object.keys(PATHS).length)
  })
}
