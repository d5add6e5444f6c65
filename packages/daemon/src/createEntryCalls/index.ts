/** Takes callers' requests, sees them through their attempts, and gives one of three outcomes: answered, not run, unknown. */
import * as crypto from 'node:crypto'
import type * as Koa from 'koa'
import type * as clock from '@switchridge/clock'
import * as types from '@switchridge/types'
import * as routing from '@switchridge/routing'
import * as rpc from '@switchridge/rpc'
import type * as observability from '@switchridge/observability'
import type * as createClaims from '../createClaims/index.js'
import type * as createEntryQuarantine from '../createEntryQuarantine/index.js'
import type * as createDispatcher from '../createDispatcher/index.js'
import type * as sendAttempt from '../sendAttempt/index.js'
import * as callHeaders from '../_lib/callHeaders.js'
import * as entryCall from '../_lib/entryCall.js'
import * as sendStream from '../_lib/sendStream.js'

/** Options of {@link createEntryCalls}. */
export interface EntryCallsOptions {
  readonly table: () => types.Table
  readonly dispatcher: createDispatcher.Dispatcher
  readonly loads: routing.BackendLoads
  readonly health: routing.BackendHealth
  readonly limiter: routing.AccountLimiter
  readonly claims: createClaims.Claims
  readonly send: (call: sendAttempt.OutgoingCall, backend: types.MemberFacts, signal: AbortSignal) => Promise<sendAttempt.AttemptResult>
  readonly logger: observability.Logger
  readonly metrics: observability.Metrics
  /** Steady clock in milliseconds. */
  readonly now: () => number
  /** Calls an action at a time of the clock. */
  readonly at: clock.AtTime
  readonly guard: createEntryQuarantine.EntryGuard
}

/** The middleware and its calls in progress. */
export interface EntryCalls {
  readonly middleware: Koa.Middleware
  readonly inProgress: () => number
  readonly counts: Readonly<Record<string, number>>
}

const SERVICE_PATH = /^\/services\/([\w.-]+)(?:\/models\/([\w.-]+))?(\/.*)?$/
const RETRY_AFTER_SECONDS = 1
const MAXIMUM_ATTEMPTS = 5
/** Refusals that say nothing about the server's health. */
const HEALTHY_REFUSALS = new Set(['full', 'leaving', 'restarted', 'not-serving', 'version-not-loaded', 'deadline'])
/** Back ends ended under the call. */
const BLOCKED_REASON = 'blocked'

interface Prepared {
  readonly call: sendAttempt.OutgoingCall
  readonly service: types.ServiceRow
  readonly affinity: string
  /** Idempotency key; empty when there is none or the call may be repeated anyway. */
  readonly key: string
}

/** An attempt under way. */
interface Unanswered {
  readonly call: sendAttempt.OutgoingCall
  readonly end: () => void
}

/** Why a call has no answer, and for a call that was refused when it may come back, if that is known. */
type FinalOutcome = Exclude<sendAttempt.AttemptResult, { kind: 'answered' }> & { readonly retryAfterMs?: number }

/**
 * Creates the middleware for `/services/...`.
 *
 * @param options - Table, dispatcher and the way to send an attempt.
 * @returns The middleware.
 */
