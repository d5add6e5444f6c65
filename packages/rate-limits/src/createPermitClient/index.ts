/** Asks the daemon that counts for a back end whether a request may be sent there now. */
import type * as types from '@switchridge/types'
import * as permitWire from '../_lib/permitWire.js'
import type * as chooseCounter from '../chooseCounter/index.js'
import type * as createPermitCounter from '../createPermitCounter/index.js'
import type * as rateLimits from '../types/index.js'

/** Options of {@link createPermitClient}. */
export interface PermitClientOptions {
  readonly ownHost: string
  /** Counts for back ends that this daemon counts itself. */
  readonly counter: createPermitCounter.PermitCounter
  readonly findCounter: (life: types.BackEndLife) => chooseCounter.ChosenCounter | null
  readonly send: (host: string, bytes: Buffer) => void
  readonly count: (name: string, labels?: Readonly<Record<string, string>>) => void
  /** Calls an action at a monotonic time in milliseconds; returns what calls it off. */
  readonly at: (time: number, action: () => void) => () => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Random number from 0 to 1. */
  readonly random: () => number
}

/** The client of one gateway. */
export interface PermitClient extends rateLimits.PermitWay {
  /** Takes a datagram; false if it is no answer to an ask. */
  readonly receive: (bytes: Buffer, from: string) => boolean
}

/** Regions answer within a tenth of it, unless a link is full; a call that waits longer is late elsewhere, too. A permit that comes later lapses. */
const ANSWER_MS = 100
/** An ask that is not answered by then was lost, or its answer was; the counter gives the same answer to the same ask, so no permit is lost with it. */
const ASK_AGAIN_MS = 30
/** A counter that did not answer is asked again after this; nothing is sent meanwhile, since another one may count. */
const SILENT_WAIT_MS = 500
/** While one ask is under way, other calls go elsewhere. */
const UNDER_WAY_WAIT_MS = 10
const NUMBERS = 2 ** 31

interface Ask {
  readonly host: string
  readonly askedAt: number
  readonly finish: (answer: rateLimits.PermitAnswer) => void
}

/**
 * Creates the client.
 *
 * @param options - Who counts, ways there, and clocks.
 * @returns The client.
 */
export function createPermitClient (options: PermitClientOptions): PermitClient {
  const { count, now } = options
  const asks = new Map<number, Ask>()
  const underWay = new Set<types.BackEndLife>()
  const waitUntil = new Map<types.BackEndLife, number>()
  /** For calls that can no longer be in time; their refusal keeps no other call from asking. */
  const lateWaitUntil = new Map<types.BackEndLife, number>()
  let number = Math.floor(options.random() * NUMBERS)

  function noteAnswer (life: types.BackEndLife, isLate: boolean, answer: rateLimits.PermitAnswer): rateLimits.PermitAnswer {
    const waits = isLate ? lateWaitUntil : waitUntil
    forgetPast(waits)
    if (!answer.isGranted) waits.set(life, now() + answer.waitMs)
    return answer
  }

  /** A back end whose life has ended is never asked for again. */
  function forgetPast (waits: Map<types.BackEndLife, number>): void {
    for (const [life, until] of waits) if (until <= now()) waits.delete(life)
  }

  async function ask (host: string, limit: rateLimits.RateLimit & { readonly perSecond: number }, isLate: boolean): Promise<rateLimits.PermitAnswer> {
    number += 1
    const own = number
    const sendAsk = (): void => { options.send(host, permitWire.formatAsk({ number: own, life: limit.life, perSecond: limit.perSecond, ageMs: now() - limit.heardAt, isLate })) }
    return await new Promise((resolve) => {
      const cancelAgain = options.at(now() + ASK_AGAIN_MS, sendAsk)
      const cancel = options.at(now() + ANSWER_MS, () => {
        asks.delete(own)
        count('permits_asked', { answer: 'none' })
        resolve({ isGranted: false, waitMs: SILENT_WAIT_MS })
      })
      asks.set(own, {
        host,
        askedAt: now(),
        finish: (answer) => {
          cancel()
          cancelAgain()
          asks.delete(own)
          count('permits_asked', { answer: answer.isGranted ? 'granted' : 'refused' })
          resolve(answer)
        }
      })
      sendAsk()
    })
  }

  return {
    waitMs: (life, isLate) => {
      if (underWay.has(life)) return UNDER_WAY_WAIT_MS
      return Math.max(0, (waitUntil.get(life) ?? 0) - now(), isLate ? (lateWaitUntil.get(life) ?? 0) - now() : 0)
    },
    acquire: async (limit, isLate) => {
      const { life, perSecond, heardAt } = limit
      if (perSecond === null) return { isGranted: true }
      const counter = options.findCounter(life)
      if (counter === null) return noteAnswer(life, isLate, { isGranted: false, waitMs: SILENT_WAIT_MS })
      if (counter.host === options.ownHost) return noteAnswer(life, isLate, options.counter.take({ life, perSecond, heardAt }, counter.part, isLate))
      underWay.add(life)
      const answer = await ask(counter.host, { life, perSecond, heardAt }, isLate)
      underWay.delete(life)
      return noteAnswer(life, isLate, answer)
    },
    receive: (bytes, from) => {
      if (!permitWire.isReply(bytes)) return false
      const reply = permitWire.decodeReply(bytes)
      if (reply === null) {
        count('datagrams_dropped', { reason: 'bad-permit' })
        return true
      }
      const known = asks.get(reply.number)
      // After a suspension the answer may come before the timer does.
      if (known === undefined || known.host !== from || now() - known.askedAt > ANSWER_MS) count('permits_lapsed')
      else known.finish(reply.waitMs === 0 ? { isGranted: true } : { isGranted: false, waitMs: reply.waitMs })
      return true
    }
  }
}
