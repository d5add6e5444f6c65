/** Simulates a load of calls with the real decisions of gateways and with simulated engines; nothing is sent over a network. */
import * as rateLimits from '@switchridge/rate-limits'
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'
import * as chooseBackEnd from '../chooseBackEnd/index.js'
import * as createBackoffRecord from '../createBackoffRecord/index.js'
import * as createBackEndTracker from '../createBackEndTracker/index.js'
import * as createErrorBound from '../createErrorBound/index.js'
import * as createSharedTargets from '../createSharedTargets/index.js'
import * as computeForecast from '../computeForecast/index.js'
import * as createSlotReservations from '../createSlotReservations/index.js'
import * as createWaitingCalls from '../createWaitingCalls/index.js'
import * as createWaitingQueue from '../createWaitingQueue/index.js'
import * as createSizeShares from '../createSizeShares/index.js'
import * as decideAdmission from '../decideAdmission/index.js'
import type * as gateway from '../types/index.js'
import * as callState from './callState.js'
import * as confirmSlots from './confirmSlot.js'
import * as reserveSlots from './reserveSlot.js'
import * as waitingCalls from './waitingCalls.js'
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
  /** A loss of power of all engines at {@link GAP_FROM_MS}. */
  readonly gap?: GapScenario
  /** Classes of calls, {@link STREAM_CLASSES} if absent. */
  readonly classes?: readonly StreamClass[]
  /** Whether the lengths of answers vary from call to call, as those of prompts do; false if absent. */
  readonly doAnswersVary?: boolean
  /** Seed of the random numbers, {@link SEED} if absent. */
  readonly seed?: number
}

/** All engines lose their calls and what they hold, and return one after the other. */
export interface GapScenario {
  /** Milliseconds until the first engine returns, and over which all return. */
  readonly lengthMs: number
  readonly returnOverMs: number
  /** The stated times until engines return are wrong by up to this fraction in each direction, for each engine by another one. */
  readonly errorFraction: number
  /**
   * Who holds calls: nobody, the gateways, or a queue that knows the state of all engines at all times and hands calls out in the order that
   * {@link createWaitingQueue.compareCalls} defines. The latter shows what the engines' capacity permits.
   */
  readonly waiting: 'none' | 'gateways' | 'oracle'
  /** Whether all gateways restart at the beginning of the gap, and know neither engines nor other gateways for {@link RESTART_MS}. */
  readonly doGatewaysRestart?: boolean
  /** Fraction of callers who leave at a random time before their deadline. */
  readonly leavingFraction?: number
}

