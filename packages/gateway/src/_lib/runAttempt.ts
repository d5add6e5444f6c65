/** Runs one attempt, from its connection to the end of its response. */
import type * as http from 'node:http'
import * as clock from '@switchridge/clock'
import * as rpc from '@switchridge/rpc'
import type * as chooseBackEnd from '../chooseBackEnd/index.js'
import type * as createBackEndTracker from '../createBackEndTracker/index.js'
import * as createEventSplitter from '../createEventSplitter/index.js'
import type * as sendAttempt from '../sendAttempt/index.js'
import type * as guards from '../types/guard.js'
import type * as gateway from '../types/index.js'
import type * as answers from './answers.js'
import * as callState from './callState.js'
import * as logCall from './logCall.js'
import * as logGivenUp from './logGivenUp.js'
import * as createMarginNotes from './createMarginNotes.js'
import * as createStreamRateBound from './createStreamRateBound.js'
import type * as callOptions from './callOptions.js'
import * as noteOutcome from './noteOutcome.js'
import * as raceAttempts from './raceAttempts.js'
import * as scheduleAfterReads from './scheduleAfterReads.js'

/** A back end's response, read to its end. */
export interface BufferedAnswer {
  readonly status: number
  readonly headers: readonly string[]
  readonly body: Buffer
}

/** How an attempt ended. */
export type AttemptOutcome =
  /**
   * Answered. `isCertain`: whether the back end has certainly written the whole response, at least one event of a stream; `isSuccess`: whether the response is
   * a success, for which the back end has read the prompt.
   */
  | { readonly kind: 'done', readonly isCertain: boolean, readonly isSuccess: boolean }
  /** No connection was established; `isRefused` if it was refused at once, no if absent. */
  | { readonly kind: 'not-sent', readonly reason: string, readonly isRefused?: boolean }
  /** The back end reported that it did not run the call. */
  | { readonly kind: 'not-run', readonly reason: string, readonly isGone: boolean }
  /** The back end answered with a server error. */
  | { readonly kind: 'failed-answer', readonly reason: string, readonly answer: BufferedAnswer }
  /**
   * The call may have run, and its response is lost or truncated; `isClosedByPeer` if the back end's side ended the connection, `isNoAnswer` if what arrived was none:
   * no HTTP, or without end.
   */
  | { readonly kind: 'broken', readonly reason: string, readonly isClosedByPeer: boolean, readonly isNoAnswer?: boolean }

/** State shared by the attempts of one stream. */
export interface StreamState {
  /** Version of the weights that began the stream, which only this version may resume; null before the first event. */
  version: number | null
  /** Whether HTTP framing marked the end of the back end's response that began the stream; null before the start. */
  isFramed: boolean | null
}

/** Connect timeout; a machine that is down never answers. */
const CONNECT_TIMEOUT_MS = 250
/** Size of the largest response that is buffered in memory before it is forwarded. */
export const MAXIMUM_BUFFERED_BYTES = 16 * 1024 * 1024
/** Size of the largest event that is buffered until it is complete; an event holds a few tokens. */
const MAXIMUM_EVENT_BYTES = 1024 * 1024
/** Timeout for the first event as a multiple of the target; after it a resumable stream is requested from another back end, too. */
const FIRST_EVENT_TIMEOUT_FACTOR = 3
/** Timeout for the next event as a multiple of the route's gap target; after it a stream is requested from another back end, too. */
const NEXT_EVENT_TIMEOUT_FACTOR = 2.5
const MINIMUM_EVENT_TIMEOUT_MS = 800

/** Lower ones are those of interim responses (RFC 9110), or none at all; Node.js reads them, and refuses to write some. */
const FIRST_FINAL_STATUS = 200
const FIRST_ERROR_STATUS = 400
const FIRST_REDIRECTION_STATUS = 300
const ERROR_REASON = 'handling failed'
const NO_MEMORY_REASON = 'no memory for the answer'
const TOO_FAST_REASON = 'stream is faster than its engine can be'
const ENDED_REASON = 'back end ended at the end of a response without framing'
const EMPTY_REASON = 'response without framing ended before its body'

/** A call that has not begun is withdrawn this long after the last time at which calls may be sent to its version. */
const WITHDRAWAL_DELAY_MS = 300

/**
 * Urgency of a call that can no longer be in time, so that engines run the others first; a higher number is less urgent, and a call without an urgency counts as
 * 5. After an outage all refused callers retry at once, and an engine admits more urgent calls first. A stream that has begun keeps its urgency, because its caller
 * is waiting for the next event.
 */
