/** What one daemon knows about the others: heartbeats heard itself, claims relayed by entry nodes, and the platform's node list. */
import * as types from '@switchridge/types'

/**
 * `live` gets new work; `silent` gets none but keeps its place in the placement;
 * `gone` is out of the placement.
 */
export type MemberCondition = 'live' | 'silent' | 'gone'

/** A member as this daemon sees it. */
export interface Member {
  readonly facts: types.MemberFacts
  readonly condition: MemberCondition
  /** Finishes what it runs and gets no new work. */
  readonly leaving: boolean
}

/** What one daemon says about another. */
export interface MemberClaim {
  readonly facts: types.MemberFacts
  readonly condition: MemberCondition
  /** The platform's node list says that the node leaves. */
  readonly leaving: boolean
}

/** Claims since a counter; the receiver asks with the new counter next time. */
export interface ClaimChanges {
  readonly counter: number
  readonly claims: readonly MemberClaim[]
}

/**
 * What a receiver gets: `all` goes to daemons that relay nothing, `first-hand` to hubs of the same hall,
 * and a data hall to hubs of other halls. So no claim travels in a circle and keeps a dead member alive.
 */
export type ClaimScope = 'all' | 'first-hand' | { readonly dataHall: types.DataHallId }

/** A node as the platform lists it. */
export interface ListedNode {
  readonly node: types.NodeId
  readonly state: 'live' | 'leaving'
}

/** Options of {@link createMemberView}. */
export interface MemberViewOptions {
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Milliseconds of silence after which a member is no longer live; asked at each refresh. */
  readonly silenceLimit?: () => number
  /** Milliseconds of silence after which one node is gone. */
  readonly nodeHoldMs?: number
  /** Milliseconds of silence after which a data hall that fell silent as a whole is gone. */
  readonly hallHoldMs?: number
}

/** The view of one daemon. */
export interface MemberView {
  /** Takes the facts that a member stated in a heartbeat of its own. */
  readonly hear: (facts: types.MemberFacts) => void
  /** Takes what an entry node says about others. */
  readonly applyClaims: (relay: types.NodeId, claims: readonly MemberClaim[]) => void
  readonly applyNodeList: (nodes: readonly ListedNode[]) => void
  /** Takes the nodes that the table puts out of service. */
  readonly applyLeavingRows: (nodes: readonly types.NodeId[]) => void
  /** Judges silence anew; call it once per heartbeat interval. */
  readonly refresh: () => void
  readonly members: () => readonly Member[]
  readonly find: (node: types.NodeId) => Member | undefined
  readonly changesSince: (counter: number, scope: ClaimScope) => ClaimChanges
}

export const HALL_HOLD_MS = 300_000
/** A member that is gone is forgotten after this many milliseconds more. */
const FORGET_AFTER_MS = 600_000

interface Entry {
  facts: types.MemberFacts
  heardAt: number | null
  readonly relayed: Map<types.NodeId, MemberCondition>
  /** What the last relay said of the node list. */
  relayedLeaving: boolean
  condition: MemberCondition
  silentSince: number | null
  changedAt: number
}

function isInScope (entry: Entry, scope: ClaimScope): boolean {
  if (scope === 'all') return true
  if (scope === 'first-hand') return entry.heardAt !== null
  return entry.facts.dataHall === scope.dataHall
}

/**
 * Creates an empty view.
 *
 * @param options - Clock and time limits.
 * @returns The view.
 */
