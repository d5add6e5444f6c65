/** The fleet as one daemon sees it at a moment: who lives, who speaks for which hall, and how often to tell what. */
import * as hashes from './hashes.js'
import type * as heartbeats from './heartbeat.js'
import type * as memberTable from './memberTable.js'
import * as rates from './rates.js'
import * as relays from './relays.js'

/** Another hall. */
export interface FarHall {
  readonly zone: string
  readonly live: readonly memberTable.Member[]
  /** Those to speak to, the best first. */
  readonly candidates: readonly heartbeats.Heartbeat[]
}

/** The view. */
export interface FleetView {
  readonly intervals: rates.Intervals
  /** Live members of the own hall without this daemon. */
  readonly near: readonly memberTable.Member[]
  /** Known members of the own hall that are silent. */
  readonly silent: readonly memberTable.Member[]
  readonly halls: readonly FarHall[]
  /**
   * Those that speak for the own hall or would follow, this daemon included if it is one, the best first; after them
   * those of better rank that are silent, which hear of others so that they can take their place again.
   */
  readonly candidates: readonly heartbeats.Heartbeat[]
  /** Those that hear often whether candidates live. */
  readonly listeners: readonly heartbeats.Heartbeat[]
  /** Hosts of the members that speak for the own hall. */
  readonly relayHosts: ReadonlySet<string>
  /** Whether members of the own hall hear of each other by its relays. */
  readonly isRelayed: boolean
  /** Position among those that speak for the own hall; -1 if it does not. */
  readonly rank: number
  /** Hosts of live members of the own hall that are gateways, and of all, sorted, without this daemon. */
  readonly gatewayHosts: readonly string[]
  readonly allHosts: readonly string[]
  /** Hosts of live members of the own hall whose next sign of life is overdue: they are not relied on to pass anything on. */
  readonly overdueHosts: ReadonlySet<string>
  /** Same number on daemons that know the same hosts of the hall and the same other halls. */
  readonly hash: number
}

/** A silent peer counts as not live after so many intervals. */
const LIVE_INTERVALS = 3.2
/** Rounds of digests that may be lost on their hops before a member of another hall counts as silent. */
const LOST_ROUNDS = 3
/** The same of rounds within a relayed hall: otherwise live members would be taken for silent while some datagrams are lost. */
const LOST_WHOLE_ROUNDS = 2
/** At the shortest interval, one second. */
export const PEER_LIVE_MS = 3200
/** A relay gives signs of life each 330 ms; three of them may be lost before another one takes its place. */
const RELAY_LIVE_MS = 1000

/**
 * Milliseconds of silence after which a peer counts as not live.
 *
 * @param isNear - Whether it is of the own hall.
 * @param intervals - Intervals now.
 * @returns Milliseconds; what comes by digests is older by some rounds of both relays.
 */
export function computeLiveMs (isNear: boolean, intervals: rates.Intervals): number {
  const beats = Math.max(PEER_LIVE_MS, LIVE_INTERVALS * Math.min(intervals.heartbeatMs, intervals.signMs))
  if (isNear && intervals.roundMs < Infinity) return beats + LOST_WHOLE_ROUNDS * rates.WHOLE_ROUND_MS
  return isNear ? beats : beats + LOST_ROUNDS * relays.RELAYS * intervals.digestMs
}

function countRole (members: readonly memberTable.Member[], role: heartbeats.Heartbeat['role']): number {
  return members.reduce((sum, member) => sum + (member.heartbeat.role === role ? 1 : 0), 0)
}

/**
 * The members of a hall whose word is about as new as the newest one of their hall. Words of a sound hall lie a round of
 * digests apart, however old all of them are; that of a frozen one stays behind.
 */
function selectHeard (live: readonly memberTable.Member[], intervals: rates.Intervals): memberTable.Member[] {
  const newestAt = live.reduce((newest, member) => Math.max(newest, member.heardAt), -Infinity)
  return live.filter((member) => newestAt - member.heardAt <= RELAY_LIVE_MS + intervals.digestMs)
}