const LATE_URGENCY = 8

type Options = callOptions.CallHandlerOptions
type ReceivedAnswer = Extract<sendAttempt.AttemptStart, { kind: 'answer' }>
type AnsweredHead = Extract<gateway.AnswerHead, { kind: 'answered' }>

/** A choice for which a permit was granted if it needs one. */
export interface PermittedChoice extends chooseBackEnd.Choice {
  /** Milliseconds within which the connection must be established, because the permit expires then; absent if only the usual time-out applies. */
  readonly connectWithinMs?: number
}

/**
 * Creates the state shared by the attempts of one stream.
 *
 * @returns The state before the first attempt.
 */
export function createStreamState (): StreamState {
  return { version: null, isFramed: null }
}

/**
 * Runs one attempt.
 *
 * @param call - The call; its number of attempts and `mayHaveRun` are updated.
 * @param reply - Receives a successful response.
 * @param stream - State shared by the attempts of a stream.
 * @param choice - The back end.
 * @param open - The attempt as the back end records know it.
 * @param options - Protocol, records and clock.
 * @param contender - The attempt among those of the call that are open at the same time. A silent attempt of a resumable stream requests another one, and is waited for.
 * @returns How the attempt ended.
 */
export async function runAttempt (call: callState.CallState, reply: answers.Reply, stream: StreamState, choice: PermittedChoice, open: createBackEndTracker.OpenAttempt, options: Options, contender: raceAttempts.Contender = raceAttempts.SOLE_CONTENDER): Promise<AttemptOutcome> {
  const { head, route } = call
  const run: answers.Run = { resumesAfter: reply.hasStarted() ? reply.readLastEventId() : head.lastEventId }
  const splitter = createEventSplitter.createEventSplitter(run.resumesAfter)
  const margin = createMarginNotes.createMarginNotes(head.requestId, choice, open.sentAt, options)
  let attempt: sendAttempt.Attempt
  try {
    attempt = send()
  } catch (thrown) {
    logCall.logAttemptError(head.requestId, choice.backEnd.id, thrown, options)
    return { kind: 'not-sent', reason: ERROR_REASON }
  }
  let hasBeenSent = false
  let isAborted = false
  let isDropped = false
  let givenUpReason: logGivenUp.GivenUpReason | null = null
  const buffer = options.answerBuffers?.open(() => {
    isDropped = true
    abort()
  })
  contender.setAbort(abort)
  if (call.isCallerGone() || call.isExpired()) abort()
  const waitsForDeadline = !(route.kind === 'stream' && route.isResumable)
  const eventTimer = createEventTimer(waitsForDeadline ? null : Math.max(MINIMUM_EVENT_TIMEOUT_MS, FIRST_EVENT_TIMEOUT_FACTOR * route.targetMs), contender.requestNext)
  const cancelWithdrawal = scheduleWithdrawal()
  return await follow().catch(fail)

  function send (): sendAttempt.Attempt {
    return options.sendAttempt({
      address: choice.backEnd.address,
      method: head.method,
      path: head.path,
      headers: options.protocol.formatAttempt(head, {
        backEnd: choice.backEnd.id,
        remainingMs: Math.floor(call.deadline.remainingMs()),
        tenant: call.tenant,
        urgency: !reply.hasStarted() && isLate(call, options.now()) ? LATE_URGENCY : null,
        version: choice.expectedVersion,
        lastEventId: run.resumesAfter,
        bodyBytes: call.body === null ? null : call.body.length
      }),
      body: call.body,
      connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, choice.connectWithinMs ?? CONNECT_TIMEOUT_MS),
      mustSendInTime: choice.connectWithinMs !== undefined,
      onConnect: (tookMs) => {
        options.tracker.noteConnect(choice.backEnd.id, tookMs)
        margin.noteConnect()
      }
    })
  }

  /** Waits for the answer, and passes it on. */
  async function follow (): Promise<AttemptOutcome> {
    const start = await attempt.start
    if (start.kind === 'not-sent') {
      if (!isAborted) options.tracker.noteConnect(choice.backEnd.id, CONNECT_TIMEOUT_MS)
      return finish(start)
    }
    hasBeenSent = true
    call.attempts += 1
    if (start.kind === 'no-answer') {
      margin.noteNoAnswer()
      return finish(broken(contender.readReplacedBy() === 'later' ? 'no first event in time' : start.reason, start.isClosedByPeer))
    }
    const answer = options.protocol.readAnswer(start.response, head.requestId)
    if (isSuccess(answer)) {
      // An engine answers so only once it has begun the call.
      cancelWithdrawal()
      margin.noteAnswer(answer.version)
    }
    noteRate(answer, start.response)
    noteBackoff(answer, start.response)
    if (answer.kind !== 'foreign' && options.protocol.announcesLeaving(start.response)) options.leavers.noteResponse(choice.backEnd)
    if (answer.kind === 'not-run') return finish({ kind: 'not-run', reason: `${answer.status} ${answer.reason}`, isGone: answer.reason === 'wrong-instance' && choice.expectedVersion === null })
    if (answer.kind === 'foreign') return finish(broken(answer.reason, false))
    if (answer.status < FIRST_FINAL_STATUS) return finish(broken(`status ${answer.status} is not that of a final response`, false))
    if (!answer.isStream || answer.status >= 300) return finish(await receiveBuffered(answer, start))
    if (isOtherVersion(answer)) return finish(broken(`version ${answer.version ?? ''} instead of ${stream.version ?? ''}`, false))
    return finish(await relayStream(start, answer))
  }

  /** Ends an attempt whose handling threw, as its back end's failure: the call goes on elsewhere. */
  function fail (thrown: unknown): AttemptOutcome {
    logCall.logAttemptError(head.requestId, choice.backEnd.id, thrown, options)
    return finish(hasBeenSent ? broken(ERROR_REASON, false) : { kind: 'not-sent', reason: ERROR_REASON })
  }

  /**
   * Records the rate limit that a response advertises. A response to another call, or from another process at the address, is ignored. Only a success
   * may remove a limit, because a failing back end may omit it from its error responses.
   */
  function noteRate (read: gateway.AnswerHead, response: http.IncomingMessage): void {
    if (read.kind === 'foreign' || (read.kind === 'not-run' && read.reason === 'wrong-instance')) return
    const rate = options.protocol.readAdvertisedRate(response)
    if (isSuccess(read) || rate.kind !== 'none') options.limiter.noteResponse(choice.backEnd, rate, open.sentAt)
  }

  /** Records for how long the back end wants no calls; a response to another call, or from another process at the address, is ignored. */
  function noteBackoff (read: gateway.AnswerHead, response: http.IncomingMessage): void {
    if (read.kind === 'foreign' || (read.kind === 'not-run' && read.reason === 'wrong-instance')) return
    options.backoffs.noteResponse(choice.backEnd, options.protocol.readBackoffRequest(response), isSuccess(read))
  }

  function isOtherVersion ({ version }: AnsweredHead): boolean {
    return version !== null && stream.version !== null && version !== stream.version
  }

  /** Aborts the attempt from this side. */
  function abort (): void {
    isAborted = true
    attempt.abort()
  }

  function finish (outcome: AttemptOutcome): AttemptOutcome {
    eventTimer.stop()
    cancelWithdrawal()
    buffer?.close()
    const received = attempt.readReceived?.() ?? null
    const reason = givenUpReason ?? (isDropped ? 'no-memory' : received?.violation ?? null)
    attempt.abort()
    if (outcome.kind !== 'broken' || reason === null) return outcome
    logGivenUp.logGivenUp({ id: head.requestId, backEnd: choice.backEnd.id, reason, received }, options)
    return { ...outcome, isNoAnswer: reason !== 'no-memory' }
  }

  function giveUp (reason: logGivenUp.GivenUpReason, text: string): AttemptOutcome {
    givenUpReason = reason
    return broken(text, false)
  }

  /** Withdraws the call from an engine that has not begun it by the time at which its version must not begin calls any more. */
  function scheduleWithdrawal (): () => void {
    if (choice.mustBeginBy === Infinity) return () => {}
    return scheduleAfterReads.scheduleAfterReads(options.at, choice.mustBeginBy + WITHDRAWAL_DELAY_MS, () => { if (!open.hasResponded) abort() })
  }

  function noteResponse (): void {
    open.hasResponded = true
    if (call.firstEventAt !== null) return
    call.firstEventAt = options.now()
    if (call.attempts === 1) noteOutcome.notePrediction(call, options)
  }

  function broken (reason: string, isClosedByPeer: boolean): AttemptOutcome {
    call.mayHaveRun = true
    return { kind: 'broken', reason, isClosedByPeer: isClosedByPeer && !isAborted }
  }

  async function findEnd ({ isFramed }: Pick<ReceivedAnswer, 'isFramed'>): Promise<guards.ResponseEnd> {
    return isFramed ? 'whole' : await options.guard.checkEnd(choice.backEnd)
  }

  async function receiveBuffered (answered: AnsweredHead, received: ReceivedAnswer): Promise<AttemptOutcome> {
    noteResponse()
    const body = await rpc.readBoundedBody(received.response, MAXIMUM_BUFFERED_BYTES, buffer === undefined ? {} : { mayHold: buffer.note })
    if (body.kind === 'too-large') return giveUp('answer-too-large', `answer exceeds ${MAXIMUM_BUFFERED_BYTES} bytes`)
    if (body.kind === 'over-framed') return giveUp('framing-too-large', describeFraming(body.allowedBytes))
    if (body.kind === 'not-held' || isDropped) return giveUp('no-memory', NO_MEMORY_REASON)
    if (body.kind !== 'whole' || !received.isWhole()) return broken(`answer ${body.kind === 'whole' ? 'reset' : body.kind}`, true)
    if (!received.isFramed && body.body.length === 0 && rpc.expectsBody(answered.status)) return broken(EMPTY_REASON, true)
    const end = await findEnd(received)
    if (end === 'truncated') return broken(ENDED_REASON, true)
    call.mayHaveRun = true
    if (reply.hasStarted()) return broken(`status ${answered.status} instead of a stream`, false)
    const buffered = { status: answered.status, headers: answered.headers, body: body.body }
    if (answered.status >= 500) return { kind: 'failed-answer', reason: `status ${answered.status}`, answer: buffered }
    if (!contender.claim()) return broken('overtaken', false)
    call.hasUnframedAnswer = !received.isFramed
    reply.sendBuffered(buffered.status, buffered.headers, buffered.body)
    return { kind: 'done', isCertain: end === 'whole', isSuccess: answered.status < FIRST_REDIRECTION_STATUS }
  }

  async function relayStream ({ response, isFramed, isWhole }: ReceivedAnswer, answered: AnsweredHead): Promise<AttemptOutcome> {
    call.mayHaveRun = true
    const nextEventMs = Math.max(MINIMUM_EVENT_TIMEOUT_MS, NEXT_EVENT_TIMEOUT_FACTOR * route.gapTargetMs)
    return await new Promise<AttemptOutcome>((resolve, reject) => {
      let hasResponseEnded = false
      /** Whether bytes arrived after the attempt was aborted: the end that follows them must not be passed on. */
      let hasSkipped = false
      let isHeld = false
      const pacer = rpc.paceMessage(response)
      const framing = rpc.createFramingBound(response)
      const rate = createStreamRateBound.createStreamRateBound(call.figures, options.now)
      /** Whether handling the response threw: what still arrives of it must not be passed on. */
      let hasThrown = false
      response.on('data', (bytes: Buffer) => {
        if (hasThrown) return
        try {
          passOn(bytes)
        } catch (thrown) {
          hasThrown = true
          reject(thrown)
        }
      })
      response.on('end', () => {
        if (hasThrown) return
        hasResponseEnded = true
        endStream().catch(reject)
      })
      response.on('error', () => { if (!hasResponseEnded) failStream('stream broken') })
      response.on('close', () => { if (!hasResponseEnded) failStream('stream closed') })

      function passOn (bytes: Buffer): void {
        if (isAborted) {
          hasSkipped = true
          return
        }
        if (!framing.accept(bytes.length)) {
          giveUpStream('framing-too-large', describeFraming(framing.allowedBytes))
          return
        }
        if (!rate.accept(bytes.length)) {
          giveUpStream('stream-too-fast', TOO_FAST_REASON)
          return
        }
        const whole = readDeliverable(bytes)
        if (!mayHold()) return
        if (whole === null) return
        if (!reply.mayPassOn(run)) {
          failStream('the answer has begun with another run')
          return
        }
        if (!claimStream()) return
        noteResponse()
        if (!isHeld) eventTimer.restart(nextEventMs)
        if (!reply.hasStarted()) beginStream()
        const isRead = reply.write(run, whole, route.isResumable ? splitter.lastEventId() : null)
        if (!isRead && !isHeld) holdUntilRead()
      }

      /** A caller that doesn't read says nothing about the engine, so no event is expected meanwhile. */
      function holdUntilRead (): void {
        isHeld = true
        pacer.hold()
        eventTimer.stop()
        reply.onDrain(() => {
          if (response.destroyed) return
          isHeld = false
          eventTimer.restart(nextEventMs)
          pacer.release()
        })
      }

      /** Returns what may be passed on: whole events of a resumable stream. The end of a stream without framing must be the end of an event, so its events are split, too. */
      function readDeliverable (bytes: Buffer): Buffer | null {
        const events = route.isResumable || !isFramed ? splitter.push(bytes) : null
        return route.isResumable ? events : bytes
      }

      /** Gives the stream up if an event is too large to be held until it is complete. */
      function mayHold (): boolean {
        const isTooLarge = splitter.partialBytes() > MAXIMUM_EVENT_BYTES
        if (!isTooLarge && (buffer?.note(splitter.heldBytes()) ?? true)) return true
        if (isTooLarge) giveUpStream('event-too-large', `event exceeds ${MAXIMUM_EVENT_BYTES} bytes`)
        else giveUpStream('no-memory', NO_MEMORY_REASON)
        return false
      }

      function giveUpStream (reason: logGivenUp.GivenUpReason, text: string): void {
        abort()
        hasSkipped = true
        givenUpReason = reason
        failStream(text)
      }

      async function endStream (): Promise<void> {
        eventTimer.stop()
        if (hasSkipped || !isWhole() || splitter.hasPartial() || (stream.isFramed === true && !isFramed)) {
          failStream('stream cut')
          return
        }
        if (!isFramed && !open.hasResponded) {
          failStream(EMPTY_REASON)
          return
        }
        const end = await findEnd({ isFramed })
        if (end === 'truncated') {
          failStream(ENDED_REASON)
          return
        }
        if (!reply.mayPassOn(run) || !claimStream()) {
          failStream('stream ended')
          return
        }
        call.hasUnframedAnswer = !isFramed
        if (!reply.hasStarted()) beginStream()
        reply.endStream(run)
        resolve({ kind: 'done', isCertain: end === 'whole' && open.hasResponded, isSuccess: true })
      }

      /** Makes this attempt the one that serves the stream, whose version is the one that resumes it from now on; returns false if another one has replaced it. */
      function claimStream (): boolean {
        if (!contender.claim()) return false
        stream.version = answered.version ?? stream.version
        return true
      }

      function beginStream (): void {
        stream.isFramed = isFramed
        reply.beginStream(run, answered.status, answered.headers)
      }

      function failStream (reason: string): void {
        resolve(broken(isDropped ? NO_MEMORY_REASON : contender.readReplacedBy() === 'later' ? 'no event in time' : reason, true))
      }
    })
  }
}

