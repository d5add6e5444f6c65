/** Enforces the rate limits that back ends advertise and those of cold back ends, together with all other gateways: records the limits in force and obtains a permit for each request to a limited back end. */
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
  readonly parts: Pick<createFleetParts.FleetParts, 'settings' | 'routes' | 'onRoutes' | 'backEnds' | 'onBackEnds' | 'logger' | 'metrics' | 'at' | 'now'>
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
  /** Records what the agent beside a back end reports of its coldness, with the monotonic time of the report in milliseconds. */
  readonly noteReportedCold: (backEnd: gateway.BackEnd, status: ReportedColdness, at: number) => void
  /** Treats the back ends of a data hall that was taken back into service as cold, for as long as after a start: they may be. */
  readonly noteTakenBack: (zone: string) => void
  /** Lists the cold back ends. */
  readonly listCold: () => types.BackEndInstanceId[]
  /** Lists the limits in force, including those learned from other gateways. */
  readonly inForce: () => rateLimits.RateLimit[]
  /** Forgets the limits of back ends that are no longer listed. */
  readonly removeUnlisted: () => void
  /** Handles a fact that another gateway created at a monotonic time in milliseconds; returns false if the fact is not about rate limits. */
  readonly noteFact: (content: unknown, madeAt: number) => boolean
  /** Handles a datagram; returns false if it is not about permits. */
  readonly receive: (bytes: Buffer, from: string) => boolean
}

/** What an agent reports of the coldness of its engine. */
export interface ReportedColdness {
  /** Start time of the run that it reports; null if unknown. */
  readonly bornAt: number | null
  /** Milliseconds for which the engine stays cold; absent for a warm one. */
  readonly coldMs?: number
}

/** Peers keep a published limit only for this long, so that outdated limits don't crowd out other facts; a limit is published again while it is in force. */
const FACT_LIFETIME_MS = 90_000
/** A gateway knows the live daemons of a fleet of hundreds of nodes within this time after its start; before, it doesn't substitute for the agent of a cold back end. */
const DISCOVERY_MS = 3500

/**
 * Creates the rate limiter of a gateway.
 *
 * @param options - Parts of the daemon, and its exchange with others.
 * @returns The limiter.
 */
