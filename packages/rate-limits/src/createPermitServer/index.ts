/** Answers the datagrams by which gateways request permits. */
import type * as types from '@switchridge/types'
import * as permitWire from '../_lib/permitWire.js'
import type * as createPermitCounter from '../createPermitCounter/index.js'

/** Options of {@link createPermitServer}. */
export interface PermitServerOptions {
  readonly counter: createPermitCounter.PermitCounter
  /** Fraction of the limit that this daemon may grant; null if another daemon is the counter. `isCold`: whether the requesting gateway knows the back end as cold. */
  readonly grantableFraction: (life: types.BackEndInstanceId, isCold: boolean) => number | null
  /** Sends a datagram to the daemon on a host. */
  readonly send: (host: string, bytes: Buffer) => void
  /** Increments a metric. */
  readonly count: (name: string, labels?: Readonly<Record<string, string>>) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** The permit server of one daemon. */
export interface PermitServer {
  /** Handles a datagram; returns false if it is not a permit request. */
  readonly receive: (bytes: Buffer, from: string) => boolean
}

/** Wait in the reply of a daemon that does not consider itself the counter; the requesting daemon's view will soon agree. */
const NOT_COUNTER_WAIT_MS = 300
/** A request that is received again within this time gets the same reply and takes no second permit. */
const DUPLICATE_WINDOW_MS = 1000

interface SentReply {
  readonly reply: permitWire.PermitReply
  readonly at: number
}

/**
 * Creates the server.
 *
 * @param options - The counter, transport, metrics and clock.
 * @returns The server.
 */
export function createPermitServer ({ counter, grantableFraction, send, count, now }: PermitServerOptions): PermitServer {
  /** Oldest first. */
  const recentReplies = new Map<string, SentReply>()

  function removeOldReplies (): void {
    for (const [key, { at }] of recentReplies) {
      if (now() - at < DUPLICATE_WINDOW_MS) return
      recentReplies.delete(key)
    }
  }

  function answerRequest ({ requestId, life, perSecond, ageMs, isLate, cold, rank = 0 }: permitWire.PermitRequest): permitWire.PermitReply {
    const fraction = grantableFraction(life, cold !== undefined)
    if (fraction === null) {
      count('permits_answered', { answer: 'elsewhere' })
      return { requestId, waitMs: NOT_COUNTER_WAIT_MS }
    }
    const decision = counter.take({ life, perSecond, receivedAt: now() - ageMs, ...(cold === undefined ? {} : { cold, rank }) }, fraction, isLate)
    count('permits_answered', { answer: decision.isGranted ? 'granted' : 'refused' })
    return { requestId, waitMs: decision.isGranted ? 0 : decision.waitMs }
  }

  return {
    receive: (bytes, from) => {
      if (!permitWire.isRequest(bytes)) return false
      const request = permitWire.decodeRequest(bytes)
      if (request === null) {
        count('datagrams_dropped', { reason: 'bad-permit' })
        return true
      }
      removeOldReplies()
      const key = `${from}/${request.requestId}`
      const previous = recentReplies.get(key)
      const reply = previous?.reply ?? answerRequest(request)
      if (previous === undefined) recentReplies.set(key, { reply, at: now() })
      send(from, permitWire.formatReply(reply))
      return true
    }
  }
}
