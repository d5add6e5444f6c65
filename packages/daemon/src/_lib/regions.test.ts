/**
 * Property test of the regions: random routes, tenants, halls and back ends, and every path that a call can take: first attempts, retries, resumed streams, slot reservations, permits, and data halls
 * that are evacuated while a call waits. Guards against a body that is sent to a machine outside the regions of the call or into an evacuated hall.
 */
import * as assert from 'node:assert/strict'
import * as events from 'node:events'
import type * as http from 'node:http'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as gateway from '@switchridge/gateway'
import * as types from '@switchridge/types'
import * as createVersionRecord from '../createVersionRecord/index.js'
import * as simulatedCallPath from './simulatedCallPath.js'

const SEEDS = [1, 7, 42]
const RUNS_PER_SEED = 1000
/** Each path must be taken by at least this fraction of the calls, so that a property can't hold because nothing happens. */
const MINIMUM_PATH_FRACTION = 0.025
const KEY = 'key'
const TIMEOUT_MS = 6000
const HALLS = ['hall-a', 'hall-b', 'hall-c', 'hall-d']
const REGIONS = ['a', 'b', 'c']
/** No hall is in it. */
const UNKNOWN_REGION = 'x'
const FIGURES: gateway.EngineFigures = { slots: 4, models: [simulatedCallPath.MODEL], layers: 1, chunks: 0, chunkBytes: 0, stepMs: 5, stepMsPerSequence: 0, prefillTokensPerMs: 20, usualPromptTokens: 100, usualAnswerTokens: 50 }
const OUTCOMES = ['served', 'not-sent', 'full', 'wrong-instance', 'error', 'cut', 'reset'] as const
const SUCCESS = 200
const SERVER_ERROR = 500
const REFUSED = 503
const REGION_REFUSAL = /^region: /
const EVACUATION_REFUSAL = /^evacuated: /

interface PlannedBackEnd {
  readonly hall: string
  /** Full: calls are admitted only with a reserved slot. */
  readonly isFull: boolean
  /** Limited: each call needs a permit. */
  readonly isLimited: boolean
}

interface Scenario {
  readonly kind: gateway.RouteKind
  readonly regions: Readonly<Record<string, string | undefined>>
  readonly routeRegions: readonly string[]
  readonly tenantRegions: readonly string[] | null
  readonly backEnds: readonly PlannedBackEnd[]
  readonly evacuated: readonly string[]
  /** Hall that is evacuated when the call first waits for a slot or a permit; null for none. */
  readonly evacuatedMeanwhile: string | null
  readonly outcomes: ReadonlyArray<typeof OUTCOMES[number]>
  readonly grants: readonly boolean[]
}

const regionListArbitrary = fastCheck.oneof({ weight: 2, arbitrary: fastCheck.subarray([...REGIONS, UNKNOWN_REGION]) }, { weight: 1, arbitrary: fastCheck.constant([]) })
const scenarioArbitrary: fastCheck.Arbitrary<Scenario> = fastCheck.record({
  kind: fastCheck.constantFrom('repeatable', 'once', 'stream'),
  regions: fastCheck.record(Object.fromEntries(HALLS.map((hall) => [hall, fastCheck.constantFrom(...REGIONS, undefined)]))),
  routeRegions: regionListArbitrary,
  tenantRegions: fastCheck.option(regionListArbitrary),
  backEnds: fastCheck.array(fastCheck.record({ hall: fastCheck.constantFrom(...HALLS), isFull: fastCheck.boolean(), isLimited: fastCheck.boolean() }), { maxLength: 8 }),
  evacuated: fastCheck.oneof({ weight: 3, arbitrary: fastCheck.constant([]) }, { weight: 1, arbitrary: fastCheck.subarray(HALLS) }),
  evacuatedMeanwhile: fastCheck.option(fastCheck.constantFrom(...HALLS)),
  outcomes: fastCheck.oneof(fastCheck.constant([]), fastCheck.array(fastCheck.constantFrom(...OUTCOMES), { minLength: 2, maxLength: 4 })),
  grants: fastCheck.array(fastCheck.boolean(), { maxLength: 4 })
})