function describeFraming (allowedBytes: number): string {
  return `framing of the answer exceeds it by more than ${allowedBytes} bytes`
}

function isSuccess (answer: gateway.AnswerHead): answer is AnsweredHead {
  return answer.kind === 'answered' && answer.status >= FIRST_FINAL_STATUS && answer.status < FIRST_ERROR_STATUS
}

/** Whether the first event can no longer be in time, not counting the time in which the call's body arrived. */
function isLate (call: callState.CallState, now: number): boolean {
  return callState.readElapsedWithoutUploadMs(call, now) > call.route.targetMs
}

interface EventTimer {
  /** Sets the timeout for the next event; has no effect on a timer that was created without a timeout. */
  readonly restart: (timeoutMs: number) => void
  readonly stop: () => void
}

/**
 * Calls `onSilence` whenever a response has brought no event within a timeout since the last one or the last call. Without a timeout for the first event it is never
 * called.
 */
function createEventTimer (firstTimeoutMs: number | null, onSilence: () => void): EventTimer {
  let cancel = (): void => {}

  function start (timeoutMs: number): void {
    const timer = setTimeout(() => { cancel = clock.runAfterReads(() => { expire(timeoutMs) }) }, Math.min(timeoutMs, clock.LONGEST_TIMER_MS))
    cancel = () => { clearTimeout(timer) }
  }

  function expire (timeoutMs: number): void {
    start(timeoutMs)
    onSilence()
  }

  if (firstTimeoutMs !== null) start(firstTimeoutMs)
  return {
    stop: () => { cancel() },
    restart: (timeoutMs) => {
      if (firstTimeoutMs === null) return
      cancel()
      start(timeoutMs)
    }
  }
}
