/** The order in which the gateways of a hall take over tasks for the whole hall. */
import * as membership from '@switchridge/membership'
import type * as createGossip from '../createGossip/index.js'

/** The fields that the ranking depends on. */
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
 * Ranks the gateways of a hall. Every daemon that knows the same gateways computes the same order, and the others keep their
 * order when a gateway is added or removed.
 *
 * @param members - Live daemons, this one included.
 * @param zone - The hall.
 * @returns The gateways of the hall that are not leaving, the highest rank first.
 */
export function rankGateways<Member extends RankedMember> (members: readonly Member[], zone: string): Member[] {
  const gateways = members.filter((member) => member.role === 'gateway' && member.zone === zone && !member.isLeaving)
  return findRanking(zone)(gateways, (gateway) => gateway.node)
}
