/** Keeps the rates that back ends name, together with all other gateways: what is in force, and permits for each request to such a back end. */
import type * as gateway from '@switchridge/gateway'
import * as rateLimits from '@switchridge/rate-limits'
import type * as spread from '@switchridge/spread'
import * as types from '@switchridge/types'
import type * as createFleetExchange from '../createFleetExchange/index.js'
import type * as createFleetParts from '../createFleetParts/index.js'
import * as findByLife from '../_lib/findByLife.js'
import * as rateLimitFacts from '../_lib/rateLimitFacts.js'

/** Options of {@link createRateLimiter}. */
export interface RateLimiterOptions {
  readonly parts: Pick<createFleetParts.FleetParts, 'settings' | 'backEnds' | 'logger' | 'metrics' | 'at' | 'now'>
  /** The exchange with other daemons; null before it is open. */
  readonly exchange: () => createFleetExchange.FleetExchange | null
  /** Whether this gateway is about to end. */
  readonly isLeaving: () => boolean
  /** Random number from 0 to 1. */
  readonly random: () => number
}

/** The rate limiter of a gateway. */
export interface GatewayRateLimiter extends gateway.RateLimiter {
  /** Notes what a back end's report named at a monotonic time in milliseconds; all gateways hear of reports. */
  readonly noteReported: (backEnd: gateway.BackEnd, perSecond: number, at: number) => void
  /** Limits in force. */
  readonly inForce: () => rateLimits.RateLimit[]
  /** Forgets what belongs to back ends that are no longer listed. */
  readonly keepListed: () => void
  /** Takes what another gateway told; false if it is about something else. */
  readonly noteFact: (content: unknown, madeAt: number) => boolean
  /** Takes a datagram; false if it is about something else. */
  readonly receive: (bytes: Buffer, from: string) => boolean
}

/** A limit is told again while it holds; what was told before must not crowd out other facts. */
const FACT_KEPT_MS = 90_000

/**
 * Creates the rate limiter of a gateway.
 *
 * @param options - Parts of the daemon, and its exchange with others.
 * @returns The limiter.
 */
export function createRateLimiter (options: RateLimiterOptions): GatewayRateLimiter {
  const { backEnds, logger, metrics: { count }, at, now } = options.parts
  const record = rateLimits.createRateLimitRecord({ onChange: noteChange, onUnreadable: noteUnreadable, tell: tellLimit, now })
  const counter = rateLimits.createPermitCounter(now)
  const { node, host: ownHost, zone } = options.parts.settings
  const client = rateLimits.createPermitClient({ ownHost, counter, findCounter, send, count, at, now, random: options.random })
  const server = rateLimits.createPermitServer({ counter, partOf, send, count, now })

  function send (host: string, bytes: Buffer): void {
    options.exchange()?.send(host, bytes)
  }

  function noteChange ({ life, before, after, source }: rateLimits.RateLimitChange): void {
    const change = before === null ? 'named' : after === null ? 'ended' : 'changed'
    count('rate_limits', { change, source })
    logger.info('rate-limit', { life, change, before, after, source })
  }

  function noteUnreadable (life: types.BackEndLife, text: string): void {
    count('rate_limits_unreadable')
    logger.warn('rate-limit-unreadable', { life, text })
  }

  function tellLimit (limit: rateLimits.RateLimit): void {
    options.exchange()?.facts.tell(rateLimitFacts.formatFact(limit), FACT_KEPT_MS, now() - limit.heardAt)
  }

  function listCandidates (): rateLimits.CounterCandidate[] {
    const gossip = options.exchange()?.gossip
    const others = gossip?.peers().map((peer) => ({ ...pickCandidate(peer.heartbeat), isLive: gossip.isLive(peer) })) ?? []
    return [{ node: types.brandId(node), host: ownHost, zone, role: 'gateway', isLeaving: options.isLeaving(), isLive: true }, ...others]
  }

  function findCounter (life: types.BackEndLife): rateLimits.ChosenCounter | null {
    const backEnd = findByLife.findByLife(backEnds(), life)
    return backEnd === undefined ? null : rateLimits.chooseCounter({ life, host: backEnd.address.host, zone: backEnd.zone }, listCandidates())
  }

  function partOf (life: types.BackEndLife): number | null {
    const chosen = findCounter(life)
    return chosen?.host === ownHost ? chosen.part : null
  }

  function readLimit ({ id, bornAt }: gateway.BackEnd): rateLimits.RateLimit | null {
    return record.read(types.formatLife(id, bornAt))
  }

  async function acquire (backEnd: gateway.BackEnd, isLate: boolean): Promise<rateLimits.PermitAnswer> {
    const limit = readLimit(backEnd)
    if (limit === null) return { isGranted: true }
    const askedAt = now()
    const answer = await client.acquire(limit, isLate)
    if (!answer.isGranted) {
      const asked = findCounter(limit.life)?.host
      logger.info('permit-refused', { backEnd: backEnd.id, counter: asked, perSecond: limit.perSecond, isLate, ageMs: Math.round(askedAt - limit.heardAt), tookMs: Math.round(now() - askedAt), waitMs: Math.round(answer.waitMs) })
    }
    return answer
  }

  return {
    acquire,
    readRoom: (backEnd, isLate) => {
      if (record.isEmpty()) return null
      const limit = readLimit(backEnd)
      return limit === null || limit.perSecond === null ? null : { perSecond: limit.perSecond, waitMs: client.waitMs(limit.life, isLate) }
    },
    noteAnswer: ({ id, bornAt }, rate, sentAt) => { record.noteAnswer(types.formatLife(id, bornAt), rate, sentAt) },
    noteReported: ({ id, bornAt }, perSecond, heardAt) => { record.noteTold({ life: types.formatLife(id, bornAt), perSecond, heardAt }) },
    inForce: record.inForce,
    keepListed: () => { record.keepOnly(new Set(backEnds().map(({ id, bornAt }) => types.formatLife(id, bornAt)))) },
    noteFact: (content, madeAt) => {
      if (!rateLimitFacts.isFact(content)) return false
      const limit = rateLimitFacts.parseFact(content, madeAt)
      if (limit === null) count('facts_unreadable')
      else record.noteTold(limit)
      return true
    },
    receive: (bytes, from) => server.receive(bytes, from) || client.receive(bytes, from)
  }
}

function pickCandidate ({ node, host, zone, role, isLeaving }: spread.Heartbeat): Omit<rateLimits.CounterCandidate, 'isLive'> {
  return { node, host, zone, role, isLeaving }
}
