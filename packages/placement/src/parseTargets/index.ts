/** Reads the targets cell of a model row. */
import * as types from '@switchridge/types'

/** Copies wanted in one part of the fleet. */
export type Target =
  | { readonly scope: 'fleet', readonly count: number | 'all' }
  | { readonly scope: 'data-hall', readonly dataHall: types.DataHallId, readonly count: number | 'all' }
  | { readonly scope: 'node', readonly node: types.NodeId }

const ALLOWED = '"all", a count such as "4", data halls such as "hall-a=2 hall-b=all", or nodes such as "node:cluj-1"'
const COUNT = /^\d+$/
const HALL = /^([\w.-]+)=(\d+|all)$/
const NODE = /^node:([\w.-]+)$/

/**
 * Parses a targets cell.
 *
 * @param cell - The cell's text; parts are separated by blanks.
 * @returns The targets, or the problem without its place.
 * @example
 * parseTargets('buc-hala-a=2 node:cluj-1')
 */
export function parseTargets (cell: string): types.Outcome<readonly Target[], types.InvalidInputError> {
  const parts = cell.trim().split(/\s+/)
  const targets = parts.map(parseTarget)
  if (targets.includes(null)) {
    return types.fail(new types.InvalidInputError('targets', [{ place: 'targets', given: JSON.stringify(cell), allowed: ALLOWED }]))
  }
  return types.succeed(targets as Target[])
}

function parseTarget (part: string): Target | null {
  if (part === 'all') return { scope: 'fleet', count: 'all' }
  if (COUNT.test(part)) return { scope: 'fleet', count: Number(part) }
  const hall = HALL.exec(part)
  if (hall !== null) return { scope: 'data-hall', dataHall: types.brandId(hall[1] ?? ''), count: parseCount(hall[2] ?? '') }
  const node = NODE.exec(part)
  if (node !== null) return { scope: 'node', node: types.brandId(node[1] ?? '') }
  return null
}

function parseCount (text: string): number | 'all' {
  return text === 'all' ? 'all' : Number(text)
}
