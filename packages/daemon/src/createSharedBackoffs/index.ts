/** Keeps the backoffs that back ends ask a gateway for, and tells other gateways, which then prefer other back ends. */
import * as gateway from '@switchridge/gateway'
import * as types from '@switchridge/types'
import type * as createFleetParts from '../createFleetParts/index.js'
import * as backoffFacts from '../_lib/backoffFacts.js'
import * as findByInstanceId from '../_lib/findByInstanceId.js'

/** Options of {@link createSharedBackoffs}. */
export interface SharedBackoffsOptions {
  readonly parts: Pick<createFleetParts.FleetParts, 'backEnds' | 'logger' | 'metrics' | 'now'>
  readonly tracker: Pick<gateway.BackEndTracker, 'noteFailure'>
  readonly publishFact: (content: unknown, ttlMs: number) => void
  /** Number of gateways that send calls, including this one. */
  readonly countGateways: () => number
  /** Random number from 0 to 1. */
  readonly random: () => number
}

/** The backoffs of a gateway. */
export interface SharedBackoffs extends gateway.BackoffRecord {
  /** Handles a fact that another gateway created at a monotonic time in milliseconds; returns false if the fact is not about backoffs. */
  readonly noteFact: (content: unknown, madeAt: number) => boolean
}

/** Others avoid a back end for some hundred milliseconds after a fact, so an older one says nothing about now. */
const FACT_LIFETIME_MS = 1000
/** Facts about one back end are this far apart, whichever gateway creates them, since it tells each gateway on its own. */
const FACT_INTERVAL_MS = 1000

/**
 * Creates the backoffs of a gateway.
 *
 * @param options - Parts of the daemon, and its exchange with others.
 * @returns The backoffs.
 */
export function createSharedBackoffs ({ parts, tracker, publishFact, countGateways, random }: SharedBackoffsOptions): SharedBackoffs {
  const { backEnds, logger, metrics: { count }, now } = parts
  /** Monotonic times in milliseconds of the last fact about each back end. */
  const factAt = new Map<types.BackEndInstanceId, number>()
  const record = gateway.createBackoffRecord({ onBackoff: noteBackoff, onUnreadable: noteUnreadable, countGateways, now, random })

  function noteBackoff (instance: types.BackEndInstanceId, forMs: number): void {
    count('backoffs_requested')
    logger.info('backoff', { instance, forMs: Math.round(forMs) })
    if (now() - (factAt.get(instance) ?? -Infinity) < FACT_INTERVAL_MS) return
    factAt.set(instance, now())
    publishFact(backoffFacts.formatFact(instance), FACT_LIFETIME_MS)
  }

  function noteUnreadable (instance: types.BackEndInstanceId, text: string): void {
    count('backoffs_unreadable')
    logger.warn('backoff-unreadable', { instance, text })
  }

  return {
    ...record,
    noteFact: (content, madeAt) => {
      const instance = backoffFacts.parseFact(content)
      if (instance === null) return false
      const backEnd = findByInstanceId.findByInstanceId(backEnds(), instance)
      if (backEnd === undefined || now() - madeAt > FACT_LIFETIME_MS) return true
      factAt.set(instance, madeAt)
      tracker.noteFailure(backEnd.id)
      return true
    },
    removeUnlisted: (listed) => {
      for (const [instance, at] of factAt) if (now() - at >= FACT_INTERVAL_MS) factAt.delete(instance)
      record.removeUnlisted(listed)
    }
  }
}
