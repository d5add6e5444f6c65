/** Test oracle: checks the guarantees for every call against what callers and engines observed. */
import type * as testing from '@switchridge/platform-testing'

/** A call and its answer, as the caller observed them. */
export interface ObservedCall {
  readonly id: string
  readonly kind: 'repeatable' | 'once' | 'stream'
  /** HTTP status; 0 if the connection ended without an answer. */
  readonly status: number
  readonly body: string
  /** Whether the body arrived completely. */
  readonly isWhole: boolean
  /** Header that identifies the engine that answered; null if it is absent. */
  readonly seal: string | null
}

/** A guarantee that was broken for a call. */
export interface Violation {
  /** `twice`: a call that must run once ran more often; `unasked`: an engine got a request that no caller sent; `attempts`: a call was sent to too many engines. */
  readonly rule: 'twice' | 'refused-but-run' | 'foreign-answer' | 'short-answer' | 'event-order' | 'attempts' | 'unasked'
  readonly id: string
}

/** Statuses that guarantee that the call was not executed and never will be. */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([503, 429, 408, 421])

/**
 * Finds broken guarantees.
 *
 * @param calls - All calls of a test run.
 * @param arrivals - All requests that reached engines.
 * @param expectedEvents - Number of events in a complete stream.
 * @param maximumAttempts - Maximum number of engines that a call may be sent to.
 * @returns The violations; empty if every guarantee holds.
 */
export function findViolations (calls: readonly ObservedCall[], arrivals: readonly testing.Arrival[], expectedEvents: number, maximumAttempts: number): Violation[] {
  const callIds = new Set(calls.map((call) => call.id))
  const unsolicited = arrivals.filter((arrival) => !callIds.has(arrival.requestId)).map((arrival): Violation => ({ rule: 'unasked', id: arrival.requestId }))
  return [...unsolicited, ...calls.flatMap((call) => checkCall(call, arrivals.filter((arrival) => arrival.requestId === call.id), expectedEvents, maximumAttempts))]
}

function checkCall (call: ObservedCall, ownArrivals: readonly testing.Arrival[], expectedEvents: number, maximumAttempts: number): Violation[] {
  const executions = ownArrivals.filter((arrival) => arrival.ran).length
  const brokenRules: Array<Violation['rule']> = []
  if (call.kind === 'once' && executions > 1) brokenRules.push('twice')
  if (call.kind === 'once' && NOT_EXECUTED_STATUSES.has(call.status) && executions > 0) brokenRules.push('refused-but-run')
  if (ownArrivals.length > maximumAttempts) brokenRules.push('attempts')
  if (call.status === 200) brokenRules.push(...checkSuccessfulAnswer(call, expectedEvents))
  return brokenRules.map((rule) => ({ rule, id: call.id }))
}

function checkSuccessfulAnswer (call: ObservedCall, expectedEvents: number): Array<Violation['rule']> {
  if (call.kind === 'stream') return checkStream(call, expectedEvents)
  if (!call.isWhole) return []
  if (call.seal === null || !call.body.endsWith(` to ${call.id}`)) return ['foreign-answer']
  return call.body === `answer of ${call.seal.replace('seal-', '')} to ${call.id}` ? [] : ['short-answer']
}

function checkStream (call: ObservedCall, expectedEvents: number): Array<Violation['rule']> {
  const ids = [...call.body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]))
  if (ids.some((id, index) => id !== index + 1)) return ['event-order']
  return call.isWhole && ids.length !== expectedEvents ? ['short-answer'] : []
}
