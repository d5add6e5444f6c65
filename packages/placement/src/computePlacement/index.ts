/** Decides which node holds which version, and says why: a pure function of the table and the members seen. */
import * as types from '@switchridge/types'
import * as membership from '@switchridge/membership'
import * as parseTargets from '../parseTargets/index.js'

/** One copy that a node shall hold. */
export interface Assignment {
  readonly node: types.NodeId
  readonly row: types.ModelRow
  /** Position among the node's copies; lower ones move first. */
  readonly order: number
  readonly reason: string
}

/** A wish of the table that the fleet cannot meet now. */
export interface Shortfall {
  readonly row: types.RowId
  readonly wanted: number
  readonly placed: number
  readonly reason: string
}

/** The whole placement. */
export interface Placement {
  readonly assignments: readonly Assignment[]
  readonly shortfalls: readonly Shortfall[]
}

interface Candidate {
  readonly facts: types.MemberFacts
  freeBytes: number
  copies: number
}

interface Selection {
  readonly chosen: ReadonlyMap<Candidate, string>
  readonly wanted: number
}

/**
 * Computes the placement.
 *
 * @param table - The table in force.
 * @param members - The members seen; silent ones keep their place, leaving and gone ones have none.
 * @returns Assignments with reasons, and what could not be placed.
 */
export function computePlacement (table: types.Table, members: readonly membership.Member[]): Placement {
  const candidates = members.filter(isPlaceable).map((member): Candidate => ({ facts: member.facts, freeBytes: member.facts.memoryBytes, copies: 0 }))
  const assignments: Assignment[] = []
  const shortfalls: Shortfall[] = []
  for (const row of orderRows(table.models)) {
    const able = candidates.filter((candidate) => canHold(candidate, row, assignments))
    const selection = selectForRow(row, able)
    for (const [candidate, reason] of selection.chosen) {
      assignments.push({ node: candidate.facts.node, row, order: candidate.copies, reason })
      candidate.copies += 1
      candidate.freeBytes -= row.bytes
    }
    if (selection.chosen.size < selection.wanted) {
      shortfalls.push({ row: row.id, wanted: selection.wanted, placed: selection.chosen.size, reason: explainShortfall(row, able.length) })
    }
  }
  return { assignments, shortfalls }
}

function isPlaceable (member: membership.Member): boolean {
  return member.facts.role === 'backend' && member.condition !== 'gone' && !member.leaving
}

/** Higher priority first; a base moves before its adapters. */
function orderRows (rows: readonly types.ModelRow[]): types.ModelRow[] {
  const rowsById = new Map(rows.map((row) => [row.id, row]))
  const effective = new Map(rows.map((row) => [row.id, row.priority]))
  for (const row of rows) {
    if (row.base === null || !rowsById.has(row.base)) continue
    effective.set(row.base, Math.max(effective.get(row.base) ?? 0, row.priority))
  }
  const rank = (row: types.ModelRow): number => effective.get(row.id) ?? row.priority
  const isAdapter = (row: types.ModelRow): number => row.base === null ? 0 : 1
  return [...rows].sort((left, right) => rank(right) - rank(left) || isAdapter(left) - isAdapter(right) || (left.id < right.id ? -1 : 1))
}

function canHold (candidate: Candidate, row: types.ModelRow, assignments: readonly Assignment[]): boolean {
  if (candidate.facts.service !== row.service || candidate.freeBytes < row.bytes) return false
  if (row.base === null) return true
  return assignments.some((assignment) => assignment.node === candidate.facts.node && assignment.row.id === row.base)
}

function selectForRow (row: types.ModelRow, able: readonly Candidate[]): Selection {
  const targets = parseTargets.parseTargets(row.targets)
  if (!targets.ok) return { chosen: new Map(), wanted: 1 }
  const chosen = new Map<Candidate, string>()
  let wanted = 0
  for (const target of targets.value) {
    const pool = able.filter((candidate) => isInScope(candidate, target) && !chosen.has(candidate))
    const count = countWanted(target, pool.length)
    wanted += count
    const ranked = spreadOverHalls(row.id, pool)
    ranked.slice(0, count).forEach((candidate, index) => chosen.set(candidate, explainChoice(target, index, pool.length)))
  }
  return { chosen, wanted }
}

function isInScope (candidate: Candidate, target: parseTargets.Target): boolean {
  if (target.scope === 'node') return candidate.facts.node === target.node
  return target.scope === 'fleet' || candidate.facts.dataHall === target.dataHall
}

function countWanted (target: parseTargets.Target, available: number): number {
  if (target.scope === 'node') return 1
  return target.count === 'all' ? available : target.count
}

/** Takes one node of each data hall in turn, so that a count survives the loss of a hall as well as it can. */
function spreadOverHalls (key: string, pool: readonly Candidate[]): Candidate[] {
  const ranked = membership.rankByRendezvous(key, pool, (candidate) => candidate.facts.node)
  const taken = new Map<types.DataHallId, number>()
  const rounds = ranked.map((candidate) => {
    const round = taken.get(candidate.facts.dataHall) ?? 0
    taken.set(candidate.facts.dataHall, round + 1)
    return { candidate, round }
  })
  return rounds.sort((left, right) => left.round - right.round).map(({ candidate }) => candidate)
}

function explainChoice (target: parseTargets.Target, index: number, available: number): string {
  if (target.scope === 'node') return 'named in targets'
  const place = target.scope === 'fleet' ? 'the fleet' : target.dataHall
  const wanted = target.count === 'all' ? 'every one' : `${target.count}`
  return `rank ${index + 1} of ${available} able nodes in ${place}, wanted ${wanted}`
}

function explainShortfall (row: types.ModelRow, able: number): string {
  const base = row.base === null ? '' : ` with ${row.base}`
  return `${able} nodes of ${row.service}${base} have ${row.bytes} bytes free`
}