interface SentAttempt {
  readonly hall: string
  readonly evacuated: ReadonlySet<string>
  readonly bodyBytes: number
}

interface Observed {
  readonly status: number
  readonly text: string
  readonly sent: readonly SentAttempt[]
  /** Halls whose agents or counters were asked. */
  readonly asked: readonly string[]
}

/** Takes the items one after another, then a last one forever. */
function createSupply<Item> (items: readonly Item[], last: Item): () => Item {
  const left = [...items]
  return () => left.shift() ?? last
}

function answerAttempt (outcome: typeof OUTCOMES[number], kind: gateway.RouteKind): gateway.Attempt {
  if (outcome === 'not-sent') return { start: Promise.resolve({ kind: 'not-sent', reason: outcome }), abort: () => {} }
  if (outcome === 'reset') return { start: Promise.resolve({ kind: 'no-answer', reason: outcome, isClosedByPeer: true }), abort: () => {} }
  const isStream = kind === 'stream' && outcome !== 'error'
  const head: gateway.AnswerHead = outcome === 'full' || outcome === 'wrong-instance'
    ? { kind: 'not-run', reason: outcome, status: REFUSED }
    : { kind: 'answered', status: outcome === 'error' ? SERVER_ERROR : SUCCESS, headers: [], isStream, version: 1 }
  const response = Object.assign(new events.EventEmitter(), { head, complete: outcome !== 'cut', pause: () => {}, resume: () => {} })
  setImmediate(() => {
    response.emit('data', Buffer.from('id: 1\ndata: x\n\n'))
    response.emit('end')
  })
  return { start: Promise.resolve({ kind: 'answer', response: response as unknown as http.IncomingMessage, isFramed: true, isWhole: () => outcome !== 'cut' }), abort: () => {} }
}

async function runCall (scenario: Scenario): Promise<Observed> {
  const now = (): number => 0
  const evacuated = new Set(scenario.evacuated)
  const sent: SentAttempt[] = []
  const asked: string[] = []
  const nextOutcome = createSupply(scenario.outcomes, 'served')
  const nextGrant = createSupply(scenario.grants, true)
  const backEnds = scenario.backEnds.map(({ hall }, index): gateway.BackEnd => ({
    id: types.brandId(`i-${index}`), bornAt: null, service: simulatedCallPath.SERVICE, address: { host: `host-${index}`, port: 1 }, zone: hall, slots: FIGURES.slots, isDraining: false, models: new Map([[simulatedCallPath.MODEL, 1]])
  }))
  const planOf = (backEnd: gateway.BackEnd): PlannedBackEnd => scenario.backEnds[backEnds.indexOf(backEnd)] as PlannedBackEnd
  const rules = { regions: new Map(Object.entries(scenario.regions).filter((entry): entry is [string, string] => entry[1] !== undefined)), isEvacuated: (zone: string) => evacuated.has(zone) }

  async function ask (backEnd: gateway.BackEnd): Promise<boolean> {
    asked.push(backEnd.zone)
    await Promise.resolve()
    if (scenario.evacuatedMeanwhile !== null) evacuated.add(scenario.evacuatedMeanwhile)
    return nextGrant()
  }

  const path = simulatedCallPath.createSimulatedCallPath({
    zone: HALLS[0] as string,
    gateways: 1,
    figures: FIGURES,
    versions: createVersionRecord.createVersionRecord({ boundMs: 1, marginMs: 0, startupBoundMs: 1, onBound: () => {}, now }),
    backEnds: () => backEnds,
    route: { kind: scenario.kind, allowedRegions: scenario.routeRegions, isPublic: true },
    tenants: scenario.tenantRegions === null ? [] : [{ name: types.brandId('tenant'), keys: [KEY], priority: 0, allowedRegions: scenario.tenantRegions }],
    findExclusion: (backEnd, allowedRegions) => gateway.findExclusion(backEnd, allowedRegions, rules),
    limiter: {
      noteResponse: () => {},
      readAllowance: (backEnd) => planOf(backEnd).isLimited ? { perSecond: 10, waitMs: 0 } : null,
      acquire: async (backEnd) => await ask(backEnd) ? { isGranted: true } : { isGranted: false, retryAfterMs: 1 } as unknown as Awaited<ReturnType<gateway.RateLimiter['acquire']>>
    },
    reserver: { reserve: ask, ask: async (backEnd) => await ask(backEnd) ? 'reserved' : 'refused' },
    budget: { noteCall: () => {}, trySpend: () => true },
    sendAttempt: (request) => {
      const hall = scenario.backEnds[backEnds.findIndex(({ address }) => address === request.address)]?.hall as string
      sent.push({ hall, evacuated: new Set(evacuated), bodyBytes: request.body?.length ?? 0 })
      return answerAttempt(nextOutcome(), scenario.kind)
    },
    now,
    random: () => 0.5
  })
  for (const backEnd of backEnds) {
    const occupied = planOf(backEnd).isFull ? { running: FIGURES.slots, waiting: 100 } : { running: 0, waiting: 0 }
    path.tracker.noteReport(backEnd.id, { isPaused: false, changesInMs: null, report: { bornAt: null, ...occupied, isBusy: false, sequence: 0, pace: 1, limitPerSecond: null, isLeaving: false, models: backEnd.models } }, 0, 0)
  }
  const ended = await new Promise<Pick<Observed, 'status' | 'text'>>((resolve) => {
    path.call({ requestId: 'r', promptTokens: 100, events: 10, bodyBytes: 50, remainingMs: TIMEOUT_MS, key: KEY, onEnded: (status, text) => { resolve({ status, text }) } })
  })
  return { ...ended, sent, asked }
}

