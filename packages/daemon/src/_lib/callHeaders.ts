/** Headers of calls between callers, entry nodes, backend daemons and back ends. */
import type * as http from 'node:http'
import type * as routing from '@switchridge/routing'

/** Towards callers and between daemons: what became of the call. */
export const OUTCOME_HEADER = 'x-switchridge-outcome'
export const REASON_HEADER = 'x-switchridge-reason'
export const VERSION_HEADER = 'x-switchridge-version'
export const LOAD_HEADER = 'x-switchridge-load'
export const TICKET_HEADER = 'x-switchridge-ticket'
export const INCARNATION_HEADER = 'x-switchridge-incarnation'
export const CALL_HEADER = 'x-switchridge-call'
export const REQUEST_ID_HEADER = 'x-request-id'
export const TIMEOUT_HEADER = 'x-request-timeout-ms'
export const KEY_HEADER = 'idempotency-key'
/** On an answer that was kept from an earlier request with the same key. */
export const REPLAYED_HEADER = 'x-switchridge-replayed'
export const ENGINE_VERSION_HEADER = 'x-engine-version'

export type CallOutcome = 'answered' | 'not-run' | 'unknown'

/** Headers that belong to one connection and are not passed on (RFC 9110, section 7.6.1). */
const CONNECTION_HEADERS = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'host', 'content-length', 'expect', 'authorization'])

/** Copies the headers that go on to the next process; those of the project itself do not. */
export function copyHeaders (headers: http.IncomingHttpHeaders): Record<string, string | string[]> {
  const copied: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || CONNECTION_HEADERS.has(name) || name.startsWith('x-switchridge-')) continue
    copied[name] = value
  }
  return copied
}

/** Writes a load as `running/waiting/limit/queue`. */
export function formatLoad (load: routing.Load): string {
  return `${load.running}/${load.waiting}/${load.limit}/${load.queue}`
}

/** Reads a load; undefined when the header is absent or malformed. */
export function parseLoad (text: string | string[] | undefined): routing.StatedLoad | undefined {
  if (typeof text !== 'string') return undefined
  const [running, waiting, limit, queue] = text.split('/').map(Number)
  const isWhole = [running, waiting, limit, queue].every((part) => Number.isFinite(part))
  return isWhole ? { running: running as number, waiting: waiting as number, limit: limit as number, queue: queue as number } : undefined
}
