/** Encodes and decodes the datagrams that request and grant permits: JSON arrays whose first element is the kind. */
import * as types from '@switchridge/types'

/** A gateway's request for one permit. */
export interface PermitRequest {
  /** Distinguishes the requests of one gateway, including those from before its last restart. */
  readonly requestId: number
  readonly life: types.BackEndInstanceId
  /** The limit as the gateway knows it, and the milliseconds since it was received from the back end. */
  readonly perSecond: number
  readonly ageMs: number
  /** Whether the answer to the call will miss its target time. */
  readonly isLate: boolean
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

/** Formats a permit request. */
export function formatRequest ({ requestId, life, perSecond, ageMs, isLate }: PermitRequest): Buffer {
  return Buffer.from(`${REQUEST_PREFIX}${requestId},${JSON.stringify(life)},${perSecond},${Math.round(ageMs)},${isLate ? 1 : 0}]`)
}

/** Formats a reply. Waits are rounded up, since 0 would mean that the permit is granted. */
export function formatReply ({ requestId, waitMs }: PermitReply): Buffer {
  return Buffer.from(`${REPLY_PREFIX}${requestId},${Math.ceil(waitMs)}]`)
}

/** Decodes a permit request; returns null if it is malformed. */
export function decodeRequest (bytes: Buffer): PermitRequest | null {
  const [, requestId, life, perSecond, ageMs, late] = types.parseJsonArray(bytes)
  if (!types.isNonNegativeNumber(requestId) || !types.isBackEndInstanceId(life)) return null
  if (!types.isNonNegativeNumber(perSecond) || perSecond === 0 || !types.isNonNegativeNumber(ageMs)) return null
  return { requestId, life, perSecond, ageMs, isLate: late === 1 }
}

/** Decodes a reply; returns null if it is malformed. */
export function decodeReply (bytes: Buffer): PermitReply | null {
  const [, requestId, waitMs] = types.parseJsonArray(bytes)
  return types.isNonNegativeNumber(requestId) && types.isNonNegativeNumber(waitMs) ? { requestId, waitMs } : null
}
