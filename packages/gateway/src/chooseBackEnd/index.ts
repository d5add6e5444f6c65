/** Chooses the back end for one attempt of a call. */
import type * as types from '@switchridge/types'
import type * as gateway from '../types/index.js'
import type * as backoffs from '../types/backoff.js'
import type * as limiters from '../types/limiter.js'
import type * as createBackEndTracker from '../createBackEndTracker/index.js'
import * as predictFirstEvent from '../predictFirstEvent/index.js'

/** Input of the choice. */
export interface ChoiceInput {
  readonly backEnds: readonly gateway.BackEnd[]
  readonly tracker: createBackEndTracker.BackEndTracker
  readonly figures: gateway.EngineFigures | null
  readonly zone: string
  /** Number of gateways that send calls, including this one. */
  readonly gateways: number
  readonly model: string | null
  readonly promptTokens: number
  /** Expected length of the response in tokens; 0 if unknown. */
  readonly answerTokens: number
  /** Monotonic time in milliseconds by which a call must begin on a given version of the model's weights. */
  readonly lastBeginAt: (version: number) => number
  /** Monotonic time in milliseconds from which no call may begin on a given version, without the margins of `lastBeginAt`; Infinity for the newest one. */
  readonly versionBoundAt: (version: number) => number
  /** Monotonic time in milliseconds of the call's deadline. */
  readonly endsAt: number
  /** The only version that may serve a resumed stream; null if any version that is new enough may serve. */
  readonly pinnedVersion: number | null
  /** Back ends that this call was already sent to. */
  readonly tried: ReadonlySet<types.NodeId>
  /** Whether the call may be sent to another back end if its response is lost; yes if absent. */
  readonly isRepeatable?: boolean
  /** Whether another instance answers at its address; no if absent. */
  readonly isDisplaced?: (backEnd: gateway.BackEnd) => boolean
  /** Whether a back end has announced in a response that it is about to end. */
  readonly isLeaving: (backEnd: gateway.BackEnd) => boolean
  /** Why a back end may not serve this call even if it has room; null if it may. */
  readonly findExclusion: (backEnd: gateway.BackEnd) => gateway.ExclusionReason | null
  /** Whether an instance known only from the list of back ends is sent one call at a time until it has responded or reported; no if absent. */
  readonly mustConfirm?: boolean
  /** What a back end that asked for a backoff may be sent. */
  readonly readBackoff: (backEnd: gateway.BackEnd) => backoffs.Backoff
  /** Remaining rate allowance of a back end that advertises a rate limit or is cold; null for any other. */
  readonly readAllowance: (backEnd: gateway.BackEnd) => limiters.RateAllowance | null
  /** Whether a rate-limit permit may be requested; otherwise rate-limited back ends are passed over. */
  readonly mayRequestPermit: boolean
  readonly now: number
  /** Returns a random number from 0 to 1. */
  readonly random: () => number
}

/** The chosen back end, with the figures behind the choice. */
export interface Choice {
  readonly backEnd: gateway.BackEnd
  /** Predicted milliseconds until the first event, including the delay of the link. */
  readonly firstEventMs: number
  /** Predicted time to the first event with half of the prompt's excess over the usual length discounted; admission uses it. */
  readonly discountedFirstEventMs: number
  /** Part of `firstEventMs` in which the back end would read the call's own prompt. */
  readonly ownReadMs: number
  /** Requests that would be queued there before this one. */
  readonly queuedAhead: number
  /** Whether the back end advertises a rate limit or is cold, so that a permit must be requested. */
  readonly isRateLimited: boolean
  /** Version of the weights that the back end is asked to verify; null for none. */
  readonly expectedVersion: number | null
  /** Monotonic time in milliseconds by which the call must have begun there; Infinity if there is no limit. */
  readonly mustBeginBy: number
  /** The version of the weights that it holds, if a newer one is named; null otherwise. */
  readonly olderVersion: OlderVersion | null
}

/** A version of the weights for which a newer one is named. */
export interface OlderVersion {
  readonly version: number
  /** Monotonic time in milliseconds from which no call may begin on it. */
  readonly boundAt: number
}

/** Why a back end may not serve a call. */
export type PassedOverReason =
  /** It is about to end, as service discovery, one of its responses or its report says. */
  | 'draining'
  | 'tried'
  /** The instance has ended: another process answers at its address, or none. */
  | 'gone'
  /** Another listed instance answers at its address. */
  | 'displaced'
  /** It holds no complete version of the model's weights. */
  | 'empty'
  /** A resumed stream needs a version that it does not hold. */
  | 'other-version'
  /** A newer version has been announced, and calls may no longer be sent to the version that it holds. */
  | 'old'
  /** Calls may still be sent to the version that it holds, but this call would begin too late. */
  | 'late'
  /** It advertises a rate limit, and no request may be sent there now. */
  | 'limited'
  /** It is cold, and no request may be sent there now. */
  | 'cold'
  /** It asked for a backoff that is not over, or after which it has not answered enough calls yet to get another one. */
  | 'backing-off'
  /** It is known only from the list of back ends, and the first call there has not been answered yet. */
  | 'unconfirmed'
  | gateway.ExclusionReason

