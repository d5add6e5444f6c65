/** Requests slots of engines from their agents, over datagrams. */
import * as clock from '@switchridge/clock'
import * as reservationWire from '../_lib/reservationWire.js'
import type * as createSlotReservations from '../createSlotReservations/index.js'
import type * as gateway from '../types/index.js'
import type * as reservers from '../types/reserver.js'

/** Options of {@link createReservationClient}. */
export interface ReservationClientOptions {
  readonly send: (host: string, bytes: Buffer) => void
  readonly count: (name: string, labels?: Readonly<Record<string, string>>) => void
  /** Schedules an action at a time of the monotonic clock. */
  readonly at: clock.ScheduleAt
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Returns a random number from 0 to 1. */
  readonly random: () => number
}

/** The reservation client of one gateway. */
export interface ReservationClient extends reservers.SlotReserver {
  /** Handles a datagram; false if it is not a reply to a reservation request. */
  readonly receive: (bytes: Buffer, from: string) => boolean
}

interface PendingRequest {
  readonly host: string
  readonly finish: (answer: reservers.ReservationAnswer) => void
}

/** Time to wait for a reply: a caller that would be refused later than this had better be refused at once. A slot reserved too late simply expires. */
const REPLY_TIMEOUT_MS = 40
/** Requests are numbered from a random number below this, so that replies to an earlier process of the gateway match no request. */
const REQUEST_NUMBER_RANGE = 2 ** 31

/**
 * Creates the client.
 *
 * @param options - Transport to the agents, counters and clocks.
 * @returns The client.
 */
export function createReservationClient (options: ReservationClientOptions): ReservationClient {
  const { count, now } = options
  const pending = new Map<number, PendingRequest>()
  let lastRequestNumber = Math.floor(options.random() * REQUEST_NUMBER_RANGE)

  async function ask ({ address: { host } }: gateway.BackEnd, request: createSlotReservations.SlotRequest): Promise<reservers.ReservationAnswer> {
    lastRequestNumber += 1
    const requestNumber = lastRequestNumber
    return await new Promise((resolve) => {
      let cancel = options.at(now() + REPLY_TIMEOUT_MS, () => { cancel = clock.runAfterReads(() => { finish('unanswered') }) })
      pending.set(requestNumber, { host, finish })
      options.send(host, reservationWire.formatRequest({ number: requestNumber, ...request }))

      function finish (answer: reservers.ReservationAnswer): void {
        cancel()
        pending.delete(requestNumber)
        count('slots_asked', { answer: answer === 'unanswered' ? 'none' : answer })
        resolve(answer)
      }
    })
  }

  return {
    ask,
    reserve: async (backEnd, request) => await ask(backEnd, request) === 'reserved',
    receive: (bytes, from) => {
      if (!reservationWire.isReply(bytes)) return false
      const reply = reservationWire.decodeReply(bytes)
      if (reply === null) {
        count('datagrams_dropped', { reason: 'bad-reservation' })
        return true
      }
      const request = pending.get(reply.number)
      if (request === undefined || request.host !== from) count('slots_lapsed')
      else request.finish(reply.isReserved ? 'reserved' : 'refused')
      return true
    }
  }
}
