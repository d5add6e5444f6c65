/** Gossip between daemons by UDP: membership, states of store copies, and reports of engines. */
import type * as clock from '@switchridge/clock'
import type * as types from '@switchridge/types'
import * as createChangeBroadcaster from '../_lib/createChangeBroadcaster.js'
import * as createDiscovery from '../_lib/createDiscovery.js'
import * as createMemberExpiry from '../_lib/createMemberExpiry.js'
import * as createHallRelay from '../_lib/createHallRelay.js'
import * as createHostExchange from '../_lib/createHostExchange.js'
import * as createPeriodicBroadcaster from '../_lib/createPeriodicBroadcaster.js'
import * as fleetView from '../_lib/fleetView.js'
import * as hallCopies from '../_lib/hallCopies.js'
import type * as heartbeats from '../_lib/heartbeat.js'
import * as createDelayEstimator from '../_lib/createDelayEstimator.js'
import * as memberTable from '../_lib/memberTable.js'
import * as rates from '../_lib/rates.js'
import * as wire from '../_lib/wire.js'
import type * as openDatagrams from '../openDatagrams/index.js'

export type { Heartbeat, Peer } from '../_lib/heartbeat.js'
export type { DropReason } from '../_lib/wire.js'
export { PEER_EXPIRY_MS } from '../_lib/createMemberExpiry.js'
export { PEER_LIVE_MS } from '../_lib/fleetView.js'
export { CONTROL_BYTES_PER_SECOND } from '../_lib/rates.js'
export { RELAY_CANDIDATES, RELAY_LISTENERS } from '../_lib/relays.js'

