/** Simulates a load of calls with the real decisions of gateways and with simulated engines; nothing is sent over a network. */
import * as rateLimits from '@switchridge/rate-limits'
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'
import * as chooseBackEnd from '../chooseBackEnd/index.js'
import * as createBackoffRecord from '../createBackoffRecord/index.js'
import * as createBackEndTracker from '../createBackEndTracker/index.js'
import * as createErrorBound from '../createErrorBound/index.js'
import * as createSharedTargets from '../createSharedTargets/index.js'
import * as createSlotReservations from '../createSlotReservations/index.js'
import * as decideAdmission from '../decideAdmission/index.js'
import type * as gateway from '../types/index.js'
import * as callState from './callState.js'
import * as confirmSlots from './confirmSlot.js'
import * as reserveSlots from './reserveSlot.js'
import * as simulatedEngine from './simulatedEngine.js'
import type * as limiters from '../types/limiter.js'

/** A load to simulate. */
export interface LoadScenario {
  readonly halls: number
  readonly gateways: number
  readonly engines: number
  readonly callsPerSecond: number
  /** Duration of the load in seconds, not counting the warm-up of {@link WARM_UP_MS} before it. */
  readonly seconds: number
  /** Speeds and slots of the engines, {@link FIGURES} if absent. */
  readonly figures?: gateway.EngineFigures
  /** Milliseconds between an engine's reports to gateways in its own data hall, and in other halls. */
  readonly reportIntervalsMs?: { readonly near: number, readonly far: number }
  /** Number of engines that are slower, and by what factor; gateways only learn of it from the next report. */
  readonly slow?: { readonly count: number, readonly pace: number }
  /** Number of engines, from the end of the list, that advertise a rate limit; unless `isEnforced`, gateways ignore it. */
  readonly limited?: { readonly count: number, readonly perSecond: number, readonly isEnforced: boolean }
  /**
   * Number of engines, from the end of the list, that turn all calls away between {@link SHED_FROM_MS} and {@link SHED_UNTIL_MS} and ask for {@link BACKOFF_MS} without calls:
   * gateways ignore it, keep it for themselves, or also tell the others, which then avoid the engine.
   */
  readonly shedding?: { readonly count: number, readonly backoff: 'ignored' | 'kept' | 'shared' }
  /** Whether a refused caller retries once at the time that it was told, at any gateway; false if absent. */
  readonly doCallersRetry?: boolean
  /** Whether gateways confirm admitted calls with the agent of the chosen engine before they send them; false if absent. */
  readonly doGatewaysConfirm?: boolean
  /** Seed of the random numbers, {@link SEED} if absent. */
  readonly seed?: number
}

/** Results for callers, in calls per second; all times count from the first try. */
export interface CallerResult {
  /** Calls that callers made, whatever became of them. */
  readonly asked: number
  readonly inTime: number
  readonly late: number
  readonly refused: number
  /** Rejected by a full engine at the last attempt. */
  readonly rejected: number
}

/** Results of each stream class, and of all together. */
export interface LoadResult extends CallerResult {
  readonly kinds: readonly CallerResult[]
  /** Largest number of requests that a rate-limited engine received in any four seconds. */
  readonly maximumLimitedRequests: number
}

type Counts = { -readonly [Name in keyof CallerResult]: number }

interface StreamClass {
  /** Fraction of all calls, from 0 to 1. */
  readonly part: number
  readonly promptTokens: number
  readonly events: number
  readonly targetMs: number
}

