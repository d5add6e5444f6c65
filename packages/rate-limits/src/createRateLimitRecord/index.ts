/** Records the rate limits of back ends that one daemon knows: which are in force, since when, and which have ended. */
import type * as types from '@switchridge/types'
import type * as rateLimits from '../types/index.js'

/** Where a limit was learned from: the back end's own response, or another daemon. */
export type RateLimitSource = 'answer' | 'peer'

/** A change of a limit. */
export interface RateLimitChange {
  readonly life: types.BackEndInstanceId
  /** Requests per second; null for no limit. */
  readonly before: number | null
  readonly after: number | null
  readonly source: RateLimitSource
}

/** Options of {@link createRateLimitRecord}. */
export interface RateLimitRecordOptions {
  readonly onChange: (change: RateLimitChange) => void
  /** Called with an advertised limit that can't be parsed, but not again while the text stays the same. */
  readonly onUnreadable: (life: types.BackEndInstanceId, text: string) => void
  /** Broadcasts a limit to all other gateways: one that is new to this daemon, or that was not broadcast for a while. */
  readonly broadcast: (limit: rateLimits.RateLimit) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** The rate limits that one daemon knows. */
export interface RateLimitRecord {
  /**
   * Records the limit that a response advertises.
   *
   * @param life - The run of the back end that responded.
   * @param rate - What the headers of its response advertise.
   * @param sentAt - Monotonic time in milliseconds at which the call was sent.
   */
  readonly noteResponse: (life: types.BackEndInstanceId, rate: rateLimits.AdvertisedRate, sentAt: number) => void
  /** Records a limit received from another daemon, if it is newer than the known one. */
  readonly noteFromPeer: (limit: rateLimits.RateLimit) => void
  /** The limit in force, or null. */
  readonly read: (life: types.BackEndInstanceId) => rateLimits.RateLimit | null
  /** Whether no limit is recorded, not even one that has ended. */
  readonly isEmpty: () => boolean
  /** All limits in force. */
  readonly inForce: () => rateLimits.RateLimit[]
  /** Removes the limits of back ends that are no longer listed. */
  readonly retainOnly: (lives: ReadonlySet<types.BackEndInstanceId>) => void
}

/** An unchanged limit is broadcast again after this time, for daemons that the earlier broadcast and the repair of lost broadcasts did not reach. */
const REBROADCAST_MS = 30_000
/**
 * Shortest time between broadcasts of a limit that changes: all daemons store each broadcast for a while, so a limit that changes often must not be sent each
 * time. The counter learns of each change from permit requests.
 */
const CHANGE_BROADCAST_MS = 5000
/** The limit of an unlisted back end is kept for this time, since it may be received before the list of back ends. */
const UNLISTED_RETENTION_MS = 30_000

interface Entry {
  limit: rateLimits.RateLimit
  broadcastAt: number
}

/**
 * Creates an empty record.
 *
 * @param options - Listeners, broadcast and clock.
 * @returns The record.
 */
export function createRateLimitRecord ({ onChange, onUnreadable, broadcast, now }: RateLimitRecordOptions): RateLimitRecord {
  const entries = new Map<types.BackEndInstanceId, Entry>()
  const unreadableTexts = new Map<types.BackEndInstanceId, string>()

  function readPerSecond (life: types.BackEndInstanceId): number | null {
    return entries.get(life)?.limit.perSecond ?? null
  }

  function set (limit: rateLimits.RateLimit, source: RateLimitSource, broadcastAt: number): void {
    const before = readPerSecond(limit.life)
    entries.set(limit.life, { limit, broadcastAt })
    if (before !== limit.perSecond) onChange({ life: limit.life, before, after: limit.perSecond, source })
  }

  function wasBroadcastRecently ({ limit, broadcastAt }: Entry, perSecond: number): boolean {
    if (limit.perSecond === null) return false
    return now() - broadcastAt < (limit.perSecond === perSecond ? REBROADCAST_MS : CHANGE_BROADCAST_MS)
  }

  function noteAdvertised (life: types.BackEndInstanceId, perSecond: number): void {
    const entry = entries.get(life)
    const wasBroadcast = entry !== undefined && wasBroadcastRecently(entry, perSecond)
    const limit = { life, perSecond, receivedAt: now() }
    set(limit, 'answer', wasBroadcast ? entry.broadcastAt : now())
    if (!wasBroadcast) broadcast(limit)
  }

  /**
   * Responses on different connections overtake each other, so one without a limit may be older than one that advertises it. It ends the limit
   * only if its call was sent after the limit was last received.
   */
  function noteUnlimited (life: types.BackEndInstanceId, sentAt: number): void {
    const entry = entries.get(life)
    if (entry === undefined || entry.limit.perSecond === null || sentAt <= entry.limit.receivedAt) return
    const limit = { life, perSecond: null, receivedAt: now() }
    set(limit, 'answer', now())
    broadcast(limit)
  }

  return {
    read: (life) => {
      const limit = entries.get(life)?.limit
      return limit === undefined || limit.perSecond === null ? null : limit
    },
    isEmpty: () => entries.size === 0,
    inForce: () => [...entries.values()].map(({ limit }) => limit).filter(({ perSecond }) => perSecond !== null),
    noteResponse: (life, rate, sentAt) => {
      if (rate.kind === 'named') noteAdvertised(life, rate.perSecond)
      else if (rate.kind === 'none') noteUnlimited(life, sentAt)
      else if (unreadableTexts.get(life) !== rate.text) {
        unreadableTexts.set(life, rate.text)
        onUnreadable(life, rate.text)
      }
    },
    noteFromPeer: (limit) => {
      const entry = entries.get(limit.life)
      if (entry === undefined || limit.receivedAt > entry.limit.receivedAt) set(limit, 'peer', now())
    },
    retainOnly: (lives) => {
      for (const life of unreadableTexts.keys()) if (!lives.has(life)) unreadableTexts.delete(life)
      for (const [life, { limit }] of entries) if (!lives.has(life) && now() - limit.receivedAt > UNLISTED_RETENTION_MS) entries.delete(life)
    }
  }
}
