/** The rates that back ends name, as one gateway knows them: what is in force, and what is said of it in the log. */
import type * as gateway from '@switchridge/gateway'
import type * as observability from '@switchridge/observability'
import * as rateLimits from '@switchridge/rate-limits'
import * as types from '@switchridge/types'

/** Options of {@link createRateLimiter}. */
export interface RateLimiterOptions {
  readonly backEnds: () => readonly gateway.BackEnd[]
  readonly logger: observability.Logger
  readonly count: (name: string, labels?: Readonly<Record<string, string>>) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** The rate limiter of a gateway. */
export interface GatewayRateLimiter extends gateway.RateLimiter {
  /** Limits in force. */
  readonly inForce: () => rateLimits.RateLimit[]
  /** Forgets what belongs to back ends that are no longer listed. */
  readonly keepListed: () => void
}

/**
 * Creates the rate limiter of a gateway.
 *
 * @param options - List of back ends, log and clock.
 * @returns The limiter.
 */
export function createRateLimiter ({ backEnds, logger, count, now }: RateLimiterOptions): GatewayRateLimiter {
  const record = rateLimits.createRateLimitRecord({ onChange: noteChange, onUnreadable: noteUnreadable, tell: () => {}, now })

  function noteChange ({ life, before, after, source }: rateLimits.RateLimitChange): void {
    const change = before === null ? 'named' : after === null ? 'ended' : 'changed'
    count('rate_limits', { change, source })
    logger.info('rate-limit', { life, change, before, after, source })
  }

  function noteUnreadable (life: types.BackEndLife, text: string): void {
    count('rate_limits_unreadable')
    logger.warn('rate-limit-unreadable', { life, text })
  }

  return {
    noteAnswer: ({ id, bornAt }, rate, sentAt) => { record.noteAnswer(types.formatLife(id, bornAt), rate, sentAt) },
    inForce: record.inForce,
    keepListed: () => { record.keepOnly(new Set(backEnds().map(({ id, bornAt }) => types.formatLife(id, bornAt)))) }
  }
}
