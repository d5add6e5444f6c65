/** Requests permits from the counter of a back end, the daemon that grants all permits for it. */
import * as types from '@switchridge/types'
import * as permitWire from '../_lib/permitWire.js'
import type * as chooseCounter from '../chooseCounter/index.js'
import type * as createPermitCounter from '../createPermitCounter/index.js'
import type * as rateLimits from '../types/index.js'

/** Options of {@link createPermitClient}. */
export interface PermitClientOptions {
  readonly ownHost: string
  /** Grants the permits of back ends whose counter is this daemon. */
  readonly counter: createPermitCounter.PermitCounter
  /** Returns the counter of a back end, which may be cold; null if no daemon qualifies. */
  readonly findCounter: (life: types.BackEndInstanceId, isCold: boolean) => chooseCounter.ChosenCounter | null
  /** Sends a datagram to the daemon on a host. */
  readonly send: (host: string, bytes: Buffer) => void
  /** Increments a metric. */
  readonly count: (name: string, labels?: Readonly<Record<string, string>>) => void
  /** Runs an action at a monotonic time in milliseconds; returns a function that cancels it. */
  readonly at: (time: number, action: () => void) => () => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Random number from 0 to 1. */
  readonly random: () => number
}

/** The permit client of one gateway. */
export interface PermitClient extends rateLimits.PermitSource {
  /** Handles a datagram; returns false if it is not a reply to a permit request. */
  readonly receive: (bytes: Buffer, from: string) => boolean
}

/**
 * Time after which a request counts as unanswered; a permit that arrives later expires. Replies between regions take a tenth of it unless a link is saturated,
 * and a call that waits longer would also be late at another back end.
 */
const REPLY_TIMEOUT_MS = 100
/** Time after which the request or its reply is assumed lost and the request is sent again. The counter repeats its reply to a duplicate, so no permit is wasted. */
const RETRANSMIT_MS = 30
/** Wait before asking again if the counter did not reply or there is none. Nothing is sent meanwhile, since another daemon may be granting permits. */
const NO_REPLY_WAIT_MS = 500
/** Wait that is reported while a request for the same back end is pending, so that other calls choose another back end. */
const PENDING_WAIT_MS = 10
/**
 * The bound of a cold back end applies to any one second, so the time between the grant and the departure of the request counts: a permit expires this long after it
 * was asked for, which leaves the connection at least 50 ms.
 */
const COLD_PERMIT_MS = 150
const REQUEST_ID_RANGE = 2 ** 31

interface PendingRequest {
  readonly host: string
  readonly requestedAt: number
  readonly finish: (decision: rateLimits.PermitDecision) => void
}

/**
 * Creates the client.
 *
 * @param options - Counter lookup, transport, metrics and clocks.
 * @returns The client.
 */
