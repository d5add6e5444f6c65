/** Sends a call to one back end after another until it has its final response. */
import type * as types from '@switchridge/types'
import type * as createBackEndTracker from '../createBackEndTracker/index.js'
import type * as chooseBackEnd from '../chooseBackEnd/index.js'
import * as computeForecast from '../computeForecast/index.js'
import type * as createWaitingCalls from '../createWaitingCalls/index.js'
import type * as createWaitingQueue from '../createWaitingQueue/index.js'
import * as admitCall from './admitCall.js'
import type * as answers from './answers.js'
import * as callState from './callState.js'
import * as confirmSlot from './confirmSlot.js'
import * as logCall from './logCall.js'
import * as noteOutcome from './noteOutcome.js'
import * as raceAttempts from './raceAttempts.js'
import * as reserveSlot from './reserveSlot.js'
import * as runAttempt from './runAttempt.js'
import * as scheduleAfterReads from './scheduleAfterReads.js'
import * as waitingCalls from './waitingCalls.js'
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
/** Shortest retry time while the first call of each instance that may serve is still under way. */
const UNCONFIRMED_RETRY_MS = 100
const BLOCKED_REASON = 'blocked: back ends ended under this call'
/** Number of connections that may fail before the call is given up. Those that were refused are not counted: they took no time, and each back end is tried once. */
const MAXIMUM_CONNECT_FAILURES = 4
/**
 * After this many refused permits, each of which cost a round trip, the call goes to a back end without a limit, or its caller retries. Those that are refused while an
 * attempt is open are not counted: the call loses no time by them.
 */
const MAXIMUM_PERMITS_REFUSED = 2
/** Random extension of the retry time, so that callers that wait for permits of one back end do not retry simultaneously. */
const PERMIT_RETRY_JITTER_FRACTION = 0.5
/** Shortest retry time for a permit. */
const PERMIT_RETRY_MINIMUM_MS = 60

/** Callers that are refused because all back ends asked for a backoff return within this time, or this fraction of the wait if longer, after it. */
const BACKOFF_RETRY_SPREAD_MS = 500
const BACKOFF_RETRY_SPREAD_FRACTION = 0.5

/** An engine that is passed over for one of these reasons may return; where all are passed over for other ones, such as their region, waiting changes nothing. */
const RETURNING_REASONS: readonly chooseBackEnd.PassedOverReason[] = ['empty', 'old', 'late', 'gone']
/** An engine that is passed over for one of these reasons may take calls again at a time that the forecast of returning engines doesn't know. */
const UNFORECAST_REASONS: readonly chooseBackEnd.PassedOverReason[] = ['limited', 'backing-off', 'other-version', 'unconfirmed']

/** What becomes of a call for which a slot was requested. */
type SlotOutcome =
  | { readonly kind: 'send', readonly choice: chooseBackEnd.Choice }
  /** It was taken out of the queue and may be chosen for again. */
  | { readonly kind: 'choose-again' }
  | { readonly kind: 'ended', readonly ending: logCall.Ending }

type Options = callOptions.CallHandlerOptions

/** How the attempt to hold a call ended: with a reserved slot, a refusal, or a call that must end or be decided again. */
type Held = { readonly kind: 'reserved', readonly choice: chooseBackEnd.Choice } | { readonly kind: 'refused' | 'removed' | 'excluded' }

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
 * @param mayFinish - Whether an attempt that is sent now, and whose first event is predicted within so many milliseconds, may finish before the gateway ends.
 * @returns How the call ended.
 */
