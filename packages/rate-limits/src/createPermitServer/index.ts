/** Answers gateways that ask for permits, by datagrams. */
import type * as types from '@switchridge/types'
import * as permitWire from '../_lib/permitWire.js'
import type * as createPermitCounter from '../createPermitCounter/index.js'

/** Options of {@link createPermitServer}. */
export interface PermitServerOptions {
  readonly counter: createPermitCounter.PermitCounter
  /** Part of the limit that this daemon may give; null when another one counts. */
  readonly partOf: (life: types.BackEndLife) => number | null
  readonly send: (host: string, bytes: Buffer) => void
  readonly count: (name: string, labels?: Readonly<Record<string, string>>) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** The server. */
export interface PermitServer {
  /** Takes a datagram; false if it is no ask. */
  readonly receive: (bytes: Buffer, from: string) => boolean
}

/** Another daemon counts by this one's view; the asking one sees the same soon. */
const ELSEWHERE_WAIT_MS = 300
/** A datagram that comes twice within this takes one permit. */
const DOUBLED_MS = 1000

interface Answered {
  readonly reply: permitWire.PermitReply
  readonly at: number
}

/**
 * Creates the server.
 *
 * @param options - The counter, and the way back.
 * @returns The server.
 */
export function createPermitServer ({ counter, partOf, send, count, now }: PermitServerOptions): PermitServer {
  /** In the order of their times. */
  const answered = new Map<string, Answered>()

  function forgetOld (): void {
    for (const [key, { at }] of answered) {
      if (now() - at < DOUBLED_MS) return
      answered.delete(key)
    }
  }

  function answer ({ number, life, perSecond, ageMs, isLate }: permitWire.PermitAsk): permitWire.PermitReply {
    const part = partOf(life)
    if (part === null) {
      count('permits_answered', { answer: 'elsewhere' })
      return { number, waitMs: ELSEWHERE_WAIT_MS }
    }
    const given = counter.take({ life, perSecond, heardAt: now() - ageMs }, part, isLate)
    count('permits_answered', { answer: given.isGranted ? 'granted' : 'refused' })
    return { number, waitMs: given.isGranted ? 0 : given.waitMs }
  }

  return {
    receive: (bytes, from) => {
      if (!permitWire.isAsk(bytes)) return false
      const ask = permitWire.decodeAsk(bytes)
      if (ask === null) {
        count('datagrams_dropped', { reason: 'bad-permit' })
        return true
      }
      forgetOld()
      const key = `${from}/${ask.number}`
      const known = answered.get(key)
      const reply = known?.reply ?? answer(ask)
      if (known === undefined) answered.set(key, { reply, at: now() })
      send(from, permitWire.formatReply(reply))
      return true
    }
  }
}
