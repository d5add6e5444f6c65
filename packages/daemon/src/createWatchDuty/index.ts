/** Whether this gateway asks the store, or leaves that to others of its hall; how long it waits for its hall. */
import * as membership from '@switchridge/membership'
import * as spread from '@switchridge/spread'
import type * as types from '@switchridge/types'

/** Options of {@link createWatchDuty}. */
export interface WatchDutyOptions {
  readonly node: types.NodeId
  readonly role: spread.Heartbeat['role']
  readonly zone: string
  readonly peers: () => readonly spread.Peer[]
  /** Whether a peer was heard of lately enough, as often as daemons of the hall tell each other. */
  readonly isLive: (peer: spread.Peer) => boolean
  /** Whether the store did not answer this daemon's last calls. */
  readonly isStoreLost: () => boolean
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/**
 * Who watches a kind: `each-hall` for large copies, since two of each hall then hand them on at once; `few-halls` for small ones that change often.
 */
export type WatchReach = 'each-hall' | 'few-halls'

/** The duty of one daemon. */
export interface WatchDuty {
  /**
   * @param isKnown - Whether there is a copy of the kind.
   * @param isReachable - Whether the store answered the last call for the kind.
   * @param reach - Who watches the kind.
   */
  readonly mayWatch: (isKnown: boolean, isReachable: boolean, reach: WatchReach) => boolean
  /** Milliseconds that this daemon waits for its own hall before it asks another one for a copy. */
  readonly farGraceMs: () => number
}

/**
 * A watcher that was silent for so long is replaced by the next in the ranking. The first eight hear the first four
 * more often than that; all others hear of them too seldom to judge, and go by what counts as live. Longer, a change would come late to a hall whose first four were cut off right before it.
 */
const WATCHER_SILENT_MS = 1050
/** Halls whose gateways ask the store; the others take from them what changes, so that calls do not grow with the halls. */
export const WATCHING_HALLS = 3
/** A hall of which no member was heard for so long does not watch for others; digests of one hall come in parts, spread over nearly as long in a fleet of hundreds. */
const HALL_SILENT_MS = 3500
/** After a start others are heard of within two ways there and back between regions; before that each gateway would take itself for alone. */
const SETTLE_MS = 150
/** A gateway that no watcher is heard of or that gets no copy lists by itself after this, one after the other, so that a return of all brings no list of all. */
const NO_COPY_MS = 500
const NO_COPY_STEP_MS = 900
const NO_COPY_MAXIMUM_MS = 4000
/** The first gateways of the ranking ask another hall first, so that one copy crosses and the others find it at home. */
const FAR_STEP_MS = 200
const FAR_MAXIMUM_MS = 1200
const AGENT_FAR_MS = 1500
/** The choice holds for so long, since it is asked for by every kind many times a second; short against the silence above. */
const CHOICE_MS = 90

interface Choice {
  readonly madeAt: number
  /** Whether it watches kinds of each reach. */
  readonly isWatcher: Readonly<Record<WatchReach, boolean>>
  /** Place in the ranking of the hall; 0 is the first. */
  readonly rank: number
}

/**
 * Creates the duty.
 *
 * @param options - This daemon and the others that it hears of.
 * @returns The duty; its time begins now.
 */
export function createWatchDuty (options: WatchDutyOptions): WatchDuty {
  const { node, zone, now } = options
  const startedAt = now()
  let last: Choice | null = null

  function choose (): Choice {
    const madeAt = now()
    if (last !== null && madeAt - last.madeAt < CHOICE_MS) return last
    const self: spread.WatchingMember = { node, role: options.role, zone, isLeaving: false, isStoreLost: options.isStoreLost() }
    const live = options.peers().filter((peer) => peer.heartbeat.zone === zone && options.isLive(peer))
    const members = listHeard(self, live, madeAt)
    const halls = listHalls(madeAt)
    const isWatching = membership.rankByRendezvous('watching-halls', halls, (hall) => hall).slice(0, WATCHING_HALLS).includes(zone)
    const isAmong = (watchers: readonly spread.WatchingMember[]): boolean => watchers.some((member) => member.node === node)
    const isWatcher = {
      'each-hall': isAmong(spread.chooseWatchers(members, zone)),
      'few-halls': isWatching && isAmong(spread.chooseWatchers(members, zone, halls.length === 1))
    }
    const rank = spread.rankGateways(members, zone).findIndex((member) => member.node === node)
    last = { madeAt, isWatcher, rank }
    return last
  }

  /** The own hall, and those with gateways that were heard of lately. */
  function listHalls (at: number): string[] {
    const heard = options.peers().filter(({ heartbeat, heardAt }) => heartbeat.role === 'gateway' && at - heardAt <= HALL_SILENT_MS)
    return [...new Set([zone, ...heard.map(({ heartbeat }) => heartbeat.zone)])]
  }

  /** Live members of the hall without the first gateways that are silent, if this one hears them often. */
  function listHeard (self: spread.WatchingMember, live: readonly spread.Peer[], at: number): spread.WatchingMember[] {
    const all: spread.WatchingMember[] = [self, ...live.map((peer) => peer.heartbeat)]
    const ranked = spread.rankGateways(all, zone).map((member) => member.node)
    const first = ranked.slice(0, spread.CANDIDATES)
    if (!ranked.slice(0, spread.LISTENERS).includes(node)) return all
    const silent = live.filter((peer) => at - peer.heardAt > WATCHER_SILENT_MS).map((peer) => peer.heartbeat.node)
    return all.filter((member) => !first.includes(member.node) || !silent.includes(member.node))
  }

  function mayList (): boolean {
    const turn = Math.max(0, choose().rank - spread.WATCHERS_PER_HALL)
    return now() - startedAt >= Math.min(NO_COPY_MAXIMUM_MS, NO_COPY_MS + turn * NO_COPY_STEP_MS)
  }

  return {
    mayWatch: (isKnown, isReachable, reach) => {
      if (!isReachable) return true
      if (now() - startedAt < SETTLE_MS) return false
      return choose().isWatcher[reach] || (!isKnown && mayList())
    },
    farGraceMs: () => options.role === 'agent' ? AGENT_FAR_MS : Math.min(FAR_MAXIMUM_MS, (1 + choose().rank) * FAR_STEP_MS)
  }
}
