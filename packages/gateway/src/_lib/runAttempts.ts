/** Sends a call to one back end after another until it has its final response. */
import type * as types from '@switchridge/types'
import type * as createBackEndTracker from '../createBackEndTracker/index.js'
import type * as chooseBackEnd from '../chooseBackEnd/index.js'
import * as createEventSplitter from '../createEventSplitter/index.js'
import * as admitCall from './admitCall.js'
import type * as answers from './answers.js'
import * as callState from './callState.js'
import * as confirmSlot from './confirmSlot.js'
import * as logCall from './logCall.js'
import * as noteOutcome from './noteOutcome.js'
import * as reserveSlot from './reserveSlot.js'
import * as runAttempt from './runAttempt.js'
import type * as callOptions from './callOptions.js'
import type * as gateway from '../types/index.js'

/** Retry time of a refused call, unless the reason for the refusal gives another one. */
const DEFAULT_RETRY_AFTER_MS = 400
/**
 * Retry time while no back end may serve at all: a caller that retried sooner would be refused again. Callers must not be told when engines will serve
 * again, because they would all retry at that moment.
 */
const NO_BACK_END_RETRY_AFTER_MS = 1000
/** The retry time is then at most this fraction of the time left until the deadline. */
const NO_BACK_END_REMAINING_FRACTION = 0.3
const BLOCKED_REASON = 'blocked: back ends ended under this call'
/** Number of connections that may fail before the call is given up. */
const MAXIMUM_CONNECT_FAILURES = 4
/** After this many refused permits, each of which cost a round trip, the call goes to a back end without a limit, or its caller retries. */
const MAXIMUM_PERMITS_REFUSED = 2
/** Random extension of the retry time, so that callers that wait for permits of one back end do not retry simultaneously. */
const PERMIT_RETRY_JITTER_FRACTION = 0.5
/** Shortest retry time for a permit. */
const PERMIT_RETRY_MINIMUM_MS = 60

/** Callers that are refused because all back ends asked for a backoff return within this time, or this fraction of the wait if longer, after it. */
const BACKOFF_RETRY_SPREAD_MS = 500
const BACKOFF_RETRY_SPREAD_FRACTION = 0.5

type Options = callOptions.CallHandlerOptions

/** Describes how many back ends were passed over for each reason. */
function describePassedOver (passedOver: chooseBackEnd.PassedOver): string {
  const counts = Object.entries(passedOver).map(([reason, count]) => `${count} ${reason}`)
  return counts.length === 0 ? 'none is listed' : counts.join(', ')
}

/** The exclusion that leaves no back end for a call; null if a listed back end is not excluded. If some are excluded for their region, the others decide. */
function findSoleExclusion (passedOver: chooseBackEnd.PassedOver): gateway.ExclusionReason | null {
  const { region = 0, evacuated = 0, ...others } = passedOver
  if (Object.keys(others).length > 0 || region + evacuated === 0) return null
  return evacuated > 0 ? 'evacuated' : 'region'
}

/** Describes why no back end may serve a call. */
function describeRefusal ({ allowedRegions }: callState.CallState, passedOver: chooseBackEnd.PassedOver): string {
  const exclusion = findSoleExclusion(passedOver)
  if (exclusion === 'region') return `region: no back end is listed in an allowed region (${[...allowedRegions ?? []].join(', ') || 'route and tenant have none in common'})`
  if (exclusion === 'evacuated') return `evacuated: every data hall that may serve the call (${describePassedOver(passedOver)})`
  return `no back end may serve: ${describePassedOver(passedOver)}`
}

/**
 * Runs a call until it has its final response.
 *
 * @param call - The call.
 * @param reply - The response to the caller.
 * @param options - Decisions and clock of the gateway.
 */
