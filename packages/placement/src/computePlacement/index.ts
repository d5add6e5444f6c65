/** Decides which nodes hold which model version and gives the reason, as a pure function of the table and the known members. */
import * as types from '@switchridge/types'
import * as membership from '@switchridge/membership'
import * as parseTargets from '../parseTargets/index.js'

/** A copy of a row that is assigned to a node. */
export interface Assignment {
  readonly node: types.NodeId
  readonly row: types.ModelRow
  /** Position among the node's copies, from 0; lower ones are transferred first. */
  readonly order: number
  readonly reason: string
}

/** A row for which the fleet has room for fewer copies than the table asks for. */
export interface Shortfall {
  readonly row: types.RowId
  readonly wanted: number
  readonly placed: number
  readonly reason: string
}

/** Result of {@link computePlacement}. */
export interface Placement {
  readonly assignments: readonly Assignment[]
  readonly shortfalls: readonly Shortfall[]
}

interface Candidate {
  readonly facts: types.MemberFacts
  freeBytes: number
  copies: number
}

/** The nodes chosen for a row with the reason for each, and the number of copies wanted. */
interface Selection {
  readonly chosen: ReadonlyMap<Candidate, string>
  readonly wanted: number
}

/**
 * Computes which nodes hold copies of which rows.
 *
 * @param table - The current table.
 * @param members - The known members. Silent members keep their assignments; leaving and gone members get none.
 * @returns The assignments with their reasons, and the rows that could not be placed in full.
 */
export function computePlacement (table: types.Table, members: readonly membership.Member[]): Placement {
  const candidates = members.filter(isPlaceable).map((member): Candidate => ({ facts: member.facts, freeBytes: member.facts.memoryBytes, copies: 0 }))
  const assignments: Assignment[] = []
  const shortfalls: Shortfall[] = []
  for (const row of sortRows(table.models)) {
    const eligible = candidates.filter((candidate) => canHold(candidate, row, assignments))
    const selection = selectForRow(row, eligible)
    for (const [candidate, reason] of selection.chosen) {
      assignments.push({ node: candidate.facts.node, row, order: candidate.copies, reason })
      candidate.copies += 1
      candidate.freeBytes -= row.bytes
    }
    if (selection.chosen.size < selection.wanted) {
      shortfalls.push({ row: row.id, wanted: selection.wanted, placed: selection.chosen.size, reason: explainShortfall(row, eligible.length) })
    }
  }
  return { assignments, shortfalls }
}

function isPlaceable (member: membership.Member): boolean {
  return member.facts.role === 'backend' && member.condition !== 'gone' && !member.leaving
}

/** Sorts rows by descending priority. A base takes the highest priority of its adapters and precedes them. */
function sortRows (rows: readonly types.ModelRow[]): types.ModelRow[] {
  const rowsById = new Map(rows.map((row) => [row.id, row]))
  const effectivePriorities = new Map(rows.map((row) => [row.id, row.priority]))
  for (const row of rows) {
    if (row.base === null || !rowsById.has(row.base)) continue
    effectivePriorities.set(row.base, Math.max(effectivePriorities.get(row.base) ?? 0, row.priority))
  }
  const effectivePriority = (row: types.ModelRow): number => effectivePriorities.get(row.id) ?? row.priority
  const dependencyRank = (row: types.ModelRow): number => row.base === null ? 0 : 1
  return [...rows].sort((left, right) => effectivePriority(right) - effectivePriority(left) || dependencyRank(left) - dependencyRank(right) || (left.id < right.id ? -1 : 1))
}

function canHold (candidate: Candidate, row: types.ModelRow, assignments: readonly Assignment[]): boolean {
  if (candidate.facts.service !== row.service || candidate.freeBytes < row.bytes) return false
  if (row.base === null) return true
  return assignments.some((assignment) => assignment.node === candidate.facts.node && assignment.row.id === row.base)
}

/** Selects the nodes of a row. Invalid targets give a shortfall of one copy. */
function selectForRow (row: types.ModelRow, eligible: readonly Candidate[]): Selection {
  const targets = parseTargets.parseTargets(row.targets)
  if (!targets.ok) return { chosen: new Map(), wanted: 1 }
  const chosen = new Map<Candidate, string>()
  let wanted = 0
  for (const target of targets.value) {
    const pool = eligible.filter((candidate) => isInScope(candidate, target) && !chosen.has(candidate))
    const count = countWanted(target, pool.length)
    wanted += count
    const ranked = interleaveHalls(row.id, pool)
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

/** Orders nodes round-robin over the data halls, so that losing a hall removes as few of the chosen copies as possible. */
function interleaveHalls (key: string, pool: readonly Candidate[]): Candidate[] {
  const ranked = membership.rankByRendezvous(key, pool, (candidate) => candidate.facts.node)
  const nextRoundOfHall = new Map<types.DataHallId, number>()
  // A node's round is the number of nodes of its hall that rank before it.
  const withRounds = ranked.map((candidate) => {
    const round = nextRoundOfHall.get(candidate.facts.dataHall) ?? 0
    nextRoundOfHall.set(candidate.facts.dataHall, round + 1)
    return { candidate, round }
  })
  return withRounds.sort((left, right) => left.round - right.round).map(({ candidate }) => candidate)
}

function explainChoice (target: parseTargets.Target, index: number, available: number): string {
  if (target.scope === 'node') return 'named in targets'
  const scopeName = target.scope === 'fleet' ? 'the fleet' : target.dataHall
  const wanted = target.count === 'all' ? 'every one' : `${target.count}`
  return `rank ${index + 1} of ${available} able nodes in ${scopeName}, wanted ${wanted}`
}

function explainShortfall (row: types.ModelRow, eligibleCount: number): string {
  const base = row.base === null ? '' : ` with ${row.base}`
  return `${eligibleCount} nodes of ${row.service}${base} have ${row.bytes} bytes free`
}
