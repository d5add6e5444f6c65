/** One daemon's view of the members, from heartbeats that it received, claims relayed by entry nodes, and the platform's node list. */
import * as types from '@switchridge/types'

/** A `live` member gets new work; a `silent` one gets none but stays in the placement; a `gone` one is removed from the placement. */
export type MemberCondition = 'live' | 'silent' | 'gone'

/** A member as this daemon sees it. */
export interface Member {
  readonly facts: types.MemberFacts
  readonly condition: MemberCondition
  /** The member finishes its running work and gets no new work. */
  readonly leaving: boolean
  /** Silent for less than another silence limit, so that it may only have been unreachable for a moment. */
  readonly recentlySilent: boolean
}

/** What one daemon reports about another one. */
export interface MemberClaim {
  readonly facts: types.MemberFacts
  readonly condition: MemberCondition
  /** Whether the platform's node list marks the node as leaving. */
  readonly leaving: boolean
}

/** Claims changed since a counter value; the receiver sends the new counter with its next request. */
export interface ClaimChanges {
  readonly counter: number
  readonly claims: readonly MemberClaim[]
}

/**
 * Which claims a receiver gets: daemons that relay nothing get `all`, hubs of the same hall get `first-hand` ones, and hubs of
 * other halls get those of one data hall. So no claim can circulate and keep a dead member live.
 */
export type ClaimScope = 'all' | 'first-hand' | { readonly dataHall: types.DataHallId }

/** A node on the platform's list. */
export interface ListedNode {
  readonly node: types.NodeId
  readonly state: 'live' | 'leaving'
}

/** Where a daemon learned that a member leaves: from the member's own heartbeat, from an entry node that relayed its facts, or from a call that the member refused. */
export type LeavingSource = 'heartbeat' | 'relay' | 'refusal'

/** Options of {@link createMemberView}. */
export interface MemberViewOptions {
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Returns the milliseconds of silence after which a member is no longer live; called at each refresh. {@link types.HEARTBEAT_TIMEOUT_MS} by default. */
  readonly computeSilenceLimitMs?: () => number
  /** Milliseconds of silence after which a single node is gone; {@link types.PLACEMENT_HOLD_MS} by default. */
  readonly nodeHoldMs?: number
  /** The same for the members of a data hall that is silent as a whole, since it may only be cut off; {@link HALL_HOLD_MS} by default. */
  readonly hallHoldMs?: number
  /** Called once for each process of a member that has announced that it leaves. */
  readonly onLeaving?: (facts: types.MemberFacts, source: LeavingSource) => void
  /** Called once for each process of a member that has ended while its member counts as live. */
  readonly onEnded?: (facts: types.MemberFacts) => void
}

/** Members as one daemon sees them. */
export interface MemberView {
  /** Applies the facts that a member sent in its own heartbeat. */
  readonly applyHeartbeat: (facts: types.MemberFacts) => void
  /** Applies the claims of an entry node about other members. Complete claims withdraw its earlier ones about members that they lack. */
  readonly applyClaims: (relay: types.NodeId, claims: readonly MemberClaim[], isComplete?: boolean) => void
  /** Records that a process of a member refused a call because it leaves. This holds until another process of the member is heard of, and is not relayed. */
  readonly noteLeavingRefusal: (node: types.NodeId, incarnation: types.IncarnationId) => void
  /**
   * Records that another process answers at the address of a member, so that the given one has ended. Until another process of the member is heard of, it counts as silent
   * from now on. This is not relayed.
   */
  readonly noteEndedProcess: (node: types.NodeId, incarnation: types.IncarnationId) => void
  /** Replaces the nodes that the platform's list marks as leaving. A node that the list lacks keeps its condition. */
  readonly applyNodeList: (nodes: readonly ListedNode[]) => void
  /** Sets the nodes that the table takes out of service. */
  readonly applyLeavingRows: (nodes: readonly types.NodeId[]) => void
  /** Reevaluates the condition of all members; call it once per heartbeat interval. */
  readonly refresh: () => void
  readonly members: () => readonly Member[]
  readonly find: (node: types.NodeId) => Member | undefined
  /** Returns the claims in a scope that changed after a counter value; 0 returns all. */
  readonly changesSince: (counter: number, scope: ClaimScope) => ClaimChanges
}

/** Default time in milliseconds after which the members of a data hall that is silent as a whole are gone. */
export const HALL_HOLD_MS = 300_000
/** A gone member is removed from the view when it was silent for the hold time of a hall and this many further milliseconds. */
const REMOVAL_DELAY_MS = 600_000

interface RelayedCondition {
  readonly condition: MemberCondition
  /** Monotonic time in milliseconds at which the relay withdrew the claim; null if it did not. */
  readonly withdrawnAt: number | null
}

