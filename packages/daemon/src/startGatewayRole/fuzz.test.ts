/** Property test: random calls under random engine faults, limits and replacements, checked against an oracle of the delivery rules. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import type * as testing from '@switchridge/platform-testing'
import type * as types from '@switchridge/types'
import * as callOracle from '../_lib/callOracle.js'
import * as fleetTesting from '../_lib/fleetTesting.js'

const HOST = '127.0.0.1'
const EVENTS = 6
const MAXIMUM_ATTEMPTS = 3
const SEEDS = [1, 7, 42, 2026]
const RUNS_PER_SEED = 5
const STREAM_HEADERS = { model: fleetTesting.MODEL, 'token-count': '100,50' }
const FAULTS: ReadonlyArray<testing.EngineFaults['next']> = ['reset', 'full', 'foreign', 'error', 'cut', 'torn', 'garbage', 'extra', 'unframed', 'unframed-reset']
const LIMITS = [null, '0.5', '1', '20', '-1', 'many']
const PATHS = { repeatable: '/read/', once: '/write/', stream: '/stream/' } as const

type Step =
  | { readonly step: 'call', readonly kind: callOracle.ObservedCall['kind'] }
  | { readonly step: 'fault', readonly engine: number, readonly fault: testing.EngineFaults['next'], readonly count: number }
  /** An engine sends another rate limit, an invalid one, or none any more. */
  | { readonly step: 'limit', readonly engine: number, readonly text: string | null }
  /** An engine is stopped and replaced by a new instance. */
  | { readonly step: 'replace', readonly engine: number }
  /** Waits for the answers to all calls so far. */
  | { readonly step: 'settle' }

const stepArbitrary: fastCheck.Arbitrary<Step> = fastCheck.oneof(
  { weight: 8, arbitrary: fastCheck.record({ step: fastCheck.constant('call' as const), kind: fastCheck.constantFrom('repeatable', 'once', 'stream') }) },
  { weight: 4, arbitrary: fastCheck.record({ step: fastCheck.constant('fault' as const), engine: fastCheck.nat(4), fault: fastCheck.constantFrom(...FAULTS), count: fastCheck.integer({ min: 1, max: 3 }) }) },
  { weight: 1, arbitrary: fastCheck.record({ step: fastCheck.constant('limit' as const), engine: fastCheck.nat(4), text: fastCheck.constantFrom(...LIMITS) }) },
  { weight: 1, arbitrary: fastCheck.record({ step: fastCheck.constant('replace' as const), engine: fastCheck.nat(4) }) },
  { weight: 1, arbitrary: fastCheck.record({ step: fastCheck.constant('settle' as const) }) }
)

interface FuzzRun {
  readonly fleet: fleetTesting.TestFleet
  readonly address: types.Address
  readonly engines: testing.EngineStandIn[]
  /** All engines, including those that were replaced. */
  readonly all: testing.EngineStandIn[]
  instances: number
}

async function startEngine (fuzzRun: Pick<FuzzRun, 'fleet' | 'engines' | 'all'>, index: number, instance: number): Promise<void> {
  const id = `i-${index}-${instance}`
  const engine = index < 3
    ? await fuzzRun.fleet.startEngine({ id }, 'api')
    : await fuzzRun.fleet.startEngine({ id, model: fleetTesting.MODEL, version: 1, events: EVENTS, eventMs: 2 })
  fuzzRun.engines[index] = engine
  fuzzRun.all.push(engine)
}

async function openFuzzRun (context: nodeTest.TestContext): Promise<FuzzRun> {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const parts = { fleet, engines: [] as testing.EngineStandIn[], all: [] as testing.EngineStandIn[] }
  for (let index = 0; index < 5; index += 1) await startEngine(parts, index, 0)
  const address = await fleet.startGateway(HOST)
  await fleetTesting.waitUntilServed(address, '/read/probe')
  return { ...parts, address, instances: 0 }
}

async function sendCall (fuzzRun: FuzzRun, id: string, kind: callOracle.ObservedCall['kind']): Promise<callOracle.ObservedCall> {
  const answer = await fleetTesting.call(fuzzRun.address, { method: kind === 'once' ? 'POST' : 'GET', path: `${PATHS[kind]}x`, id, headers: kind === 'stream' ? STREAM_HEADERS : {} })
  const seal = answer.headers['engine-seal']
  return { id, kind, status: answer.status, body: answer.body, isWhole: answer.isWhole, seal: typeof seal === 'string' ? seal : null }
}

