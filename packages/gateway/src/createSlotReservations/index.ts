/** Reserves slots of one engine for calls that gateways are about to send, based on a newer report than the gateways have. */
import type * as createBackEndTracker from '../createBackEndTracker/index.js'
import * as predictFirstEvent from '../predictFirstEvent/index.js'
import type * as gateway from '../types/index.js'

/** A request for a slot. */
export interface SlotRequest {
  readonly promptTokens: number
  /** Milliseconds within which the first event counts as in time. */
  readonly withinMs: number
  /** Fraction, from 0 to 1, of the time in which the call's own prompt is read that is left out of the comparison; 0 if absent. */
  readonly promptDiscount?: number
}

/** The reservations of one engine. */
export interface SlotReservations {
  /** Records a report that was just read; it already counts calls whose reservations are older than the arrival timeout. */
  readonly noteReport: (report: gateway.EngineReport | null) => void
  /** Reserves a slot for a call to be sent at once; false if the call would be queued or late. */
  readonly reserve: (request: SlotRequest, figures: gateway.EngineFigures) => boolean
}

interface Reservation {
  readonly promptTokens: number
  /** Monotonic time in milliseconds. */
  readonly at: number
}

/** A call reaches its engine within this time after its reservation. */
const ARRIVAL_TIMEOUT_MS = 30
/** An older report is not used. */
const REPORT_VALID_MS = 800
/** The first event must be predicted within this fraction of the time, because calls without a reservation arrive too. */
const TIME_FRACTION = 0.6
/** Only the agent reserves slots of its engine, so no calls of other gateways have to be estimated. */
const SENDING_GATEWAYS = 1
const NO_OPEN_ATTEMPTS: createBackEndTracker.BackEndLoad['open'] = new Set()

/**
 * Creates the reservations of one engine.
 *
 * @param now - Monotonic clock in milliseconds.
 * @returns The reservations, without a report yet.
 */
export function createSlotReservations (now: () => number): SlotReservations {
  let reserved: Reservation[] = []
  let report: gateway.EngineReport | null = null
  let reportAt = -Infinity

  return {
    noteReport: (next) => {
      report = next
      reportAt = now()
      reserved = reserved.filter(({ at }) => now() - at <= ARRIVAL_TIMEOUT_MS)
    },
    reserve: ({ promptTokens, withinMs, promptDiscount = 0 }, figures) => {
      if (report === null || report.models.size === 0 || now() - reportAt > REPORT_VALID_MS) return false
      const load = { report, open: NO_OPEN_ATTEMPTS, sentSinceReport: reserved.length, promptTokensSinceReport: reserved.reduce((sum, each) => sum + each.promptTokens, 0) }
      const { firstEventMs, ownReadMs, queuedAhead } = predictFirstEvent.predictFirstEvent(figures, figures.slots, load, promptTokens, SENDING_GATEWAYS)
      if (queuedAhead > 0 || firstEventMs - promptDiscount * ownReadMs > withinMs * TIME_FRACTION) return false
      reserved.push({ promptTokens, at: now() })
      return true
    }
  }
}
