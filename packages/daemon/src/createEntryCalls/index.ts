/** Handles callers' requests: retries failed attempts and ends each call with one of three outcomes: answered, not run or unknown. */
import * as crypto from 'node:crypto'
import type * as http from 'node:http'
import type * as Koa from 'koa'
import type * as clock from '@switchridge/clock'
import * as types from '@switchridge/types'
import * as gateway from '@switchridge/gateway'
import * as routing from '@switchridge/routing'
import * as rpc from '@switchridge/rpc'
import type * as observability from '@switchridge/observability'
import * as createClaims from '../createClaims/index.js'
import type * as createEntryQuarantine from '../createEntryQuarantine/index.js'
import type * as createDispatcher from '../createDispatcher/index.js'
import * as sendAttempt from '../sendAttempt/index.js'
import * as callHeaders from '../_lib/callHeaders.js'
import * as entryCall from '../_lib/entryCall.js'
import * as registerCall from '../_lib/registerCall.js'
import * as sendStream from '../_lib/sendStream.js'

/** Options of {@link createEntryCalls}. */
export interface EntryCallsOptions {
  readonly table: () => types.Table
  readonly dispatcher: createDispatcher.Dispatcher
  readonly loads: routing.BackendLoads
  readonly health: routing.BackendHealth
  readonly limiter: routing.AccountLimiter
  readonly claims: createClaims.Claims
  /** Called with a backend server that refused an attempt because it leaves. */
  readonly onLeaving: (backend: types.MemberFacts) => void
  /** Called with a backend server at whose address another process refused an attempt. */
  readonly onEnded: (backend: types.MemberFacts) => void
  readonly send: (call: sendAttempt.OutgoingCall, backend: types.MemberFacts, signal: AbortSignal) => Promise<sendAttempt.AttemptResult>
  readonly logger: observability.Logger
  readonly metrics: observability.StatsdMetrics
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Schedules an action at a time of the clock. */
  readonly at: clock.ScheduleAt
  readonly guard: createEntryQuarantine.EntryGuard
  readonly register: observability.CallRegister
  /** Monotonic time in milliseconds at which the process ends the calls in progress; Infinity before it drains. */
  readonly endsAt: () => number
}

/** The middleware and its calls in progress. */
export interface EntryCalls {
  readonly middleware: Koa.Middleware
  readonly inProgress: () => number
  /** Ends all calls whose response has not begun: as not run where that is certain, or else as unknown. */
  readonly endAll: () => void
  readonly counts: Readonly<Record<string, number>>
}

const SERVICE_PATH = /^\/services\/([\w.-]+)(?:\/models\/([\w.-]+))?(\/.*)?$/
const RETRY_AFTER_SECONDS = 1
/** Memory that the bodies of all calls may take, sixteen of the largest. */
const MAXIMUM_HELD_BODY_BYTES = 16 * types.MAXIMUM_CALL_BODY_BYTES
const NO_MEMORY_REASON = 'no-memory'
/** Retry time of a caller whose body can't be held; another entry node may have memory. */
const NO_MEMORY_RETRY_MS = 1000
/** Attempts of a call, without the first refusal on account of each process that leaves or has ended. */
const MAXIMUM_ATTEMPTS = 5
/** The process that refuses the call is about to end. */
const LEAVING_REASON = 'leaving'
/** The process that the call was meant for has ended. */
const ENDED_REASON = 'restarted'
/** Refusal reasons that are no evidence of a failing server. */
const NEUTRAL_REFUSALS = new Set(['full', LEAVING_REASON, ENDED_REASON, 'not-serving', 'version-not-loaded', 'deadline'])
/** The call is blocked because back ends terminated while running it. */
const FIRST_REDIRECTION_STATUS = 300
const BLOCKED_REASON = 'blocked'

interface PreparedCall {
  readonly call: sendAttempt.OutgoingCall
  readonly service: types.ServiceRow
  /** Calls with the same text preferably go to the same backend server, as far as its load allows; empty for no preference. */
  readonly affinity: string
  /** Idempotency key; empty when the caller sent none or the call is repeatable anyway. */
  readonly key: string
}