/** Number of back ends passed over for each reason. */
export type PassedOver = Partial<Record<PassedOverReason, number>>

/** The chosen back end, or null if none may serve, and why others were passed over. */
export interface ChoiceOutcome {
  readonly choice: Choice | null
  readonly passedOver: PassedOver
  /** Occupied fraction of the slots of all back ends that may serve; queued requests count, so it may exceed 1. */
  readonly utilization: number
  /** Milliseconds until a permit may be requested from a back end that was passed over for its rate limit or as cold; Infinity for none. */
  readonly permitWaitMs: number
  /** If all back ends that will go on serving asked for a backoff: milliseconds until the first one takes some again. Infinity otherwise. */
  readonly backoffWaitMs: number
}

interface ScoredChoice extends Choice {
  /** Predicted milliseconds until the first event plus penalties; the lowest score is chosen. */
  readonly score: number
  /** Requests running or queued there. */
  readonly taken: number
}

/** A back end in another data hall must be faster by this many milliseconds, because traffic between halls is costly. */
const OTHER_ZONE_PENALTY_MS = 25
/** Assumed milliseconds per earlier request at a back end that is not a model engine. */
const ASSUMED_PLAIN_REQUEST_MS = 30
/** Steps per generated token on average, because the engine also reads other prompts meanwhile. */
const STEPS_PER_TOKEN = 1.6
/** Penalties in milliseconds for a back end that is avoided after failures, and for one whose report is overdue. */
const AVOIDED_PENALTY_MS = 2000
const OVERDUE_REPORT_PENALTY_MS = 600
/** The connection, the request and its first event each cross the link to the back end. */
const LINK_CROSSINGS = 2
/** A link with this much delay is saturated; its delay can no longer be predicted. */
const SATURATED_LINK_DELAY_MS = 120
/** A call is assumed to begin at most this many times later than predicted. */
const BEGIN_DELAY_FACTOR = 2
/** Penalty in milliseconds for a back end whose agent asked for no new calls. */
const PAUSED_PENALTY_MS = 1500
/**
 * A call begins at once at a healthy, idle engine, so it may be sent there later than to other engines; if it has not begun, there is still time to
 * withdraw it before its version must not begin calls any more. If a newer version is late, this extends service by as much.
 */
const HEALTHY_GRACE_MS = 800
const HEALTHY_LINK_DELAY_MS = 40
/** Weight of the time by which a response would delay its engine's version switch. */
const VERSION_CHANGE_DELAY_WEIGHT = 0.25
/** The same weight for a resumed stream, which cannot be moved a second time. */
const RESUMED_VERSION_CHANGE_DELAY_WEIGHT = 1
/**
 * Penalties in milliseconds for an instance that has neither responded nor reported, since its entry may lead to no engine. The larger one applies while the first call there
 * is unanswered, and to a call that has failed elsewhere and has few attempts left; the other one to a call that would be lost with its answer.
 */
const UNCONFIRMED_PENALTY_MS = 100
const UNCONFIRMED_RISK_PENALTY_MS = 1000
/** Random addition to the score in milliseconds, so that gateways do not all choose the same engine. */
const JITTER_MS = 20
/** A rate-limited back end counts as having as many slots as its rate admits requests in this time, about the duration of one request. */
const LIMITED_REQUEST_SECONDS = 1
/** Shortest wait for a back end that is backing off: after its time is over it has to answer a call before it gets another one. */
const RESUMING_WAIT_MS = 100

/**
 * Chooses the back end with the earliest predicted first event, with penalties for other data halls and unhealthy back ends.
 *
 * @param input - Candidates and their known state.
 * @returns The choice, if any back end may serve, and why others were passed over.
 */
