/** Limits how many nodes stop serving a row at the same time while it is updated to another version. */
import type * as types from '@switchridge/types'
import * as membership from '@switchridge/membership'

/**
 * Tells whether a node that has no memory for both versions may stop serving the old one now.
 *
 * Only as many of the live replicas may stop as exceed `minimumServing`; rendezvous hashing decides which of the outdated ones go first.
 *
 * @param row - The row that is being updated.
 * @param node - The node that wants to stop serving.
 * @param members - The known members.
 * @returns True if enough replicas keep serving the row, or if the node is no live replica of another version.
 */
export function mayStopServing (row: types.ModelRow, node: types.NodeId, members: readonly membership.Member[]): boolean {
  const replicas = members.filter((member) => member.condition === 'live' && !member.leaving && servesRow(member, row.id))
  const outdated = replicas.filter((member) => !servesManifest(member, row))
  const maximumStopping = replicas.length - row.minimumServing
  const ranked = membership.rankByRendezvous(row.id, outdated, (member) => member.facts.node)
  const rank = ranked.findIndex((member) => member.facts.node === node)
  return rank === -1 || rank < maximumStopping
}

function servesRow (member: membership.Member, row: types.RowId): boolean {
  return member.facts.serving.some((served) => served.row === row)
}

function servesManifest (member: membership.Member, row: types.ModelRow): boolean {
  return member.facts.serving.some((served) => served.row === row.id && served.manifest === row.manifest)
}