/** Whether a call may enter a hall, written independently of the product. */
function mayEnter (scenario: Scenario, hall: string): boolean {
  const region = scenario.regions[hall]
  const allows = (list: readonly string[]): boolean => list.length === 0 || (region !== undefined && list.includes(region))
  return allows(scenario.routeRegions) && allows(scenario.tenantRegions ?? [])
}

function checkCall (scenario: Scenario, observed: Observed): void {
  for (const { hall, evacuated } of observed.sent) {
    assert.ok(mayEnter(scenario, hall), `sent to ${hall}, which the call may not enter`)
    assert.ok(!evacuated.has(hall), `sent to ${hall}, which is evacuated`)
  }
  for (const hall of observed.asked) assert.ok(mayEnter(scenario, hall), `${hall} was asked, which the call may not enter`)
  if (scenario.backEnds.length === 0) return
  const allowed = scenario.backEnds.filter(({ hall }) => mayEnter(scenario, hall))
  const remaining = allowed.filter(({ hall }) => !scenario.evacuated.includes(hall))
  if (allowed.length === 0 || remaining.length === 0) {
    assert.equal(observed.status, REFUSED)
    assert.match(observed.text, allowed.length === 0 ? REGION_REFUSAL : EVACUATION_REFUSAL)
    assert.equal(observed.sent.length + observed.asked.length, 0, 'refused only after an agent or a back end was asked')
    return
  }
  // A back end with room and without a limit needs no permit, so its call must not be refused for an exclusion.
  const isStable = scenario.evacuatedMeanwhile === null && scenario.outcomes.length === 0 && scenario.grants.every(Boolean)
  if (isStable && remaining.some(({ isFull }) => !isFull)) assert.equal(observed.status, SUCCESS, observed.text)
}

for (const seed of SEEDS) {
  nodeTest.test(`no call is sent outside its regions or into an evacuated hall, on any path (seed ${seed})`, async () => {
    const paths = { retried: 0, asked: 0, refused: 0, served: 0 }
    await fastCheck.assert(fastCheck.asyncProperty(scenarioArbitrary, async (scenario) => {
      const observed = await runCall(scenario)
      checkCall(scenario, observed)
      if (observed.sent.length > 1) paths.retried += 1
      if (observed.asked.length > 0) paths.asked += 1
      if (REGION_REFUSAL.test(observed.text)) paths.refused += 1
      if (observed.status === SUCCESS) paths.served += 1
    }), { seed, numRuns: RUNS_PER_SEED, endOnFailure: true })
    for (const [path, count] of Object.entries(paths)) assert.ok(count >= RUNS_PER_SEED * MINIMUM_PATH_FRACTION, `only ${count} calls were ${path}`)
  })
}
