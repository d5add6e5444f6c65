/** Reserves slots of back ends for calls, as the request path uses it. */
import type * as createSlotReservations from '../createSlotReservations/index.js'
import type * as gateway from './index.js'

/** Reply of an agent to a request for a slot; `unanswered` if none came in time. */
export type ReservationAnswer = 'reserved' | 'refused' | 'unanswered'

/** The slot reserver of a gateway. */
export interface SlotReserver {
  /** Requests a slot from the agent on a back end's machine, for a call to be sent at once when granted; false if there is no slot or no reply in time. */
  readonly reserve: (backEnd: gateway.BackEnd, request: createSlotReservations.SlotRequest) => Promise<boolean>
  /** The same, with the reason why there is no slot. */
  readonly ask: (backEnd: gateway.BackEnd, request: createSlotReservations.SlotRequest) => Promise<ReservationAnswer>
}
