/** How a relay tells of its hall to others, and how members of a hall pass on what comes from relays. */
import * as fleetView from './fleetView.js'
import * as hallNews from './hallNews.js'
import * as hashes from './hashes.js'
import type * as heartbeats from './heartbeat.js'
import type * as memberTable from './memberTable.js'
import * as rates from './rates.js'
import * as relays from './relays.js'
import * as wire from './wire.js'

/** Options of {@link createHallRelay}. */
export interface HallRelayOptions {
  readonly ownHost: string
  readonly describeSelf: () => heartbeats.Heartbeat
  readonly find: (host: string) => memberTable.Member | undefined
  readonly look: () => fleetView.FleetView
  readonly send: (host: string, text: string) => void
  /** Calls later, unless the exchange was stopped. */
  readonly later: (delayMs: number, action: () => void) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** The relay's part of an exchange; daemons that are no relays pass on only. */
export interface HallRelay {
  /** Hands on a digest that came; `isNews` tells whether it says anything that was not known. */
  readonly spread: (way: wire.DigestWay, delayMs: number, body: string, isNews: boolean) => void
  /** What is due now. */
  readonly tick: () => void
  /** The relay that comes first has begun a round: the other one's is halfway to the next. */
  readonly noteRound: () => void
  /** Another relay has told the own hall of its members: this one's next round is halfway to the next of that one. */
  readonly noteHallRound: () => void
  /** Tells other halls of a new member of the own one. */
  readonly tellNewcomer: (host: string) => void
  /** Tells other halls of a member at once, if this daemon is a relay. */
  readonly tellAtOnce: (host: string, audience: wire.Audience) => void
  /** Tells the own hall of what changed, and a first relay also others. */
  readonly tellChange: (news: wire.News) => void
  /** The furthest copies that the own hall holds. */
  readonly collectOwn: () => wire.HallCopies
}

/** Pauses and suspicions of several members that reach a relay within this go to other halls together. */
const RELAY_MERGE_MS = 15
/** New members of a hall are told to others together, and for a while digests go to agents too each time. */
const NEWCOMER_MERGE_MS = 100
const NEWCOMER_MS = 3000
/** Rounds begin at a tick, so late; the next one is not later for it. A relay that was silent for longer begins anew. */
const LATE_MS = 25
/** Members whose digest fits into one datagram; both relays tell the same ones at the same part of a round. */
const MEMBERS_IN_PART = 8

/**
 * Creates the relay's part.
 *
 * @param options - The daemon, its view and its socket.
 * @returns The part.
 */
export function createHallRelay (options: HallRelayOptions): HallRelay {
  const { ownHost, look, send, now } = options
  const urgent = new Map<string, wire.Audience>()
  let knownHalls: ReadonlySet<string> = new Set()
  let newcomerAt = -Infinity
  let nextRoundAt = -Infinity
  let nextHallRoundAt = -Infinity
  let hallToldAt = -Infinity
  let wholeToldAt = -Infinity
  let turn = 0

  /** Hands a digest on; the one that it comes to first leaves the whole hall to one other member, so that relays send less. */
  function spread (way: wire.DigestWay, delayMs: number, body: string, isNews: boolean): void {
    if (way.audience === 'nobody' || (way.range === null && !isNews)) return
    const circle = listAudience(way.audience)
    if (way.range === null) passOn(rotate(circle), { ...way, first: ownHost }, delayMs, body, 1)
    else passOn(relays.selectRange(circle, way.range).filter((host) => host !== way.first), way, delayMs, body)
  }

  /** Another member comes first each time, so that all take turns in passing on, whichever parts of a round come to this relay. */
  function rotate (circle: readonly string[]): string[] {
    turn += 1
    const start = Math.floor(hashes.spreadEvenly(turn) * circle.length)
    return [...circle.slice(start), ...circle.slice(0, start)]
  }

  function passOn (hosts: readonly string[], { audience, first }: Pick<wire.DigestWay, 'audience' | 'first'>, delayMs: number, body: string, fanOut?: number): void {
    for (const part of relays.divide(hosts, look().relayHosts, fanOut, look().overdueHosts)) send(part.host, wire.formatDigest({ sentAt: now(), delayMs, audience, range: part.range, first }, body))
  }

  function listAudience (audience: wire.Audience): readonly string[] {
    return audience === 'all' ? look().allHosts : look().gatewayHosts
  }

  /** A hall that was not known, or was silent, is told of the whole own one at once. */
  function meetHalls (rank: number): void {
    const { halls, allHosts } = look()
    const met = halls.filter(({ zone }) => !knownHalls.has(zone))
    if (met.length > 0) sendTo(met, describeHosts([ownHost, ...allHosts], true), 'all', rank)
    if (met.length > 0 || halls.length !== knownHalls.size) knownHalls = new Set(halls.map(({ zone }) => zone))
  }

  /** Each of two relays sends every second digest, its datagrams one after the other; agents hear those of the first relay. */
  function relayRound (rank: number): void {
    const { intervals, candidates } = look()
    nextRoundAt = Math.max(nextRoundAt, now() - LATE_MS) + relays.RELAYS * intervals.digestMs
    if (rank === 0) for (const { host } of candidates.slice(0, relays.RELAYS + 1)) send(host, wire.formatSign(true))
    const audience = rank === 0 || now() - newcomerAt < NEWCOMER_MS ? 'all' : 'gateways'
    const hosts = [ownHost, ...look().allHosts].sort()
    const parts = Math.ceil(hosts.length / MEMBERS_IN_PART)
    for (let part = 0; part < parts; part += 1) {
      const told = hosts.filter((_, at) => Math.floor(at * parts / hosts.length) === part)
      options.later(part * intervals.digestMs / parts, () => { sendTo(look().halls, describeHosts(told, part === 0), audience, rank) })
    }
  }

  /** Tells gateways of the own hall who was heard of since the last time, and everybody of all now and then. */
  function hallRound (): void {
    const { intervals, near } = look()
    nextHallRoundAt = Math.max(nextHallRoundAt, now() - LATE_MS) + relays.RELAYS * intervals.roundMs
    const isWhole = now() - wholeToldAt >= relays.RELAYS * rates.WHOLE_ROUND_MS
    const heard = near.filter(({ heardAt }) => isWhole || heardAt > hallToldAt)
    hallToldAt = now()
    if (isWhole) wholeToldAt = now()
    const audience = isWhole ? 'all' : 'gateways'
    const own = { host: ownHost, ageMs: 0, delayMs: 0, engine: options.describeSelf().engine }
    for (const body of wire.formatRound(options.describeSelf().zone, [own, ...heard.map(tellMember)])) passOn(rotate(listAudience(audience)), { audience, first: ownHost }, 0, body, 1)
  }

  function tellMember ({ heartbeat, heardAt, toldAt, delayMs }: memberTable.Member): wire.ToldMember {
    const { host, engine } = heartbeat
    return { host, delayMs, engine, ageMs: now() - (engine === null ? heardAt : toldAt) }
  }

  function describeHosts (hosts: readonly string[], isWithHall: boolean): wire.News {
    const self = options.describeSelf()
    const members = hosts.flatMap((host): wire.DigestMember[] => {
      if (host === ownHost) return [{ heartbeat: self, ageMs: 0, delayMs: 0 }]
      const member = options.find(host)
      if (member === undefined) return []
      const { heartbeat, heardAt, toldAt, delayMs } = member
      return [{ heartbeat, delayMs, ageMs: now() - (heartbeat.engine === null ? heardAt : toldAt) }]
    })
    return { zone: self.zone, members, copies: isWithHall ? collectOwn() : {}, versions: isWithHall ? self.versions : [] }
  }

  function collectOwn (): wire.HallCopies {
    return hallNews.collectCopies([options.describeSelf(), ...look().near.map((member) => member.heartbeat)])
  }

  /** To one member of each hall: the relay of the same rank, so that two relays keep two ways. */
  function sendTo (halls: readonly fleetView.FarHall[], digest: wire.News, audience: wire.Audience, rank: number): void {
    if (halls.length === 0) return
    const bodies = wire.formatBodies(digest)
    for (const { candidates } of halls) {
      const to = candidates[rank] ?? candidates[0]
      if (to === undefined) continue
      for (const body of bodies) send(to.host, wire.formatDigest({ sentAt: now(), delayMs: 0, audience, range: null, first: '' }, body))
    }
  }

  function relayAtOnce (host: string, audience: wire.Audience, mergeMs: number): void {
    if (look().rank < 0) return
    options.later(mergeMs, flushUrgent)
    urgent.set(host, audience === 'all' || urgent.get(host) === 'all' ? 'all' : audience)
  }

  function flushUrgent (): void {
    if (urgent.size === 0) return
    const audience = [...urgent.values()].includes('all') ? 'all' : 'gateways'
    const hosts = [...urgent.keys()]
    urgent.clear()
    sendTo(look().halls, describeHosts(hosts, false), audience, Math.max(0, look().rank))
  }

  return {
    spread,
    collectOwn,
    tick: () => {
      const { rank } = look()
      if (rank < 0) return
      meetHalls(rank)
      if (now() >= nextRoundAt) relayRound(rank)
      if (look().isRelayed && now() >= nextHallRoundAt) hallRound()
    },
    noteHallRound: () => { if (look().rank > 0) nextHallRoundAt = now() + look().intervals.roundMs },
    noteRound: () => { if (look().rank > 0) nextRoundAt = now() + look().intervals.digestMs },
    tellNewcomer: (host) => {
      newcomerAt = now()
      relayAtOnce(host, 'all', NEWCOMER_MERGE_MS)
    },
    tellAtOnce: (host, audience) => { relayAtOnce(host, audience, RELAY_MERGE_MS) },
    tellChange: (news) => {
      const [body] = wire.formatBodies(news)
      if (body !== undefined) passOn(rotate(listAudience('all')), { audience: 'all', first: ownHost }, 0, body)
      if (look().rank === 0) sendTo(look().halls, news, 'all', 0)
    }
  }
}
