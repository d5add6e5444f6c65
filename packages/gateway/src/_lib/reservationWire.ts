/** Datagrams of slot reservations: JSON arrays that start with the kind of message. */
import * as types from '@switchridge/types'
import type * as createSlotReservations from '../createSlotReservations/index.js'

/** A gateway's request for a slot. */
export interface ReservationRequest extends createSlotReservations.SlotRequest {
  /** Distinguishes the requests of one gateway, including those of its earlier processes. */
  readonly number: number
}

/** The reply to a request. */
export interface ReservationReply {
  readonly number: number
  readonly isReserved: boolean
}

const REQUEST_PREFIX = '["s",'
const REPLY_PREFIX = '["t",'

/** Whether a datagram is a request. */
export function isRequest (bytes: Buffer): boolean {
  return bytes.toString('latin1', 0, REQUEST_PREFIX.length) === REQUEST_PREFIX
}

/** Whether a datagram is a reply. */
export function isReply (bytes: Buffer): boolean {
  return bytes.toString('latin1', 0, REPLY_PREFIX.length) === REPLY_PREFIX
}

/** Formats a request. */
export function formatRequest ({ number, promptTokens, withinMs, promptDiscount = 0 }: ReservationRequest): Buffer {
  return Buffer.from(`${REQUEST_PREFIX}${number},${Math.round(promptTokens)},${Math.floor(withinMs)}${promptDiscount > 0 ? `,${promptDiscount}` : ''}]`)
}

/** Formats a reply. */
export function formatReply ({ number, isReserved }: ReservationReply): Buffer {
  return Buffer.from(`${REPLY_PREFIX}${number},${isReserved ? 1 : 0}]`)
}

/** Decodes a request; null if it is invalid. */
export function decodeRequest (bytes: Buffer): ReservationRequest | null {
  const [, number, promptTokens, withinMs, promptDiscount = 0] = types.parseJsonArray(bytes)
  if (!types.isNonNegativeNumber(number) || !types.isNonNegativeNumber(promptTokens) || !types.isNonNegativeNumber(withinMs)) return null
  if (!types.isNonNegativeNumber(promptDiscount) || promptDiscount > 1) return null
  return { number, promptTokens, withinMs, ...(promptDiscount > 0 ? { promptDiscount } : {}) }
}

/** Decodes a reply; null if it is invalid. */
export function decodeReply (bytes: Buffer): ReservationReply | null {
  const [, number, reserved] = types.parseJsonArray(bytes)
  return types.isNonNegativeNumber(number) && (reserved === 0 || reserved === 1) ? { number, isReserved: reserved === 1 } : null
}