export function createMemberView (options: MemberViewOptions): MemberView {
  const nodeHoldMs = options.nodeHoldMs ?? types.PLACEMENT_HOLD_MS
  const hallHoldMs = options.hallHoldMs ?? HALL_HOLD_MS
  const entries = new Map<types.NodeId, Entry>()
  let listedLeaving: ReadonlySet<types.NodeId> = new Set()
  let rowLeaving: ReadonlySet<types.NodeId> = new Set()
  let counter = 0
  let silenceLimitMs = types.HEARTBEAT_TIMEOUT_MS

  function upsert (facts: types.MemberFacts): Entry {
    const known = entries.get(facts.node)
    if (known === undefined) {
      const entry: Entry = { facts, heardAt: null, relayed: new Map(), relayedLeaving: false, condition: 'silent', silentSince: options.now(), changedAt: ++counter }
      entries.set(facts.node, entry)
      return entry
    }
    if (types.isNewerFacts(facts, known.facts)) {
      if (facts.incarnation !== known.facts.incarnation) known.relayedLeaving = false
      known.facts = facts
      known.changedAt = ++counter
    }
    return known
  }

  function hear (facts: types.MemberFacts): void {
    const entry = upsert(facts)
    if (facts.incarnation < entry.facts.incarnation) return
    entry.heardAt = options.now()
    setCondition(entry, 'live')
  }

  function applyClaims (relay: types.NodeId, claims: readonly MemberClaim[]): void {
    for (const claim of claims) {
      const entry = upsert(claim.facts)
      entry.relayed.set(relay, claim.condition)
      if (entry.relayedLeaving !== claim.leaving) entry.changedAt = ++counter
      entry.relayedLeaving = claim.leaving
      setCondition(entry, judge(entry))
    }
  }

  function setCondition (entry: Entry, condition: MemberCondition): void {
    if (condition === 'live') entry.silentSince = null
    else entry.silentSince ??= options.now()
    if (entry.condition === condition) return
    entry.condition = condition
    entry.changedAt = ++counter
  }

  function isHeard (entry: Entry | undefined): boolean {
    return entry !== undefined && entry.heardAt !== null && options.now() - entry.heardAt <= silenceLimitMs
  }

  function judge (entry: Entry): MemberCondition {
    if (isHeard(entry) || isRelayedLive(entry)) return 'live'
    const silentFor = options.now() - (entry.silentSince ?? options.now())
    const holdMs = isHallSilent(entry.facts.dataHall) ? hallHoldMs : nodeHoldMs
    return silentFor >= holdMs ? 'gone' : 'silent'
  }

  function isRelayedLive (entry: Entry): boolean {
    const relays = [...entry.relayed.entries()]
    const fresh = relays.filter(([relay]) => isHeard(entries.get(relay)))
    const trusted = fresh.length > 0 || hasFreshRelay(entry) ? fresh : relays
    return trusted.some(([, condition]) => condition === 'live')
  }

  /** Whether any entry node that could vouch for the member is heard; without one, the last word stands. */
  function hasFreshRelay (entry: Entry): boolean {
    for (const other of entries.values()) {
      if (other.facts.role === 'entry' && other !== entry && isHeard(other)) return true
    }
    return false
  }

  function isHallSilent (hall: types.DataHallId): boolean {
    for (const other of entries.values()) {
      if (other.facts.dataHall === hall && other.condition === 'live') return false
    }
    return true
  }

  function refresh (): void {
    silenceLimitMs = options.silenceLimit?.() ?? silenceLimitMs
    for (const [node, entry] of entries) {
      setCondition(entry, judge(entry))
      const forgotten = entry.condition === 'gone' && options.now() - (entry.silentSince ?? 0) > hallHoldMs + FORGET_AFTER_MS
      if (forgotten) entries.delete(node)
    }
  }

  function applyNodeList (nodes: readonly ListedNode[]): void {
    const next = new Set(nodes.filter((node) => node.state === 'leaving').map((node) => node.node))
    for (const [node, entry] of entries) if (next.has(node) !== listedLeaving.has(node)) entry.changedAt = ++counter
    listedLeaving = next
  }

  function toMember (entry: Entry): Member {
    const { node, state } = entry.facts
    return { facts: entry.facts, condition: entry.condition, leaving: state === 'leaving' || listedLeaving.has(node) || entry.relayedLeaving || rowLeaving.has(node) }
  }

  function changesSince (since: number, scope: ClaimScope): ClaimChanges {
    const claims = [...entries.values()]
      .filter((entry) => entry.changedAt > since && isInScope(entry, scope))
      .map((entry): MemberClaim => ({
        facts: entry.facts,
        condition: scope === 'first-hand' && !isHeard(entry) ? 'silent' : entry.condition,
        leaving: listedLeaving.has(entry.facts.node) || (scope === 'all' && entry.relayedLeaving)
      }))
    return { counter, claims }
  }

  return {
    hear,
    applyClaims,
    refresh,
    changesSince,
    applyNodeList,
    applyLeavingRows: (nodes) => { rowLeaving = new Set(nodes) },
    members: () => [...entries.values()].map(toMember),
    find: (node) => {
      const entry = entries.get(node)
      return entry === undefined ? undefined : toMember(entry)
    }
  }
}