export async function runAttempts (call: callState.CallState, reply: answers.Reply, options: Options): Promise<void> {
  const budget = options.budgetOf(call.service)
  budget.noteCall()
  const cancelExpiry = options.at(call.deadline.at, call.expire)
  const stream = runAttempt.createStreamState(createEventSplitter.createEventSplitter(call.head.lastEventId))
  let failedAnswer: runAttempt.BufferedAnswer | null = null
  let retryAfterMs = DEFAULT_RETRY_AFTER_MS
  let connectFailures = 0
  let permitsRefused = 0
  let lastReason = ''
  let backEnd = ''
  let isBlocked = false

  async function serve (): Promise<logCall.Ending> {
    for (;;) {
      const isFirst = call.attempts === 0
      const isLate = !reply.hasStarted() && !canMeetTarget(0)
      if (noteIfBlocked()) return endUnserved()
      const chosen = choose(call.tried, isLate)
      const { passedOver, utilization, permitWaitMs, backoffWaitMs } = chosen
      let { choice } = chosen
      if (choice === null) {
        if (backoffWaitMs !== Infinity) retryAfterMs = computeBackoffRetryMs(backoffWaitMs)
        if (lastReason !== '') return endUnserved()
        if (backoffWaitMs === Infinity) retryAfterMs = computeRetryAfterMs(permitWaitMs)
        lastReason = describeRefusal(call, passedOver)
        const exclusion = findSoleExclusion(passedOver)
        if (exclusion !== null) options.count('calls_excluded', { reason: exclusion })
        return endUnserved()
      }
      call.predictedMs ??= Math.round(choice.firstEventMs)
      if (isFirst && connectFailures === 0) {
        const admission = admitCall.admitCall(call, choice, utilization, options)
        const mustConfirm = admission.isAdmitted && admission.isContended && options.mustConfirmSlots(call.service)
        if (!admission.isAdmitted || mustConfirm) {
          const obtainSlot = mustConfirm ? confirmSlot.confirmSlot : reserveSlot.reserveSlot
          const reserved = await obtainSlot(call, choice, admission.withinMs, (tried) => choose(tried, isLate).choice, options)
          if (call.isCallerGone()) return 'left'
          if (reserved === null) {
            lastReason = admission.reason
            retryAfterMs = admission.retryAfterMs
            return endUnserved()
          }
          choice = reserved
        }
      }
      let connectWithinMs = Infinity
      // The back end may have become known as cold while the call waited for a slot.
      if (choice.isRateLimited || options.limiter.readAllowance(choice.backEnd, isLate, call.route.priority)?.isCold === true) {
        const permit = await options.limiter.acquire(choice.backEnd, isLate, call.route.priority)
        if (call.isCallerGone()) return 'left'
        if (call.isExpired()) {
          lastReason = 'no permit in time'
          return endUnserved()
        }
        if (permit.isGranted && permit.expiresAt !== undefined) connectWithinMs = permit.expiresAt - options.now()
        if (!permit.isGranted || connectWithinMs <= 0) {
          permitsRefused += 1
          continue
        }
      }
      // While the call waited for a slot or a permit, it may have been blocked, or its back end may have announced its end, asked for a backoff or been excluded.
      if (noteIfBlocked()) return endUnserved()
      if (options.leavers.isLeaving(choice.backEnd) || options.backoffs.read(choice.backEnd).waitMs > 0) continue
      if (options.findExclusion(choice.backEnd, call.allowedRegions) !== null) continue
      if (!isFirst && !budget.trySpend()) {
        lastReason = `${lastReason}; retry budget spent`
        return endUnserved()
      }
      backEnd = choice.backEnd.id
      const outcome = await attempt(connectWithinMs === Infinity ? choice : { ...choice, connectWithinMs })
      if (call.isCallerGone()) return 'left'
      if (outcome.kind === 'done') return 'answered'
      lastReason = outcome.reason
      if (outcome.kind === 'failed-answer') failedAnswer = outcome.answer
      if (call.isExpired()) {
        lastReason = `no answer within ${Math.round(call.deadline.at - call.receivedAt)} ms`
        return endUnserved()
      }
      if (outcome.kind === 'not-sent') {
        connectFailures += 1
        if (connectFailures >= MAXIMUM_CONNECT_FAILURES) return endUnserved()
        continue
      }
      if (!mayRetry(outcome)) return endUnserved()
    }
  }

  /** Whether the call is blocked because back ends ended under it; if so, that is the reason of its refusal. */
  function noteIfBlocked (): boolean {
    const blockedMs = options.guard.isActive() ? options.guard.readBlockedMs(call.fingerprint()) : null
    if (blockedMs === null) return false
    isBlocked = true
    lastReason = BLOCKED_REASON
    retryAfterMs = blockedMs
    return true
  }

  function choose (tried: ReadonlySet<types.NodeId>, isLate: boolean): chooseBackEnd.ChoiceOutcome {
    return options.choose({
      service: call.service,
      model: call.head.model,
      promptTokens: call.head.promptTokens,
      answerTokens: call.head.answerTokens,
      remainingMs: call.deadline.remainingMs(),
      tried,
      mayRequestPermit: permitsRefused < MAXIMUM_PERMITS_REFUSED,
      isLate,
      rank: call.route.priority,
      version: stream.version,
      allowedRegions: call.allowedRegions
    })
  }

  /** Milliseconds after which a caller may retry if no back end may serve it now. */
  function computeRetryAfterMs (permitWaitMs: number): number {
    const permitRetryMs = Math.max(PERMIT_RETRY_MINIMUM_MS, permitWaitMs) * (1 + PERMIT_RETRY_JITTER_FRACTION * options.random())
    const retryMs = canMeetTarget(permitRetryMs) ? permitRetryMs : NO_BACK_END_RETRY_AFTER_MS * (1 + options.random())
    return Math.min(retryMs, call.deadline.remainingMs() * NO_BACK_END_REMAINING_FRACTION)
  }

  /** Callers return spread over some time after the end of a backoff, so that the back end doesn't get all of them at once. */
  function computeBackoffRetryMs (backoffWaitMs: number): number {
    return backoffWaitMs + Math.max(BACKOFF_RETRY_SPREAD_MS, backoffWaitMs * BACKOFF_RETRY_SPREAD_FRACTION) * options.random()
  }

  function canMeetTarget (delayMs: number): boolean {
    return callState.canMeetTarget(callState.readElapsedMs(call, options.now()) + delayMs, call.route.targetMs)
  }

  function mayRetry (outcome: runAttempt.AttemptOutcome): boolean {
    if (call.attempts >= call.route.maximumAttempts) return false
    if (outcome.kind === 'not-run') return !call.mayHaveRun || call.isRepeatable
    return call.isRepeatable
  }

  async function attempt (choice: runAttempt.PermittedChoice): Promise<runAttempt.AttemptOutcome> {
    call.tried.add(choice.backEnd.id)
    const open: createBackEndTracker.OpenAttempt = {
      promptTokens: call.head.promptTokens,
      answerTokens: call.head.answerTokens,
      sentAt: options.now(),
      hasResponded: false
    }
    options.tracker.noteSent(choice.backEnd.id, open)
    options.onSent(choice.backEnd)
    const outcome = await runAttempt.runAttempt(call, reply, stream, choice, open, options)
    options.tracker.noteEnded(choice.backEnd.id, open)
    if (!call.isCallerGone() && !call.isExpired() && !call.isWithdrawn()) noteOutcome.noteOutcome(call, choice, outcome, options)
    if (outcome.kind === 'broken' && outcome.isClosedByPeer) await options.guard.noteConnectionLost(choice.backEnd, call.fingerprint())
    if (outcome.kind === 'done' && options.guard.isActive()) options.guard.noteServed(call.fingerprint())
    if (outcome.kind === 'broken' && !open.hasResponded) noteOutcome.noteUnansweredAttempt(call, options)
    return outcome
  }

  /** Ends a call that no attempt has served: with the last error response of a back end if there is one, or else with one of the gateway itself. */
  function endUnserved (): logCall.Ending {
    if (reply.hasStarted()) {
      reply.abort()
      return 'failed'
    }
    if (failedAnswer !== null) {
      reply.sendBuffered(failedAnswer.status, failedAnswer.headers, failedAnswer.body, failedAnswer.isFramed)
      return 'answered'
    }
    if (!call.mayHaveRun) {
      reply.refuse(503, lastReason, Math.round(retryAfterMs))
      return 'refused'
    }
    reply.refuse(call.isExpired() ? 504 : 502, lastReason, null)
    return call.isExpired() ? 'expired' : 'failed'
  }

  const ending = await serve()
  cancelExpiry()
  logCall.logCall(call, { ending, backEnd, version: stream.version, reason: lastReason, isBlocked }, options)
}