function describeHall (zone: string, live: readonly memberTable.Member[], intervals: rates.Intervals): FarHall {
  const heard = relays.rankCandidates(selectHeard(live, intervals).map((member) => member.heartbeat), zone)
  return { zone, live, candidates: heard }
}

interface Speakers {
  /** The first few that are not silent, this daemon included if it is one. */
  readonly speaking: readonly heartbeats.Heartbeat[]
  /** The first few whether silent or not, in the same order. */
  readonly first: readonly heartbeats.Heartbeat[]
}

/** The first few of a hall hear each other every {@link RELAY_LIVE_MS} at least; all others, and they of others, at each sign. */
function findSpeakers (self: heartbeats.Heartbeat, near: readonly memberTable.Member[], overdue: ReadonlySet<string>, now: number): Speakers {
  const first = relays.rankCandidates([self, ...near.map((member) => member.heartbeat)], self.zone)
  const isFirst = first.some(({ host }) => host === self.host)
  const firstHosts = new Set(first.map(({ host }) => host))
  const isSilent = ({ heartbeat: { host }, heardAt }: memberTable.Member): boolean => overdue.has(host) || (isFirst && firstHosts.has(host) && now - heardAt > RELAY_LIVE_MS)
  const heard = near.filter((member) => !isSilent(member)).map((member) => member.heartbeat)
  return { first, speaking: relays.rankCandidates([self, ...heard], self.zone) }
}

/**
 * Looks at the fleet.
 *
 * @param members - All that are known.
 * @param self - This daemon.
 * @param now - Milliseconds.
 * @param before - Intervals of the view before this one.
 * @returns The view.
 */
export function viewFleet (members: readonly memberTable.Member[], self: heartbeats.Heartbeat, now: number, before: rates.Intervals): FleetView {
  const limits = { near: now - computeLiveMs(true, before), far: now - computeLiveMs(false, before) }
  const near: memberTable.Member[] = []
  const silent: memberTable.Member[] = []
  const far: memberTable.Member[] = []
  for (const member of members) {
    const isNear = member.heartbeat.zone === self.zone
    if (isNear) (member.heardAt >= limits.near ? near : silent).push(member)
    else if (member.heardAt >= limits.far) far.push(member)
  }
  const gateways = countRole(near, 'gateway') + (self.role === 'gateway' ? 1 : 0)
  const intervals = rates.computeIntervals({
    gateways,
    agents: countRole(near, 'agent') + (self.role === 'agent' ? 1 : 0),
    farGateways: countRole(far, 'gateway'),
    farAgents: countRole(far, 'agent')
  })
  const byZone = new Map<string, memberTable.Member[]>()
  for (const member of far) {
    const known = byZone.get(member.heartbeat.zone)
    if (known === undefined) byZone.set(member.heartbeat.zone, [member])
    else known.push(member)
  }
  const listeners = relays.rankCandidates([self, ...near.map((member) => member.heartbeat)], self.zone, relays.LISTENERS)
  const overdueHosts = new Set(near.filter((member) => now - member.heardAt > intervals.signMs + RELAY_LIVE_MS).map((member) => member.heartbeat.host))
  const { first, speaking } = findSpeakers(self, near, overdueHosts, now)
  const allHosts = near.map((member) => member.heartbeat.host).sort()
  const gatewayHosts = near.filter((member) => member.heartbeat.role === 'gateway').map((member) => member.heartbeat.host).sort()
  return {
    intervals,
    near,
    allHosts,
    gatewayHosts,
    silent,
    halls: [...byZone].map(([zone, live]) => describeHall(zone, live, intervals)),
    candidates: [...new Set([...speaking, ...first])],
    overdueHosts,
    listeners,
    relayHosts: new Set(speaking.slice(0, relays.RELAYS).map(({ host }) => host)),
    isRelayed: rates.isRelayed(gateways),
    rank: speaking.slice(0, relays.RELAYS).findIndex(({ host }) => host === self.host),
    hash: hashes.hashWords([self.host, ...allHosts].sort().concat([self.zone, ...byZone.keys()].sort()))
  }
}
