/** Checks an edit against the fleet's capacity before it is written, and estimates the data that it would move. */
import * as types from '@switchridge/types'
import type * as membership from '@switchridge/membership'
import * as placement from '@switchridge/placement'

/** Copies and bytes that an edit would move between nodes. */
export interface EditCost {
  readonly copies: number
  readonly bytes: number
  /** Number of rows of which no node holds a copy, so that the origin has to send one. */
  readonly originCopies: number
  readonly moves: ReadonlyArray<{ readonly node: string, readonly row: string, readonly bytes: number, readonly reason: string }>
}

/** Rejects a table that needs more copies than the fleet can hold; the error names the cells. */
export function checkCapacity (table: types.Table, members: readonly membership.Member[]): types.Outcome<null, types.InvalidInputError> {
  const { shortfalls } = placement.computePlacement(table, members)
  if (shortfalls.length === 0) return types.succeed(null)
  const problems = shortfalls.map((shortfall) => ({
    place: `model/${shortfall.row}.targets`,
    given: `${shortfall.wanted} copies`,
    allowed: `${shortfall.placed} now: ${shortfall.reason}`
  }))
  return types.fail(new types.InvalidInputError('table', problems))
}

/** Computes the copies that nodes would have to fetch because they don't hold them. */
export function computeEditCost (table: types.Table, members: readonly membership.Member[]): EditCost {
  const heldManifests = new Map(members.map((member) => [member.facts.node, new Set([...member.facts.holding, ...member.facts.serving.map((served) => served.manifest)])]))
  const moves = placement.computePlacement(table, members).assignments
    .filter((assignment) => heldManifests.get(assignment.node)?.has(assignment.row.manifest) !== true)
  const movedRows = [...new Set(moves.map((move) => move.row))]
  const originCopies = movedRows.filter((row) => !members.some((member) => member.facts.holding.includes(row.manifest))).length
  return {
    copies: moves.length,
    bytes: moves.reduce((sum, move) => sum + move.row.bytes, 0),
    originCopies,
    moves: moves.map((move) => ({ node: move.node, row: move.row.id, bytes: move.row.bytes, reason: move.reason }))
  }
}
