/** Parses the targets cell of a model row. */
import * as types from '@switchridge/types'

/** How many copies are wanted in the fleet or in one data hall, or the node that must hold one. */
export type Target =
  | { readonly scope: 'fleet', readonly count: number | 'all' }
  | { readonly scope: 'data-hall', readonly dataHall: types.DataHallId, readonly count: number | 'all' }
  | { readonly scope: 'node', readonly node: types.NodeId }

const ALLOWED_SYNTAX = '"all", a count such as "4", data halls such as "hall-a=2 hall-b=all", or nodes such as "node:cluj-1"'
const COUNT_PATTERN = /^\d+$/
const HALL_PATTERN = /^([\w.-]+)=(\d+|all)$/
const NODE_PATTERN = /^node:([\w.-]+)$/

/**
 * Parses a targets cell.
 *
 * @param cell - Text of the cell, with targets separated by white space.
 * @returns The targets, or the problem; its place names only the cell, since the row is not known here.
 * @example
 * parseTargets('hall-a=2 node:node-1')
 */
export function parseTargets (cell: string): types.Outcome<readonly Target[], types.InvalidInputError> {
  const parts = cell.trim().split(/\s+/)
  const targets = parts.map(parseTarget)
  if (targets.includes(null)) {
    return types.fail(new types.InvalidInputError('targets', [{ place: 'targets', given: JSON.stringify(cell), allowed: ALLOWED_SYNTAX }]))
  }
  return types.succeed(targets as Target[])
}

function parseTarget (part: string): Target | null {
  if (part === 'all') return { scope: 'fleet', count: 'all' }
  if (COUNT_PATTERN.test(part)) return { scope: 'fleet', count: Number(part) }
  const hall = HALL_PATTERN.exec(part)
  if (hall !== null) return { scope: 'data-hall', dataHall: types.brandId(hall[1] ?? ''), count: parseCount(hall[2] ?? '') }
  const node = NODE_PATTERN.exec(part)
  if (node !== null) return { scope: 'node', node: types.brandId(node[1] ?? '') }
  return null
}

function parseCount (text: string): number | 'all' {
  return text === 'all' ? 'all' : Number(text)
}
