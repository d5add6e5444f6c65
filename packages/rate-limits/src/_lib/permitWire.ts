/** Encodes and decodes the datagrams that request and grant permits: JSON arrays whose first element is the kind. */
import * as types from '@switchridge/types'
import type * as rateLimits from '../types/index.js'

/** A gateway's request for one permit. */
export interface PermitRequest {
  /** Distinguishes the requests of one gateway, including those from before its last restart. */
  readonly requestId: number
  readonly life: types.BackEndInstanceId
  /** The advertised limit as the gateway knows it, and the milliseconds since it was received from the back end; null if it advertises none, and is cold. */
  readonly perSecond: number | null
  readonly ageMs: number
  /** Whether the answer to the call will miss its target time. */
  readonly isLate: boolean
  /** Absent if the back end is not cold. */
  readonly cold?: rateLimits.ColdLimit
  /** Rank of the call, 0 for the highest; only sent for a cold back end. */
  readonly rank?: number
}

/** The counter's reply to a permit request. */
export interface PermitReply {
  readonly requestId: number
  /** 0 if the permit is granted; otherwise the milliseconds after which to ask again. */
  readonly waitMs: number
}

const REQUEST_PREFIX = '["p",'
const REPLY_PREFIX = '["g",'

/** Whether a datagram is a permit request. */
export function isRequest (bytes: Buffer): boolean {
  return bytes.toString('latin1', 0, REQUEST_PREFIX.length) === REQUEST_PREFIX
}

/** Whether a datagram is a reply to a permit request. */
export function isReply (bytes: Buffer): boolean {
  return bytes.toString('latin1', 0, REPLY_PREFIX.length) === REPLY_PREFIX
}

/** Stands for a missing advertised limit in the request for a cold back end; a real limit is never zero. */
const NO_RATE = 0

/**
 * Formats a permit request. For a cold back end the lower rate comes first, which is all that counters of older builds read; the limit of the cold back
 * end and the advertised one follow at the end.
 */
export function formatRequest ({ requestId, life, perSecond, ageMs, isLate, cold, rank }: PermitRequest): Buffer {
  const lowest = Math.min(perSecond ?? Infinity, cold?.perSecond ?? Infinity)
  const coldFields = cold === undefined ? '' : `,${cold.perSecond},${cold.burst},${perSecond ?? NO_RATE},${rank ?? 0}`
  return Buffer.from(`${REQUEST_PREFIX}${requestId},${JSON.stringify(life)},${lowest},${Math.round(ageMs)},${isLate ? 1 : 0}${coldFields}]`)
}

/** Formats a reply. Waits are rounded up, since 0 would mean that the permit is granted. */
export function formatReply ({ requestId, waitMs }: PermitReply): Buffer {
  return Buffer.from(`${REPLY_PREFIX}${requestId},${Math.ceil(waitMs)}]`)
}

/** Decodes a permit request; returns null if it is malformed. */
export function decodeRequest (bytes: Buffer): PermitRequest | null {
  const [, requestId, life, lowest, ageMs, late, coldPerSecond, burst, advertised, rank] = types.parseJsonArray(bytes)
  if (!types.isNonNegativeNumber(requestId) || !types.isBackEndInstanceId(life)) return null
  if (!types.isNonNegativeNumber(lowest) || lowest === 0 || !types.isNonNegativeNumber(ageMs)) return null
  if (coldPerSecond === undefined) return { requestId, life, perSecond: lowest, ageMs, isLate: late === 1 }
  if (!types.isNonNegativeNumber(coldPerSecond) || coldPerSecond === 0 || !types.isNonNegativeNumber(burst) || !types.isNonNegativeNumber(advertised) || !types.isNonNegativeNumber(rank)) return null
  return { requestId, life, perSecond: advertised === NO_RATE ? null : advertised, ageMs, isLate: late === 1, cold: { perSecond: coldPerSecond, burst }, rank }
}

/** Decodes a reply; returns null if it is malformed. */
export function decodeReply (bytes: Buffer): PermitReply | null {
  const [, requestId, waitMs] = types.parseJsonArray(bytes)
  return types.isNonNegativeNumber(requestId) && types.isNonNegativeNumber(waitMs) ? { requestId, waitMs } : null
}
