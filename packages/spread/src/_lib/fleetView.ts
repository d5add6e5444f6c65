/** The fleet as one daemon sees it at a moment: live members, the relays of each hall, and the send intervals. */
import * as hashes from './hashes.js'
import type * as heartbeats from './heartbeat.js'
import type * as memberTable from './memberTable.js'
import * as rates from './rates.js'
import * as relays from './relays.js'

/** A data hall other than the daemon's own. */
export interface FarHall {
  readonly zone: string
  readonly live: readonly memberTable.Member[]
  /** Members that digests for the hall are sent to, the highest rank first. */
  readonly candidates: readonly heartbeats.Heartbeat[]
}

/** The fleet as one daemon sees it. */
export interface FleetView {
  readonly intervals: rates.Intervals
  /** Live members of the own hall, without this daemon. */
  readonly near: readonly memberTable.Member[]
  /** Known members of the own hall that are silent. */
  readonly silent: readonly memberTable.Member[]
  readonly halls: readonly FarHall[]
  /**
   * Relays of the own hall and their standbys, this daemon included if it is one, the highest rank first; after them
   * the silent members of higher rank, which get keepalives too so that they can become relays again.
   */
  readonly candidates: readonly heartbeats.Heartbeat[]
  /** Members that get frequent keepalives of the candidates. */
  readonly listeners: readonly heartbeats.Heartbeat[]
  /** Hosts of the relays of the own hall. */
  readonly relayHosts: ReadonlySet<string>
  /** Whether members of the own hall learn of each other through its relays. */
  readonly isRelayed: boolean
  /** This daemon's rank among the relays of the own hall; -1 if it is no relay. */
  readonly rank: number
  /** Hosts of the live gateways of the own hall, and of all its live members, sorted, without this daemon. */
  readonly gatewayHosts: readonly string[]
  readonly allHosts: readonly string[]
  /** Hosts of live members of the own hall whose next keepalive is overdue: they are not relied on as forwarders. */
  readonly overdueHosts: ReadonlySet<string>
  /** Equal on daemons that know the same hosts of the hall and the same other halls. */
  readonly viewHash: number
}

/** A peer counts as live until it was silent for so many intervals. */
const LIVE_INTERVALS = 3.2
/** Digest rounds that may be lost on their hops before a member of another hall counts as silent. */
const TOLERATED_LOST_ROUNDS = 3
/** The same for full rounds within a relayed hall: with fewer, live members would count as silent while some datagrams are lost. */
const TOLERATED_LOST_FULL_ROUNDS = 2
/** Silence in milliseconds after which a peer is no longer live at the shortest heartbeat interval, one second. */
export const PEER_LIVE_MS = 3200
/** Silence after which a relay is replaced: it sends a keepalive every 330 ms, so that three in a row are missing. */
const RELAY_LIVE_MS = 1000

/**
 * Computes the silence after which a peer no longer counts as live.
 *
 * @param isNear - Whether the peer belongs to the own hall.
 * @param intervals - The current intervals.
 * @returns Milliseconds; longer for members known by digests, which arrive some rounds of both relays late.
 */
export function computeLiveMs (isNear: boolean, intervals: rates.Intervals): number {
  const heartbeatSilenceMs = Math.max(PEER_LIVE_MS, LIVE_INTERVALS * Math.min(intervals.heartbeatMs, intervals.keepaliveMs))
  if (isNear && intervals.hallRoundMs < Infinity) return heartbeatSilenceMs + TOLERATED_LOST_FULL_ROUNDS * rates.FULL_ROUND_MS
  return isNear ? heartbeatSilenceMs : heartbeatSilenceMs + TOLERATED_LOST_ROUNDS * relays.RELAYS_PER_HALL * intervals.digestMs
}

function countRole (members: readonly memberTable.Member[], role: heartbeats.Heartbeat['role']): number {
  return members.reduce((sum, member) => sum + (member.heartbeat.role === role ? 1 : 0), 0)
}

/**
 * Selects the members of a hall that were heard of about as lately as the newest one of their hall. In a healthy hall these
 * times lie within one digest round, however old all of them are; the time of a frozen member falls behind.
 */
