/** The most recent copy of each kind in a hall, with a member that holds it. */
import type * as store from '@switchridge/store'
import type * as heartbeats from './heartbeat.js'
import type * as wire from './wire.js'

/**
 * Collects the most recent copies of a hall.
 *
 * @param members - Members of the hall, this daemon first: of equal copies, the host of the first one is named.
 * @returns The most recent copy of each kind, with the host of a gateway if one has the same objects, since agents hold only a part of some kinds.
 */
export function collectCopies (members: readonly heartbeats.Heartbeat[]): wire.HallCopies {
  const newest = pickNewest(members)
  const ofGateways = pickNewest(members.filter(({ role }) => role === 'gateway'))
  return Object.fromEntries(Object.entries(newest).map(([kind, copy]) => {
    const other = ofGateways[kind]
    return [kind, other !== undefined && isSameContent(other.state, copy.state) ? other : copy]
  }))
}

function pickNewest (members: readonly heartbeats.Heartbeat[]): wire.HallCopies {
  const newest: Record<string, wire.HallCopies[string]> = {}
  for (const { host, copies } of members) {
    for (const [kind, state] of Object.entries(copies)) {
      const known = newest[kind]
      if (known === undefined || state.at > known.state.at) newest[kind] = { state, host }
    }
  }
  return newest
}

function isSameContent (left: store.MirrorState, right: store.MirrorState): boolean {
  return left.at === right.at || left.digest === right.digest
}

/**
 * Groups a hall's copies by the member that holds them.
 *
 * @param hallCopies - Copies of a hall.
 * @returns Copies by host.
 */
export function groupByHost (hallCopies: wire.HallCopies): Map<string, heartbeats.CopyStates> {
  const byHost = new Map<string, heartbeats.CopyStates>()
  for (const [kind, { state, host }] of Object.entries(hallCopies)) byHost.set(host, { ...byHost.get(host), [kind]: state })
  return byHost
}

/**
 * Tells whether some copies are newer than others.
 *
 * @param offered - Copies that another member or hall announces.
 * @param held - Copies to compare them with.
 * @returns True if a copy is newer and has other objects, or its kind is not among the held ones.
 */
export function hasNewerCopies (offered: wire.HallCopies, held: wire.HallCopies): boolean {
  return Object.entries(offered).some(([kind, { state }]) => {
    const known = held[kind]
    return known === undefined || (state.at > known.state.at && state.digest !== known.state.digest)
  })
}

/** Selects the kinds whose objects changed; a copy that was only confirmed as up to date is not among them. */
export function selectChanged (before: heartbeats.CopyStates, after: heartbeats.CopyStates): heartbeats.CopyStates {
  return Object.fromEntries(Object.entries(after).filter(([kind, { digest }]) => digest !== before[kind]?.digest))
}
