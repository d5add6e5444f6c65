/** Selection of the relays of a hall, which exchange digests with other halls, and the tree by which digests are forwarded within a hall. */
import * as membership from '@switchridge/membership'
import * as rankGateways from '../rankGateways/index.js'
import type * as heartbeats from './heartbeat.js'

/** Number of relays of a hall: two, so that digests are still exchanged while one of them is silent. */
export const RELAYS_PER_HALL = 2
/** Number of relays and standbys of a hall, which exchange keepalives more often than other members. */
export const RELAY_CANDIDATES = 4
/** Number of members that get frequent keepalives of the candidates: these and as many after them, so that a hall whose first four gateways fail together soon has relays again. */
export const RELAY_LISTENERS = 8
/** Number of members that a member forwards a digest to; each one forwards it within its part of the hall. */
export const FAN_OUT = 3

/** A part of a hall, and the host that forwards a digest within it, which is the first or the last one of the part. */
export interface ForwardingPart {
  readonly host: string
  readonly range: readonly [string, string]
}

/**
 * Ranks the members that may be relays of a hall: its gateways, or its agents if it has no gateway.
 *
 * @param members - Live daemons, this one included.
 * @param zone - The hall.
 * @param count - Maximum number of members to return.
 * @returns The members of the highest rank, in their order.
 */
export function rankCandidates (members: readonly heartbeats.Heartbeat[], zone: string, count = RELAY_CANDIDATES): heartbeats.Heartbeat[] {
  const gateways = rankGateways.rankGateways(members, zone)
  if (gateways.length > 0) return gateways.slice(0, count)
  const agents = members.filter((member) => member.zone === zone && !member.isLeaving)
  return membership.rankByRendezvous(`relays/${zone}`, agents, (agent) => agent.node).slice(0, count)
}

/** Selects the hosts from the first to the last one of a range, which may wrap around the end of the sorted hosts. */
export function selectRange (sorted: readonly string[], [first, last]: readonly [string, string]): string[] {
  if (first <= last) return sorted.filter((host) => host >= first && host <= last)
  return [...sorted.filter((host) => host >= first), ...sorted.filter((host) => host <= last)]
}

/**
 * Divides hosts into parts, each with a forwarder.
 *
 * @param hosts - Sorted hosts, possibly rotated, without the own one.
 * @param avoided - Hosts that already send much: they forward only where no other host can.
 * @param fanOut - Maximum number of parts, not counting those split off for overdue hosts.
 * @param overdue - Hosts that may be gone: they forward only where no other host can; an overdue host that would have to gets a part of its own.
 * @returns The parts; together they hold each host once, and each part without its forwarder is a range again.
 */
export function splitAmongForwarders (hosts: readonly string[], avoided: ReadonlySet<string>, fanOut = FAN_OUT, overdue: ReadonlySet<string> = new Set()): ForwardingPart[] {
  const count = Math.min(fanOut, hosts.length)
  return Array.from({ length: count }, (_, at) => hosts.slice(Math.floor(at * hosts.length / count), Math.floor((at + 1) * hosts.length / count)))
    .flatMap((part) => isolateOverdue(part, overdue))
    .flatMap((part) => chooseForwarder(part, avoided, overdue))
}

/** A part with overdue hosts at both ends may have no live forwarder: hosts at its start get parts of their own until one end is not overdue. */
function isolateOverdue (part: readonly string[], overdue: ReadonlySet<string>): Array<readonly string[]> {
  const [first, last] = [part[0], part.at(-1)]
  const hasOverdueEnds = part.length > 2 && first !== undefined && last !== undefined && overdue.has(first) && overdue.has(last)
  return hasOverdueEnds ? [[first], ...isolateOverdue(part.slice(1), overdue)] : [part]
}

/** Chooses the first or the last host of a part: one that is not overdue, and preferably one that is not avoided. */
function chooseForwarder (part: readonly string[], avoided: ReadonlySet<string>, overdue: ReadonlySet<string>): ForwardingPart[] {
  const [first, last] = [part[0], part.at(-1)]
  if (first === undefined || last === undefined) return []
  const [favored, other] = avoided.has(first) ? [last, first] : [first, last]
  return [{ host: overdue.has(favored) ? other : favored, range: [first, last] }]
}
