/** Records how long back ends want no calls of this gateway, and how many calls may follow once that time is over. */
import * as types from '@switchridge/types'
import type * as backoffs from '../types/backoff.js'
import type * as gateway from '../types/index.js'

/** Options of {@link createBackoffRecord}. */
export interface BackoffRecordOptions {
  /** Called when a back end asks for a time that ends later than the known one. */
  readonly onBackoff: (instance: types.BackEndInstanceId, forMs: number) => void
  /** Called with a time that can't be parsed, but not again while the text stays the same. */
  readonly onUnreadable: (instance: types.BackEndInstanceId, text: string) => void
  /** Number of gateways that send calls, including this one. */
  readonly countGateways: () => number
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Returns a random number from 0 to 1. */
  readonly random: () => number
}

/** The backoffs that one gateway keeps. */
export interface BackoffRecord extends backoffs.BackoffKeeper {
  /** Number of back ends that get no calls now. */
  readonly countInForce: () => number
  /** Forgets back ends that are no longer listed, once the time that they asked for is over. */
  readonly removeUnlisted: (listed: readonly InstanceOfBackEnd[]) => void
}

/** Identifies one instance of a back end. */
type InstanceOfBackEnd = Pick<gateway.BackEnd, 'id' | 'bornAt'>

/** Longer requests are shortened to this, so that a wrong one doesn't keep a back end without calls until its gateway restarts. */
export const MAXIMUM_BACKOFF_MS = 3_600_000
/** Each gateway extends the time by a random part of this for each gateway, since they are told about the same end and would all send calls at that moment. */
export const RESUME_SPREAD_PER_GATEWAY_MS = 50
const NO_BACKOFF: backoffs.Backoff = { waitMs: 0, maximumUnanswered: Infinity }

interface Entry {
  /** Monotonic time in milliseconds until which no calls are sent. */
  until: number
  /** The same without the random extension. */
  requestedUntil: number
  /** Number of calls that may be unanswered after that time. */
  maximumUnanswered: number
}

/**
 * Creates an empty record.
 *
 * @param options - Listeners, clock and random numbers.
 * @returns The record.
 */
export function createBackoffRecord ({ onBackoff, onUnreadable, countGateways, now, random }: BackoffRecordOptions): BackoffRecord {
  const entries = new Map<types.BackEndInstanceId, Entry>()
  const unreadableTexts = new Map<types.BackEndInstanceId, string>()

  function toInstanceId ({ id, bornAt }: InstanceOfBackEnd): types.BackEndInstanceId {
    return types.formatBackEndInstanceId(id, bornAt)
  }

  /** Responses overtake each other, so a shorter request never ends a longer one. */
  function noteRequest (instance: types.BackEndInstanceId, forMs: number): void {
    const requestedUntil = now() + Math.min(forMs, MAXIMUM_BACKOFF_MS)
    const known = entries.get(instance)
    if (requestedUntil <= (known?.requestedUntil ?? now())) return
    entries.set(instance, { requestedUntil, until: requestedUntil + RESUME_SPREAD_PER_GATEWAY_MS * countGateways() * random(), maximumUnanswered: 1 })
    onBackoff(instance, forMs)
  }

  /** Each success admits one more unanswered call, so the load doubles with each response time until the slots are reached. */
  function noteSuccess (instance: types.BackEndInstanceId, slots: number): void {
    const entry = entries.get(instance)
    if (entry === undefined || entry.until > now()) return
    entry.maximumUnanswered += 1
    if (entry.maximumUnanswered > slots) entries.delete(instance)
  }

  function noteUnreadable (instance: types.BackEndInstanceId, text: string): void {
    if (unreadableTexts.get(instance) === text) return
    unreadableTexts.set(instance, text)
    onUnreadable(instance, text)
  }

  return {
    noteResponse: (backEnd, request, isSuccess) => {
      const instance = toInstanceId(backEnd)
      if (request.kind === 'named') noteRequest(instance, request.forMs)
      else if (request.kind === 'unreadable') noteUnreadable(instance, request.text)
      else if (isSuccess) noteSuccess(instance, backEnd.slots)
    },
    read: (backEnd) => {
      const entry = entries.size === 0 ? undefined : entries.get(toInstanceId(backEnd))
      return entry === undefined ? NO_BACKOFF : { waitMs: Math.max(0, entry.until - now()), maximumUnanswered: entry.maximumUnanswered }
    },
    countInForce: () => [...entries.values()].filter(({ until }) => until > now()).length,
    removeUnlisted: (listed) => {
      const listedIds = new Set(listed.map(toInstanceId))
      for (const instance of unreadableTexts.keys()) if (!listedIds.has(instance)) unreadableTexts.delete(instance)
      for (const [instance, { until }] of entries) if (!listedIds.has(instance) && until <= now()) entries.delete(instance)
    }
  }
}