/** Results for callers who first asked between the beginning of a gap and {@link GAP_RESULT_MS} after the return of the last engine; in calls. */
export interface GapResult {
  /** Those who didn't leave, and those of them who were answered before their deadline. */
  readonly asked: number
  readonly served: number
  readonly inTime: number
  readonly held: number
  /** Calls that were held and then refused. */
  readonly heldRefused: number
  /** Most calls that an engine had at once in the first second after its return. */
  readonly maximumAtEngine: number
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

/** What became of one call of a stream class. */
export interface CallOutcome {
  readonly promptTokens: number
  readonly answerTokens: number
  /** `unserved`: refused, rejected, or without a first event at the end of the simulation. */
  ending: 'in-time' | 'late' | 'unserved'
}

/** Results of each stream class, and of all together. */
export interface LoadResult extends CallerResult {
  readonly kinds: readonly CallerResult[]
  /** The calls of each stream class that were made after the warm-up. */
  readonly outcomes: ReadonlyArray<readonly CallOutcome[]>
  /** Largest number of requests that a rate-limited engine received in any four seconds. */
  readonly maximumLimitedRequests: number
  /** Null without a gap. */
  readonly gap: GapResult | null
}

type Counts = { -readonly [Name in keyof CallerResult]: number }

/** A class of calls to streams. */
export interface StreamClass {
  /** Fraction of all calls, from 0 to 1. */
  readonly part: number
  readonly promptTokens: number
  readonly events: number
  readonly targetMs: number
  /** 0 is the highest; 1 if absent. */
  readonly priority?: number
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
const CALLER_TRY_FRACTION = 3
/** Without a forecast the retry time is at most this fraction of the time left. */
const RETRY_REMAINING_FRACTION = 0.3
const USUAL_PRIORITY = 1
const SEED = 7
const GAP_FROM_MS = WARM_UP_MS
const GAP_RESULT_MS = 3500
const RESTART_MS = 1000
/** Time after the return of an engine in which its calls are counted. */
const RETURN_MS = 1000
/** Interval at which the queue of {@link GapScenario.waiting} that knows all engines hands out calls, and the least time that it gives a call, as a fraction of the one that gateways assume. */
const ORACLE_INTERVAL_MS = 5
const ORACLE_HOLD_FRACTION = 1
const WAITING_LIMITS = { maximumCalls: 256, maximumBytes: 8_000_000 }
const BODY_BYTES = 4000
const LIMIT_WINDOW_MS = 4000
const SHED_FROM_MS = WARM_UP_MS + 2000
const SHED_UNTIL_MS = WARM_UP_MS + 8000
const BACKOFF_MS = 3000
/** Shortest retry time of a caller that can no longer be in time; up to twice as long at random. */
const LATE_RETRY_MS = 1000

interface Call {
  readonly kind: StreamClass
  readonly counts: Counts
  readonly outcome: CallOutcome
  readonly promptTokens: number
  readonly events: number
  readonly askedAt: number
  tries: number
  /** Whether it is counted in the results of the gap. */
  readonly isInGap: boolean
  /** The call at the gateway that it was sent to last. */
  sized: createSizeShares.SizedCall | null
  hasLeft: boolean
  hasFirstEvent: boolean
  isInTime: boolean
  /** Removes it from the queue that holds it. */
  unqueue: () => void
}

interface SimulatedGateway {
  readonly zone: string
  tracker: createBackEndTracker.BackEndTracker
  readonly errors: createErrorBound.ErrorBound
  readonly targets: createSharedTargets.SharedTargets
  readonly sizes: createSizeShares.SizeShares
  readonly backoffs: createBackoffRecord.BackoffRecord
  /** When a permit of a rate-limited engine is expected to be available. */
  readonly permitExpectedAt: Map<types.NodeId, number>
  waiting: createWaitingCalls.WaitingCalls | null
  /** Time from which it knows engines and other gateways. */
  knowsFrom: number
}

/** How a gateway looks for a slot of one call. */
interface SlotSearch {
  readonly targetMs: number
  readonly maximumAgents: number
  readonly promptDiscount: number
  /** Called when no agent that was asked has reserved a slot. */
  readonly onNone: () => void
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
  const gateways: readonly SimulatedGateway[] = Array.from({ length: scenario.gateways }, (_, at) => ({ zone: zoneOf(at), tracker: createBackEndTracker.createBackEndTracker(clock.now), errors: createErrorBound.createErrorBound(clock.now), targets: createSharedTargets.createSharedTargets(clock.now), sizes: createSizeShares.createSizeShares(), backoffs: createBackoffs(), permitExpectedAt: new Map(), waiting: null, knowsFrom: 0 }))
  const shedding = new Set(backEnds.slice(scenario.engines - (scenario.shedding?.count ?? 0)).map(({ id }) => id))
  const classes = scenario.classes ?? STREAM_CLASSES
  const counts = classes.map(createCounts)
  const outcomes = classes.map((): CallOutcome[] => [])
  const limit = scenario.limited ?? { count: 0, perSecond: 1, isEnforced: false }
  const limited = new Map(backEnds.slice(scenario.engines - limit.count).map(({ id }) => [id, [] as number[]]))
  const counter = rateLimits.createPermitCounter(clock.now)

  const gap = scenario.gap ?? null
  const gapCounts = { asked: 0, served: 0, inTime: 0, held: 0, heldRefused: 0, maximumAtEngine: 0 }
  const returnsAt = new Map<types.NodeId, number>()
  const oracleCalls = new Set<Call>()
  /** What each engine's stated time is wrong by. */
  const estimateFactors = new Map(gap === null ? [] : backEnds.map(({ id }) => [id, 1 + gap.errorFraction * (2 * random() - 1)]))

  const slots = new Map(engines.map((engine) => [engine.backEnd.id, createSlotReservations.createSlotReservations(clock.now)]))

