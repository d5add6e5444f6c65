/** Decides whether this daemon watches the store or leaves that to others of its hall, and how long it waits for its hall before it requests a copy from another one. */
import * as membership from '@switchridge/membership'
import * as spread from '@switchridge/spread'
import type * as types from '@switchridge/types'

/** Options of {@link createWatchDuty}. */
export interface WatchDutyOptions {
  readonly node: types.NodeId
  readonly role: spread.Heartbeat['role']
  readonly zone: string
  readonly peers: () => readonly spread.Peer[]
  /** Whether a peer's last heartbeat is recent enough for the rate at which daemons of the hall send them. */
  readonly isLive: (peer: spread.Peer) => boolean
  /** Whether this daemon's last call to the store failed for at least one kind. */
  readonly isStoreLost: () => boolean
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/**
 * Which daemons watch a kind. `each-hall` suits large copies, which two watchers per hall distribute locally at once; `few-halls` suits small ones that change often.
 */
export type WatchScope = 'each-hall' | 'few-halls'

/** Decides the watch duty of one daemon. */
export interface WatchDuty {
  /**
   * Returns whether this daemon may send requests about a kind to the store now.
   *
   * @param isInitialized - Whether there is a copy of the kind.
   * @param isReachable - Whether the store answered the last call for the kind. If it did not, the daemon may keep trying.
   * @param scope - Which daemons watch the kind.
   */
  readonly mayWatch: (isInitialized: boolean, isReachable: boolean, scope: WatchScope) => boolean
  /** How long this daemon waits for its own hall before it requests a copy from another hall, in milliseconds. */
  readonly otherHallGraceMs: () => number
}

/**
 * A watcher that has been silent for this long is replaced by the next in the ranking. The first eight gateways hear the first four
 * more often than that; all others hear them too rarely to judge, and rely on liveness. A longer timeout would delay a change when a hall's first four gateways are cut off right before it.
 */
const WATCHER_TIMEOUT_MS = 1050
/** Number of halls whose gateways watch the store; the other halls take changes from them, so that the number of calls doesn't grow with the number of halls. */
export const WATCHING_HALLS = 3
/** A hall whose gateways have all been silent for this long is not chosen to watch for others. Digests of one hall arrive in parts, spread over nearly as long in a fleet of hundreds. */
const HALL_TIMEOUT_MS = 3500
/** After a start, peers are heard within two round trips between regions; before that, each gateway would consider itself alone. */
const STARTUP_WAIT_MS = 150
/** A gateway that hears no watcher or gets no copy lists the kind itself after this delay. Gateways do so one by one, so that a simultaneous restart doesn't make all of them list. */
const FALLBACK_LIST_DELAY_MS = 500
const FALLBACK_LIST_STEP_MS = 900
const FALLBACK_LIST_MAXIMUM_MS = 4000
/** Gateways wait longer the later they are in the ranking before they ask another hall, so that one copy crosses between halls and the others find it in their own. */
const REMOTE_HALL_STEP_MS = 200
const REMOTE_HALL_MAXIMUM_MS = 1200
/** Longer than the delay of any gateway. */
const AGENT_REMOTE_HALL_DELAY_MS = 1500
/** An election is reused for this long, because each kind asks for it many times a second; short compared with the timeouts above. */
const ELECTION_CACHE_MS = 90

interface Election {
  readonly electedAt: number
  /** Whether this daemon watches kinds of each scope. */
  readonly isWatcher: Readonly<Record<WatchScope, boolean>>
  /** Position in the ranking of the hall's gateways, from 0. */
  readonly rank: number
}

/**
 * Creates the duty.
 *
 * @param options - This daemon and the peers it hears.
 * @returns The duty; its startup delays begin now.
 */
export function createWatchDuty (options: WatchDutyOptions): WatchDuty {
  const { node, zone, now } = options
  const startedAt = now()
  let last: Election | null = null

  function elect (): Election {
    const electedAt = now()
    if (last !== null && electedAt - last.electedAt < ELECTION_CACHE_MS) return last
    const self: spread.WatchingMember = { node, role: options.role, zone, isLeaving: false, isStoreLost: options.isStoreLost() }
    const live = options.peers().filter((peer) => peer.heartbeat.zone === zone && options.isLive(peer))
    const members = listResponsive(self, live, electedAt)
    const halls = listHalls(electedAt)
    const isWatching = membership.rankByRendezvous('watching-halls', halls, (hall) => hall).slice(0, WATCHING_HALLS).includes(zone)
    const includesSelf = (watchers: readonly spread.WatchingMember[]): boolean => watchers.some((member) => member.node === node)
    const isWatcher = {
      'each-hall': includesSelf(spread.chooseWatchers(members, zone)),
      'few-halls': isWatching && includesSelf(spread.chooseWatchers(members, zone, halls.length === 1))
    }
    const rank = spread.rankGateways(members, zone).findIndex((member) => member.node === node)
    last = { electedAt, isWatcher, rank }
    return last
  }

  /** Lists this daemon's hall and the halls with gateways that were heard recently. */
  function listHalls (at: number): string[] {
    const heard = options.peers().filter(({ heartbeat, heardAt }) => heartbeat.role === 'gateway' && at - heardAt <= HALL_TIMEOUT_MS)
    return [...new Set([zone, ...heard.map(({ heartbeat }) => heartbeat.zone)])]
  }

  /** Lists the live members of the hall; leaves out silent candidates for the watch if this daemon hears the candidates often. */
  function listResponsive (self: spread.WatchingMember, live: readonly spread.Peer[], at: number): spread.WatchingMember[] {
    const all: spread.WatchingMember[] = [self, ...live.map((peer) => peer.heartbeat)]
    const ranked = spread.rankGateways(all, zone).map((member) => member.node)
    const first = ranked.slice(0, spread.RELAY_CANDIDATES)
    if (!ranked.slice(0, spread.RELAY_LISTENERS).includes(node)) return all
    const silent = live.filter((peer) => at - peer.heardAt > WATCHER_TIMEOUT_MS).map((peer) => peer.heartbeat.node)
    return all.filter((member) => !first.includes(member.node) || !silent.includes(member.node))
  }

  function mayList (): boolean {
    const position = Math.max(0, elect().rank - spread.WATCHERS_PER_HALL)
    return now() - startedAt >= Math.min(FALLBACK_LIST_MAXIMUM_MS, FALLBACK_LIST_DELAY_MS + position * FALLBACK_LIST_STEP_MS)
  }

  return {
    mayWatch: (isInitialized, isReachable, scope) => {
      if (!isReachable) return true
      if (now() - startedAt < STARTUP_WAIT_MS) return false
      return elect().isWatcher[scope] || (!isInitialized && mayList())
    },
    otherHallGraceMs: () => options.role === 'agent' ? AGENT_REMOTE_HALL_DELAY_MS : Math.min(REMOTE_HALL_MAXIMUM_MS, (1 + elect().rank) * REMOTE_HALL_STEP_MS)
  }
}