/** Options of {@link createGossip}. */
export interface GossipOptions {
  readonly host: string
  /** Id of this process, different in each run, so that other daemons notice a restart. */
  readonly incarnation: types.IncarnationId
  readonly openDatagrams: openDatagrams.OpenDatagrams
  /** Hosts to contact first in order to discover other daemons. */
  readonly seeds: readonly string[]
  readonly describeSelf: () => heartbeats.Heartbeat
  /**
   * Called with each received state of a member. `delayMs`: transit time over all hops beyond that of the fastest datagrams, as
   * behind full links. `ageMs`: time that relays held the state before sending it; 0 if it came directly.
   */
  readonly onHeartbeat: (heartbeat: heartbeats.Heartbeat, delayMs: number, ageMs: number) => void
  /** Called for each dropped datagram. */
  readonly onDrop?: (reason: wire.DropReason) => void
  /** Called at each tick, some times a second, so that other work can share the wake-up. */
  readonly onTick?: () => void
  /** Clock of this daemon. While it is uncertain, it gets comparisons with the clocks of other daemons, and received messages are not applied. */
  readonly clock: Pick<clock.SteadyClock, 'isUncertain' | 'recordPeerOffset'>
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** The gossip of one daemon. */
export interface Gossip {
  /** Daemons heard of within {@link createMemberExpiry.PEER_EXPIRY_MS}, or within a longer time in fleets with longer intervals. */
  readonly peers: () => readonly heartbeats.Peer[]
  /** Tells whether a peer was heard of within the silence limit. */
  readonly isLive: (peer: heartbeats.Peer) => boolean
  /**
   * With a role, announces the state of this daemon at once to the peers of that role in all halls. Without one, announces to all peers that the daemon
   * is leaving, the first time that it is; otherwise only its changed copies, merging changes that follow each other closely.
   */
  readonly sendNow: (role?: heartbeats.Heartbeat['role']) => void
  /** Adds hosts that may run daemons, and contacts them. */
  readonly addHosts: (hosts: readonly string[]) => void
  readonly stop: () => void
}

/**
 * Longest time between two ticks of daemons that are neither relays nor standbys: each tick is a wake-up, which costs idle daemons CPU time.
 * An agent ticks a whole number of times between two of its engine reports.
 */
const TICK_MAXIMUM_MS = 100
/** Maximum age of the view of the fleet, on relays and their standbys and on all others; a new member renews it at once. */
const CANDIDATE_VIEW_MS = 200
const VIEW_MAXIMUM_AGE_MS = 500

/**
 * Starts the gossip of a daemon.
 *
 * @param options - Address, seeds and the state to announce.
 * @returns The gossip; lost datagrams are made up for by later ones.
 */
export async function createGossip (options: GossipOptions): Promise<Gossip> {
  const { now, host: ownHost } = options
  const { zone: ownZone, role: ownRole } = options.describeSelf()
  const table = memberTable.createMemberTable()
  const { measure: measureDelay, compareClock } = createDelayEstimator.createDelayEstimator()
  const discovery = createDiscovery.createDiscovery({ ownHost, seeds: options.seeds, isLive: isLiveHost, contact: (host) => { broadcaster.sendFirstHeartbeat(host, 'sender') }, now })
  const hostExchange = createHostExchange.createHostExchange({ ownZone, getView, send, now })
  const relay = createHallRelay.createHallRelay({ ownHost, describeSelf: options.describeSelf, find: table.get, getView, send, schedule, now })
  const announceChange = createChangeBroadcaster.createChangeBroadcaster({ describeSelf: options.describeSelf, getView, broadcast: relay.broadcastChange, schedule, now })
  const broadcaster = createPeriodicBroadcaster.createPeriodicBroadcaster({ ownHost, incarnation: options.incarnation, describeSelf: options.describeSelf, getView, isRelayCandidate: () => isRelayCandidate, send, now })
  const memberExpiry = createMemberExpiry.createMemberExpiry({ table, ownZone, isHallKnown, onExpired: (host) => { broadcaster.forget(host) }, now })
  let view: fleetView.FleetView | null = null
  let viewedAt = -Infinity
  /** Whether this daemon is a relay of its hall or a standby. */
  let isRelayCandidate = true
  let isStopped = false
  let hasAnnouncedLeaving = false
  const timers = new Set<NodeJS.Timeout>()
  const socket = await options.openDatagrams(receive)

  function send (host: string, text: string): void {
    if (!isStopped && host !== ownHost) socket.send(host, Buffer.from(text))
  }

  function schedule (delayMs: number, action: () => void): void {
    const timer = setTimeout(() => {
      timers.delete(timer)
      if (!isStopped) action()
    }, delayMs)
    timers.add(timer)
  }

  function getView (): fleetView.FleetView {
    if (view !== null && now() - viewedAt < (isRelayCandidate ? CANDIDATE_VIEW_MS : VIEW_MAXIMUM_AGE_MS)) return view
    viewedAt = now()
    if (view !== null) memberExpiry.tick(view.intervals)
    view = fleetView.computeFleetView(table.all(), options.describeSelf(), viewedAt, view?.intervals ?? rates.computeIntervals({ gateways: 0, agents: 0, farGateways: 0, farAgents: 0 }))
    isRelayCandidate = view.candidates.some(({ host }) => host === ownHost)
    return view
  }

  function isNear (zone: string): boolean {
    return zone === ownZone
  }

  function isLive (peer: heartbeats.Peer): boolean {
    return now() - peer.heardAt <= fleetView.computeLiveMs(isNear(peer.heartbeat.zone), getView().intervals)
  }

  function isLiveHost (host: string): boolean {
    const member = table.get(host)
    return member !== undefined && isLive(member)
  }

  // Received datagrams.

  function receive (bytes: Buffer, from: string): void {
    const decoded = wire.decode(bytes)
    if (!decoded.ok) {
      options.onDrop?.(decoded.reason)
      return
    }
    const { message } = decoded
    if (options.clock.isUncertain()) compareClocks(message, from)
    else if (message.type === 'heartbeat') noteHeartbeat(message, from)
    else if (message.type === 'engine-report') noteEngineReport(message, from)
    else if (message.type === 'keepalive') noteKeepalive(message.isRound, from)
    else if (message.type === 'hosts') discovery.addHosts(message.hosts)
    else noteDigest(message, from)
  }

  /** Only compares clocks: a message whose age may be wrong is not applied, since its age would spread to all daemons; all of it is sent again later. */
  function compareClocks (message: wire.Message, from: string): void {
    const origin = message.type === 'digest' ? readDigestOrigin(message.header) : message.type === 'heartbeat' || message.type === 'engine-report' ? message.origin : null
    const aheadMs = origin === null ? null : compareClock(from, origin, now())
    if (aheadMs !== null) options.clock.recordPeerOffset(from, aheadMs)
  }

  /** A digest states no incarnation: the heartbeats of its sender do. */
  function readDigestOrigin ({ sentAt }: wire.DigestHeader): wire.Origin {
    return { sentAt, incarnation: null }
  }

  function noteHeartbeat ({ heartbeat, origin, viewHash, urgency }: wire.Message & { type: 'heartbeat' }, from: string): void {
    if (heartbeat.host === ownHost) return
    const isNewHall = !isHallKnown(heartbeat.zone)
    const { delayMs, isRestarted } = measureDelay(heartbeat.host, origin, now())
    const wasLive = isLiveHost(heartbeat.host) && !isRestarted
    table.noteHeartbeat(heartbeat, delayMs, now())
    if (!wasLive) answerNewPeer(heartbeat, from)
    if (!wasLive && isNear(heartbeat.zone)) relay.announceNewMember(heartbeat.host)
    else if (isNear(heartbeat.zone) && viewHash !== getView().viewHash) hostExchange.sendHostsThrottled(heartbeat, from)
    if (isNewHall) for (const { host } of getView().candidates) for (const text of wire.formatHosts([heartbeat.host])) send(host, text)
    // A sender that was live before got no heartbeat above, and would otherwise hear of this daemon only at its next periodic one.
    if (urgency === 'sender') {
      if (wasLive) broadcaster.sendHeartbeat(heartbeat.host)
    } else if (urgency !== 'nobody' && isNear(heartbeat.zone)) relay.announceMember(heartbeat.host, urgency)
    options.onHeartbeat({ ...heartbeat, versions: ageVersions(heartbeat.versions, delayMs) }, delayMs, 0)
  }

  function ageVersions (versions: readonly heartbeats.RecentVersion[], delayMs: number): heartbeats.RecentVersion[] {
    return versions.map((each) => ({ ...each, ageMs: each.ageMs + delayMs }))
  }

  function noteEngineReport ({ engine, origin }: wire.Message & { type: 'engine-report' }, from: string): void {
    const member = table.get(from)
    if (member === undefined) {
      options.onDrop?.('unknown-sender')
      return
    }
    const { delayMs, isRestarted } = measureDelay(from, origin, now())
    table.noteHeartbeat({ ...member.heartbeat, engine }, delayMs, now())
    if (isRestarted) answerNewPeer(member.heartbeat, from)
    options.onHeartbeat({ ...member.heartbeat, versions: [] }, delayMs, 0)
  }

  /** The keepalive of the first relay sets the schedule of digest rounds; the other relay sends halfway between two of them. */
  function noteKeepalive (isRound: boolean, from: string): void {
    const member = table.get(from)
    if (member === undefined) {
      options.onDrop?.('unknown-sender')
      return
    }
    member.heardAt = now()
    if (isRound) relay.noteDigestRound()
  }

  function noteDigest ({ header, digest, body }: wire.Message & { type: 'digest' }, from: string): void {
    const delayMs = header.delayMs + measureDelay(from, readDigestOrigin(header), now()).delayMs
    if (isNear(digest.zone)) noteHallUpdates(digest, delayMs)
    const newerMembers = isNear(digest.zone) ? [] : digest.members.filter((member) => noteRelayed(member, delayMs))
    relay.forwardDigest(header, delayMs, body, newerMembers.length > 0 || hallCopies.hasNewerCopies(digest.copies, relay.collectOwnCopies()))
    for (const { heartbeat, ageMs, delayMs: previousDelayMs } of newerMembers) options.onHeartbeat(heartbeat, previousDelayMs + delayMs, ageMs)
    noteHallCopies(digest, delayMs)
  }

  /** Applies a relay's updates of the own hall: engine reports of agents, and keepalives of gateways. */
  function noteHallUpdates ({ updates }: wire.Digest, delayMs: number): void {
    if (updates.length > 0) relay.noteHallRound()
    const unknownHosts = updates.map(({ host }) => host).filter((host) => table.get(host) === undefined)
    if (unknownHosts.length > 0) discovery.addHosts(unknownHosts)
    for (const each of updates) if (each.host !== ownHost) applyMemberUpdate(each, each.delayMs + delayMs)
  }

  function applyMemberUpdate ({ host, ageMs, engine }: wire.MemberUpdate, delayMs: number): void {
    const member = table.get(host)
    if (member === undefined) return
    if (engine === null) {
      table.noteHeard(host, now() - ageMs - delayMs)
      return
    }
    const heartbeat = { ...member.heartbeat, engine }
    if (table.noteRelayed({ heartbeat, ageMs, delayMs }, delayMs, now())) options.onHeartbeat({ ...heartbeat, copies: {}, versions: [] }, delayMs, ageMs)
  }

  function noteRelayed (member: wire.DigestMember, delayMs: number): boolean {
    const { host, zone } = member.heartbeat
    if (host === ownHost) return false
    const isNew = table.get(host) === undefined
    const isNewer = table.noteRelayed(member, member.delayMs + delayMs, now())
    if (isNew && isNewer && !isHallKnown(zone)) viewedAt = -Infinity
    return isNewer
  }

  function isHallKnown (zone: string): boolean {
    return isNear(zone) || getView().halls.some((hall) => hall.zone === zone)
  }

  /** Reports copies and versions of a hall as heartbeats of the members that hold the copies, so that they can be asked for them. */
  function noteHallCopies (digest: wire.Digest, delayMs: number): void {
    let versions = ageVersions(digest.versions, delayMs)
    for (const [host, copies] of hallCopies.groupByHost(digest.copies)) {
      const member = table.get(host)
      if (member === undefined || host === ownHost) continue
      member.heartbeat = { ...member.heartbeat, copies: { ...member.heartbeat.copies, ...copies } }
      options.onHeartbeat({ ...member.heartbeat, versions, engine: null }, delayMs, 0)
      versions = []
    }
  }

  /** Sends a new peer a heartbeat of this daemon, and hosts of its hall and of other halls. */
  function answerNewPeer (newPeer: heartbeats.Heartbeat, from: string): void {
    viewedAt = -Infinity
    broadcaster.sendFirstHeartbeat(newPeer.host, 'nobody')
    hostExchange.sendHosts(newPeer, from)
  }

  // Periodic datagrams.

  function tick (): void {
    const { near, halls, rank } = getView()
    broadcaster.tick()
    relay.tick()
    discovery.tick(near.length + halls.length === 0, () => rank >= 0 ? memberExpiry.listHostsToRetry() : [])
  }

  // Immediate datagrams.

  function sendNow (role?: heartbeats.Heartbeat['role']): void {
    const isLeavingAnnouncement = role === undefined && options.describeSelf().isLeaving && !hasAnnouncedLeaving
    if (isLeavingAnnouncement) hasAnnouncedLeaving = true
    if (role === undefined && !isLeavingAnnouncement) announceChange()
    else announceImmediately(role === 'gateway' ? 'gateways' : 'all', role)
  }

  /** Sends directly to the own hall, and to the relay candidates, which announce it to other halls. */
  function announceImmediately (urgency: wire.Audience, role?: heartbeats.Heartbeat['role']): void {
    const text = broadcaster.formatSelf(urgency)
    const hosts = getView().near.filter((member) => role === undefined || member.heartbeat.role === role).map((member) => member.heartbeat.host)
    for (const host of new Set([...hosts, ...getView().candidates.map((each) => each.host)])) {
      broadcaster.noteSent(host)
      send(host, text)
    }
    relay.announceMember(ownHost, urgency)
  }

  function runTicks (): void {
    tick()
    options.onTick?.()
    timer = setTimeout(runTicks, chooseTickMs())
  }

  function chooseTickMs (): number {
    const { intervals: { engineReportMs } } = getView()
    if (isRelayCandidate) return createPeriodicBroadcaster.CANDIDATE_TICK_MS
    return ownRole === 'agent' ? engineReportMs / Math.ceil(engineReportMs / TICK_MAXIMUM_MS) : TICK_MAXIMUM_MS
  }

  let timer: NodeJS.Timeout
  runTicks()
  return {
    peers: () => table.all(),
    isLive,
    addHosts: discovery.addHosts,
    sendNow,
    stop: () => {
      isStopped = true
      clearTimeout(timer)
      for (const each of timers) clearTimeout(each)
      socket.close()
    }
  }
}
