/** Enforces the rate limits that back ends advertise, together with all other gateways: records the limits in force and obtains a permit for each request to a limited back end. */
import type * as gateway from '@switchridge/gateway'
import * as rateLimits from '@switchridge/rate-limits'
import type * as spread from '@switchridge/spread'
import * as types from '@switchridge/types'
import type * as createFleetExchange from '../createFleetExchange/index.js'
import type * as createFleetParts from '../createFleetParts/index.js'
import * as findByInstanceId from '../_lib/findByInstanceId.js'
import * as rateLimitFacts from '../_lib/rateLimitFacts.js'

/** Options of {@link createRateLimiter}. */
export interface RateLimiterOptions {
  readonly parts: Pick<createFleetParts.FleetParts, 'settings' | 'backEnds' | 'logger' | 'metrics' | 'at' | 'now'>
  /** The exchange with other daemons; null until it is open. */
  readonly exchange: () => createFleetExchange.FleetExchange | null
  /** Whether this gateway is shutting down. */
  readonly isLeaving: () => boolean
  /** Random number from 0 to 1. */
  readonly random: () => number
}

/** The rate limiter of a gateway. */
export interface GatewayRateLimiter extends gateway.RateLimiter {
  /** Records a limit in requests per second from a back end's report, with the monotonic time of the report in milliseconds. Reports reach all gateways. */
  readonly noteReportedLimit: (backEnd: gateway.BackEnd, perSecond: number, at: number) => void
  /** Lists the limits in force, including those learned from other gateways. */
  readonly inForce: () => rateLimits.RateLimit[]
  /** Forgets the limits of back ends that are no longer listed. */
  readonly removeUnlisted: () => void
  /** Handles a fact that another gateway created at a monotonic time in milliseconds; returns false if the fact is not about rate limits. */
  readonly noteFact: (content: unknown, madeAt: number) => boolean
  /** Handles a datagram; returns false if it is not about permits. */
  readonly receive: (bytes: Buffer, from: string) => boolean
}

/** Peers keep a published limit only for this long, so that outdated limits don't crowd out other facts; a limit is published again while it is in force. */
const FACT_LIFETIME_MS = 90_000

/**
 * Creates the rate limiter of a gateway.
 *
 * @param options - Parts of the daemon, and its exchange with others.
 * @returns The limiter.
 */
export function createRateLimiter (options: RateLimiterOptions): GatewayRateLimiter {
  const { backEnds, logger, metrics: { count }, at, now } = options.parts
  const record = rateLimits.createRateLimitRecord({ onChange: noteChange, onUnreadable: noteUnreadable, broadcast: publishLimit, now })
  const counter = rateLimits.createPermitCounter(now)
  const { node, host: ownHost, zone } = options.parts.settings
  const client = rateLimits.createPermitClient({ ownHost, counter, findCounter, send, count, at, now, random: options.random })
  const server = rateLimits.createPermitServer({ counter, grantableFraction, send, count, now })

  function send (host: string, bytes: Buffer): void {
    options.exchange()?.send(host, bytes)
  }

  function noteChange ({ life, before, after, source }: rateLimits.RateLimitChange): void {
    const change = before === null ? 'named' : after === null ? 'ended' : 'changed'
    count('rate_limits', { change, source })
    logger.info('rate-limit', { life, change, before, after, source })
  }

  function noteUnreadable (life: types.BackEndInstanceId, text: string): void {
    count('rate_limits_unreadable')
    logger.warn('rate-limit-unreadable', { life, text })
  }

  function publishLimit (limit: rateLimits.RateLimit): void {
    options.exchange()?.facts.publish(rateLimitFacts.formatFact(limit), FACT_LIFETIME_MS, now() - limit.receivedAt)
  }

  function listCandidates (): rateLimits.CounterCandidate[] {
    const gossip = options.exchange()?.gossip
    const others = gossip?.peers().map((peer) => ({ ...toCandidate(peer.heartbeat), isLive: gossip.isLive(peer) })) ?? []
    return [{ node: types.brandId(node), host: ownHost, zone, role: 'gateway', isLeaving: options.isLeaving(), isLive: true }, ...others]
  }

  function findCounter (life: types.BackEndInstanceId): rateLimits.ChosenCounter | null {
    const backEnd = findByInstanceId.findByInstanceId(backEnds(), life)
    return backEnd === undefined ? null : rateLimits.chooseCounter({ life, host: backEnd.address.host, zone: backEnd.zone }, listCandidates())
  }

  /** Returns the fraction of a limit for which this gateway may grant permits; null if another daemon counts them. */
  function grantableFraction (instanceId: types.BackEndInstanceId): number | null {
    const chosen = findCounter(instanceId)
    return chosen?.host === ownHost ? chosen.part : null
  }

  function readLimit ({ id, bornAt }: gateway.BackEnd): rateLimits.RateLimit | null {
    return record.read(types.formatBackEndInstanceId(id, bornAt))
  }

  async function acquire (backEnd: gateway.BackEnd, isLate: boolean): Promise<rateLimits.PermitDecision> {
    const limit = readLimit(backEnd)
    if (limit === null) return { isGranted: true }
    const askedAt = now()
    const answer = await client.acquire(limit, isLate)
    if (!answer.isGranted) {
      const counterHost = findCounter(limit.life)?.host
      logger.info('permit-refused', { backEnd: backEnd.id, counter: counterHost, perSecond: limit.perSecond, isLate, ageMs: Math.round(askedAt - limit.receivedAt), tookMs: Math.round(now() - askedAt), waitMs: Math.round(answer.waitMs) })
    }
    return answer
  }

  return {
    acquire,
    readAllowance: (backEnd, isLate) => {
      if (record.isEmpty()) return null
      const limit = readLimit(backEnd)
      return limit === null || limit.perSecond === null ? null : { perSecond: limit.perSecond, waitMs: client.waitMs(limit.life, isLate) }
    },
    noteResponse: ({ id, bornAt }, rate, sentAt) => { record.noteResponse(types.formatBackEndInstanceId(id, bornAt), rate, sentAt) },
    noteReportedLimit: ({ id, bornAt }, perSecond, receivedAt) => { record.noteFromPeer({ life: types.formatBackEndInstanceId(id, bornAt), perSecond, receivedAt }) },
    inForce: record.inForce,
    removeUnlisted: () => { record.retainOnly(new Set(backEnds().map(({ id, bornAt }) => types.formatBackEndInstanceId(id, bornAt)))) },
    noteFact: (content, madeAt) => {
      if (!rateLimitFacts.isFact(content)) return false
      const limit = rateLimitFacts.parseFact(content, madeAt)
      if (limit === null) count('facts_unreadable')
      else record.noteFromPeer(limit)
      return true
    },
    receive: (bytes, from) => server.receive(bytes, from) || client.receive(bytes, from)
  }
}

function toCandidate ({ node, host, zone, role, isLeaving }: spread.Heartbeat): Omit<rateLimits.CounterCandidate, 'isLive'> {
  return { node, host, zone, role, isLeaving }
}