/** Three classes of streams, as an application at a trade counter requests them. */
const STREAM_CLASSES: readonly StreamClass[] = [
  { part: 0.41, promptTokens: 1330, events: 20, targetMs: 503 },
  { part: 0.31, promptTokens: 827, events: 20, targetMs: 402 },
  { part: 0.28, promptTokens: 647, events: 14, targetMs: 402 }
]
/** Speeds and slots of engines as in current deployments. */
export const FIGURES: gateway.EngineFigures = {
  slots: 16, models: [simulatedEngine.MODEL], layers: 1, chunks: 1, chunkBytes: 1, stepMs: 9.27, stepMsPerSequence: 0.0348, prefillTokensPerMs: 20.7, usualPromptTokens: 980, usualAnswerTokens: 92
}
/** Milliseconds between two readings of an engine by its agent; the agent publishes the last reading. */
const AGENT_READ_INTERVAL_MS = 200
/** Default report intervals within a data hall and to other halls, followed by the one-way network latencies. */
const REPORT_INTERVALS_MS = { near: 350, far: 900 }
const HALL_LATENCY_MS = 3
const CROSS_HALL_LATENCY_MS = 8
const CALL_TIMEOUT_MS = 6000
export const WARM_UP_MS = 4000
/** Number of engines that one call may be sent to. */
const ATTEMPTS = 2
/** Number of tries of a caller that retries. */
const CALLER_TRIES = 2
const SEED = 7
const LIMIT_WINDOW_MS = 4000
const SHED_FROM_MS = WARM_UP_MS + 2000
const SHED_UNTIL_MS = WARM_UP_MS + 8000
const BACKOFF_MS = 3000
/** Shortest retry time of a caller that can no longer be in time; up to twice as long at random. */
const LATE_RETRY_MS = 1000

interface Call {
  readonly kind: StreamClass
  readonly counts: Counts
  readonly promptTokens: number
  readonly askedAt: number
  tries: number
}

interface SimulatedGateway {
  readonly zone: string
  readonly tracker: createBackEndTracker.BackEndTracker
  readonly errors: createErrorBound.ErrorBound
  readonly targets: createSharedTargets.SharedTargets
  readonly backoffs: createBackoffRecord.BackoffRecord
  /** When a permit of a rate-limited engine is expected to be available. */
  readonly permitExpectedAt: Map<types.NodeId, number>
}

/** How a gateway looks for a slot of one call. */
interface SlotSearch {
  readonly targetMs: number
  readonly retryAfterMs: number
  readonly maximumAgents: number
}

/**
 * Simulates a load.
 *
 * @param scenario - Fleet and load.
 * @returns Results for callers; always the same for the same scenario.
 */
