/** Answers gateways that request slots of an agent's engine, over datagrams. */
import type * as createSlotReservations from '../createSlotReservations/index.js'
import * as reservationWire from '../_lib/reservationWire.js'

/** Options of {@link createReservationServer}. */
export interface ReservationServerOptions {
  /** Reserves a slot if one is free. */
  readonly reserve: (request: createSlotReservations.SlotRequest) => boolean
  readonly send: (host: string, bytes: Buffer) => void
  readonly count: (name: string, labels?: Readonly<Record<string, string>>) => void
}

/** The reservation server of one agent. */
export interface ReservationServer {
  /** Handles a datagram; false if it is not a reservation request. */
  readonly receive: (bytes: Buffer, from: string) => boolean
}

/**
 * Creates the server.
 *
 * @param options - Slots of the engine, transport to the gateways, and counters.
 * @returns The server.
 */
export function createReservationServer ({ reserve, send, count }: ReservationServerOptions): ReservationServer {
  return {
    receive: (bytes, from) => {
      if (!reservationWire.isRequest(bytes)) return false
      const request = reservationWire.decodeRequest(bytes)
      if (request === null) {
        count('datagrams_dropped', { reason: 'bad-reservation' })
        return true
      }
      const isReserved = reserve(request)
      count('slots_answered', { answer: isReserved ? 'reserved' : 'refused' })
      send(from, reservationWire.formatReply({ number: request.number, isReserved }))
      return true
    }
  }
}