export async function runAttempts (call: callState.CallState, reply: answers.Reply, options: Options, mayFinish: (firstEventMs: number) => boolean = () => true): Promise<logCall.Ending> {
  const budget = options.budgetOf(call.service)
  budget.noteCall()
  const cancelExpiry = scheduleAfterReads.scheduleAfterReads(options.at, call.deadline.at, call.expire)
  const stream = runAttempt.createStreamState()
  let failedAnswer: runAttempt.BufferedAnswer | null = null
  let retryAfterMs = DEFAULT_RETRY_AFTER_MS
  let connectFailures = 0
  let hasConnectFailed = false
  let permitsRefused = 0
  let lastReason = ''
  let backEnd = ''
  let isBlocked = false
  /** Attempts that were sent or are being sent; those that had no connection are not counted. */
  let sentCount = 0
  /** Attempts that have not ended. */
  let openCount = 0

  const waiting = findWaiting()
  waiting?.noteCall(call.service, call.rank)

  async function serve (): Promise<logCall.Ending> {
    for (;;) {
      const isFirst = call.attempts === 0
      const isLate = !reply.hasStarted() && isTooLateForTarget()
      if (noteIfBlocked()) return endUnserved()
      const chosen = choose(call.tried, isLate)
      const { passedOver, utilization, permitWaitMs, backoffWaitMs } = chosen
      let { choice } = chosen
      if (choice === null && waiting !== null && mayHold(passedOver)) {
        waiting.noteNoneServing(call.service)
        const held = await holdForSlot(waiting, `no back end may serve: ${describePassedOver(passedOver)}`, null)
        if (held.kind === 'ended') return held.ending
        if (held.kind === 'choose-again') continue
        choice = held.choice
      } else if (choice === null) {
        if (backoffWaitMs !== Infinity) retryAfterMs = computeBackoffRetryMs(backoffWaitMs)
        if (lastReason !== '') return endUnserved()
        if (backoffWaitMs === Infinity) retryAfterMs = passedOver.unconfirmed === undefined ? computeRetryAfterMs(permitWaitMs) : computeUnconfirmedRetryMs()
        lastReason = describeRefusal(call, passedOver)
        const exclusion = findSoleExclusion(passedOver)
        if (exclusion !== null) options.count('calls_excluded', { reason: exclusion })
        return endUnserved()
      }
      call.predictedMs ??= Math.round(choice.firstEventMs)
      call.predictedReadMs ??= Math.round(choice.ownReadMs)
      if (isFirst && chosen.choice !== null && (!hasConnectFailed || mustReserve())) {
        const slot = await admit(choice, utilization, isLate)
        if (slot.kind === 'ended') return slot.ending
        if (slot.kind === 'choose-again') continue
        choice = slot.choice
      }
      let permitted: runAttempt.PermittedChoice | null = choice
      if (needsPermit(choice, isLate)) {
        permitted = await acquirePermit(choice, isLate)
        if (call.isCallerGone()) return 'left'
        if (call.isExpired()) {
          lastReason = 'no permit in time'
          return endUnserved()
        }
        if (permitted === null) {
          permitsRefused += 1
          continue
        }
      }
      if (noteIfBlocked()) return endUnserved()
      if (!isStillEligible(choice)) continue
      if (!mayFinishAt(choice)) {
        if (!call.mayHaveRun) options.count('calls_refused_draining')
        lastReason = callState.DRAIN_REASON
        retryAfterMs = callState.DRAIN_RETRY_MS
        return endUnserved()
      }
      if (!isFirst && !budget.trySpend()) {
        lastReason = `${lastReason}; retry budget spent`
        return endUnserved()
      }
      backEnd = choice.backEnd.id
      const outcome = await raceAttempts.raceAttempts(permitted, {
        run: attempt,
        findNext,
        isDone: ({ kind }) => kind === 'done',
        setAbort: call.setAbortAttempt
      })
      if (call.isCallerGone()) return 'left'
      if (outcome.kind === 'done') return 'answered'
      lastReason = outcome.reason
      if (call.isExpired()) {
        lastReason = `no answer within ${Math.round(call.deadline.at - call.receivedAt)} ms`
        return endUnserved()
      }
      if (outcome.kind === 'not-sent') {
        hasConnectFailed = true
        if (outcome.isRefused !== true) connectFailures += 1
        if (connectFailures >= MAXIMUM_CONNECT_FAILURES) return endUnserved()
        continue
      }
      if (!mayRetry(outcome)) return endUnserved()
    }
  }

  /** Whether the back end needs a permit; it may have become known as cold while the call waited for a slot. */
  function needsPermit (choice: chooseBackEnd.Choice, isLate: boolean): boolean {
    return choice.isRateLimited || options.limiter.readAllowance(choice.backEnd, isLate, call.route.priority)?.isCold === true
  }

  /** Requests a permit; null if none is granted. */
  async function acquirePermit (choice: chooseBackEnd.Choice, isLate: boolean): Promise<runAttempt.PermittedChoice | null> {
    const permit = await options.limiter.acquire(choice.backEnd, isLate, call.route.priority)
    if (permit.isGranted && permit.expiresAt === undefined) return choice
    const connectWithinMs = permit.isGranted && permit.expiresAt !== undefined ? permit.expiresAt - options.now() : 0
    return connectWithinMs > 0 ? { ...choice, connectWithinMs } : null
  }

  /** Whether a back end may still be sent to: while the call waited for a slot or a permit, it may have announced its end, asked for a backoff or been excluded. */
  function isStillEligible (choice: chooseBackEnd.Choice): boolean {
    const isResting = options.leavers.isLeaving(choice.backEnd) || options.backoffs.read(choice.backEnd).waitMs > 0
    return !isResting && options.findExclusion(choice.backEnd, call.allowedRegions) === null
  }

  /** Finds another back end for a stream whose back ends are silent, and spends the retry; null if the call may not be sent to any now. */
  async function findNext (isWanted: () => boolean): Promise<runAttempt.PermittedChoice | null> {
    if (!mayAttempt()) return null
    const isLate = !reply.hasStarted() && isTooLateForTarget()
    const { choice } = choose(call.tried, isLate)
    if (choice === null) return null
    const permitted = needsPermit(choice, isLate) ? await acquirePermit(choice, isLate) : choice
    if (permitted === null || !isWanted() || !mayAttempt() || !isStillEligible(choice) || !mayFinishAt(choice)) return null
    if (!budget.trySpend()) return null
    options.logger.info('attempt-added', { id: call.head.requestId, backEnd: choice.backEnd.id, silent: backEnd })
    return permitted
  }

  /** Whether the call may be sent to a back end in a draining gateway. A stream that has begun goes on for as long as the process does. */
  function mayFinishAt ({ firstEventMs }: chooseBackEnd.Choice): boolean {
    return reply.hasStarted() || mayFinish(firstEventMs)
  }

  function mayAttempt (): boolean {
    return sentCount < call.route.maximumAttempts && reply.mayContinue() && !call.isCallerGone() && !call.isExpired() && readBlockedMs() === null
  }

  /** While engines return, all gateways see the same free slots, so every call reserves one. */
  function mustReserve (): boolean {
    return waiting?.isRecovering(call.service) === true && !reply.hasStarted()
  }

  /** Decides before the first attempt whether the call is sent to the chosen back end, to one whose agent has a slot, or not at all. */
  async function admit (choice: chooseBackEnd.Choice, utilization: number, isLate: boolean): Promise<SlotOutcome> {
    const mustReserveSlot = mustReserve()
    const admission = admitCall.admitCall(call, choice, utilization, options)
    const mustConfirm = !mustReserveSlot && admission.isAdmitted && admission.isContended && options.mustConfirmSlots(call.service)
    if (admission.isAdmitted && !mustReserveSlot && !mustConfirm) return { kind: 'send', choice }
    const hasEarlier = waiting !== null && mustReserveSlot && waiting.hasEarlier(call.service, toQueued())
    const obtainSlot = mustConfirm ? confirmSlot.confirmSlot : reserveSlot.reserveSlot
    // Calls that wait for engines to return get slots in turn, whatever their size.
    const promptDiscount = mustReserveSlot ? 0 : call.sized.readPromptDiscount()
    if (promptDiscount > 0) options.count('slots_discounted', { size: call.sized.sizeClass })
    const reserved = hasEarlier ? null : await obtainSlot(call, choice, { withinMs: admission.withinMs, promptDiscount }, (tried) => choose(tried, isLate).choice, options)
    if (call.isCallerGone()) return { kind: 'ended', ending: 'left' }
    if (reserved !== null) return { kind: 'send', choice: reserved }
    if (waiting !== null && mustReserveSlot && !call.isExpired()) {
      return admission.isAdmitted
        ? await holdForSlot(waiting, 'no slot at an engine that has returned', null)
        : await holdForSlot(waiting, admission.reason, admission.retryAfterMs)
    }
    if (admission.isAdmitted && !mustConfirm) return { kind: 'send', choice }
    lastReason = admission.reason
    retryAfterMs = admission.retryAfterMs
    return { kind: 'ended', ending: endUnserved() }
  }

  /** Holds the call, if it may be held, until a slot is reserved for it; the arguments are those of {@link hold}. */
  async function holdForSlot (held: createWaitingCalls.WaitingCalls, refusal: string, refusalRetryAfterMs: number | null): Promise<SlotOutcome> {
    const end = await hold(held, refusal, refusalRetryAfterMs)
    if (call.isCallerGone()) return { kind: 'ended', ending: 'left' }
    if (end.kind === 'refused' || call.isExpired()) return { kind: 'ended', ending: endUnserved() }
    return end.kind === 'reserved' ? { kind: 'send', choice: end.choice } : { kind: 'choose-again' }
  }

  /** The waiting calls of the gateway, if this call may be one of them. */
  function findWaiting (): createWaitingCalls.WaitingCalls | null {
    const table = options.waiting === undefined ? null : options.routes()
    if (options.waiting === undefined || table === null || readHoldMs() === null) return null
    const service = table.findService(call.service)
    const isModelServed = call.head.model !== null && service?.engine?.models.includes(call.head.model) === true
    return isModelServed && waitingCalls.mayWait(table.configuration, call.route, service) ? options.waiting : null
  }

  function readHoldMs (): number | null {
    return call.figures === null ? null : computeForecast.computeHoldMs(call.figures, call.head.promptTokens, call.head.answerTokens)
  }

  function toQueued (): createWaitingQueue.QueuedCall {
    const now = options.now()
    return waitingCalls.toQueuedCall({
      rank: call.rank,
      bytes: call.body?.length ?? 0,
      targetAt: now - callState.readElapsedWithoutUploadMs(call, now) + call.route.targetMs,
      targetMs: call.route.targetMs,
      deadlineAt: call.deadline.at,
      holdMs: readHoldMs() ?? 0
    })
  }

  function mayHold (passedOver: chooseBackEnd.PassedOver): boolean {
    const mayReturn = RETURNING_REASONS.some((reason) => passedOver[reason] !== undefined)
    return mayReturn && !reply.hasStarted() && !call.isExpired() && UNFORECAST_REASONS.every((reason) => passedOver[reason] === undefined)
  }

  /**
   * Holds the call until a slot is reserved for it. `refusal`: why it would be refused if it is not held; `retryAfterMs`: the time to retry in that case,
   * null for the time at which capacity is expected.
   */
  async function hold (held: createWaitingCalls.WaitingCalls, refusal: string, refusalRetryAfterMs: number | null): Promise<Held> {
    const startedAt = options.now()
    let place = 0
    const end = await new Promise<createWaitingCalls.WaitEnd | { readonly kind: 'removed' }>((resolve) => {
      const waitingCall: createWaitingCalls.WaitingCall = {
        ...toQueued(),
        service: call.service,
        promptTokens: call.head.promptTokens,
        deadlineAt: call.deadline.at,
        choose: (others) => choose(new Set([...listTriedSinceReturn(), ...others]), isTooLateForTarget()).choice,
        isExcluded: () => findSoleExclusion(choose(call.tried, isTooLateForTarget()).passedOver) !== null,
        onEnd: resolve
      }
      const decision = held.add(waitingCall)
      if (!decision.isHeld) {
        resolve({ kind: 'refused', reason: `${refusal}; not held: ${decision.reason}`, retryAfterMs: refusalRetryAfterMs ?? decision.retryAfterMs ?? computeRetryAfterMs(Infinity) })
        return
      }
      place = decision.place
      call.setAbortAttempt(() => {
        held.remove(waitingCall, call.isCallerGone() ? 'left' : call.isExpired() ? 'ended' : 'blocked')
        resolve({ kind: 'removed' })
      })
    })
    call.setAbortAttempt(() => {})
    if (place > 0) {
      const waitedMs = Math.round(options.now() - startedAt)
      options.observe('call_wait', waitedMs)
      call.wait = { ms: (call.wait?.ms ?? 0) + waitedMs, place: call.wait?.place ?? place }
    }
    if (end.kind === 'removed' && call.isExpired()) lastReason = 'ended while it waited for an engine'
    if (end.kind !== 'refused') return end
    if (place > 0 || lastReason === '') lastReason = end.reason
    retryAfterMs = end.retryAfterMs
    return end
  }

  /** Back ends that the call was sent to, without those that have returned since and may serve it as others do. */
  function listTriedSinceReturn (): types.NodeId[] {
    return [...call.tried].filter((id) => options.tracker.read(id).returnedAt < call.receivedAt)
  }

  /** Whether the call is blocked because back ends ended under it; if so, that is the reason of its refusal. */
  function noteIfBlocked (): boolean {
    const blockedMs = readBlockedMs()
    if (blockedMs === null) return false
    isBlocked = true
    lastReason = BLOCKED_REASON
    retryAfterMs = blockedMs
    return true
  }

  function readBlockedMs (): number | null {
    return options.guard.isActive() ? options.guard.readBlockedMs(call) : null
  }

  function choose (tried: ReadonlySet<types.NodeId>, isLate: boolean): chooseBackEnd.ChoiceOutcome {
    return options.choose({
      service: call.service,
      figures: call.figures,
      model: call.head.model,
      promptTokens: call.head.promptTokens,
      answerTokens: call.head.answerTokens,
      remainingMs: call.deadline.remainingMs(),
      isRepeatable: call.isRepeatable,
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

  /** The first calls of instances that are not confirmed yet are answered soon. */
  function computeUnconfirmedRetryMs (): number {
    return Math.min(UNCONFIRMED_RETRY_MS * (1 + options.random()), call.deadline.remainingMs() * NO_BACK_END_REMAINING_FRACTION)
  }

  /** Callers return spread over some time after the end of a backoff, so that the back end doesn't get all of them at once. */
  function computeBackoffRetryMs (backoffWaitMs: number): number {
    return backoffWaitMs + Math.max(BACKOFF_RETRY_SPREAD_MS, backoffWaitMs * BACKOFF_RETRY_SPREAD_FRACTION) * options.random()
  }

  /** Whether the call can no longer be in time, even if its body had arrived at once; others come first then. */
  function isTooLateForTarget (): boolean {
    return !callState.canMeetTarget(callState.readElapsedWithoutUploadMs(call, options.now()), call.route.targetMs)
  }

  /** Whether the caller can still be answered in time if it retries after a delay. */
  function canMeetTarget (delayMs: number): boolean {
    return callState.canMeetTarget(callState.readElapsedMs(call, options.now()) + delayMs, call.route.targetMs)
  }

  function mayRetry (outcome: runAttempt.AttemptOutcome): boolean {
    if (call.attempts >= call.route.maximumAttempts || !reply.mayContinue()) return false
    if (outcome.kind === 'not-run') return !call.mayHaveRun || call.isRepeatable
    return call.isRepeatable
  }

  async function attempt (choice: runAttempt.PermittedChoice, contender: raceAttempts.Contender): Promise<runAttempt.AttemptOutcome> {
    let isWithdrawn = false
    let isSilenceNoted = false
    call.tried.add(choice.backEnd.id)
    sentCount += 1
    openCount += 1
    const open: createBackEndTracker.OpenAttempt = {
      promptTokens: call.head.promptTokens,
      answerTokens: call.head.answerTokens,
      sentAt: options.now(),
      hasResponded: false
    }
    if (sentCount === 1) {
      call.firstSentAt = open.sentAt
      call.predictedMs = Math.round(choice.firstEventMs)
      call.predictedReadMs = Math.round(choice.ownReadMs)
    }
    call.sized.noteSent()
    options.tracker.noteSent(choice.backEnd.id, open)
    options.onSent(choice.backEnd)
    const outcome = await runAttempt.runAttempt(call, reply, stream, choice, open, options, {
      ...contender,
      claim: () => {
        const isOurs = contender.claim()
        if (isOurs) backEnd = choice.backEnd.id
        return isOurs
      },
      requestNext: () => {
        if (!reply.hasStarted() && !isSilenceNoted) {
          isSilenceNoted = true
          noteOutcome.noteSilence(call, choice, options)
          if (sentCount === 1) noteOutcome.noteUnansweredAttempt(call, options)
        }
        contender.requestNext()
      },
      setAbort: (abort) => {
        contender.setAbort(abort, () => {
          if (open.hasResponded) return
          isWithdrawn = true
          abort()
        })
      }
    }).finally(() => {
      openCount -= 1
      options.tracker.noteEnded(choice.backEnd.id, open)
    })
    if (outcome.kind === 'not-sent') sentCount -= 1
    if (outcome.kind === 'failed-answer') failedAnswer = outcome.answer
    if (contender.readReplacedBy() === 'earlier') {
      call.tried.delete(choice.backEnd.id)
      noteOutcome.noteOvertaken(call, choice, options)
    } else if (!call.isCallerGone() && !call.isExpired() && !isWithdrawn) noteOutcome.noteOutcome(call, choice, outcome, options, isSilenceNoted && contender.readReplacedBy() === 'later')
    if (outcome.kind === 'broken' && outcome.isClosedByPeer) await options.guard.noteConnectionLost(choice.backEnd, call)
    if (outcome.kind === 'done' && outcome.isCertain) options.guard.noteServed(outcome.isSuccess ? call : { ...call, parts: [] })
    if (outcome.kind === 'broken' && !open.hasResponded && call.attempts === 1) noteOutcome.noteUnansweredAttempt(call, options)
    return outcome
  }

  /** Ends a call that no attempt has served: with the last error response of a back end if there is one, or else with one of the gateway itself. */
  function endUnserved (): logCall.Ending {
    if (reply.hasStarted()) {
      reply.abort()
      return 'failed'
    }
    if (failedAnswer !== null) {
      reply.sendBuffered(failedAnswer.status, failedAnswer.headers, failedAnswer.body)
      return 'answered'
    }
    if (!call.mayHaveRun) {
      reply.refuse(503, lastReason, Math.round(retryAfterMs))
      return 'refused'
    }
    reply.refuse(call.isExpired() ? 504 : 502, lastReason, null)
    return call.isExpired() ? 'expired' : 'failed'
  }

  /** An attempt that is open when the handling throws may run. */
  function noteThrown (thrown: unknown): never {
    call.mayHaveRun ||= openCount > 0
    throw thrown
  }

  const ending = await serve().catch(noteThrown).finally(cancelExpiry)
  if (ending !== 'answered' && ending !== 'left') call.sized.noteUnserved()
  logCall.logCall(call, { ending, backEnd, version: stream.version, reason: lastReason, isBlocked }, options)
  return ending
}