/** An attempt whose response headers have not arrived yet. */
interface PendingAttempt {
  readonly call: sendAttempt.OutgoingCall
  readonly end: () => void
}

type FailedAttempt = Exclude<sendAttempt.AttemptResult, { kind: 'answered' }>

/** Why a call is not sent again after a failed attempt. */
type RepeatObstacle = 'not-repeatable' | 'cancelled' | 'deadline' | 'attempts' | 'budget'

/** Result of a call without an answer. */
type FinalOutcome = FailedAttempt & {
  /** For a refused call, the time after which it can be retried, if known. */
  readonly retryAfterMs?: number
  /** Attempts that were sent. */
  readonly attempts?: number
  readonly obstacle?: RepeatObstacle
}

/**
 * Creates the middleware for `/services/...`.
 *
 * @param options - Table, dispatcher and the function that sends an attempt.
 * @returns The middleware.
 */
export function createEntryCalls (options: EntryCallsOptions): EntryCalls {
  const budgets = new Map<types.ServiceName, routing.RetryBudget>()
  const counts: Record<string, number> = {}
  const heldBytes = gateway.createHeldBytes({ maximumBytes: MAXIMUM_HELD_BODY_BYTES, now: options.now })
  let inProgress = 0
  const pendingAttempts = new Set<PendingAttempt>()
  /** For calls whose response may not have begun. */
  const endings = new Set<() => void>()
  options.guard.onBlocked((isBlocked) => {
    for (const { call, end } of pendingAttempts) if (isBlocked(entryCall.describeCall(call))) end()
  })

  function count (name: string): void {
    counts[name] = (counts[name] ?? 0) + 1
    options.metrics.increment(`calls.${name}`)
  }

  async function handle (context: Koa.Context, match: RegExpExecArray): Promise<void> {
    const requestId = context.get(callHeaders.REQUEST_ID_HEADER) || crypto.randomUUID()
    context.set(callHeaders.REQUEST_ID_HEADER, requestId)
    registerCall.registerCall(options.register, context, requestId)
    const prepared = await prepare(context, match, requestId)
    if (prepared === null) return
    const startedAt = options.now()
    const abort = new AbortController()
    const abortCall = (): void => { abort.abort() }
    const end = (): void => { if (!context.res.headersSent) abort.abort(LEAVING_REASON) }
    context.res.once('close', abortCall)
    endings.add(end)
    try {
      if (prepared.key === '') await runOnce(context, prepared, abort.signal, null)
      else await runUnderKey(context, prepared, abort.signal)
    } finally {
      endings.delete(end)
      context.res.off('close', abortCall)
    }
    options.metrics.timing('calls.time', options.now() - startedAt)
  }

  async function runOnce (context: Koa.Context, prepared: PreparedCall, signal: AbortSignal, claim: createClaims.Claim | null): Promise<void> {
    const outcome = await runAttempts(context, prepared, signal, claim)
    if (outcome === 'answered') return
    if (outcome.kind === 'not-run') await claim?.release()
    sendFailure(context, outcome)
  }

  /** Runs a call with an idempotency key only under a claim that the platform confirmed. */
  async function runUnderKey (context: Koa.Context, prepared: PreparedCall, signal: AbortSignal): Promise<void> {
    const { call, key } = prepared
    const result = await options.claims.acquire(call.account.id, call.service, key)
    switch (result.kind) {
      case 'taken':
        await runOnce(context, prepared, signal, result.claim)
        break
      case 'answered':
        replay(context, result.answer)
        break
      case 'held':
        sendFailure(context, { kind: 'unknown', reason: 'idempotency-key-held', load: undefined })
        break
      case 'unavailable':
        sendFailure(context, { kind: 'not-run', reason: 'no-claim', load: undefined })
    }
  }

  /** Sends the stored answer of an earlier request with the same key. */
  function replay (context: Koa.Context, answer: createClaims.StoredAnswer): void {
    count('replayed')
    context.status = answer.status
    context.type = answer.contentType
    context.set(callHeaders.OUTCOME_HEADER, 'answered')
    context.set(callHeaders.REPLAYED_HEADER, 'true')
    if (answer.version !== '') context.set(callHeaders.VERSION_HEADER, answer.version)
    context.body = answer.body
  }

  async function prepare (context: Koa.Context, match: RegExpExecArray, requestId: string): Promise<PreparedCall | null> {
    const table = options.table()
    const service = table.services.find((candidate) => candidate.id === match[1])
    if (service === undefined) return rejectByHead(context, 404, `no service "${match[1] ?? ''}" in the table`)
    const row = match[2] ?? ''
    if (service.kind === 'engine' && !table.models.some((model) => model.id === row && model.service === service.id)) {
      return rejectByHead(context, 404, `no model "${row}" of service "${service.id}" in the table`)
    }
    const account = entryCall.findAccount(table, context.get('authorization'))
    if (account === undefined) return rejectByHead(context, 401, 'the API key is missing or unknown')
    const waitMs = options.limiter.take(account.id, account.callsPerSecond)
    if (waitMs > 0) return rejectOverLimit(context, waitMs)
    const deadlineAt = options.now() + entryCall.computeTimeoutMs(context, service)
    const body = await readBody(context)
    if (body === null) return null
    if (deadlineAt > options.endsAt()) {
      sendFailure(context, { kind: 'not-run', reason: LEAVING_REASON, load: undefined, retryAfterMs: 0 })
      return null
    }
    const headers = { ...callHeaders.selectForwardedHeaders(context.headers), [callHeaders.REQUEST_ID_HEADER]: requestId }
    const path = (match[3] ?? '/') + context.search
    const call = { service: service.id, row, account, method: context.method, path, headers, body, isRepeatable: entryCall.isRepeatable(service, context.method), deadlineAt }
    const key = call.isRepeatable ? '' : context.get(callHeaders.IDEMPOTENCY_KEY_HEADER)
    return { call, service, affinity: context.get(callHeaders.PROMPT_PREFIX_HEADER), key }
  }

  /** Reads the body of a call, which is held until its response is closed; null if it was rejected. If memory is short, bodies that have stalled are given up first. */
  async function readBody (context: Koa.Context): Promise<Buffer | null> {
    let isDropped = false
    let drop = (): void => {}
    const dropped = new Promise<null>((resolve) => { drop = () => { resolve(null) } })
    const holding = heldBytes.open(({ bytes, stalledMs }) => {
      options.logger.warn('call-dropped', { request: String(context.response.get(callHeaders.REQUEST_ID_HEADER)), phase: 'upload', bytes, stalledMs: Math.round(stalledMs) })
      isDropped = true
      drop()
    })
    context.res.once('close', holding.close)
    const read = await Promise.race([rpc.readBody(context, types.MAXIMUM_CALL_BODY_BYTES, (heldBytes) => !isDropped && holding.noteUpload(heldBytes)), dropped])
    if (read?.ok === true) {
      holding.noteRunning()
      return read.value
    }
    if (read === null) {
      context.res.shouldKeepAlive = false
      return reject(context, 408, 'the request body stalled')
    }
    if (!(read.error instanceof types.UnavailableError)) return reject(context, 413, read.error.message)
    sendFailure(context, { kind: 'not-run', reason: NO_MEMORY_REASON, load: undefined, retryAfterMs: NO_MEMORY_RETRY_MS })
    return null
  }

  /** Rejects a request because of the caller's own mistake or limit; nothing ran. */
  function reject (context: Koa.Context, status: number, message: string): null {
    context.req.resume()
    context.status = status
    context.set(callHeaders.OUTCOME_HEADER, 'not-run')
    context.body = { outcome: 'not-run', reason: message }
    count('rejected')
    return null
  }

  /** Rejects a request whose caller is unknown or may be, and discards little of its body. */
  function rejectByHead (context: Koa.Context, status: number, message: string): null {
    rpc.discardBody(context.req, context.res)
    return reject(context, status, message)
  }

  function rejectOverLimit (context: Koa.Context, waitMs: number): null {
    context.set('retry-after', String(Math.ceil(waitMs / types.MILLISECONDS_IN_SECOND)))
    return reject(context, 429, 'the account is over its limit of calls a second')
  }

  async function runAttempts (context: Koa.Context, prepared: PreparedCall, signal: AbortSignal, claim: createClaims.Claim | null): Promise<FinalOutcome | 'answered'> {
    const { call, service } = prepared
    const budget = findBudget(service)
    const tried = new Set<types.NodeId>()
    const unavailableProcesses = new Set<types.IncarnationId>()
    let mayHaveRun = false
    budget.noteCall()
    for (let attempts = 1; ; attempts += 1) {
      const blocked = findBlock(call)
      if (blocked !== null) return finalizeOutcome(blocked, mayHaveRun)
      const backend = await awaitBackend(prepared, tried, signal)
      if (!backend.ok) return finalizeOutcome({ kind: 'not-run', reason: backend.error.reason, load: undefined }, mayHaveRun)
      const blockedMeanwhile = findBlock(call)
      if (blockedMeanwhile !== null) {
        options.loads.noteEnded(backend.value.node, undefined)
        options.dispatcher.dispatchWaiting()
        return finalizeOutcome(blockedMeanwhile, mayHaveRun)
      }
      count('attempts')
      tried.add(backend.value.node)
      const result = await sendUnlessBlocked(call, backend.value, signal)
      if (result.kind === 'answered') {
        const isComplete = await forwardResponse(context, result, backend.value, claim)
        const features = entryCall.describeCall(call)
        // A back end that answers with an error may not have read the prompt.
        if (isComplete) options.guard.noteServed(context.status < FIRST_REDIRECTION_STATUS ? features : { ...features, parts: [] })
        if (!isComplete && !context.req.aborted) await options.guard.noteLost(backend.value, entryCall.describeCall(call))
        return 'answered'
      }
      if (result.kind === 'unknown' && !signal.aborted) await options.guard.noteLost(backend.value, entryCall.describeCall(call))
      noteFailure(backend.value, result)
      mayHaveRun ||= result.kind === 'unknown'
      const isFirstRefusal = (isLeavingRefusal(result) || isEndedRefusal(result)) && !unavailableProcesses.has(backend.value.incarnation)
      if (isFirstRefusal) unavailableProcesses.add(backend.value.incarnation)
      // Repeating an attempt that reached no server, or a process that leaves or has ended, puts no load on any, so it does not count against the budget.
      const isCovered = isFirstRefusal || result.reason === sendAttempt.NOT_CONNECTED_REASON || budget.trySpend()
      // A process that leaves or has ended is asked once for each call, so that its refusal needs no other limit.
      const obstacle = findRepeatObstacle(call, result, attempts - unavailableProcesses.size, signal) ?? (isCovered ? null : 'budget')
      logFailedAttempt(call, backend.value, result, { attempt: attempts, obstacle: obstacle ?? undefined, retriesLeft: Math.floor(budget.readBalance()) })
      if (obstacle !== null) return finalizeOutcome({ ...result, attempts, obstacle }, mayHaveRun)
      count('retries')
    }
  }

  function findRepeatObstacle (call: sendAttempt.OutgoingCall, result: FailedAttempt, limitedAttempts: number, signal: AbortSignal): RepeatObstacle | null {
    if (result.kind !== 'not-run' && !call.isRepeatable) return 'not-repeatable'
    if (signal.aborted) return 'cancelled'
    if (options.now() >= call.deadlineAt) return 'deadline'
    return limitedAttempts >= MAXIMUM_ATTEMPTS ? 'attempts' : null
  }

  function logFailedAttempt (call: sendAttempt.OutgoingCall, backend: types.MemberFacts, result: FailedAttempt, fields: observability.LogFields): void {
    options.logger.info('attempt-failed', {
      request: String(call.headers[callHeaders.REQUEST_ID_HEADER]),
      backend: backend.node,
      incarnation: backend.incarnation,
      outcome: result.kind,
      reason: result.reason,
      error: result.kind === 'not-run' ? result.error : undefined,
      ...fields
    })
  }

  /** Returns the refusal of a call that is blocked because back ends terminated while running it; null if it may be sent. */
  function findBlock (call: sendAttempt.OutgoingCall): FinalOutcome | null {
    const blockedMs = options.guard.isActive() ? options.guard.readBlockedMs(entryCall.describeCall(call)) : null
    return blockedMs === null ? null : { kind: 'not-run', reason: BLOCKED_REASON, load: undefined, retryAfterMs: blockedMs }
  }

  /** Sends an attempt, and aborts it if the call is blocked before an answer arrives. */
  async function sendUnlessBlocked (call: sendAttempt.OutgoingCall, backend: types.MemberFacts, signal: AbortSignal): Promise<sendAttempt.AttemptResult> {
    const blockAbort = new AbortController()
    const pendingAttempt = { call, end: () => { blockAbort.abort() } }
    pendingAttempts.add(pendingAttempt)
    const result = await options.send(call, backend, AbortSignal.any([signal, blockAbort.signal]))
    pendingAttempts.delete(pendingAttempt)
    return result
  }

  async function awaitBackend ({ call, affinity }: PreparedCall, tried: ReadonlySet<types.NodeId>, signal: AbortSignal): Promise<types.Outcome<types.MemberFacts, routing.NotRunError>> {
    const queued = { account: call.account.id, share: call.account.share, priority: call.account.priority }
    const dispatched = options.dispatcher.submit({ service: call.service, row: call.row, queued, affinity, tried })
    const cancelExpiry = options.at(call.deadlineAt, () => { dispatched.cancel('deadline') })
    const cancel = (): void => { dispatched.cancel(signal.reason === LEAVING_REASON ? LEAVING_REASON : 'cancelled') }
    signal.addEventListener('abort', cancel, { once: true })
    // It may have been ended before, while its idempotency key was claimed.
    if (signal.aborted) cancel()
    const backend = await dispatched.backend
    cancelExpiry()
    signal.removeEventListener('abort', cancel)
    return backend
  }

  function noteFailure (backend: types.MemberFacts, result: FailedAttempt): void {
    options.loads.noteEnded(backend.node, result.load)
    if (isLeavingRefusal(result)) options.onLeaving(backend)
    if (isEndedRefusal(result)) options.onEnded(backend)
    if (result.kind === 'unknown' || !NEUTRAL_REFUSALS.has(result.reason)) options.health.noteFailure(backend.node)
    count(`attempt.${result.kind}`)
    options.dispatcher.dispatchWaiting()
  }

  async function forwardResponse (context: Koa.Context, result: Extract<sendAttempt.AttemptResult, { kind: 'answered' }>, backend: types.MemberFacts, claim: createClaims.Claim | null): Promise<boolean> {
    const { response, load } = result
    context.status = response.statusCode ?? 502
    for (const [name, value] of Object.entries(callHeaders.selectForwardedHeaders(response.headers))) context.set(name, value)
    if (response.headers['content-length'] !== undefined) context.set('content-length', response.headers['content-length'])
    context.set(callHeaders.OUTCOME_HEADER, 'answered')
    const version = response.headers[callHeaders.VERSION_HEADER]
    if (typeof version === 'string') context.set(callHeaders.VERSION_HEADER, version)
    const readStored = claim === null ? null : storeBody(response)
    const isComplete = await sendStream.sendStream(context, response)
    if (isComplete && claim !== null) await finishClaim(context, claim, response, readStored?.() ?? null)
    options.loads.noteEnded(backend.node, load === undefined ? undefined : { ...load, running: Math.max(0, load.running - 1) })
    if (isComplete) options.health.noteSuccess(backend.node)
    else if (!context.req.aborted) options.health.noteFailure(backend.node)
    count(isComplete ? 'answered' : 'broken')
    options.dispatcher.dispatchWaiting()
    return isComplete
  }

  /** Keeps a copy of a body while it is passed on; returns a function that hands it over at its end, or null if it is too long to be stored. */
  function storeBody (response: http.IncomingMessage): () => Buffer | null {
    const collector = rpc.createByteCollector(createClaims.MAXIMUM_STORED_ANSWER_BYTES)
    let isTooLong = false
    response.on('data', (part: Buffer) => { isTooLong ||= collector.append(part) !== 'collected' }).pause()
    return () => isTooLong ? null : collector.take()
  }

  /** Stores an answer for its idempotency key. A key whose answer is too long stays claimed, so that the call doesn't run again. */
  async function finishClaim (context: Koa.Context, claim: createClaims.Claim, { headers }: http.IncomingMessage, body: Buffer | null): Promise<void> {
    if (body === null) {
      count('not-stored')
      options.logger.warn('answer-not-stored', { request: String(context.response.get(callHeaders.REQUEST_ID_HEADER)), path: context.path, reason: 'too-long', maximumBytes: createClaims.MAXIMUM_STORED_ANSWER_BYTES })
      return
    }
    await claim.finish({ status: context.status, contentType: String(headers['content-type'] ?? ''), version: String(headers[callHeaders.VERSION_HEADER] ?? ''), body })
  }

  function sendFailure (context: Koa.Context, result: FinalOutcome): void {
    count(result.kind)
    options.logger.info('call-not-answered', {
      request: String(context.response.get(callHeaders.REQUEST_ID_HEADER)),
      path: context.path,
      outcome: result.kind,
      reason: result.reason,
      attempts: result.attempts,
      obstacle: result.obstacle,
      revision: options.table().revision
    })
    if (context.res.destroyed) return
    context.status = result.kind === 'not-run' ? 503 : 502
    if (result.kind === 'not-run') context.set('retry-after', String(readRetryAfter(result)))
    context.set(callHeaders.OUTCOME_HEADER, result.kind)
    context.set(callHeaders.REASON_HEADER, result.reason.replaceAll(/[^\x20-\x7e]/g, ' '))
    context.body = { outcome: result.kind, reason: result.reason }
  }

  function findBudget (service: types.ServiceRow): routing.RetryBudget {
    const budget = budgets.get(service.id) ?? routing.createRetryBudget(service.retryBudget)
    budget.setRatio(service.retryBudget)
    budgets.set(service.id, budget)
    return budget
  }

  const middleware: Koa.Middleware = async (context, next) => {
    const match = SERVICE_PATH.exec(context.path)
    if (match === null) {
      await next()
      return
    }
    inProgress += 1
    try {
      await handle(context, match)
    } finally {
      inProgress -= 1
    }
  }
  return { middleware, inProgress: () => inProgress, endAll: () => { for (const end of endings) end() }, counts }
}

function isLeavingRefusal (result: FailedAttempt): boolean {
  return result.kind === 'not-run' && result.reason === LEAVING_REASON
}

function isEndedRefusal (result: FailedAttempt): boolean {
  return result.kind === 'not-run' && result.reason === ENDED_REASON
}

/** A call may have run if an earlier attempt may have, whatever the last attempt returned. */
function finalizeOutcome (result: FinalOutcome, mayHaveRun: boolean): FinalOutcome {
  return mayHaveRun ? { ...result, kind: 'unknown' } : result
}

function readRetryAfter ({ retryAfterMs }: FinalOutcome): number {
  return retryAfterMs === undefined ? RETRY_AFTER_SECONDS : Math.ceil(retryAfterMs / types.MILLISECONDS_IN_SECOND)
}
