/** What must hold for every call, judged by what callers and engines saw; for tests. */
import type * as testing from '@switchridge/platform-testing'

/** A call and its answer as its caller saw it. */
export interface SeenCall {
  readonly id: string
  readonly kind: 'repeatable' | 'once' | 'stream'
  /** 0 when the connection ended without an answer. */
  readonly status: number
  readonly body: string
  readonly isWhole: boolean
  readonly seal: string | null
}

/** A rule that was broken, and by which call. */
export interface Violation {
  readonly rule: 'twice' | 'refused-but-run' | 'foreign-answer' | 'short-answer' | 'event-order' | 'attempts' | 'unasked'
  readonly id: string
}

/** Statuses that promise that the call did not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([503, 429, 408, 421])

/**
 * Finds broken rules.
 *
 * @param calls - All calls of a run.
 * @param arrivals - All requests that reached engines.
 * @param events - Events of a whole stream.
 * @param maximumAttempts - Engines that one call may be sent to.
 * @returns What was broken; empty when all holds.
 */
export function findViolations (calls: readonly SeenCall[], arrivals: readonly testing.Arrival[], events: number, maximumAttempts: number): Violation[] {
  const known = new Set(calls.map((call) => call.id))
  const unasked = arrivals.filter((arrival) => !known.has(arrival.requestId)).map((arrival): Violation => ({ rule: 'unasked', id: arrival.requestId }))
  return [...unasked, ...calls.flatMap((call) => judge(call, arrivals.filter((arrival) => arrival.requestId === call.id), events, maximumAttempts))]
}

function judge (call: SeenCall, own: readonly testing.Arrival[], events: number, maximumAttempts: number): Violation[] {
  const ran = own.filter((arrival) => arrival.ran).length
  const broken: Array<Violation['rule']> = []
  if (call.kind === 'once' && ran > 1) broken.push('twice')
  if (call.kind === 'once' && PROMISES.has(call.status) && ran > 0) broken.push('refused-but-run')
  if (own.length > maximumAttempts) broken.push('attempts')
  if (call.status === 200) broken.push(...judgeSuccess(call, events))
  return broken.map((rule) => ({ rule, id: call.id }))
}

function judgeSuccess (call: SeenCall, events: number): Array<Violation['rule']> {
  if (call.kind === 'stream') return judgeStream(call, events)
  if (!call.isWhole) return []
  if (call.seal === null || !call.body.endsWith(` to ${call.id}`)) return ['foreign-answer']
  return call.body === `answer of ${call.seal.replace('seal-', '')} to ${call.id}` ? [] : ['short-answer']
}

function judgeStream (call: SeenCall, events: number): Array<Violation['rule']> {
  const ids = [...call.body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]))
  if (ids.some((id, index) => id !== index + 1)) return ['event-order']
  return call.isWhole && ids.length !== events ? ['short-answer'] : []
}
