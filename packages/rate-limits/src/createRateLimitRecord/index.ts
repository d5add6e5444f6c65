/** What one daemon knows of the rates that back ends name: which are in force, since when, and which have ended. */
import type * as types from '@switchridge/types'
import type * as rateLimits from '../types/index.js'

/** Where the word of a limit comes from. */
export type RateLimitSource = 'answer' | 'peer'

/** A limit that became another one. */
export interface RateLimitChange {
  readonly life: types.BackEndLife
  /** Requests a second; null for none. */
  readonly before: number | null
  readonly after: number | null
  readonly source: RateLimitSource
}

/** Options of {@link createRateLimitRecord}. */
export interface RateLimitRecordOptions {
  readonly onChange: (change: RateLimitChange) => void
  /** Told of a named rate that can't be right, once for each text. */
  readonly onUnreadable: (life: types.BackEndLife, text: string) => void
  /** Tells all others of a limit that is new to this daemon, or was not told for long. */
  readonly tell: (limit: rateLimits.RateLimit) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** The record. */
export interface RateLimitRecord {
  /**
   * Notes what an answer says.
   *
   * @param life - The back end that answered.
   * @param rate - What the head of its answer names.
   * @param sentAt - Monotonic time in milliseconds at which the call was sent.
   */
  readonly noteAnswer: (life: types.BackEndLife, rate: rateLimits.NamedRate, sentAt: number) => void
  /** Notes what another daemon heard; the newest word holds. */
  readonly noteTold: (limit: rateLimits.RateLimit) => void
  /** The limit in force, or null. */
  readonly read: (life: types.BackEndLife) => rateLimits.RateLimit | null
  /** Whether no back end ever named a limit. */
  readonly isEmpty: () => boolean
  /** Limits in force. */
  readonly inForce: () => rateLimits.RateLimit[]
  /** Forgets lives that have ended. */
  readonly keepOnly: (lives: ReadonlySet<types.BackEndLife>) => void
}

/** A daemon that missed the first word of a limit, and its repairs, hears it again after this. */
const TELL_AGAIN_MS = 30_000
/** What others are told is remembered by all for a while, so a limit that changes often is not told each time; who counts hears of it by asks. */
const TELL_CHANGED_MS = 5000
/** The word of a limit may come before the list of back ends does. */
const UNLISTED_KEPT_MS = 30_000

interface Entry {
  limit: rateLimits.RateLimit
  toldAt: number
}

/**
 * Creates a record without limits.
 *
 * @param options - Who is told of changes, and the clock.
 * @returns The record.
 */
export function createRateLimitRecord ({ onChange, onUnreadable, tell, now }: RateLimitRecordOptions): RateLimitRecord {
  const entries = new Map<types.BackEndLife, Entry>()
  const unreadable = new Map<types.BackEndLife, string>()

  function readPerSecond (life: types.BackEndLife): number | null {
    return entries.get(life)?.limit.perSecond ?? null
  }

  function set (limit: rateLimits.RateLimit, source: RateLimitSource, toldAt: number): void {
    const before = readPerSecond(limit.life)
    entries.set(limit.life, { limit, toldAt })
    if (before !== limit.perSecond) onChange({ life: limit.life, before, after: limit.perSecond, source })
  }

  function isToldOften ({ limit, toldAt }: Entry, perSecond: number): boolean {
    if (limit.perSecond === null) return false
    return now() - toldAt < (limit.perSecond === perSecond ? TELL_AGAIN_MS : TELL_CHANGED_MS)
  }

  function noteNamed (life: types.BackEndLife, perSecond: number): void {
    const known = entries.get(life)
    const isTold = known !== undefined && isToldOften(known, perSecond)
    const limit = { life, perSecond, heardAt: now() }
    set(limit, 'answer', isTold ? known.toldAt : now())
    if (!isTold) tell(limit)
  }

  /**
   * Answers on several connections overtake each other, so one without a limit may be older than one that names it. It ends the limit
   * only if its call was sent after the limit was last heard.
   */
  function noteUnlimited (life: types.BackEndLife, sentAt: number): void {
    const known = entries.get(life)
    if (known === undefined || known.limit.perSecond === null || sentAt <= known.limit.heardAt) return
    const limit = { life, perSecond: null, heardAt: now() }
    set(limit, 'answer', now())
    tell(limit)
  }

  return {
    read: (life) => {
      const limit = entries.get(life)?.limit
      return limit === undefined || limit.perSecond === null ? null : limit
    },
    isEmpty: () => entries.size === 0,
    inForce: () => [...entries.values()].map(({ limit }) => limit).filter(({ perSecond }) => perSecond !== null),
    noteAnswer: (life, rate, sentAt) => {
      if (rate.kind === 'named') noteNamed(life, rate.perSecond)
      else if (rate.kind === 'none') noteUnlimited(life, sentAt)
      else if (unreadable.get(life) !== rate.text) {
        unreadable.set(life, rate.text)
        onUnreadable(life, rate.text)
      }
    },
    noteTold: (limit) => {
      const known = entries.get(limit.life)
      if (known === undefined || limit.heardAt > known.limit.heardAt) set(limit, 'peer', now())
    },
    keepOnly: (lives) => {
      for (const life of unreadable.keys()) if (!lives.has(life)) unreadable.delete(life)
      for (const [life, { limit }] of entries) if (!lives.has(life) && now() - limit.heardAt > UNLISTED_KEPT_MS) entries.delete(life)
    }
  }
}