export function createRateLimiter (options: RateLimiterOptions): GatewayRateLimiter {
  const { backEnds, logger, metrics: { count, observe }, at, now } = options.parts
  const record = rateLimits.createRateLimitRecord({ onChange: noteChange, onUnreadable: noteUnreadable, broadcast: publishLimit, now })
  const cold = rateLimits.createColdRecord({ onBegin: noteColdBegin, onEnd: noteColdEnd, at, now })
  const startedAt = now()
  const counter = rateLimits.createPermitCounter(now)
  const { node, host: ownHost, zone, bounds } = options.parts.settings
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

  function noteColdBegin (life: types.BackEndInstanceId, source: rateLimits.ColdSource, remainingMs: number): void {
    count('cold_back_ends', { change: 'begun', source })
    logger.info('back-end-cold', { life, source, remainingMs: Math.round(remainingMs) })
  }

  function noteColdEnd (life: types.BackEndInstanceId): void {
    count('cold_back_ends', { change: 'ended', source: 'time' })
    logger.info('back-end-warm', { life })
  }

  function publishLimit (limit: rateLimits.RateLimit): void {
    options.exchange()?.facts.publish(rateLimitFacts.formatFact(limit), FACT_LIFETIME_MS, now() - limit.receivedAt)
  }

  function listCandidates (): rateLimits.CounterCandidate[] {
    const gossip = options.exchange()?.gossip
    const others = gossip?.peers().map((peer) => ({ ...toCandidate(peer.heartbeat), isLive: gossip.isLive(peer) })) ?? []
    return [{ node: types.brandId(node), host: ownHost, zone, role: 'gateway', isLeaving: options.isLeaving(), isLive: true }, ...others]
  }

  function findCounter (life: types.BackEndInstanceId, isCold: boolean): rateLimits.ChosenCounter | null {
    const backEnd = findByInstanceId.findByInstanceId(backEnds(), life)
    if (backEnd === undefined) return null
    const counted = { life, host: backEnd.address.host, zone: backEnd.zone }
    return isCold ? rateLimits.chooseColdCounter(counted, listCandidates(), now() - startedAt >= DISCOVERY_MS) : rateLimits.chooseCounter(counted, listCandidates())
  }

  /** Returns the fraction of a limit for which this gateway may grant permits; null if another daemon counts them. */
  function grantableFraction (instanceId: types.BackEndInstanceId, isCold: boolean): number | null {
    const chosen = findCounter(instanceId, isCold)
    return chosen?.host === ownHost ? chosen.part : null
  }

  function readAdvertised ({ id, bornAt }: gateway.BackEnd): rateLimits.RateLimit | null {
    return record.isEmpty() ? null : record.read(types.formatBackEndInstanceId(id, bornAt))
  }

  /** The limit of a back end while it is cold; null if it is warm. */
  function readColdLimit ({ id, bornAt, service }: gateway.BackEnd): rateLimits.ColdLimit | null {
    if (!cold.isAnyCold() || cold.readRemainingMs(types.formatBackEndInstanceId(id, bornAt)) === 0) return null
    const perSecond = findColdPerSecond(service)
    return perSecond === null ? null : rateLimits.computeColdLimit(perSecond, { overage: bounds.cold_overage, slack: bounds.cold_slack })
  }

  function findColdPerSecond (service: types.ServiceName): number | null {
    return options.parts.routes()?.findService(service)?.coldPerSecond ?? null
  }

  /** Milliseconds for which an engine of a service is cold after a start. */
  function findColdMs (service: types.ServiceName): number {
    return options.parts.routes()?.findService(service)?.coldMs ?? 0
  }

  function readLimit (backEnd: gateway.BackEnd, rank: number): rateLimits.LimitInForce | null {
    const advertised = readAdvertised(backEnd)
    const coldLimit = readColdLimit(backEnd)
    if (coldLimit === null) return advertised
    return { life: types.formatBackEndInstanceId(backEnd.id, backEnd.bornAt), perSecond: null, receivedAt: now(), ...advertised, cold: coldLimit, rank }
  }

  async function acquire (backEnd: gateway.BackEnd, isLate: boolean, rank = 0): Promise<rateLimits.PermitDecision> {
    const limit = readLimit(backEnd, rank)
    if (limit === null) return { isGranted: true }
    const askedAt = now()
    const answer = await client.acquire(limit, isLate)
    const isCold = limit.cold !== undefined
    if (answer.isGranted && isCold) observe('cold_permit', now() - askedAt)
    if (!answer.isGranted) {
      const counterHost = findCounter(limit.life, isCold)?.host
      logger.info('permit-refused', { backEnd: backEnd.id, counter: counterHost, perSecond: limit.perSecond, coldPerSecond: limit.cold?.perSecond, rank: limit.rank, isLate, ageMs: Math.round(askedAt - limit.receivedAt), tookMs: Math.round(now() - askedAt), waitMs: Math.round(answer.waitMs) })
    }
    return answer
  }

  /** Records what the entries in service discovery say of cold back ends. */
  function noteListed (): void {
    for (const { id, bornAt, service, coldRemainingMs, entryContent } of backEnds()) {
      if (findColdPerSecond(service) !== null) cold.noteListed(types.formatBackEndInstanceId(id, bornAt), coldRemainingMs ?? 0, entryContent ?? '')
    }
  }

  options.parts.onRoutes(noteListed)
  options.parts.onBackEnds(noteListed)

  return {
    acquire,
    readAllowance: (backEnd, isLate, rank = 0) => {
      if (record.isEmpty() && !cold.isAnyCold()) return null
      const limit = readLimit(backEnd, rank)
      if (limit === null) return null
      const allowance = { perSecond: Math.min(limit.perSecond ?? Infinity, limit.cold?.perSecond ?? Infinity), waitMs: client.waitMs(limit.life, isLate, limit.rank) }
      return limit.cold === undefined ? allowance : { ...allowance, isCold: true }
    },
    noteResponse: ({ id, bornAt }, rate, sentAt) => { record.noteResponse(types.formatBackEndInstanceId(id, bornAt), rate, sentAt) },
    noteReportedLimit: ({ id, bornAt }, perSecond, receivedAt) => { record.noteFromPeer({ life: types.formatBackEndInstanceId(id, bornAt), perSecond, receivedAt }) },
    noteReportedCold: ({ id, bornAt: listedBornAt, service }, { bornAt, coldMs }, madeAt) => {
      if (findColdPerSecond(service) === null) return
      if (coldMs !== undefined) cold.noteCold(types.formatBackEndInstanceId(id, bornAt ?? listedBornAt), madeAt + coldMs + rateLimits.COLD_MARGIN_MS, 'agent')
      // Until the entry of a restarted engine is known, calls are sent to it as to the listed instance.
      if (bornAt !== null && listedBornAt !== null && bornAt > listedBornAt) cold.noteCold(types.formatBackEndInstanceId(id, listedBornAt), madeAt + findColdMs(service), 'restart')
    },
    noteTakenBack: (zone) => {
      for (const { id, bornAt, service } of backEnds().filter((backEnd) => backEnd.zone === zone)) {
        if (findColdPerSecond(service) !== null) cold.noteCold(types.formatBackEndInstanceId(id, bornAt), now() + findColdMs(service), 'return')
      }
    },
    listCold: cold.inForce,
    inForce: record.inForce,
    removeUnlisted: () => {
      const listed = new Set(backEnds().map(({ id, bornAt }) => types.formatBackEndInstanceId(id, bornAt)))
      record.retainOnly(listed)
      cold.retainOnly(listed)
    },
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
