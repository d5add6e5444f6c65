import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import type * as testing from '@switchridge/platform-testing'
import * as fleetTesting from '../_lib/fleetTesting.js'
import * as programTesting from '../_lib/programTesting.js'

const HOST = '127.0.0.41'
const CALLERS = 20
const EVENTS = 9
const EVENT_MS = 450
const STREAM_MS = (EVENTS + 1) * EVENT_MS
const TIMEOUT_MS = 6000
/** So long that admission refuses no stream. */
const TARGET_MS = 2000
const ANSWER_TOKENS = 60
const STEP_MS = 50
const SERVICE_UNAVAILABLE = 503
const LIMIT = { timeout: 120_000 }

interface StartedGateway {
  readonly program: programTesting.StartedProgram
  readonly address: types.Address
  readonly engine: testing.EngineStandIn
}

/** Starts the program as a gateway before an engine whose streams take {@link STREAM_MS}, as its figures say. */
async function startGateway (context: nodeTest.TestContext): Promise<StartedGateway> {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure((configuration) => {
    for (const route of configuration.routes) if (route['name'] === 'stream') Object.assign(route, { timeoutMs: TIMEOUT_MS, targetLatencyMs: TARGET_MS })
    for (const { engine } of configuration.services) if (engine !== undefined) Object.assign(engine as object, { step_ms: STEP_MS })
  })
  const engine = await fleet.startEngine({ id: 'i-1', model: fleetTesting.MODEL, version: 1, events: EVENTS, eventMs: EVENT_MS })
  const program = programTesting.startProgram(context, programTesting.formatGatewaySettings(fleet, HOST))
  await program.waitForOutput('event=started')
  const address = { host: HOST, port: fleet.ports.callers }
  await fleetTesting.waitWithLimit(async () => (await fleetTesting.call(address, { path: '/nowhere/', id: 'probe' })).status === 404)
  return { program, address, engine }
}

interface AnsweredCall extends testing.CallerAnswer {
  readonly id: string
}

/** Calls over a kept connection until one is not answered with success. */
async function callInSeries (address: types.Address, caller: number): Promise<AnsweredCall[]> {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
  const answers: AnsweredCall[] = []
  do {
    const id = `caller-${caller}-${answers.length + 1}`
    const headers = { model: fleetTesting.MODEL, 'token-count': `100,${ANSWER_TOKENS}`, 'deadline-remaining': String(TIMEOUT_MS) }
    answers.push({ id, ...await fleetTesting.call(address, { path: '/stream/1', id, headers, agent }) })
  } while (answers.at(-1)?.status === 200 && answers.length < CALLERS)
  agent.destroy()
  return answers
}

nodeTest.test('streams that follow on kept connections during a drain are whole, or refused before an engine gets them', LIMIT, async (context) => {
  const { program, address, engine } = await startGateway(context)
  const series = Array.from({ length: CALLERS }, async (_, caller) => {
    await types.delay(caller * STREAM_MS / CALLERS)
    return await callInSeries(address, caller)
  })
  await types.delay(STREAM_MS)
  program.child.kill('SIGTERM')
  const answers = (await Promise.all(series)).flat()
  assert.equal(await program.ended, 0)
  const ranIds = new Set(engine.arrivals.map(({ requestId }) => requestId))
  const cut = answers.filter(({ id, status, isWhole }) => !isWhole && (status !== 0 || ranIds.has(id)))
  context.diagnostic(`${answers.length} streams, ${answers.filter(({ status }) => status === 200).length} begun, ${cut.length} cut`)
  assert.deepEqual(cut.map(({ id }) => id), [])
  const refused = answers.filter(({ status }) => status !== 200 && status !== 0)
  assert.ok(refused.length > 0)
  for (const { status, headers } of refused) assert.deepEqual([status, headers['retry-after'], headers.connection], [SERVICE_UNAVAILABLE, '0.02', 'close'])
  assert.doesNotMatch(program.output(), /event=call-cut/)
})