function selectUpToDate (live: readonly memberTable.Member[], intervals: rates.Intervals): memberTable.Member[] {
  const newestAt = live.reduce((newest, member) => Math.max(newest, member.heardAt), -Infinity)
  return live.filter((member) => newestAt - member.heardAt <= RELAY_LIVE_MS + intervals.digestMs)
}

function describeHall (zone: string, live: readonly memberTable.Member[], intervals: rates.Intervals): FarHall {
  const candidates = relays.rankCandidates(selectUpToDate(live, intervals).map((member) => member.heartbeat), zone)
  return { zone, live, candidates }
}

interface RelayCandidates {
  /** The highest-ranked members that are not silent, this daemon included if it is one. */
  readonly responsive: readonly heartbeats.Heartbeat[]
  /** The highest-ranked members, silent or not, in the same order. */
  readonly preferred: readonly heartbeats.Heartbeat[]
}

/**
 * Finds the members that may be relays. The highest-ranked members hear of each other within {@link RELAY_LIVE_MS}, so among them a longer silence
 * counts; of any other member only an overdue keepalive does.
 */
function findRelayCandidates (self: heartbeats.Heartbeat, near: readonly memberTable.Member[], overdue: ReadonlySet<string>, now: number): RelayCandidates {
  const preferred = relays.rankCandidates([self, ...near.map((member) => member.heartbeat)], self.zone)
  const isPreferred = preferred.some(({ host }) => host === self.host)
  const preferredHosts = new Set(preferred.map(({ host }) => host))
  const isSilent = ({ heartbeat: { host }, heardAt }: memberTable.Member): boolean => overdue.has(host) || (isPreferred && preferredHosts.has(host) && now - heardAt > RELAY_LIVE_MS)
  const notSilent = near.filter((member) => !isSilent(member)).map((member) => member.heartbeat)
  return { preferred, responsive: relays.rankCandidates([self, ...notSilent], self.zone) }
}

/**
 * Computes the view of the fleet.
 *
 * @param members - All known members.
 * @param self - This daemon.
 * @param now - Monotonic time in milliseconds.
 * @param previousIntervals - Intervals of the previous view.
 * @returns The view.
 */
export function computeFleetView (members: readonly memberTable.Member[], self: heartbeats.Heartbeat, now: number, previousIntervals: rates.Intervals): FleetView {
  const oldestHeardAt = { near: now - computeLiveMs(true, previousIntervals), far: now - computeLiveMs(false, previousIntervals) }
  const near: memberTable.Member[] = []
  const silent: memberTable.Member[] = []
  const far: memberTable.Member[] = []
  for (const member of members) {
    const isNear = member.heartbeat.zone === self.zone
    if (isNear) (member.heardAt >= oldestHeardAt.near ? near : silent).push(member)
    else if (member.heardAt >= oldestHeardAt.far) far.push(member)
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
  const listeners = relays.rankCandidates([self, ...near.map((member) => member.heartbeat)], self.zone, relays.RELAY_LISTENERS)
  const overdueHosts = new Set(near.filter((member) => now - member.heardAt > intervals.keepaliveMs + RELAY_LIVE_MS).map((member) => member.heartbeat.host))
  const { preferred, responsive } = findRelayCandidates(self, near, overdueHosts, now)
  const allHosts = near.map((member) => member.heartbeat.host).sort()
  const gatewayHosts = near.filter((member) => member.heartbeat.role === 'gateway').map((member) => member.heartbeat.host).sort()
  return {
    intervals,
    near,
    allHosts,
    gatewayHosts,
    silent,
    halls: [...byZone].map(([zone, live]) => describeHall(zone, live, intervals)),
    candidates: [...new Set([...responsive, ...preferred])],
    overdueHosts,
    listeners,
    relayHosts: new Set(responsive.slice(0, relays.RELAYS_PER_HALL).map(({ host }) => host)),
    isRelayed: rates.isRelayed(gateways),
    rank: responsive.slice(0, relays.RELAYS_PER_HALL).findIndex(({ host }) => host === self.host),
    viewHash: hashes.hashStrings([self.host, ...allHosts].sort().concat([self.zone, ...byZone.keys()].sort()))
  }
}