  function scheduleReports (engine: simulatedEngine.SimulatedEngine, includesZone: (zone: string) => boolean, everyMs: number, latencyMs: number): void {
    let report = engine.report()
    const readReport = (): void => {
      report = engine.report()
      slots.get(engine.backEnd.id)?.noteReport(report)
    }
    const readEngine = (): void => {
      readReport()
      clock.at(clock.now() + AGENT_READ_INTERVAL_MS, readEngine)
    }
    clock.at(random() * AGENT_READ_INTERVAL_MS, readEngine)
    const sendOnce = (): void => {
      const madeAt = clock.now()
      const status = { report, isPaused: false, changesInMs: null, ...readReadyIn(engine) }
      clock.at(madeAt + latencyMs, () => {
        for (const { zone, tracker, waiting, knowsFrom } of gateways) {
          if (!includesZone(zone) || clock.now() < knowsFrom) continue
          tracker.noteReport(engine.backEnd.id, status, madeAt, 0)
          waiting?.wake()
        }
      })
    }
    const sendReport = (): void => {
      sendOnce()
      clock.at(clock.now() + everyMs, sendReport)
    }
    clock.at(random() * everyMs, sendReport)
    // An agent informs gateways at once that its engine serves again.
    const returnAt = returnsAt.get(engine.backEnd.id)
    if (returnAt === undefined) return
    clock.at(returnAt, () => {
      readReport()
      sendOnce()
    })
  }

  function readReadyIn ({ backEnd: { id, models } }: simulatedEngine.SimulatedEngine): Pick<createBackEndTracker.AgentStatus, 'readyInMs'> {
    const readyInMs = (returnsAt.get(id) ?? 0) - clock.now()
    return gap === null || models.size > 0 ? {} : { readyInMs: Math.max(1, readyInMs * (estimateFactors.get(id) ?? 1)) }
  }

  function createWaiting (from: SimulatedGateway): createWaitingCalls.WaitingCalls {
    return createWaitingCalls.createWaitingCalls({
      limits: WAITING_LIMITS,
      readEngines: () => waitingCalls.listForecastEngines(backEnds, from.tracker, simulatedEngine.MODEL, () => true, clock.now()),
      holdMsOf: () => computeForecast.computeHoldMs(figures, figures.usualPromptTokens ?? 0, 0),
      countGateways: () => clock.now() < from.knowsFrom ? null : scenario.gateways,
      reserve: ({ id, zone }, request, onAnswer) => {
        const latencyMs = zone === from.zone ? HALL_LATENCY_MS : CROSS_HALL_LATENCY_MS
        clock.at(clock.now() + latencyMs, () => {
          const isReserved = slots.get(id)?.reserve(request, figures) === true
          clock.at(clock.now() + latencyMs, () => { onAnswer(isReserved) })
        })
      },
      count: () => {},
      now: clock.now,
      at: clock.at,
      random
    })
  }

  function scheduleGap ({ lengthMs, returnOverMs, doGatewaysRestart, waiting }: GapScenario): void {
    clock.at(GAP_FROM_MS, () => {
      for (const engine of engines) engine.lose()
      for (const each of gateways) {
        if (waiting === 'gateways') each.waiting = createWaiting(each)
        if (doGatewaysRestart !== true) continue
        each.tracker = createBackEndTracker.createBackEndTracker(clock.now)
        each.knowsFrom = clock.now() + RESTART_MS
      }
      if (waiting === 'oracle') handOutByOracle()
    })
    engines.forEach((engine, at) => {
      const returnAt = GAP_FROM_MS + lengthMs + returnOverMs * at / Math.max(1, engines.length - 1)
      returnsAt.set(engine.backEnd.id, returnAt)
      clock.at(returnAt, engine.restore)
    })
  }

  function toQueued ({ kind, askedAt, promptTokens, events }: Call, holdFraction = 1): createWaitingQueue.QueuedCall {
    return waitingCalls.toQueuedCall({ rank: 1, bytes: BODY_BYTES, targetAt: askedAt + kind.targetMs, targetMs: kind.targetMs, deadlineAt: askedAt + CALL_TIMEOUT_MS, holdMs: holdFraction * (computeForecast.computeHoldMs(figures, promptTokens, events * simulatedEngine.STEPS_PER_PASS) ?? 0) })
  }

