/** In which order the gateways of a hall take on work for all daemons of the hall. */
import * as membership from '@switchridge/membership'
import type * as createGossip from '../createGossip/index.js'

/** What the ranking goes by. */
export type RankedMember = Pick<createGossip.Heartbeat, 'node' | 'role' | 'zone' | 'isLeaving'>

const rankings = new Map<string, ReturnType<typeof membership.createRendezvousRanking>>()

function findRanking (zone: string): ReturnType<typeof membership.createRendezvousRanking> {
  const known = rankings.get(zone)
  if (known !== undefined) return known
  const ranking = membership.createRendezvousRanking(`gateways/${zone}`)
  rankings.set(zone, ranking)
  return ranking
}

/**
 * Ranks the gateways of a hall; every daemon that knows the same gateways works out the same order, and a gateway that
 * comes or goes moves no other two.
 *
 * @param members - Daemons that are live, the own one included.
 * @param zone - The hall.
 * @returns Its gateways that stay, the first one first.
 */
export function rankGateways<Member extends RankedMember> (members: readonly Member[], zone: string): Member[] {
  const gateways = members.filter((member) => member.role === 'gateway' && member.zone === zone && !member.isLeaving)
  return findRanking(zone)(gateways, (gateway) => gateway.node)
}
