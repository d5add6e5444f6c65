/** Selects the gateways of a hall that watch the store; the others get changes from them. */
import type * as createGossip from '../createGossip/index.js'
import * as rankGateways from '../rankGateways/index.js'

/** The fields that the selection depends on. */
export type WatchingMember = rankGateways.RankedMember & Pick<createGossip.Heartbeat, 'isStoreLost'>

/** Watchers of a hall that hears no other one: two, so that the failure of one leaves no gap; the answers to each one take bytes of the links into the hall. */
export const WATCHERS_PER_HALL = 2
/**
 * Where other halls watch too, they bridge the failure of a watcher until it is replaced, within about a second: a second watcher in
 * each hall would double the calls to the store.
 */
const WATCHERS_PER_CONNECTED_HALL = 1
/** In a hall that hears no other one, up to this many gateways all watch: their answers do not fill a link, and no gateway depends on another. */
const SMALL_HALL_GATEWAYS = 3

/**
 * Chooses the gateways that watch the store.
 *
 * @param members - Live daemons, this one included.
 * @param zone - The hall.
 * @param isAlone - Whether no other hall is heard that could watch too.
 * @returns The watchers; all gateways of the hall if the store answers none of them.
 */
export function chooseWatchers<Member extends WatchingMember> (members: readonly Member[], zone: string, isAlone = true): Member[] {
  const gateways = rankGateways.rankGateways(members, zone)
  if (isAlone && gateways.length <= SMALL_HALL_GATEWAYS) return gateways
  const storeReachable = gateways.filter((gateway) => !gateway.isStoreLost)
  return storeReachable.length === 0 ? gateways : storeReachable.slice(0, isAlone ? WATCHERS_PER_HALL : WATCHERS_PER_CONNECTED_HALL)
}