  /** Holds a call at a gateway, or refuses it. */
  function hold (from: SimulatedGateway, waiting: createWaitingCalls.WaitingCalls, call: Call, admissionRetryMs: number | null): void {
    const waitingCall: createWaitingCalls.WaitingCall = {
      ...toQueued(call),
      service: simulatedEngine.SERVICE,
      promptTokens: call.promptTokens,
      deadlineAt: call.askedAt + CALL_TIMEOUT_MS,
      choose: (others) => choose(from, call, others).choice,
      isExcluded: () => false,
      onEnd: (end) => {
        if (end.kind === 'reserved') return serve(from, call, end.choice, new Set())
        if (end.kind === 'excluded') throw new Error('no engine is excluded here')
        if (call.isInGap && !call.hasLeft) gapCounts.heldRefused += 1
        refuse(call, end.retryAfterMs)
      }
    }
    call.unqueue = () => { waiting.remove(waitingCall, 'left') }
    const decision = waiting.add(waitingCall)
    if (!decision.isHeld) return refuse(call, admissionRetryMs ?? decision.retryAfterMs ?? computeRetryMs(call))
    if (call.isInGap) gapCounts.held += 1
  }

  function handOutByOracle (): void {
    for (const engine of engines) {
      while (engine.backEnd.models.size > 0 && engine.countCalls() < figures.slots) {
        const now = clock.now()
        const next = [...oracleCalls].filter((each) => now <= toQueued(each, ORACLE_HOLD_FRACTION).beginBy).sort((left, right) => createWaitingQueue.compareCalls(toQueued(left), toQueued(right), now))[0]
        if (next === undefined) break
        oracleCalls.delete(next)
        const open = { promptTokens: next.promptTokens, answerTokens: 0, sentAt: now, hasResponded: false }
        const enqueued = { isUrgent: false, unreadTokens: next.promptTokens + 1, eventsLeft: next.events, onEnd: () => { noteEnd(next) } }
        engine.enqueue({ ...enqueued, onFirstEvent: () => { noteFirstEvent(next, open, null) } })
      }
    }
    clock.at(clock.now() + ORACLE_INTERVAL_MS, handOutByOracle)
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

  function choose (from: SimulatedGateway, { outcome: { promptTokens, answerTokens }, askedAt }: Call, tried: ReadonlySet<types.NodeId>): chooseBackEnd.ChoiceOutcome {
    return chooseBackEnd.chooseBackEnd({
      backEnds,
      tracker: from.tracker,
      figures,
      zone: from.zone,
      gateways: scenario.gateways,
      model: simulatedEngine.MODEL,
      promptTokens,
      answerTokens,
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
    const kind = classes[pickStreamClassIndex(classes, random())] as StreamClass
    const isCounted = clock.now() >= WARM_UP_MS
    const promptTokens = Math.round(kind.promptTokens * -Math.log(1 - random()))
    const events = scenario.doAnswersVary === true ? Math.ceil(kind.events * -Math.log(1 - random())) : kind.events
    const outcome: CallOutcome = { promptTokens, answerTokens: events * simulatedEngine.STEPS_PER_PASS, ending: 'unserved' }
    if (isCounted) outcomes[classes.indexOf(kind)]?.push(outcome)
    const call: Call = {
      kind,
      counts: isCounted ? counts[classes.indexOf(kind)] as Counts : createCounts(),
      outcome,
      promptTokens,
      events,
      askedAt: clock.now(),
      tries: 0,
      isInGap: gap !== null && clock.now() >= GAP_FROM_MS && clock.now() < GAP_FROM_MS + gap.lengthMs + gap.returnOverMs + GAP_RESULT_MS,
      sized: null,
      hasLeft: false,
      hasFirstEvent: false,
      isInTime: false,
      unqueue: () => {}
    }
    call.counts.asked += 1
    if (call.isInGap) gapCounts.asked += 1
    if (gap?.leavingFraction !== undefined && random() < gap.leavingFraction) clock.at(clock.now() + random() * CALL_TIMEOUT_MS, () => { leave(call) })
    if (gap?.waiting === 'oracle' && clock.now() >= GAP_FROM_MS) {
      oracleCalls.add(call)
      return
    }
    tryGateway(call)
  }

  function leave (call: Call): void {
    if (call.hasFirstEvent) return
    call.hasLeft = true
    if (call.isInGap) gapCounts.asked -= 1
    call.unqueue()
    oracleCalls.delete(call)
  }

  function tryGateway (call: Call): void {
    if (call.hasLeft) return
    call.tries += 1
    const from = gateways[Math.floor(random() * gateways.length)] as SimulatedGateway
    call.sized = from.sizes.open(String(classes.indexOf(call.kind)), call.promptTokens)
    handleCall(from, call)
  }

  function handleCall (from: SimulatedGateway, call: Call): void {
    const { choice, utilization, permitWaitMs } = choose(from, call, new Set())
    const elapsedMs = clock.now() - call.askedAt
    const isLate = !callState.canMeetTarget(elapsedMs, call.kind.targetMs)
    const { waiting } = from
    waiting?.noteCall(simulatedEngine.SERVICE, 1)
    if (choice === null && waiting !== null) {
      waiting.noteNoneServing(simulatedEngine.SERVICE)
      return hold(from, waiting, call, null)
    }
    if (choice === null && gap !== null) return refuse(call, computeRetryMs(call))
    if (choice === null) return refuse(call, callState.canMeetTarget(elapsedMs + permitWaitMs, call.kind.targetMs) ? permitWaitMs : LATE_RETRY_MS * (1 + random()))
    const targetMs = from.targets.note({ service: simulatedEngine.SERVICE, priority: call.kind.priority ?? USUAL_PRIORITY, targetMs: call.kind.targetMs, hasModel: true }, decideAdmission.isContended(utilization))
    const promptDiscount = call.sized?.readPromptDiscount() ?? 0
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
    const retryAfterMs = admission.isAdmitted ? null : admission.retryAfterMs
    if (waiting?.isRecovering(simulatedEngine.SERVICE) === true) {
      if (waiting.hasEarlier(simulatedEngine.SERVICE, toQueued(call))) hold(from, waiting, call, retryAfterMs)
      else reserveSlot(from, call, choice, { targetMs, promptDiscount: 0, maximumAgents: reserveSlots.MAXIMUM_AGENTS_ASKED, onNone: () => { hold(from, waiting, call, retryAfterMs) } }, new Set())
    } else if (!admission.isAdmitted) reserveSlot(from, call, choice, { targetMs, promptDiscount, maximumAgents: reserveSlots.MAXIMUM_AGENTS_ASKED, onNone: () => { refuse(call, admission.retryAfterMs) } }, new Set())
    else if (mustConfirm) reserveSlot(from, call, choice, { targetMs, promptDiscount, maximumAgents: confirmSlots.MAXIMUM_AGENTS_ASKED, onNone: () => { refuse(call, decideAdmission.computeRetryAfterMs(input)) } }, new Set())
    else if (isPermitted(from, choice.backEnd.id, isLate)) serve(from, call, choice, new Set())
    else if (isLate) refuse(call, LATE_RETRY_MS * (1 + random()))
    else handleCall(from, call)
  }

  function reserveSlot (from: SimulatedGateway, call: Call, choice: chooseBackEnd.Choice, search: SlotSearch, asked: Set<types.NodeId>): void {
    const { targetMs, maximumAgents, onNone } = search
    const { id, zone } = choice.backEnd
    const withinMs = targetMs - (clock.now() - call.askedAt)
    if (withinMs <= 0) return onNone()
    asked.add(id)
    const latencyMs = zone === from.zone ? HALL_LATENCY_MS : CROSS_HALL_LATENCY_MS
    clock.at(clock.now() + latencyMs, () => {
      const isReserved = slots.get(id)?.reserve({ promptTokens: call.promptTokens, withinMs, promptDiscount: search.promptDiscount }, figures) === true
      clock.at(clock.now() + latencyMs, () => {
        if (isReserved && isPermitted(from, id, false)) return serve(from, call, choice, new Set())
        const next = asked.size < maximumAgents ? choose(from, call, asked).choice : null
        if (next === null) onNone()
        else reserveSlot(from, call, next, search, asked)
      })
    })
  }

  function computeRetryMs ({ askedAt }: Call): number {
    return Math.min(LATE_RETRY_MS * (1 + random()), (askedAt + CALL_TIMEOUT_MS - clock.now()) * RETRY_REMAINING_FRACTION)
  }

  function refuse (call: Call, retryAfterMs: number): void {
    // Callers don't retry later than after a third of their time.
    const isTooLate = gap !== null && retryAfterMs > (call.askedAt + CALL_TIMEOUT_MS - clock.now()) / CALLER_TRY_FRACTION
    if (isTooLate || scenario.doCallersRetry !== true || call.tries >= CALLER_TRIES) call.counts.refused += 1
    else clock.at(clock.now() + retryAfterMs, () => { tryGateway(call) })
  }

  function serve (from: SimulatedGateway, call: Call, choice: chooseBackEnd.Choice, tried: Set<types.NodeId>): void {
    const { id } = choice.backEnd
    tried.add(id)
    call.sized?.noteSent()
    const sentAt = clock.now()
    const open: createBackEndTracker.OpenAttempt = { promptTokens: call.promptTokens, answerTokens: call.outcome.answerTokens, sentAt, hasResponded: false }
    from.tracker.noteSent(id, open)
    const latencyMs = choice.backEnd.zone === from.zone ? HALL_LATENCY_MS : CROSS_HALL_LATENCY_MS
    clock.at(sentAt + latencyMs, () => {
      limited.get(id)?.push(clock.now())
      const isTaken = !isShedding(id) && byId.get(id)?.enqueue({
        isUrgent: sentAt - call.askedAt <= call.kind.targetMs,
        unreadTokens: call.promptTokens + 1,
        eventsLeft: call.events,
        onFirstEvent: () => { clock.at(clock.now() + latencyMs, () => { noteFirstEvent(call, open, { from, choice }) }) },
        onEnd: () => {
          clock.at(clock.now() + latencyMs, () => {
            from.tracker.noteEnded(id, open)
            noteEnd(call)
          })
        }
      })
      if (clock.now() - (returnsAt.get(id) ?? Infinity) <= RETURN_MS && clock.now() >= (returnsAt.get(id) ?? Infinity)) gapCounts.maximumAtEngine = Math.max(gapCounts.maximumAtEngine, byId.get(id)?.countCalls() ?? 0)
      if (isTaken === true) return
      clock.at(clock.now() + latencyMs, () => {
        from.tracker.noteEnded(id, open)
        noteTurnedAway(from, choice.backEnd)
        const next = tried.size < ATTEMPTS ? choose(from, call, tried).choice : null
        if (next === null || !isPermitted(from, next.backEnd.id, false)) {
          call.counts.rejected += 1
          call.sized?.noteUnserved()
        } else serve(from, call, next, tried)
      })
    })
  }

  function noteFirstEvent (call: Call, open: createBackEndTracker.OpenAttempt, sent: { readonly from: SimulatedGateway, readonly choice: chooseBackEnd.Choice } | null): void {
    sent?.from.errors.note(sent.choice.firstEventMs, clock.now() - open.sentAt)
    open.hasResponded = true
    sent?.from.backoffs.noteResponse(sent.choice.backEnd, { kind: 'none' }, true)
    call.hasFirstEvent = true
    call.isInTime = clock.now() - call.askedAt <= call.kind.targetMs
    call.outcome.ending = call.isInTime ? 'in-time' : 'late'
    if (call.isInTime) call.counts.inTime += 1
    else call.counts.late += 1
  }

  /** Calls that a loss of power has ended before their first event don't count as served, nor do those that end after their deadline. */
  function noteEnd (call: Call): void {
    if (!call.isInGap || call.hasLeft || !call.hasFirstEvent || clock.now() > call.askedAt + CALL_TIMEOUT_MS) return
    gapCounts.served += 1
    if (call.isInTime) gapCounts.inTime += 1
  }

  function scheduleCalls (): void {
    startCall()
    clock.at(clock.now() - Math.log(1 - random()) * types.MILLISECONDS_IN_SECOND / scenario.callsPerSecond, scheduleCalls)
  }

  if (gap !== null) scheduleGap(gap)
  for (const engine of engines) {
    scheduleReports(engine, (zone) => zone === engine.backEnd.zone, reportIntervalsMs.near, HALL_LATENCY_MS)
    scheduleReports(engine, (zone) => zone !== engine.backEnd.zone, reportIntervalsMs.far, CROSS_HALL_LATENCY_MS)
  }
  clock.at(0, scheduleCalls)
  clock.run(WARM_UP_MS + scenario.seconds * types.MILLISECONDS_IN_SECOND)
  const kinds = counts.map((each) => divideBySeconds(each, scenario.seconds))
  return { ...kinds.reduce(addResults, createCounts()), kinds, outcomes, maximumLimitedRequests: Math.max(0, ...[...limited.values()].map(countMostInWindow)), gap: gap === null ? null : gapCounts }
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
function pickStreamClassIndex (classes: readonly StreamClass[], random: number): number {
  let left = random
  const at = classes.findIndex(({ part }) => {
    left -= part
    return left < 0
  })
  return Math.max(0, at)
}
