/** HTTP headers of calls between callers, entry nodes, backend daemons and backend servers. */
import type * as http from 'node:http'
import type * as routing from '@switchridge/routing'

/** Outcome of the call, sent to callers and between daemons. */
export const OUTCOME_HEADER = 'x-switchridge-outcome'
export const REASON_HEADER = 'x-switchridge-reason'
export const VERSION_HEADER = 'x-switchridge-version'
export const LOAD_HEADER = 'x-switchridge-load'
export const TICKET_HEADER = 'x-switchridge-ticket'
export const INCARNATION_HEADER = 'x-switchridge-incarnation'
export const CALL_HEADER = 'x-switchridge-call'
export const REQUEST_ID_HEADER = 'x-request-id'
export const TIMEOUT_HEADER = 'x-request-timeout-ms'
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key'
/** Names the beginning of a prompt, which other calls may share. */
export const PROMPT_PREFIX_HEADER = 'x-prompt-prefix'
/** Marks a stored answer to an earlier request with the same idempotency key. */
export const REPLAYED_HEADER = 'x-switchridge-replayed'
export const ENGINE_VERSION_HEADER = 'x-engine-version'

export type CallOutcome = 'answered' | 'not-run' | 'unknown'

/** Headers that are not forwarded: those that apply to a single connection (RFC 9110, section 7.6.1), and those that each sender sets itself. */
const HOP_BY_HOP_HEADERS = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'host', 'content-length', 'expect', 'authorization'])

/** Copies the headers to forward to the next process, without hop-by-hop headers and the project's own `x-switchridge-` headers. */
export function selectForwardedHeaders (headers: http.IncomingHttpHeaders): Record<string, string | string[]> {
  const forwarded: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name) || name.startsWith('x-switchridge-')) continue
    forwarded[name] = value
  }
  return forwarded
}

/** Formats a load as `running/waiting/limit/queue`. */
export function formatLoad (load: routing.Load): string {
  return `${load.running}/${load.waiting}/${load.limit}/${load.queue}`
}

/** Parses a load; undefined if the header is absent or malformed. */
export function parseLoad (text: string | string[] | undefined): routing.ReportedLoad | undefined {
  if (typeof text !== 'string') return undefined
  const [running, waiting, limit, queue] = text.split('/').map(Number)
  const isComplete = [running, waiting, limit, queue].every((part) => Number.isFinite(part))
  return isComplete ? { running: running as number, waiting: waiting as number, limit: limit as number, queue: queue as number } : undefined
}