async function replaceEngine (fuzzRun: FuzzRun, index: number): Promise<void> {
  const ended = fuzzRun.engines[index] as testing.EngineStandIn
  fuzzRun.instances += 1
  await startEngine(fuzzRun, index, fuzzRun.instances)
  fuzzRun.fleet.store.remove('servers', ended.id)
  ended.close()
}

async function runSteps (fuzzRun: FuzzRun, steps: readonly Step[], name: string): Promise<callOracle.ObservedCall[]> {
  const pending: Array<Promise<callOracle.ObservedCall>> = []
  for (const [index, step] of steps.entries()) {
    if (step.step === 'call') pending.push(sendCall(fuzzRun, `${name}-${index}`, step.kind))
    else if (step.step === 'fault') Object.assign((fuzzRun.engines[step.engine] as testing.EngineStandIn).faults, { next: step.fault, count: step.count })
    else if (step.step === 'limit') (fuzzRun.engines[step.engine] as testing.EngineStandIn).limit.text = step.text
    else if (step.step === 'replace') await replaceEngine(fuzzRun, step.engine)
    else await Promise.all(pending)
  }
  return await Promise.all(pending)
}

for (const seed of SEEDS) {
  nodeTest.test(`no delivery rule is violated under random engine faults (seed ${seed})`, async (context) => {
    const fuzzRun = await openFuzzRun(context)
    let run = 0
    await fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(stepArbitrary, { minLength: 20, maxLength: 40 }), async (steps) => {
      run += 1
      const name = `f${seed}-${run}`
      const calls = await runSteps(fuzzRun, steps, name)
      const arrivals = fuzzRun.all.flatMap((engine) => engine.arrivals).filter((arrival) => arrival.requestId.startsWith(`${name}-`))
      assert.deepEqual(callOracle.findViolations(calls, arrivals, EVENTS, MAXIMUM_ATTEMPTS), [])
    }), { seed, numRuns: RUNS_PER_SEED, endOnFailure: true })
  })
}

const VALID_CALL: callOracle.ObservedCall = { id: 'c', kind: 'once', status: 200, body: 'answer of i-1 to c', isWhole: true, seal: 'seal-i-1' }
const ARRIVAL: testing.Arrival = { requestId: 'c', method: 'POST', path: '/write/x', headers: {}, body: '', ran: true, wasTurnedAway: false, at: 0 }

const PLANTED_VIOLATIONS: ReadonlyArray<{ readonly rule: callOracle.Violation['rule'], readonly call: callOracle.ObservedCall, readonly arrivals: readonly testing.Arrival[] }> = [
  { rule: 'twice', call: VALID_CALL, arrivals: [ARRIVAL, ARRIVAL] },
  { rule: 'refused-but-run', call: { ...VALID_CALL, status: 503 }, arrivals: [ARRIVAL] },
  { rule: 'foreign-answer', call: { ...VALID_CALL, body: 'answer of i-1 to d' }, arrivals: [ARRIVAL] },
  { rule: 'short-answer', call: { ...VALID_CALL, body: 'swer of i-1 to c' }, arrivals: [ARRIVAL] },
  { rule: 'event-order', call: { ...VALID_CALL, kind: 'stream', body: 'id: 1\n\nid: 3\n\n' }, arrivals: [ARRIVAL] },
  { rule: 'attempts', call: { ...VALID_CALL, kind: 'repeatable' }, arrivals: [ARRIVAL, ARRIVAL, ARRIVAL, ARRIVAL] },
  { rule: 'unasked', call: VALID_CALL, arrivals: [ARRIVAL, { ...ARRIVAL, requestId: 'nobody' }] }
]

for (const { rule, call, arrivals } of PLANTED_VIOLATIONS) {
  nodeTest.test(`the oracle finds a planted violation (${rule})`, () => {
    assert.deepEqual(callOracle.findViolations([call], arrivals, EVENTS, MAXIMUM_ATTEMPTS).map((violation) => violation.rule), [rule])
  })
}