export function chooseBackEnd (input: ChoiceInput): ChoiceOutcome {
  let best: ScoredChoice | null = null
  let capacity = 0
  let occupied = 0
  let permitWaitMs = Infinity
  const backoffWaits: number[] = []
  const passedOver: PassedOver = {}
  for (const backEnd of input.backEnds) {
    const exclusion = input.findExclusion(backEnd)
    if (exclusion !== null) {
      passedOver[exclusion] = (passedOver[exclusion] ?? 0) + 1
      continue
    }
    const allowance = input.readAllowance(backEnd)
    const scored = score(backEnd, allowance, input)
    if (scored !== 'draining' && scored !== 'gone' && scored !== 'displaced') backoffWaits.push(Math.max(input.readBackoff(backEnd).waitMs, scored === 'backing-off' ? RESUMING_WAIT_MS : 0))
    const slots = allowance === null ? backEnd.slots : Math.min(backEnd.slots, allowance.perSecond * LIMITED_REQUEST_SECONDS)
    if (typeof scored === 'string') {
      passedOver[scored] = (passedOver[scored] ?? 0) + 1
      if (allowance === null || (scored !== 'limited' && scored !== 'cold')) continue
      permitWaitMs = Math.min(permitWaitMs, allowance.waitMs)
      capacity += slots
      occupied += slots
      continue
    }
    capacity += slots
    occupied += allowance === null ? scored.taken : Math.min(slots, scored.taken)
    if (best === null || scored.score < best.score) best = scored
  }
  const backoffWaitMs = backoffWaits.every((waitMs) => waitMs > 0) ? Math.min(...backoffWaits) : Infinity
  return { choice: best, passedOver, utilization: capacity === 0 ? 1 : occupied / capacity, permitWaitMs, backoffWaitMs }
}

/**
 * Whether a call can still begin in time at a back end that was chosen a moment ago, before its version of the weights may no longer serve.
 *
 * @param choice - The choice.
 * @param now - Monotonic time in milliseconds.
 * @returns Whether the call would still begin in time there.
 */
export function mayStillBegin (choice: Choice, now: number): boolean {
  return now + choice.firstEventMs * BEGIN_DELAY_FACTOR < choice.mustBeginBy
}

function score (backEnd: gateway.BackEnd, allowance: limiters.RateAllowance | null, input: ChoiceInput): ScoredChoice | PassedOverReason {
  if (backEnd.isDraining || input.isLeaving(backEnd)) return 'draining'
  if (input.tried.has(backEnd.id)) return 'tried'
  if (input.isDisplaced?.(backEnd) === true) return 'displaced'
  const load = input.tracker.read(backEnd.id)
  if (load.isGone) return 'gone'
  if (load.report?.isLeaving === true) return 'draining'
  if (input.mustConfirm === true && !load.isConfirmed && load.open.size > 0) return 'unconfirmed'
  const withoutLink = predict(backEnd, load, input)
  const linkMs = load.linkDelayMs * LINK_CROSSINGS
  const predicted = { ...withoutLink, firstEventMs: withoutLink.firstEventMs + linkMs, discountedFirstEventMs: withoutLink.discountedFirstEventMs + linkMs }
  const version = input.model === null ? null : readVersion(backEnd, load, input.model)
  const healthyGraceMs = computeHealthyGraceMs(load, input)
  const refusal = input.figures === null || input.model === null ? null : findVersionRefusal(version, computeLatestBegin(load, predicted.firstEventMs, input) - healthyGraceMs, input)
  if (refusal !== null) return refusal
  if (isBackingOff(load, input.readBackoff(backEnd))) return 'backing-off'
  if (allowance !== null && (allowance.waitMs > 0 || !input.mayRequestPermit)) return allowance.isCold === true ? 'cold' : 'limited'
  const penalty = (backEnd.zone === input.zone ? 0 : OTHER_ZONE_PENALTY_MS) +
    (load.isReportOverdue ? OVERDUE_REPORT_PENALTY_MS : 0) +
    (load.avoidedUntil > input.now ? AVOIDED_PENALTY_MS : 0) +
    (load.isConfirmed ? 0 : computeUnconfirmedPenaltyMs(load, input)) +
    (load.isPaused ? PAUSED_PENALTY_MS : computeVersionChangeDelayMs(load, predicted.firstEventMs, input) * (input.pinnedVersion === null ? VERSION_CHANGE_DELAY_WEIGHT : RESUMED_VERSION_CHANGE_DELAY_WEIGHT)) +
    input.random() * JITTER_MS
  const areOldVersionsRefused = input.lastBeginAt(0) <= input.now
  const expectedVersion = areOldVersionsRefused || input.pinnedVersion !== null ? version : null
  const mustBeginBy = version === null ? Infinity : input.lastBeginAt(version) + healthyGraceMs
  return { backEnd, isRateLimited: allowance !== null, expectedVersion, mustBeginBy, olderVersion: findOlderVersion(version, input), ...predicted, score: predicted.firstEventMs + penalty, taken: countOccupied(load, input) }
}

function computeUnconfirmedPenaltyMs ({ open }: createBackEndTracker.BackEndLoad, { tried, isRepeatable = true }: ChoiceInput): number {
  if (tried.size > 0 || open.size > 0) return UNCONFIRMED_RISK_PENALTY_MS
  return isRepeatable ? 0 : UNCONFIRMED_PENALTY_MS
}