export function createPermitClient (options: PermitClientOptions): PermitClient {
  const { count, now } = options
  const pendingRequests = new Map<number, PendingRequest>()
  const pendingLives = new Set<types.BackEndInstanceId>()
  const retryTimes = new Map<types.BackEndInstanceId, number>()
  /** Kept apart for late calls: their refusals must not keep other calls from requesting permits. */
  const lateRetryTimes = new Map<types.BackEndInstanceId, number>()
  /** Kept apart for calls of lower ranks for the same reason. */
  const rankRetryTimes = new Map<types.BackEndInstanceId, Map<number, number>>()
  let lastRequestId = Math.floor(options.random() * REQUEST_ID_RANGE)

  function recordDecision ({ life, rank = 0 }: rateLimits.LimitInForce, isLate: boolean, decision: rateLimits.PermitDecision): rateLimits.PermitDecision {
    if (rank > 0 && !isLate) {
      recordRankDecision(life, rank, decision)
      return decision
    }
    const times = isLate ? lateRetryTimes : retryTimes
    removePastTimes(times)
    if (!decision.isGranted) times.set(life, now() + decision.waitMs)
    return decision
  }

  function recordRankDecision (life: types.BackEndInstanceId, rank: number, decision: rateLimits.PermitDecision): void {
    for (const [each, times] of rankRetryTimes) {
      removePastTimes(times)
      if (times.size === 0) rankRetryTimes.delete(each)
    }
    if (!decision.isGranted) types.getOrCreate(rankRetryTimes, life, () => new Map<number, number>()).set(rank, now() + decision.waitMs)
  }

  /** Latest time at which calls of a rank or a higher one were told to ask again. */
  function readRankRetryAt (life: types.BackEndInstanceId, rank: number): number {
    const times = rank === 0 ? undefined : rankRetryTimes.get(life)
    return times === undefined ? 0 : Math.max(0, ...[...times].filter(([each]) => each <= rank).map(([, retryAt]) => retryAt))
  }

  /** Removes past entries, since no further request would remove those of back ends that no longer run. */
  function removePastTimes<Key> (times: Map<Key, number>): void {
    for (const [key, retryAt] of times) if (retryAt <= now()) times.delete(key)
  }

  async function requestPermit (host: string, limit: rateLimits.LimitInForce, isLate: boolean): Promise<rateLimits.PermitDecision> {
    lastRequestId += 1
    const requestId = lastRequestId
    const sendRequest = (): void => { options.send(host, permitWire.formatRequest({ ...limit, requestId, ageMs: now() - limit.receivedAt, isLate })) }
    return await new Promise((resolve) => {
      const cancelRetransmit = options.at(now() + RETRANSMIT_MS, sendRequest)
      const cancelTimeout = options.at(now() + REPLY_TIMEOUT_MS, () => {
        pendingRequests.delete(requestId)
        count('permits_asked', { answer: 'none' })
        resolve({ isGranted: false, waitMs: NO_REPLY_WAIT_MS })
      })
      pendingRequests.set(requestId, {
        host,
        requestedAt: now(),
        finish: (decision) => {
          cancelTimeout()
          cancelRetransmit()
          pendingRequests.delete(requestId)
          count('permits_asked', { answer: decision.isGranted ? 'granted' : 'refused' })
          resolve(decision)
        }
      })
      sendRequest()
    })
  }

  return {
    waitMs: (life, isLate, rank = 0) => {
      if (pendingLives.has(life)) return PENDING_WAIT_MS
      return Math.max(0, (retryTimes.get(life) ?? 0) - now(), isLate ? (lateRetryTimes.get(life) ?? 0) - now() : 0, readRankRetryAt(life, rank) - now())
    },
    acquire: async (limit, isLate) => {
      const { life, perSecond } = limit
      const isCold = limit.cold !== undefined
      if (perSecond === null && !isCold) return { isGranted: true }
      const askedAt = now()
      const counter = options.findCounter(life, isCold)
      if (counter === null) return recordDecision(limit, isLate, { isGranted: false, waitMs: NO_REPLY_WAIT_MS })
      if (counter.host === options.ownHost) return recordDecision(limit, isLate, addExpiry(options.counter.take(limit, counter.part, isLate)))
      pendingLives.add(life)
      const decision = await requestPermit(counter.host, limit, isLate)
      pendingLives.delete(life)
      return recordDecision(limit, isLate, addExpiry(decision))

      function addExpiry (decided: rateLimits.PermitDecision): rateLimits.PermitDecision {
        return isCold && decided.isGranted ? { ...decided, expiresAt: askedAt + COLD_PERMIT_MS } : decided
      }
    },
    receive: (bytes, from) => {
      if (!permitWire.isReply(bytes)) return false
      const reply = permitWire.decodeReply(bytes)
      if (reply === null) {
        count('datagrams_dropped', { reason: 'bad-permit' })
        return true
      }
      const pending = pendingRequests.get(reply.requestId)
      // After a suspension of the process a reply may be handled before the overdue timer.
      if (pending === undefined || pending.host !== from || now() - pending.requestedAt > REPLY_TIMEOUT_MS) count('permits_lapsed')
      else pending.finish(reply.waitMs === 0 ? { isGranted: true } : { isGranted: false, waitMs: reply.waitMs })
      return true
    }
  }
}