interface Entry {
  facts: types.MemberFacts
  /** Monotonic time in milliseconds of the last heartbeat from the member itself; null if none was received. */
  heardAt: number | null
  /** Whether the member itself was heard recently, as told to other hubs. */
  isHeard: boolean
  /** Condition as last reported by each relaying entry node. */
  readonly relayedConditions: Map<types.NodeId, RelayedCondition>
  /** Whether the last relay reported the node as leaving by the node list. */
  relayedLeaving: boolean
  /** The process that refused a call because it leaves; null if none did. */
  refusingIncarnation: types.IncarnationId | null
  /** The process that has ended and since when that is known, as a monotonic time in milliseconds; null if none has. */
  endedProcess: { readonly incarnation: types.IncarnationId, readonly since: number } | null
  condition: MemberCondition
  silentSince: number | null
  /** Counter value of the last change. */
  changeCounter: number
}

function isInScope (entry: Entry, scope: ClaimScope): boolean {
  if (scope === 'all') return true
  if (scope === 'first-hand') return entry.heardAt !== null
  return entry.facts.dataHall === scope.dataHall
}

/** Whether the current process of a member has said that it leaves, in its facts or by refusing a call. */
function isLeavingProcess ({ facts, refusingIncarnation }: Entry): boolean {
  return facts.state === 'leaving' || refusingIncarnation === facts.incarnation
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
  /** Monotonic time in milliseconds of the last claims of each entry node. */
  const claimedAt = new Map<types.NodeId, number>()
  let listedLeaving: ReadonlySet<types.NodeId> = new Set()
  let tableLeaving: ReadonlySet<types.NodeId> = new Set()
  let counter = 0
  let silenceLimitMs = types.HEARTBEAT_TIMEOUT_MS

  function upsert (facts: types.MemberFacts, source: LeavingSource): Entry {
    const known = entries.get(facts.node)
    const wasLeaving = known !== undefined && known.facts.incarnation === facts.incarnation && isLeavingProcess(known)
    if (facts.state === 'leaving' && !wasLeaving && types.isNewerFacts(facts, known?.facts)) options.onLeaving?.(facts, source)
    if (known === undefined) {
      const entry: Entry = { facts, heardAt: null, isHeard: false, relayedConditions: new Map(), relayedLeaving: false, refusingIncarnation: null, endedProcess: null, condition: 'silent', silentSince: options.now(), changeCounter: ++counter }
      entries.set(facts.node, entry)
      return entry
    }
    if (types.isNewerFacts(facts, known.facts)) {
      if (facts.incarnation !== known.facts.incarnation) known.relayedLeaving = false
      known.facts = facts
      known.changeCounter = ++counter
    }
    return known
  }

  /** A refusal of an earlier process says nothing about the current one. */
  function noteLeavingRefusal (node: types.NodeId, incarnation: types.IncarnationId): void {
    const entry = entries.get(node)
    if (entry === undefined || entry.facts.incarnation !== incarnation || isLeavingProcess(entry)) return
    entry.refusingIncarnation = incarnation
    options.onLeaving?.(entry.facts, 'refusal')
  }

  /** The process that answers at the address may be one of another node, so that nothing is known of it. */
  function noteEndedProcess (node: types.NodeId, incarnation: types.IncarnationId): void {
    const entry = entries.get(node)
    if (entry === undefined || entry.facts.incarnation !== incarnation || entry.endedProcess?.incarnation === incarnation) return
    entry.endedProcess = { incarnation, since: options.now() }
    if (entry.condition === 'live') options.onEnded?.(entry.facts)
  }

  function applyHeartbeat (facts: types.MemberFacts): void {
    const entry = upsert(facts, 'heartbeat')
    if (facts.incarnation < entry.facts.incarnation) return
    entry.heardAt = options.now()
    setHeard(entry, true)
    setCondition(entry, 'live')
  }

  function applyClaims (relay: types.NodeId, claims: readonly MemberClaim[], isComplete = false): void {
    claimedAt.set(relay, options.now())
    if (isComplete) withdrawClaims(relay, new Set(claims.map(({ facts }) => facts.node)))
    for (const claim of claims) {
      const entry = upsert(claim.facts, 'relay')
      entry.relayedConditions.set(relay, { condition: claim.condition, withdrawnAt: null })
      if (entry.relayedLeaving !== claim.leaving) entry.changeCounter = ++counter
      entry.relayedLeaving = claim.leaving
      setCondition(entry, computeCondition(entry))
    }
  }

  /** Withdraws the claims of a relay about all members except those that it still claims. */
  function withdrawClaims (relay: types.NodeId, claimed: ReadonlySet<types.NodeId>): void {
    for (const { facts, relayedConditions } of entries.values()) {
      const relayed = relayedConditions.get(relay)
      if (relayed?.withdrawnAt === null && !claimed.has(facts.node)) relayedConditions.set(relay, { ...relayed, withdrawnAt: options.now() })
    }
  }

  function setCondition (entry: Entry, condition: MemberCondition): void {
    if (condition === 'live') entry.silentSince = null
    else entry.silentSince ??= options.now()
    if (entry.condition === condition) return
    entry.condition = condition
    entry.changeCounter = ++counter
  }

  /** Hubs tell each other what they heard themselves, which may change while claims of others keep the condition. */
  function setHeard (entry: Entry, isHeard: boolean): void {
    if (entry.isHeard === isHeard) return
    entry.isHeard = isHeard
    entry.changeCounter = ++counter
  }

  function isHeardRecently (entry: Entry | undefined): boolean {
    return entry !== undefined && entry.heardAt !== null && options.now() - entry.heardAt <= silenceLimitMs
  }

  function computeCondition (entry: Entry): MemberCondition {
    if (isHeardRecently(entry) || isRelayedLive(entry)) return 'live'
    const silentFor = options.now() - (entry.silentSince ?? options.now())
    const holdMs = isHallSilent(entry.facts.dataHall) ? hallHoldMs : nodeHoldMs
    return silentFor >= holdMs ? 'gone' : 'silent'
  }

  /** A withdrawn claim counts for another silence limit, in which other hubs report the member if it is live. */
  function isRelayedLive (entry: Entry): boolean {
    const relays = [...entry.relayedConditions.entries()].filter(([, { withdrawnAt }]) => withdrawnAt === null || options.now() - withdrawnAt <= silenceLimitMs)
    const fresh = relays.filter(([relay]) => isClaimingRecently(relay))
    const trusted = fresh.length > 0 || hasFreshRelay() ? fresh : relays
    return trusted.some(([, { condition }]) => condition === 'live')
  }

  /** An entry node may be heard that this daemon asks for no claims any more, so that the earlier ones say nothing about the present. */
  function isClaimingRecently (relay: types.NodeId): boolean {
    const at = claimedAt.get(relay)
    return at !== undefined && options.now() - at <= silenceLimitMs
  }

  /** Tells whether the claims of any entry node are recent; if none are, the last claims stay valid. */
  function hasFreshRelay (): boolean {
    return [...claimedAt.keys()].some(isClaimingRecently)
  }

  function isHallSilent (hall: types.DataHallId): boolean {
    for (const other of entries.values()) {
      if (other.facts.dataHall === hall && other.condition === 'live') return false
    }
    return true
  }

  function refresh (): void {
    silenceLimitMs = options.computeSilenceLimitMs?.() ?? silenceLimitMs
    for (const [node, entry] of entries) {
      setHeard(entry, isHeardRecently(entry))
      setCondition(entry, computeCondition(entry))
      const isExpired = entry.condition === 'gone' && options.now() - (entry.silentSince ?? 0) > hallHoldMs + REMOVAL_DELAY_MS
      if (isExpired) {
        entries.delete(node)
        claimedAt.delete(node)
      }
    }
  }

  function applyNodeList (nodes: readonly ListedNode[]): void {
    const leavingNodes = new Set(nodes.filter((node) => node.state === 'leaving').map((node) => node.node))
    for (const [node, entry] of entries) if (leavingNodes.has(node) !== listedLeaving.has(node)) entry.changeCounter = ++counter
    listedLeaving = leavingNodes
  }

  function toMember (entry: Entry): Member {
    const { node } = entry.facts
    const leaving = isLeavingProcess(entry) || listedLeaving.has(node) || entry.relayedLeaving || tableLeaving.has(node)
    const endedSince = entry.endedProcess?.incarnation === entry.facts.incarnation ? entry.endedProcess.since : Infinity
    const condition = entry.condition === 'live' && endedSince < Infinity ? 'silent' : entry.condition
    const silentSince = Math.min(entry.silentSince ?? options.now(), endedSince)
    const recentlySilent = condition === 'silent' && options.now() - silentSince < silenceLimitMs
    return { facts: entry.facts, condition, leaving, recentlySilent }
  }

  function changesSince (since: number, scope: ClaimScope): ClaimChanges {
    const claims = [...entries.values()]
      .filter((entry) => entry.changeCounter > since && isInScope(entry, scope))
      .map((entry): MemberClaim => ({
        facts: entry.facts,
        condition: scope === 'first-hand' && !entry.isHeard ? 'silent' : entry.condition,
        leaving: listedLeaving.has(entry.facts.node) || (scope === 'all' && entry.relayedLeaving)
      }))
    return { counter, claims }
  }

  return {
    applyHeartbeat,
    applyClaims,
    noteLeavingRefusal,
    noteEndedProcess,
    refresh,
    changesSince,
    applyNodeList,
    applyLeavingRows: (nodes) => { tableLeaving = new Set(nodes) },
    members: () => [...entries.values()].map(toMember),
    find: (node) => {
      const entry = entries.get(node)
      return entry === undefined ? undefined : toMember(entry)
    }
  }
}
