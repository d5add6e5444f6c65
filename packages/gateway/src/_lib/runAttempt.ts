/** One attempt: from its connection to the end of its answer. */
import type * as http from 'node:http'
import type * as chooseBackEnd from '../chooseBackEnd/index.js'
import type * as createBackEndBook from '../createBackEndBook/index.js'
import * as readBody from '../readBody/index.js'
import type * as relayEvents from '../relayEvents/index.js'
import * as sendAttempt from '../sendAttempt/index.js'
import type * as gateway from '../types/index.js'
import type * as answers from './answers.js'
import * as callState from './callState.js'
import type * as callOptions from './callOptions.js'

/** A back end's answer, read to its end. */
export interface WholeAnswer {
  readonly status: number
  readonly headers: readonly string[]
  readonly body: Buffer
  /** Whether it told its own end. */
  readonly isFramed: boolean
}

/** How an attempt ended. */
export type AttemptOutcome =
  | { readonly kind: 'done' }
  /** The connection never stood. */
  | { readonly kind: 'not-sent', readonly reason: string }
  /** The back end says that it did not run the call. */
  | { readonly kind: 'not-run', readonly reason: string, readonly isGone: boolean }
  /** The back end answered with a failure of its own. */
  | { readonly kind: 'failed-answer', readonly reason: string, readonly answer: WholeAnswer }
  /** The call may have run, and its answer is lost or cut short; `isCut` when the other side ended the connection. */
  | { readonly kind: 'broken', readonly reason: string, readonly isCut: boolean }

/** What attempts of one stream share. */
export interface StreamState {
  readonly splitter: relayEvents.EventSplitter
  /** Version of the weights that began the stream; only it may go on. */
  version: number | null
  /** Whether the answer that was begun tells its own end; null before it was begun. */
  isFramed: boolean | null
}

/** Milliseconds for a connection to stand; a dark machine never answers. */
const CONNECT_MS = 250
/** Largest answer that is held in memory before it is passed on. */
const MAXIMUM_WHOLE_BYTES = 16 * 1024 * 1024
/** Milliseconds without a first event, in parts of the target, after which a repeatable stream is asked for elsewhere. */
const FIRST_EVENT_PATIENCE = 3
/** Milliseconds without a next event, in parts of the longest pause in time, after which a stream is resumed elsewhere. */
const NEXT_EVENT_PATIENCE = 2.5
const MINIMUM_PATIENCE_MS = 800

const STATUS_FAILED = 400

/** The last call for a version is sent so long before one that has not begun is taken back. */
const BEGIN_GRACE_MS = 300

/**
 * A call that can no longer be in time lets those go first that can: after a return everybody who was refused comes back at once, and
 * an engine lets in the more urgent ones first; without a figure a call counts as 5. A stream that has begun is not put back: its caller
 * waits for the next event.
 */
const LATE_URGENCY = 8

type Options = callOptions.CallHandlerOptions
type BegunAnswer = Extract<sendAttempt.AttemptStart, { kind: 'answer' }>
type AnsweredHead = Extract<gateway.AnswerHead, { kind: 'answered' }>

/**
 * Creates what the attempts of one stream share.
 *
 * @param splitter - Splits the events of all attempts.
 * @returns The state before the first attempt.
 */
export function createStreamState (splitter: relayEvents.EventSplitter): StreamState {
  return { splitter, version: null, isFramed: null }
}

/**
 * Runs one attempt.
 *
 * @param call - The call; its count of attempts and `mayHaveRun` are kept.
 * @param reply - Where a good answer goes.
 * @param stream - What the attempts of a stream share.
 * @param choice - The back end.
 * @param open - The attempt in the record of loads.
 * @param options - Protocol and clock.
 * @returns How the attempt ended.
 */
