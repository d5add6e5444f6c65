/** Decides whose turn it is to stop serving a version while the row changes to another one. */
import type * as types from '@switchridge/types'
import * as membership from '@switchridge/membership'

/**
 * Tells whether a node may stop serving its old version now, when it has no room for both.
 *
 * @param row - The row that changes.
 * @param node - The node that asks.
 * @param members - The members seen.
 * @returns True if enough replicas keep serving the row.
 */
export function mayLeaveVersion (row: types.ModelRow, node: types.NodeId, members: readonly membership.Member[]): boolean {
  const replicas = members.filter((member) => member.condition === 'live' && !member.leaving && servesRow(member, row.id))
  const unchanged = replicas.filter((member) => !servesManifest(member, row))
  const turns = replicas.length - row.minimumServing
  const ranked = membership.rankByRendezvous(row.id, unchanged, (member) => member.facts.node)
  const rank = ranked.findIndex((member) => member.facts.node === node)
  return rank === -1 || rank < turns
}

function servesRow (member: membership.Member, row: types.RowId): boolean {
  return member.facts.serving.some((served) => served.row === row)
}

function servesManifest (member: membership.Member, row: types.ModelRow): boolean {
  return member.facts.serving.some((served) => served.row === row.id && served.manifest === row.manifest)
}
