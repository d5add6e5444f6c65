/**
 * Decides whom a daemon sends its heartbeats to. Each data hall has a few hubs, about the square root of
 * its size, so that no daemon hears from more than a few dozen others however large the hall is.
 */
import * as types from '@switchridge/types'
import type * as createMemberView from '../createMemberView/index.js'
import * as rendezvous from '../rankByRendezvous/index.js'

/** Hubs to which an ordinary daemon reports, so that one may fail. */
const HOME_HUBS = 2

const nodeOf = (facts: types.MemberFacts): string => facts.node

/**
 * Computes the hubs of a data hall.
 *
 * @param hall - The hall.
 * @param members - The members seen.
 * @returns The first live entry nodes in rendezvous order, or the silent ones where none is live.
 */
export function computeHubs (hall: types.DataHallId, members: readonly createMemberView.Member[]): types.MemberFacts[] {
  const present = members.filter((member) => member.facts.dataHall === hall && member.condition !== 'gone')
  const entryNodes = present.filter((member) => member.facts.role === 'entry')
  const live = entryNodes.filter((member) => member.condition === 'live' && member.facts.state === 'live')
  const able = (live.length > 0 ? live : entryNodes).map((member) => member.facts)
  const count = Math.ceil(Math.sqrt(present.length))
  return rendezvous.rankByRendezvous(`hub/${hall}`, able, nodeOf).slice(0, count)
}

/**
 * Tells whether a daemon is a hub of its data hall.
 *
 * @param facts - The daemon.
 * @param members - The members seen.
 * @returns True for a hub.
 */
export function isHub (facts: types.MemberFacts, members: readonly createMemberView.Member[]): boolean {
  return computeHubs(facts.dataHall, members).some((hub) => hub.node === facts.node)
}

/**
 * Computes the targets of a daemon's heartbeats.
 *
 * @param self - The daemon.
 * @param members - The members seen.
 * @returns Home hubs of the own hall; for a hub all other hubs of its hall and one of every other hall.
 */
export function computeReportTargets (self: types.MemberFacts, members: readonly createMemberView.Member[]): types.MemberFacts[] {
  const hubs = computeHubs(self.dataHall, members)
  const others = hubs.filter((hub) => hub.node !== self.node)
  if (others.length === hubs.length) return rendezvous.rankByRendezvous(self.node, others, nodeOf).slice(0, HOME_HUBS)
  const halls = new Set(members.map((member) => member.facts.dataHall).filter((hall) => hall !== self.dataHall))
  const remote = [...halls].map((hall) => rendezvous.pickByRendezvous(self.node, computeHubs(hall, members), nodeOf))
  return [...others, ...remote.filter((hub) => hub !== undefined)]
}

/** Milliseconds of heartbeat interval for each member of the hall, so that the traffic of a hub stays bounded. */
const INTERVAL_PER_MEMBER_MS = 40
const MAXIMUM_INTERVAL_MS = 8000
const INTERVALS_TO_SILENCE = 3.2

/**
 * Computes the heartbeat interval of a hall.
 *
 * @param hallMembers - Members of the hall that are not gone.
 * @returns Milliseconds.
 */
export function computeInterval (hallMembers: number): number {
  return Math.min(MAXIMUM_INTERVAL_MS, Math.max(types.HEARTBEAT_INTERVAL_MS, INTERVAL_PER_MEMBER_MS * hallMembers))
}

/**
 * Computes after how much silence a member of a hall is no longer live.
 *
 * @param hallMembers - Members of the hall that are not gone.
 * @returns Milliseconds.
 */
export function computeSilenceLimit (hallMembers: number): number {
  return INTERVALS_TO_SILENCE * computeInterval(hallMembers)
}
