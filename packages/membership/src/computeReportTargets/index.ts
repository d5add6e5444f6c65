/**
 * Chooses the daemons that a daemon sends its heartbeats to. Each data hall has a few hubs, about the square root of
 * its size, so that no daemon receives heartbeats from more than a few dozen others, however large the hall is.
 */
import * as types from '@switchridge/types'
import type * as createMemberView from '../createMemberView/index.js'
import * as rendezvous from '../rankByRendezvous/index.js'

/** Hubs that a daemon which is no hub reports to; two, so that one of them may fail. */
const HUBS_PER_DAEMON = 2

const getNode = (facts: types.MemberFacts): string => facts.node

/**
 * Computes the hubs of a data hall.
 *
 * @param hall - The hall.
 * @param members - All known members.
 * @returns The first live entry nodes in rendezvous order, or silent ones where none is live.
 */
export function computeHubs (hall: types.DataHallId, members: readonly createMemberView.Member[]): types.MemberFacts[] {
  const present = members.filter((member) => member.facts.dataHall === hall && member.condition !== 'gone')
  const entryNodes = present.filter((member) => member.facts.role === 'entry')
  const live = entryNodes.filter((member) => member.condition === 'live' && member.facts.state === 'live')
  const eligible = (live.length > 0 ? live : entryNodes).map((member) => member.facts)
  const count = Math.ceil(Math.sqrt(present.length))
  return rendezvous.rankByRendezvous(`hub/${hall}`, eligible, getNode).slice(0, count)
}

/**
 * Tells whether a daemon is a hub of its data hall.
 *
 * @param facts - The daemon.
 * @param members - All known members.
 * @returns True for a hub.
 */
export function isHub (facts: types.MemberFacts, members: readonly createMemberView.Member[]): boolean {
  return computeHubs(facts.dataHall, members).some((hub) => hub.node === facts.node)
}

/**
 * Computes the targets of a daemon's heartbeats.
 *
 * @param self - The daemon.
 * @param members - All known members.
 * @returns Up to two hubs of the daemon's own hall, or other entry nodes there if it has fewer; for a hub, all other hubs of its hall and one hub of every other hall.
 */
export function computeReportTargets (self: types.MemberFacts, members: readonly createMemberView.Member[]): types.MemberFacts[] {
  const hubs = computeHubs(self.dataHall, members)
  const others = hubs.filter((hub) => hub.node !== self.node)
  if (others.length === hubs.length) return [...rendezvous.rankByRendezvous(self.node, others, getNode), ...listStandbys(self, others, members)].slice(0, HUBS_PER_DAEMON)
  const halls = new Set(members.map((member) => member.facts.dataHall).filter((hall) => hall !== self.dataHall))
  const remote = [...halls].map((hall) => rendezvous.pickByRendezvous(self.node, computeHubs(hall, members), getNode))
  return [...others, ...remote.filter((hub) => hub !== undefined)]
}

/** Lists the other entry nodes of the own hall: one that is leaving still serves its callers, and a silent one may be back before any hub knows. */
function listStandbys (self: types.MemberFacts, hubs: readonly types.MemberFacts[], members: readonly createMemberView.Member[]): types.MemberFacts[] {
  const entryNodes = members.filter(({ facts, condition }) => facts.role === 'entry' && facts.dataHall === self.dataHall && condition !== 'gone').map(({ facts }) => facts)
  const standbys = entryNodes.filter(({ node }) => node !== self.node && !hubs.some((hub) => hub.node === node))
  return rendezvous.rankByRendezvous(self.node, standbys, getNode)
}

/** The heartbeat interval grows with the hall by this many milliseconds for each member, so that the traffic of a hub stays bounded. */
const INTERVAL_PER_MEMBER_MS = 40
const MAXIMUM_INTERVAL_MS = 8000
/** Heartbeat intervals for which a member may be silent and still count as live. */
const SILENCE_LIMIT_INTERVALS = 3.2

/**
 * Computes the heartbeat interval of a hall.
 *
 * @param hallMembers - Members of the hall that are not gone.
 * @returns Milliseconds, from {@link types.HEARTBEAT_INTERVAL_MS} to 8000.
 */
export function computeHeartbeatInterval (hallMembers: number): number {
  return Math.min(MAXIMUM_INTERVAL_MS, Math.max(types.HEARTBEAT_INTERVAL_MS, INTERVAL_PER_MEMBER_MS * hallMembers))
}

/**
 * Computes how long a member of a hall may be silent and still count as live.
 *
 * @param hallMembers - Members of the hall that are not gone.
 * @returns Milliseconds.
 */
export function computeSilenceLimitMs (hallMembers: number): number {
  return SILENCE_LIMIT_INTERVALS * computeHeartbeatInterval(hallMembers)
}