export async function runAttempt (call: callState.CallState, reply: answers.Reply, stream: StreamState, choice: chooseBackEnd.Choice, open: createBackEndBook.OpenAttempt, options: Options): Promise<AttemptOutcome> {
  const { head, route } = call
  const attempt = sendAttempt.sendAttempt({
    address: choice.backEnd.address,
    method: head.method,
    path: head.path,
    headers: options.protocol.formatAttempt(head, {
      backEnd: choice.backEnd.id,
      remainingMs: Math.floor(call.deadline.remainingMs()),
      tenant: call.tenant,
      urgency: !reply.hasBegun() && isLate(call, options.now()) ? LATE_URGENCY : null,
      version: choice.expectedVersion,
      lastEventId: stream.splitter.lastEventId(),
      bodyBytes: call.body === null ? null : call.body.length
    }),
    body: call.body,
    connectMs: CONNECT_MS,
    onConnect: (tookMs) => { options.book.noteConnect(choice.backEnd.id, tookMs) }
  })
  let isGivenUp = false
  call.onEnd(giveUp)
  const isPatient = !(route.kind === 'stream' && route.isResumable)
  const patience = createPatience(isPatient ? null : Math.max(MINIMUM_PATIENCE_MS, FIRST_EVENT_PATIENCE * route.targetMs), giveUp)
  const cancelBegin = limitBegin()
  const start = await attempt.start
  if (start.kind === 'not-sent') {
    options.book.noteConnect(choice.backEnd.id, CONNECT_MS)
    return end({ kind: 'not-sent', reason: start.reason })
  }
  call.attempts += 1
  if (start.kind === 'no-answer') return end(broken(patience.isOver() ? 'no first event in time' : start.reason, start.isCut))
  const answer = options.protocol.readAnswer(start.response, head.requestId)
  noteRate(answer, start.response)
  if (answer.kind === 'not-run') return end({ kind: 'not-run', reason: `${answer.status} ${answer.reason}`, isGone: answer.reason === 'wrong-instance' && choice.expectedVersion === null })
  if (answer.kind === 'foreign') return end(broken('answer to another call', false))
  if (!answer.isStream || answer.status >= 300) return end(await receiveWhole(answer, start))
  stream.version = answer.version ?? stream.version
  const relayed = await relay(start, answer)
  return end(relayed)

  /**
   * An answer to another call, or of another process at the address, tells nothing. Only a success may end a limit: a back end in trouble may answer with errors
   * that leave it out.
   */
  function noteRate (read: gateway.AnswerHead, response: http.IncomingMessage): void {
    if (read.kind === 'foreign' || (read.kind === 'not-run' && read.reason === 'wrong-instance')) return
    const rate = options.protocol.readNamedRate(response)
    const isSuccess = read.kind === 'answered' && read.status < STATUS_FAILED
    if (isSuccess || rate.kind !== 'none') options.limiter.noteAnswer(choice.backEnd, rate, open.sentAt)
  }

  /** Ends the attempt from this side. */
  function giveUp (): void {
    isGivenUp = true
    attempt.abort()
  }

  function end (outcome: AttemptOutcome): AttemptOutcome {
    patience.stop()
    cancelBegin()
    attempt.abort()
    return outcome
  }

  /** Takes the call back from an engine that has not begun it before its version may no longer serve. */
  function limitBegin (): () => void {
    if (choice.beginsBy === Infinity) return () => {}
    return options.at(choice.beginsBy + BEGIN_GRACE_MS, () => { if (!open.hasBegun) giveUp() })
  }

  function noteBegun (): void {
    open.hasBegun = true
    call.hasBegun = true
    if (call.firstEventAt !== null) return
    call.firstEventAt = options.now()
    if (call.attempts === 1 && call.predictedMs !== null) options.errorsOf(call.service).note(call.predictedMs, call.firstEventAt - call.receivedAt)
  }

  function broken (reason: string, isCut: boolean): AttemptOutcome {
    call.mayHaveRun = true
    return { kind: 'broken', reason, isCut: isCut && !isGivenUp }
  }

  async function receiveWhole (answered: AnsweredHead, begun: BegunAnswer): Promise<AttemptOutcome> {
    noteBegun()
    const body = await readBody.readBody(begun.response, MAXIMUM_WHOLE_BYTES)
    if (body.kind !== 'whole' || !begun.isWhole()) return broken(`answer ${body.kind === 'whole' ? 'reset' : body.kind}`, body.kind !== 'too-large')
    call.mayHaveRun = true
    if (reply.hasBegun()) return broken(`status ${answered.status} instead of a stream`, false)
    const whole = { status: answered.status, headers: answered.headers, body: body.body, isFramed: begun.isFramed }
    if (answered.status >= 500) return { kind: 'failed-answer', reason: `status ${answered.status}`, answer: whole }
    reply.sendWhole(whole.status, whole.headers, whole.body, whole.isFramed)
    return { kind: 'done' }
  }

  async function relay ({ response, isFramed, isWhole }: BegunAnswer, answered: AnsweredHead): Promise<AttemptOutcome> {
    call.mayHaveRun = true
    const nextEventMs = Math.max(MINIMUM_PATIENCE_MS, NEXT_EVENT_PATIENCE * route.gapTargetMs)
    return await new Promise<AttemptOutcome>((resolve) => {
      response.on('data', (bytes: Buffer) => {
        const whole = route.isResumable ? stream.splitter.push(bytes) : bytes
        if (whole === null) return
        noteBegun()
        patience.restart(nextEventMs)
        if (!reply.hasBegun()) beginStream()
        if (reply.write(whole)) return
        response.pause()
        reply.onDrain(() => { response.resume() })
      })
      response.on('end', () => {
        if (!isWhole() || stream.splitter.hasPartial() || (stream.isFramed === true && !isFramed)) {
          breakStream('stream cut')
          return
        }
        if (!reply.hasBegun()) beginStream()
        reply.endStream()
        resolve({ kind: 'done' })
      })
      response.on('error', () => { breakStream('stream broken') })
      response.on('close', () => { breakStream('stream closed') })

      function beginStream (): void {
        stream.isFramed = isFramed
        reply.beginStream(answered.status, answered.headers, isFramed)
      }

      function breakStream (reason: string): void {
        stream.splitter.dropPartial()
        resolve(broken(patience.isOver() ? 'no event in time' : reason, true))
      }
    })
  }
}

/** Whether its first event can no longer be in time, counted from the caller's first try. */
function isLate (call: callState.CallState, now: number): boolean {
  return callState.readSpentMs(call, now) > call.route.targetMs
}

interface Patience {
  readonly restart: (milliseconds: number) => void
  readonly stop: () => void
  readonly isOver: () => boolean
}

/** Ends an attempt that says nothing for too long; without a limit it waits for the deadline. */
function createPatience (milliseconds: number | null, end: () => void): Patience {
  let isOver = false
  let timer: NodeJS.Timeout | null = null

  function start (limit: number): void {
    timer = setTimeout(() => {
      isOver = true
      end()
    }, limit)
  }

  if (milliseconds !== null) start(milliseconds)
  return {
    isOver: () => isOver,
    stop: () => { if (timer !== null) clearTimeout(timer) },
    restart: (limit) => {
      if (milliseconds === null) return
      if (timer !== null) clearTimeout(timer)
      start(limit)
    }
  }
}
