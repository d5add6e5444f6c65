/** Which gateways of a hall ask the store; the others take from them what changes. */
import type * as createGossip from '../createGossip/index.js'
import * as rankGateways from '../rankGateways/index.js'

/** What the choice goes by. */
export type WatchingMember = rankGateways.RankedMember & Pick<createGossip.Heartbeat, 'isStoreLost'>

/** Of a hall that hears no other one: two, so that one that fails leaves no gap; each one's answers cross into the hall. */
export const WATCHERS_PER_HALL = 2
/**
 * Where other halls watch too, they stand in for one that fails, and it is replaced within about a second: a second one a hall
 * would double the calls to the store.
 */
const WATCHERS_BESIDE_OTHERS = 1
/** Up to so many gateways of a hall that hears no other one all ask: their answers do not fill a link, and none depends on another. */
const SMALL_HALL_GATEWAYS = 3

/**
 * Chooses the gateways that ask the store.
 *
 * @param members - Daemons that are live, the own one included.
 * @param zone - The hall.
 * @param isAlone - Whether no other hall is heard that could watch, too.
 * @returns The gateways; all of them when the store answers none.
 */
export function chooseWatchers<Member extends WatchingMember> (members: readonly Member[], zone: string, isAlone = true): Member[] {
  const gateways = rankGateways.rankGateways(members, zone)
  if (isAlone && gateways.length <= SMALL_HALL_GATEWAYS) return gateways
  const answered = gateways.filter((gateway) => !gateway.isStoreLost)
  return answered.length === 0 ? gateways : answered.slice(0, isAlone ? WATCHERS_PER_HALL : WATCHERS_BESIDE_OTHERS)
}
