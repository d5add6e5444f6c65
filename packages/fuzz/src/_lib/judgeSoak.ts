/** Finds the broken promises of a soak in what its callers and back ends saw. */
import type * as soakCallers from './soakCallers.js'

/** A disturbance that was carried out. Times are of the monotonic clock in milliseconds. */
export interface CarriedOut {
  readonly kind: string
  /** Id of the node; empty for a change of the table. */
  readonly node: string
  readonly role: 'entry' | 'backend' | ''
  readonly beganAt: number
  /** When the node ran again; for a change of the table when it was made. */
  readonly endedAt: number
}

/** What a soak saw. */
export interface SoakObservations {
  readonly records: readonly soakCallers.CallRecord[]
  readonly disturbances: readonly CarriedOut[]
  /** How often each reservation ran, over all back ends. */
  readonly runs: ReadonlyMap<string, number>
}

/** The only refusals that a service with an undisturbed backend server may give, and only under more load than it can take. */
const REFUSALS_OF_LOAD = new Set(['full'])
/** Errors of connections that an entry node closed while it was ending, before it read a call. */
const CONNECTION_ERRORS = /ECONNREFUSED|ECONNRESET|socket hang up/
/** A killed backend server may lose calls that were sent to it shortly before it was missed. */
const KILL_NOTICE_MS = 5000

function overlaps ({ beganAt, endedAt }: CarriedOut, fromMs: number, toMs: number): boolean {
  return beganAt <= toMs && endedAt >= fromMs
}

/**
 * Finds broken promises. Each service has a backend server that is never disturbed, so that no call may be refused for want of one.
 *
 * @param observations - Calls, disturbances and runs.
 * @returns A line for each broken promise.
 */
export function judgeSoak ({ records, disturbances, runs }: SoakObservations): string[] {
  const problems: string[] = []
  const describe = (record: soakCallers.CallRecord): string => {
    const during = disturbances.filter((each) => overlaps(each, record.sentAt - KILL_NOTICE_MS, record.endedAt))
      .map((each) => `${each.kind} ${each.node} ${Math.round(each.beganAt - record.sentAt)}..${Math.round(each.endedAt - record.sentAt)}`)
    return `${record.kind} at ${record.entry}, ${record.outcome} (${record.reason}) after ${Math.round(record.endedAt - record.sentAt)} ms; ${during.join(', ')}`
  }
  for (const record of records) {
    const isNearKill = disturbances.some((each) => each.kind === 'kill' && overlaps(each, record.sentAt - KILL_NOTICE_MS, record.endedAt))
    const mayBeUnread = CONNECTION_ERRORS.test(record.reason) && disturbances.some((each) => each.node === record.entry && each.kind === 'restart' && overlaps(each, record.sentAt, record.endedAt))
    const isStreamOfKilledServer = record.kind === 'model' && isNearKill && !CONNECTION_ERRORS.test(record.reason)
    if (record.outcome === 'wrong') problems.push(`wrong answer: ${describe(record)}`)
    if (record.outcome === 'not-run' && !REFUSALS_OF_LOAD.has(record.reason)) problems.push(`refused: ${describe(record)}`)
    if (record.outcome === 'broken' && !mayBeUnread && !isStreamOfKilledServer) problems.push(`broken: ${describe(record)}`)
    if (record.outcome === 'unknown' && !isNearKill) problems.push(`unknown: ${describe(record)}`)
    const ranCount = runs.get(record.id) ?? 0
    if (ranCount > 1) problems.push(`ran ${ranCount} times: ${describe(record)}`)
    if (record.outcome === 'not-run' && ranCount > 0) problems.push(`refused but ran: ${describe(record)}`)
  }
  return problems
}
