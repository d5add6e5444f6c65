/** Periodic datagrams of a daemon: heartbeats, keepalives and engine reports, scheduled for each member separately. */
import type * as types from '@switchridge/types'
import type * as fleetView from './fleetView.js'
import * as hashes from './hashes.js'
import type * as heartbeats from './heartbeat.js'
import * as rates from './rates.js'
import * as wire from './wire.js'

/** Options of {@link createPeriodicBroadcaster}. */
export interface PeriodicBroadcasterOptions {
  readonly ownHost: string
  /** Id of this process, which tells its datagrams from those of an earlier run. */
  readonly incarnation: types.IncarnationId
  readonly describeSelf: () => heartbeats.Heartbeat
  readonly getView: () => fleetView.FleetView
  /** Whether this daemon is a relay of its hall or a standby. */
  readonly isRelayCandidate: () => boolean
  readonly send: (host: string, text: string) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** Sends the periodic datagrams. */
export interface PeriodicBroadcaster {
  /** Sends what is due now. */
  readonly tick: () => void
  /** Sends a heartbeat to a new or unknown host now; its periodic heartbeats restart at a phase of their own. */
  readonly sendFirstHeartbeat: (host: string, urgency: wire.Urgency) => void
  readonly sendHeartbeat: (host: string) => void
  /** Records that another datagram was just sent to a host, so that no keepalive is due. */
  readonly noteSent: (host: string) => void
  /** Formats the own heartbeat. */
  readonly formatSelf: (urgency: wire.Urgency) => string
  readonly forget: (host: string) => void
}

/** Time between two checks for due datagrams on relays and their standbys, whose rounds determine how fast other members learn of changes. */
export const CANDIDATE_TICK_MS = 25
/** Heartbeats are a second apart or more, so they are checked less often. */
const HEARTBEAT_CHECK_MS = 100
/** Time between two keepalives among relays and their standbys. */
const RELAY_KEEPALIVE_MS = 330
/** Listeners beyond the candidates get every second keepalive, one every 660 ms: within the 1.05 s of silence after which they no longer rely on a candidate to watch the store. */
const LISTENER_KEEPALIVE_FACTOR = 2
/** Factor by which heartbeats to silent peers are further apart. */
const SILENT_PEER_FACTOR = 1.5

/**
 * Creates the broadcaster.
 *
 * @param options - The daemon, its view and its socket.
 * @returns The broadcaster; nothing periodic is sent before its first tick.
 */
export function createPeriodicBroadcaster (options: PeriodicBroadcasterOptions): PeriodicBroadcaster {
  const { ownHost, incarnation, getView, send, now } = options
  const { role: ownRole, isStoreLost: initialStoreLost } = options.describeSelf()
  const heartbeatSentAt = new Map<string, number>()
  const lastSentAt = new Map<string, number>()
  /** Hosts that got a first heartbeat, and whose periodic heartbeats have not begun yet. */
  const awaitingPhase = new Set<string>()
  let heartbeatCheckedAt = -Infinity
  let relayKeepaliveAt = -Infinity
  let relayKeepaliveCount = 0
  let announcedStoreLost = initialStoreLost

  function isDue (since: number | undefined, intervalMs: number): boolean {
    return now() - (since ?? -Infinity) >= intervalMs - CANDIDATE_TICK_MS / 2
  }

  function formatSelf (urgency: wire.Urgency): string {
    return wire.formatHeartbeat({ sentAt: now(), incarnation }, options.describeSelf(), getView().viewHash, urgency)
  }

  function sendHeartbeat (host: string, urgency: wire.Urgency = 'nobody'): void {
    heartbeatSentAt.set(host, now())
    lastSentAt.set(host, now())
    send(host, formatSelf(urgency))
  }

  function tick (): void {
    if (isDue(heartbeatCheckedAt, HEARTBEAT_CHECK_MS)) {
      heartbeatCheckedAt = now()
      announceStoreLost()
      sendHeartbeats()
    }
    sendEngineReports()
    sendRelayKeepalives()
  }

  function sendHeartbeats (): void {
    const { near, silent, intervals } = getView()
    for (const member of near) sendIfDue(member, intervals.heartbeatMs, chooseKeepaliveMs(member.heartbeat.host))
    for (const member of silent) sendIfDue(member, intervals.heartbeatMs * SILENT_PEER_FACTOR, Infinity)
  }

  /** Gateways of the hall hear at once of a lost store, since it decides which gateways query the store. */
  function announceStoreLost (): void {
    const { isStoreLost } = options.describeSelf()
    if (isStoreLost === announcedStoreLost) return
    announcedStoreLost = isStoreLost
    for (const { heartbeat: { host, role } } of getView().near) if (role === 'gateway') send(host, formatSelf('nobody'))
  }

  /** The first periodic heartbeat is sent after a fraction of the interval, so that heartbeats of daemons that start together do not stay in step. */
  function sendIfDue ({ heartbeat: { host } }: heartbeats.Peer, heartbeatMs: number, keepaliveMs: number): void {
    const phase = awaitingPhase.has(host) ? hashes.computePhase(ownHost, host) : 1
    if (isDue(heartbeatSentAt.get(host), phase * heartbeatMs)) {
      awaitingPhase.delete(host)
      sendHeartbeat(host)
    } else if (isDue(lastSentAt.get(host), keepaliveMs)) {
      lastSentAt.set(host, now())
      send(host, wire.formatKeepalive(false))
    }
  }

  /** In a relayed hall only the relays get keepalives. */
  function chooseKeepaliveMs (host: string): number {
    const { isRelayed, relayHosts, intervals } = getView()
    if (!isRelayed) return intervals.keepaliveMs
    return relayHosts.has(host) ? rates.RELAYED_KEEPALIVE_MS : Infinity
  }

  function sendEngineReports (): void {
    if (ownRole !== 'agent') return
    const { near, intervals, isRelayed, relayHosts } = getView()
    const due = near.filter(({ heartbeat: { role, host } }) => (isRelayed ? relayHosts.has(host) : role === 'gateway') && isDue(lastSentAt.get(host), intervals.engineReportMs))
    if (due.length === 0) return
    const text = wire.formatEngineReport({ sentAt: now(), incarnation }, options.describeSelf().engine)
    for (const { heartbeat: { host } } of due) {
      lastSentAt.set(host, now())
      send(host, text)
    }
  }

  function sendRelayKeepalives (): void {
    if (!options.isRelayCandidate() || !isDue(relayKeepaliveAt, RELAY_KEEPALIVE_MS)) return
    const { candidates, listeners } = getView()
    relayKeepaliveAt = now()
    relayKeepaliveCount += 1
    const receivers = relayKeepaliveCount % LISTENER_KEEPALIVE_FACTOR === 0 ? [...new Set([...candidates, ...listeners])] : candidates
    for (const { host } of receivers) send(host, wire.formatKeepalive(false))
  }

  return {
    tick,
    formatSelf,
    sendHeartbeat,
    sendFirstHeartbeat: (host, urgency) => {
      awaitingPhase.add(host)
      sendHeartbeat(host, urgency)
    },
    noteSent: (host) => { lastSentAt.set(host, now()) },
    forget: (host) => {
      heartbeatSentAt.delete(host)
      awaitingPhase.delete(host)
      lastSentAt.delete(host)
    }
  }
}
