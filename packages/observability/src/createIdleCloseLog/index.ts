/** Logs connections that a server closes because they are idle. */
import type * as createLogger from '../createLogger/index.js'

/** Options of {@link createIdleCloseLog}. */
export interface IdleCloseLogOptions {
  readonly logger: createLogger.Logger
  /** Adds one to a counter. */
  readonly count: (name: string, labels: Readonly<Record<string, string>>) => void
  /** Version of the configuration or revision of the table in force; null before the first one. */
  readonly readConfiguration: () => number | null
}

/** A process that was paused or busy for this long beyond the limit may not have read a request that arrived before it. */
const LATE_MS = 100

/**
 * Creates a function that counts a closed connection, and logs it if a request was arriving or the limit was noticed late.
 *
 * @param options - Log, counter and configuration.
 * @returns The function.
 */
export function createIdleCloseLog ({ logger, count, readConfiguration }: IdleCloseLogOptions): (close: { readonly idleMs: number, readonly lateMs: number, readonly receivedBytes: number }) => void {
  return ({ idleMs, lateMs, receivedBytes }) => {
    const isLate = lateMs >= LATE_MS
    count('connections_closed_idle', { late: String(isLate) })
    if (isLate || receivedBytes > 0) logger.warn('connection-closed-idle', { idleMs: Math.round(idleMs), lateMs: Math.round(lateMs), receivedBytes, configuration: readConfiguration() })
  }
}