export function createEntryCalls (options: EntryCallsOptions): EntryCalls {
  const budgets = new Map<types.ServiceName, routing.RetryBudget>()
  const counts: Record<string, number> = {}
  let inProgress = 0
  const unanswered = new Set<Unanswered>()
  options.guard.onBlocked((blocked) => {
    for (const { call, end } of unanswered) if (entryCall.identify(call) === blocked) end()
  })

  function count (name: string): void {
    counts[name] = (counts[name] ?? 0) + 1
    options.metrics.increment(`calls.${name}`)
  }

  async function handle (context: Koa.Context, match: RegExpExecArray): Promise<void> {
    const requestId = context.get(callHeaders.REQUEST_ID_HEADER) || crypto.randomUUID()
    context.set(callHeaders.REQUEST_ID_HEADER, requestId)
    const prepared = await prepare(context, match, requestId)
    if (prepared === null) return
    const startedAt = options.now()
    const abort = new AbortController()
    const leave = (): void => { abort.abort() }
    context.res.once('close', leave)
    if (prepared.key === '') await runOnce(context, prepared, abort.signal, null)
    else await runUnderKey(context, prepared, abort.signal)
    context.res.off('close', leave)
    options.metrics.timing('calls.time', options.now() - startedAt)
  }

  async function runOnce (context: Koa.Context, prepared: Prepared, signal: AbortSignal, claim: createClaims.Claim | null): Promise<void> {
    const outcome = await attempt(context, prepared, signal, claim)
    if (outcome === 'answered') return
    if (outcome.kind === 'not-run') await claim?.withdraw()
    answerWithout(context, outcome)
  }

  /** A call with an idempotency key runs only under a claim that the platform confirmed. */
  async function runUnderKey (context: Koa.Context, prepared: Prepared, signal: AbortSignal): Promise<void> {
    const { call, key } = prepared
    const result = await options.claims.take(call.account.id, call.service, key)
    switch (result.kind) {
      case 'taken':
        await runOnce(context, prepared, signal, result.claim)
        break
      case 'answered':
        replay(context, result.answer)
        break
      case 'held':
        answerWithout(context, { kind: 'unknown', reason: 'idempotency-key-held', load: undefined })
        break
      case 'unavailable':
        answerWithout(context, { kind: 'not-run', reason: 'no-claim', load: undefined })
    }
  }

  /** Gives the kept answer of an earlier request with the same key. */
  function replay (context: Koa.Context, answer: createClaims.KeptAnswer): void {
    count('replayed')
    context.status = answer.status
    context.type = answer.contentType
    context.set(callHeaders.OUTCOME_HEADER, 'answered')
    context.set(callHeaders.REPLAYED_HEADER, 'true')
    if (answer.version !== '') context.set(callHeaders.VERSION_HEADER, answer.version)
    context.body = answer.body
  }

  async function prepare (context: Koa.Context, match: RegExpExecArray, requestId: string): Promise<Prepared | null> {
    const table = options.table()
    const service = table.services.find((candidate) => candidate.id === match[1])
    if (service === undefined) return reject(context, 404, `no service "${match[1] ?? ''}" in the table`)
    const row = match[2] ?? ''
    if (service.kind === 'engine' && !table.models.some((model) => model.id === row && model.service === service.id)) {
      return reject(context, 404, `no model "${row}" of service "${service.id}" in the table`)
    }
    const account = entryCall.findAccount(table, context.get('authorization'))
    if (account === undefined) return reject(context, 401, 'the API key is missing or unknown')
    const waitMs = options.limiter.take(account.id, account.callsPerSecond)
    if (waitMs > 0) return rejectOverLimit(context, waitMs)
    const deadlineAt = options.now() + entryCall.readTimeout(context, service)
    const body = await rpc.readBody(context.req, types.MAXIMUM_CALL_BODY_BYTES)
    if (!body.ok) return reject(context, 413, body.error.message)
    const headers = { ...callHeaders.copyHeaders(context.headers), [callHeaders.REQUEST_ID_HEADER]: requestId }
    const path = (match[3] ?? '/') + context.search
    const call = { service: service.id, row, account, method: context.method, path, headers, body: body.value, isRepeatable: entryCall.isRepeatable(service, context.method), deadlineAt }
    const key = call.isRepeatable ? '' : context.get(callHeaders.KEY_HEADER)
    return { call, service, affinity: context.get('x-prompt-prefix'), key }
  }

  /** One of the caller's own mistakes or limits: nothing ran. */
  function reject (context: Koa.Context, status: number, message: string): null {
    context.req.resume()
    context.status = status
    context.set(callHeaders.OUTCOME_HEADER, 'not-run')
    context.body = { outcome: 'not-run', reason: message }
    count('rejected')
    return null
  }

  function rejectOverLimit (context: Koa.Context, waitMs: number): null {
    context.set('retry-after', String(Math.ceil(waitMs / types.MILLISECONDS_IN_SECOND)))
    return reject(context, 429, 'the account is over its limit of calls a second')
  }

  async function attempt (context: Koa.Context, prepared: Prepared, signal: AbortSignal, claim: createClaims.Claim | null): Promise<FinalOutcome | 'answered'> {
    const { call, service } = prepared
    const budget = findBudget(service)
    const tried = new Set<types.NodeId>()
    let mayHaveRun = false
    budget.earn()
    for (let attempts = 1; ; attempts += 1) {
      const blockedMs = options.guard.isActive() ? options.guard.findBlock(entryCall.identify(call)) : null
      if (blockedMs !== null) return conclude({ kind: 'not-run', reason: BLOCKED_REASON, load: undefined, retryAfterMs: blockedMs }, mayHaveRun)
      const backend = await awaitBackend(prepared, tried, signal)
      if (!backend.ok) return conclude({ kind: 'not-run', reason: backend.error.reason, load: undefined }, mayHaveRun)
      count('attempts')
      tried.add(backend.value.node)
      const result = await sendUnlessBlocked(call, backend.value, signal)
      if (result.kind === 'answered') {
        const isWhole = await passOn(context, result, backend.value, claim)
        if (isWhole && options.guard.isActive()) options.guard.noteServed(entryCall.identify(call))
        if (!isWhole && !context.req.aborted) await options.guard.noteLost(backend.value, entryCall.identify(call))
        return 'answered'
      }
      if (result.kind === 'unknown' && !signal.aborted) await options.guard.noteLost(backend.value, entryCall.identify(call))
      noteFailure(backend.value, result)
      mayHaveRun ||= result.kind === 'unknown'
      const mayRepeat = result.kind === 'not-run' || call.isRepeatable
      const isOver = signal.aborted || options.now() >= call.deadlineAt || attempts >= MAXIMUM_ATTEMPTS
      if (!mayRepeat || isOver || !budget.trySpend()) return conclude(result, mayHaveRun)
      count('retries')
    }
  }

  /** Takes an attempt back that has no answer yet when its call is blocked. */
  async function sendUnlessBlocked (call: sendAttempt.OutgoingCall, backend: types.MemberFacts, signal: AbortSignal): Promise<sendAttempt.AttemptResult> {
    const blocking = new AbortController()
    const waiting = { call, end: () => { blocking.abort() } }
    unanswered.add(waiting)
    const result = await options.send(call, backend, AbortSignal.any([signal, blocking.signal]))
    unanswered.delete(waiting)
    return result
  }

  async function awaitBackend ({ call, affinity }: Prepared, tried: ReadonlySet<types.NodeId>, signal: AbortSignal): Promise<types.Outcome<types.MemberFacts, routing.NotRunError>> {
    const queued = { account: call.account.id, share: call.account.share, priority: call.account.priority }
    const dispatched = options.dispatcher.submit({ service: call.service, row: call.row, queued, affinity, tried })
    const cancelExpiry = options.at(call.deadlineAt, () => { dispatched.cancel('deadline') })
    const cancel = (): void => { dispatched.cancel('cancelled') }
    signal.addEventListener('abort', cancel, { once: true })
    const backend = await dispatched.backend
    cancelExpiry()
    signal.removeEventListener('abort', cancel)
    return backend
  }

  function noteFailure (backend: types.MemberFacts, result: FinalOutcome): void {
    options.loads.noteEnded(backend.node, result.load)
    if (result.kind === 'unknown' || !HEALTHY_REFUSALS.has(result.reason)) options.health.noteFailure(backend.node)
    count(`attempt.${result.kind}`)
    options.dispatcher.pump()
  }

  async function passOn (context: Koa.Context, result: Extract<sendAttempt.AttemptResult, { kind: 'answered' }>, backend: types.MemberFacts, claim: createClaims.Claim | null): Promise<boolean> {
    const { response, load } = result
    context.status = response.statusCode ?? 502
    for (const [name, value] of Object.entries(callHeaders.copyHeaders(response.headers))) context.set(name, value)
    if (response.headers['content-length'] !== undefined) context.set('content-length', response.headers['content-length'])
    context.set(callHeaders.OUTCOME_HEADER, 'answered')
    const version = response.headers[callHeaders.VERSION_HEADER]
    if (typeof version === 'string') context.set(callHeaders.VERSION_HEADER, version)
    const parts: Buffer[] = []
    if (claim !== null) response.on('data', (part: Buffer) => { parts.push(part) }).pause()
    const isWhole = await sendStream.sendStream(context, response)
    if (isWhole) await claim?.finish({ status: context.status, contentType: String(response.headers['content-type'] ?? ''), version: typeof version === 'string' ? version : '', body: Buffer.concat(parts) })
    options.loads.noteEnded(backend.node, load === undefined ? undefined : { ...load, running: Math.max(0, load.running - 1) })
    if (isWhole) options.health.noteSuccess(backend.node)
    else if (!context.req.aborted) options.health.noteFailure(backend.node)
    count(isWhole ? 'answered' : 'broken')
    options.dispatcher.pump()
    return isWhole
  }

  function answerWithout (context: Koa.Context, result: FinalOutcome): void {
    count(result.kind)
    options.logger.info('call-not-answered', {
      request: String(context.response.get(callHeaders.REQUEST_ID_HEADER)),
      path: context.path,
      outcome: result.kind,
      reason: result.reason,
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
    const known = budgets.get(service.id) ?? routing.createRetryBudget(service.retryBudget)
    known.setRatio(service.retryBudget)
    budgets.set(service.id, known)
    return known
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
  return { middleware, inProgress: () => inProgress, counts }
}

/** A refusal of the last attempt says nothing about an earlier one that may have run. */
function conclude (result: FinalOutcome, mayHaveRun: boolean): FinalOutcome {
  return mayHaveRun ? { ...result, kind: 'unknown' } : result
}

function readRetryAfter ({ retryAfterMs }: FinalOutcome): number {
  return retryAfterMs === undefined ? RETRY_AFTER_SECONDS : Math.ceil(retryAfterMs / types.MILLISECONDS_IN_SECOND)
}