export function simulateLoad (scenario: LoadScenario): LoadResult {
  const figures = scenario.figures ?? FIGURES
  const reportIntervalsMs = scenario.reportIntervalsMs ?? REPORT_INTERVALS_MS
  const clock = standins.createVirtualClock()
  const random = standins.createSeededRandom(scenario.seed ?? SEED)
  const zoneOf = (at: number): string => `hall-${at % scenario.halls}`
  const engines = Array.from({ length: scenario.engines }, (_, at) => simulatedEngine.createSimulatedEngine(`engine-${at}`, zoneOf(at), at < (scenario.slow?.count ?? 0) ? scenario.slow?.pace ?? 1 : 1, figures, clock))
  const backEnds = engines.map(({ backEnd }) => backEnd)
  const byId = new Map(engines.map((engine) => [engine.backEnd.id, engine]))
  const gateways: readonly SimulatedGateway[] = Array.from({ length: scenario.gateways }, (_, at) => ({ zone: zoneOf(at), tracker: createBackEndTracker.createBackEndTracker(clock.now), errors: createErrorBound.createErrorBound(clock.now), targets: createSharedTargets.createSharedTargets(clock.now), backoffs: createBackoffs(), permitExpectedAt: new Map() }))
  const shedding = new Set(backEnds.slice(scenario.engines - (scenario.shedding?.count ?? 0)).map(({ id }) => id))
  const counts = STREAM_CLASSES.map(createCounts)
  const limit = scenario.limited ?? { count: 0, perSecond: 1, isEnforced: false }
  const limited = new Map(backEnds.slice(scenario.engines - limit.count).map(({ id }) => [id, [] as number[]]))
  const counter = rateLimits.createPermitCounter(clock.now)

  const slots = new Map(engines.map((engine) => [engine.backEnd.id, createSlotReservations.createSlotReservations(clock.now)]))

  function scheduleReports (engine: simulatedEngine.SimulatedEngine, includesZone: (zone: string) => boolean, everyMs: number, latencyMs: number): void {
    let report = engine.report()
    const readEngine = (): void => {
      report = engine.report()
      slots.get(engine.backEnd.id)?.noteReport(report)
      clock.at(clock.now() + AGENT_READ_INTERVAL_MS, readEngine)
    }
    clock.at(random() * AGENT_READ_INTERVAL_MS, readEngine)
    const sendReport = (): void => {
      const madeAt = clock.now()
      const status = { report, isPaused: false, changesInMs: null }
      clock.at(madeAt + latencyMs, () => { for (const { zone, tracker } of gateways) if (includesZone(zone)) tracker.noteReport(engine.backEnd.id, status, madeAt, 0) })
      clock.at(madeAt + everyMs, sendReport)
    }
    clock.at(random() * everyMs, sendReport)
  }

  function createBackoffs (): createBackoffRecord.BackoffRecord {
    return createBackoffRecord.createBackoffRecord({ onBackoff: () => {}, onUnreadable: () => {}, countGateways: () => scenario.gateways, now: clock.now, random })
  }

  function isShedding (id: types.NodeId): boolean {
    return shedding.has(id) && clock.now() >= SHED_FROM_MS && clock.now() < SHED_UNTIL_MS
  }

  function noteTurnedAway (from: SimulatedGateway, backEnd: gateway.BackEnd): void {
    from.tracker.noteFull(backEnd.id)
    if (!isShedding(backEnd.id) || scenario.shedding?.backoff === 'ignored') return
    from.backoffs.noteResponse(backEnd, { kind: 'named', forMs: BACKOFF_MS }, false)
    if (scenario.shedding?.backoff !== 'shared') return
    for (const other of gateways) if (other !== from) other.tracker.noteFailure(backEnd.id)
  }

  function readAllowance (from: SimulatedGateway, id: types.NodeId): limiters.RateAllowance | null {
    if (!limit.isEnforced || !limited.has(id)) return null
    return { perSecond: limit.perSecond, waitMs: Math.max(0, (from.permitExpectedAt.get(id) ?? 0) - clock.now()) }
  }

  /** Whether a call may be sent; requesting a permit takes no time in the simulation. */
  function isPermitted (from: SimulatedGateway, id: types.NodeId, isLate: boolean): boolean {
    if (!limit.isEnforced || !limited.has(id)) return true
    const answer = counter.take({ life: types.formatBackEndInstanceId(id, null), perSecond: limit.perSecond, receivedAt: 0 }, 1, isLate)
    if (!answer.isGranted && !isLate) from.permitExpectedAt.set(id, clock.now() + answer.waitMs)
    return answer.isGranted
  }

  function choose (from: SimulatedGateway, { kind, promptTokens, askedAt }: Call, tried: ReadonlySet<types.NodeId>): chooseBackEnd.ChoiceOutcome {
    return chooseBackEnd.chooseBackEnd({
      backEnds,
      tracker: from.tracker,
      figures,
      zone: from.zone,
      gateways: scenario.gateways,
      model: simulatedEngine.MODEL,
      promptTokens,
      answerTokens: kind.events * simulatedEngine.STEPS_PER_PASS,
      lastBeginAt: () => Infinity,
      versionBoundAt: () => Infinity,
      endsAt: askedAt + CALL_TIMEOUT_MS,
      isLeaving: () => false,
      findExclusion: () => null,
      readBackoff: from.backoffs.read,
      readAllowance: ({ id }) => readAllowance(from, id),
      mayRequestPermit: true,
      pinnedVersion: null,
      tried,
      now: clock.now(),
      random
    })
  }

  function startCall (): void {
    const kind = STREAM_CLASSES[pickStreamClassIndex(random())] as StreamClass
    const isCounted = clock.now() >= WARM_UP_MS
    const call: Call = {
      kind,
      counts: isCounted ? counts[STREAM_CLASSES.indexOf(kind)] as Counts : createCounts(),
      promptTokens: Math.round(kind.promptTokens * -Math.log(1 - random())),
      askedAt: clock.now(),
      tries: 0
    }
    call.counts.asked += 1
    tryGateway(call)
  }

  function tryGateway (call: Call): void {
    call.tries += 1
    handleCall(gateways[Math.floor(random() * gateways.length)] as SimulatedGateway, call)
  }

  function handleCall (from: SimulatedGateway, call: Call): void {
    const { choice, utilization, permitWaitMs } = choose(from, call, new Set())
    const elapsedMs = clock.now() - call.askedAt
    const isLate = !callState.canMeetTarget(elapsedMs, call.kind.targetMs)
    if (choice === null) return refuse(call, callState.canMeetTarget(elapsedMs + permitWaitMs, call.kind.targetMs) ? permitWaitMs : LATE_RETRY_MS * (1 + random()))
    const targetMs = from.targets.note({ service: simulatedEngine.SERVICE, priority: 1, targetMs: call.kind.targetMs })
    const input: decideAdmission.AdmissionInput = {
      firstEventMs: choice.discountedFirstEventMs,
      queuedAhead: choice.queuedAhead,
      utilization,
      errorMs: from.errors.read(),
      targetMs,
      elapsedMs,
      remainingMs: CALL_TIMEOUT_MS - elapsedMs,
      random: random()
    }
    const admission = decideAdmission.decideAdmission(input)
    const mustConfirm = scenario.doGatewaysConfirm === true && admission.isAdmitted && admission.isContended
    if (!admission.isAdmitted) reserveSlot(from, call, choice, { targetMs, retryAfterMs: admission.retryAfterMs, maximumAgents: reserveSlots.MAXIMUM_AGENTS_ASKED }, new Set())
    else if (mustConfirm) reserveSlot(from, call, choice, { targetMs, retryAfterMs: decideAdmission.computeRetryAfterMs(input), maximumAgents: confirmSlots.MAXIMUM_AGENTS_ASKED }, new Set())
    else if (isPermitted(from, choice.backEnd.id, isLate)) serve(from, call, choice, new Set())
    else if (isLate) refuse(call, LATE_RETRY_MS * (1 + random()))
    else handleCall(from, call)
  }

  function reserveSlot (from: SimulatedGateway, call: Call, choice: chooseBackEnd.Choice, search: SlotSearch, asked: Set<types.NodeId>): void {
    const { targetMs, retryAfterMs, maximumAgents } = search
    const { id, zone } = choice.backEnd
    const withinMs = targetMs - (clock.now() - call.askedAt)
    if (withinMs <= 0) return refuse(call, retryAfterMs)
    asked.add(id)
    const latencyMs = zone === from.zone ? HALL_LATENCY_MS : CROSS_HALL_LATENCY_MS
    clock.at(clock.now() + latencyMs, () => {
      const isReserved = slots.get(id)?.reserve({ promptTokens: call.promptTokens, withinMs }, figures) === true
      clock.at(clock.now() + latencyMs, () => {
        if (isReserved && isPermitted(from, id, false)) return serve(from, call, choice, new Set())
        const next = asked.size < maximumAgents ? choose(from, call, asked).choice : null
        if (next === null) refuse(call, retryAfterMs)
        else reserveSlot(from, call, next, search, asked)
      })
    })
  }

  function refuse (call: Call, retryAfterMs: number): void {
    if (scenario.doCallersRetry !== true || call.tries >= CALLER_TRIES) call.counts.refused += 1
    else clock.at(clock.now() + retryAfterMs, () => { tryGateway(call) })
  }

  function serve (from: SimulatedGateway, call: Call, choice: chooseBackEnd.Choice, tried: Set<types.NodeId>): void {
    const { id } = choice.backEnd
    tried.add(id)
    const sentAt = clock.now()
    const open: createBackEndTracker.OpenAttempt = { promptTokens: call.promptTokens, answerTokens: call.kind.events * simulatedEngine.STEPS_PER_PASS, sentAt, hasResponded: false }
    from.tracker.noteSent(id, open)
    const latencyMs = choice.backEnd.zone === from.zone ? HALL_LATENCY_MS : CROSS_HALL_LATENCY_MS
    clock.at(sentAt + latencyMs, () => {
      limited.get(id)?.push(clock.now())
      const isTaken = !isShedding(id) && byId.get(id)?.enqueue({
        isUrgent: sentAt - call.askedAt <= call.kind.targetMs,
        unreadTokens: call.promptTokens + 1,
        eventsLeft: call.kind.events,
        onFirstEvent: () => { clock.at(clock.now() + latencyMs, () => { noteFirstEvent(call, open, from, choice) }) },
        onEnd: () => { clock.at(clock.now() + latencyMs, () => { from.tracker.noteEnded(id, open) }) }
      })
      if (isTaken === true) return
      clock.at(clock.now() + latencyMs, () => {
        from.tracker.noteEnded(id, open)
        noteTurnedAway(from, choice.backEnd)
        const next = tried.size < ATTEMPTS ? choose(from, call, tried).choice : null
        if (next === null || !isPermitted(from, next.backEnd.id, false)) call.counts.rejected += 1
        else serve(from, call, next, tried)
      })
    })
  }

  function noteFirstEvent (call: Call, open: createBackEndTracker.OpenAttempt, from: SimulatedGateway, choice: chooseBackEnd.Choice): void {
    from.errors.note(choice.firstEventMs, clock.now() - open.sentAt)
    open.hasResponded = true
    from.backoffs.noteResponse(choice.backEnd, { kind: 'none' }, true)
    if (clock.now() - call.askedAt <= call.kind.targetMs) call.counts.inTime += 1
    else call.counts.late += 1
  }

  function scheduleCalls (): void {
    startCall()
    clock.at(clock.now() - Math.log(1 - random()) * types.MILLISECONDS_IN_SECOND / scenario.callsPerSecond, scheduleCalls)
  }

  for (const engine of engines) {
    scheduleReports(engine, (zone) => zone === engine.backEnd.zone, reportIntervalsMs.near, HALL_LATENCY_MS)
    scheduleReports(engine, (zone) => zone !== engine.backEnd.zone, reportIntervalsMs.far, CROSS_HALL_LATENCY_MS)
  }
  clock.at(0, scheduleCalls)
  clock.run(WARM_UP_MS + scenario.seconds * types.MILLISECONDS_IN_SECOND)
  const kinds = counts.map((each) => divideBySeconds(each, scenario.seconds))
  return { ...kinds.reduce(addResults, createCounts()), kinds, maximumLimitedRequests: Math.max(0, ...[...limited.values()].map(countMostInWindow)) }
}

/** Largest number of the given times in any four seconds. */
function countMostInWindow (times: readonly number[]): number {
  return Math.max(0, ...times.map((first) => times.filter((time) => time >= first && time < first + LIMIT_WINDOW_MS).length))
}

function createCounts (): Counts {
  return { asked: 0, inTime: 0, late: 0, refused: 0, rejected: 0 }
}

function divideBySeconds (counts: CallerResult, seconds: number): CallerResult {
  const { asked, inTime, late, refused, rejected } = counts
  return { asked: asked / seconds, inTime: inTime / seconds, late: late / seconds, refused: refused / seconds, rejected: rejected / seconds }
}

function addResults (sum: CallerResult, next: CallerResult): CallerResult {
  return {
    asked: sum.asked + next.asked,
    inTime: sum.inTime + next.inTime,
    late: sum.late + next.late,
    refused: sum.refused + next.refused,
    rejected: sum.rejected + next.rejected
  }
}

/** Index of the class that a random number from 0 to 1 selects, by the fractions of the classes. */
function pickStreamClassIndex (random: number): number {
  let left = random
  const at = STREAM_CLASSES.findIndex(({ part }) => {
    left -= part
    return left < 0
  })
  return Math.max(0, at)
}