function isBackingOff (load: createBackEndTracker.BackEndLoad, { waitMs, maximumUnanswered }: backoffs.Backoff): boolean {
  if (waitMs > 0) return true
  return maximumUnanswered !== Infinity && [...load.open].filter(({ hasResponded }) => !hasResponded).length >= maximumUnanswered
}

/**
 * Estimates the requests at a back end. For a model engine these are the requests in its last report, plus those that this gateway sent since,
 * multiplied by the number of gateways. Gateways get similar numbers of calls, so the estimate is wrong for a single engine but right for the sum over
 * all. Plain back ends report nothing; their calls are short, so only those of this gateway count.
 */
function countOccupied (load: createBackEndTracker.BackEndLoad, input: ChoiceInput): number {
  if (input.figures === null) return load.open.size
  const reported = load.report === null ? 0 : load.report.running + load.report.waiting
  return reported + load.sentSinceReport * input.gateways
}

function findOlderVersion (version: number | null, input: ChoiceInput): OlderVersion | null {
  const boundAt = version === null ? Infinity : input.versionBoundAt(version)
  return version === null || boundAt === Infinity ? null : { version, boundAt }
}

/** Why a version may not serve a call that begins at `latestBeginAt` at the latest; null if it may. */
function findVersionRefusal (version: number | null, latestBeginAt: number, input: ChoiceInput): PassedOverReason | null {
  if (version === null) return 'empty'
  if (input.pinnedVersion !== null && version !== input.pinnedVersion) return 'other-version'
  const lastSendAt = input.lastBeginAt(version)
  if (latestBeginAt < lastSendAt) return null
  return input.now >= lastSendAt ? 'old' : 'late'
}

/**
 * Latest time at which the call may begin. Nothing is known of an engine with an overdue report or behind a saturated link, and a call may be queued at
 * an engine that switches its version, so the call's deadline is assumed there.
 */
function computeLatestBegin (load: createBackEndTracker.BackEndLoad, firstEventMs: number, input: ChoiceInput): number {
  const isChanging = load.isPaused || load.versionChangesAt <= input.now
  if (isChanging || load.isReportOverdue || load.avoidedUntil > input.now || load.linkDelayMs > SATURATED_LINK_DELAY_MS) return input.endsAt
  return Math.min(input.endsAt, input.now + firstEventMs * BEGIN_DELAY_FACTOR)
}

/**
 * Milliseconds by which a call may begin later here than at an engine that is busy or of which too little is known. None for a second attempt: its first
 * engine was unresponsive, and the next one may be too.
 */
function computeHealthyGraceMs (load: createBackEndTracker.BackEndLoad, input: ChoiceInput): number {
  if (input.tried.size > 0) return 0
  const isHealthy = load.isRoundTripMeasured && !load.isReportOverdue && !load.isPaused && load.avoidedUntil <= input.now && load.linkDelayMs <= HEALTHY_LINK_DELAY_MS
  const isIdle = load.report !== null && load.report.waiting === 0 && load.report.running + load.sentSinceReport < (input.figures?.slots ?? 0)
  return isHealthy && isIdle ? HEALTHY_GRACE_MS : 0
}

/** Milliseconds by which the response would delay the engine's version switch. */
function computeVersionChangeDelayMs (load: createBackEndTracker.BackEndLoad, firstEventMs: number, input: ChoiceInput): number {
  if (input.figures === null || load.versionChangesAt === Infinity) return 0
  const tokens = input.answerTokens > 0 ? input.answerTokens : input.figures.usualAnswerTokens ?? 0
  const endsAt = input.now + firstEventMs + tokens * (input.figures.stepMs ?? 0) * STEPS_PER_TOKEN
  return Math.max(0, endsAt - load.versionChangesAt)
}

/** Prefers the agent's report, which is newer than the list of back ends. */
function readVersion (backEnd: gateway.BackEnd, load: createBackEndTracker.BackEndLoad, model: string): number | null {
  const models = load.report?.models ?? backEnd.models
  return models.get(model) ?? null
}

function predict (backEnd: gateway.BackEnd, load: createBackEndTracker.BackEndLoad, input: ChoiceInput): predictFirstEvent.Prediction {
  if (input.figures !== null) return predictFirstEvent.predictFirstEvent(input.figures, backEnd.slots, load, input.promptTokens, input.gateways)
  const open = load.open.size
  return { firstEventMs: open * ASSUMED_PLAIN_REQUEST_MS, discountedFirstEventMs: open * ASSUMED_PLAIN_REQUEST_MS, ownReadMs: 0, queuedAhead: Math.max(0, open + 1 - backEnd.slots) }
}
