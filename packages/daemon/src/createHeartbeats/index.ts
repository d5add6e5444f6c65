/** Sends and answers heartbeats: from backend daemons to the entry nodes of their data hall, and between entry nodes. */
import * as types from '@switchridge/types'
import * as membership from '@switchridge/membership'
import type * as rpc from '@switchridge/rpc'
import type * as routing from '@switchridge/routing'
import type * as createSelfFacts from '../createSelfFacts/index.js'
import type * as createTableKeeper from '../createTableKeeper/index.js'
import * as schemas from '../_lib/schemas.js'

/** The answer to a heartbeat. */
export interface HeartbeatAnswer {
  readonly facts: types.MemberFacts
  readonly counter: number
  /** Name of the scope of the claims; absent from earlier versions. */
  readonly scope?: string | undefined
  readonly claims: readonly membership.MemberClaim[]
}

/** Options of {@link createHeartbeats}. */
export interface HeartbeatOptions {
  readonly self: createSelfFacts.SelfFacts
  readonly view: membership.MemberView
  readonly keeper: createTableKeeper.TableKeeper
  readonly client: rpc.RpcClient
  /** Addresses of the entry nodes in the settings. */
  readonly seeds: readonly types.Address[]
  readonly readLoad: () => routing.Load | null
  readonly noteLoad: (node: types.NodeId, load: routing.ReportedLoad) => void
  /** Called after each round, and after each received heartbeat with changed facts or from a daemon that was not known as live. */
  readonly onRefresh: () => void
  /** Random number from 0 to 1. */
  readonly random: () => number
}

/** The heartbeats of a daemon. */
export interface Heartbeats {
  readonly start: () => void
  /** Sends one round immediately, for changes that must not wait for the next interval. */
  readonly sendNow: () => Promise<void>
  /** Sends a heartbeat with the new table revision to the backend daemons of the hall that this entry node is responsible for. */
  readonly pushRevision: () => void
  /** Answers a heartbeat of another daemon. */
  readonly receive: rpc.RpcMethod
  readonly sendTable: rpc.RpcMethod
  readonly stop: () => void
}

/** Position in another daemon's sequence of claims, up to which they have been received. */
interface ClaimCursor {
  readonly incarnation: string
  /** Name of the scope of the received claims. */
  readonly scope: string
  readonly counter: number
}

const HEARTBEAT_METHOD = 'heartbeat'
/** Name of the scope of a single data hall. */
const HALL_SCOPE = 'hall'
const TABLE_METHOD = 'table'
const HEARTBEAT_TIMEOUT_MS = 1000
const TABLE_TIMEOUT_MS = 5000
const JITTER = 0.2
/** Entry nodes of the settings that are not known yet are contacted once in this many rounds, or in every round while there is no hub to report to. */
const SEED_RETRY_ROUNDS = 4

/**
 * Creates the heartbeats of a daemon.
 *
 * @param options - Membership view, table, connections and callbacks.
 * @returns The heartbeats, not started yet.
 */
export function createHeartbeats (options: HeartbeatOptions): Heartbeats {
  const { self, view, keeper } = options
  const cursors = new Map<string, ClaimCursor>()
  const fetchingFrom = new Set<string>()
  let timer: NodeJS.Timeout | null = null
  let isStopped = false
  let rounds = 0

  function start (): void {
    void sendNow()
    schedule()
  }

  /** Does not wait for the answers of the previous round: an unresponsive daemon would delay the heartbeats to all others. */
  function schedule (): void {
    if (isStopped) return
    const waitMs = membership.computeHeartbeatInterval(countHallMembers()) * (1 - JITTER / 2 + JITTER * options.random())
    timer = setTimeout(start, waitMs)
  }

  function countHallMembers (): number {
    return view.members().filter(({ facts, condition }) => facts.dataHall === self.read().dataHall && condition !== 'gone').length
  }

  async function sendNow (): Promise<void> {
    view.applyHeartbeat(self.read())
    await Promise.all(listTargets().map(sendHeartbeat))
    view.refresh()
    options.onRefresh()
  }

  /** Each backend daemon is notified of a revision at once by only one entry node of its hall, and by the others through regular heartbeats. */
  function pushRevision (): void {
    const own = self.read()
    const hallMembers = view.members().filter(({ facts, condition }) => facts.dataHall === own.dataHall && condition === 'live')
    const entryNodes = hallMembers.filter(({ facts }) => facts.role === 'entry')
    for (const { facts } of hallMembers) {
      if (facts.role !== 'backend' || facts.revision >= own.revision) continue
      const responsible = membership.pickByRendezvous(facts.node, entryNodes, (member) => member.facts.node)
      if (responsible?.facts.node === own.node) void sendHeartbeat(facts.address)
    }
  }

  /** Lists the hubs to report to, and periodically the entry nodes of the settings that are not known yet. */
  function listTargets (): types.Address[] {
    const own = self.read()
    const targets = membership.computeReportTargets(own, view.members()).map((facts) => facts.address)
    const known = new Set(view.members().map(({ facts }) => formatAddress(facts.address)))
    const isSeedRound = targets.length === 0 || rounds % SEED_RETRY_ROUNDS === 0
    const seeds = isSeedRound ? options.seeds.filter((seed) => !known.has(formatAddress(seed))) : []
    rounds += 1
    return [...targets, ...seeds].filter((address) => formatAddress(address) !== formatAddress(own.address))
  }

  async function sendHeartbeat (address: types.Address): Promise<void> {
    const key = formatAddress(address)
    const cursor = cursors.get(key) ?? { incarnation: '', scope: '', counter: 0 }
    const params = { facts: self.read(), load: options.readLoad(), incarnation: cursor.incarnation, scope: cursor.scope, since: cursor.counter }
    const sent = await options.client.call<unknown>(address, HEARTBEAT_METHOD, params, HEARTBEAT_TIMEOUT_MS)
    if (!sent.ok) return
    const parsed = schemas.heartbeatAnswerSchema.safeParse(sent.value)
    if (!parsed.success) return
    const answer = parsed.data as unknown as HeartbeatAnswer
    const scope = answer.scope ?? ''
    const isComplete = answer.facts.incarnation !== cursor.incarnation || scope !== cursor.scope
    cursors.set(key, { incarnation: answer.facts.incarnation, scope, counter: answer.counter })
    view.applyHeartbeat(answer.facts)
    view.applyClaims(answer.facts.node, answer.claims.filter((claim) => claim.facts.node !== self.read().node), isComplete)
    await fetchNewerTable(answer.facts)
  }

  /** Fetches the table from a daemon if that has a higher revision. */
  async function fetchNewerTable (facts: types.MemberFacts): Promise<void> {
    const key = formatAddress(facts.address)
    if (facts.revision <= keeper.current().revision || fetchingFrom.has(key)) return
    fetchingFrom.add(key)
    const fetched = await options.client.call<unknown>(facts.address, TABLE_METHOD, {}, TABLE_TIMEOUT_MS)
    fetchingFrom.delete(key)
    if (fetched.ok) keeper.offerUnchecked(fetched.value, facts.node)
  }

  function receive (params: unknown): HeartbeatAnswer {
    const heartbeat = schemas.heartbeatSchema.parse(params)
    const facts = heartbeat.facts as unknown as types.MemberFacts
    const known = view.find(facts.node)
    view.applyHeartbeat(facts)
    if (heartbeat.load !== null) options.noteLoad(facts.node, heartbeat.load)
    void fetchNewerTable(facts)
    if (known?.condition !== 'live' || types.isNewerFacts(facts, known.facts)) options.onRefresh()
    const own = self.read()
    const claimScope = findScope(facts)
    const scope = typeof claimScope === 'string' ? claimScope : HALL_SCOPE
    // Changes refer to what the sender has received, which has to be of the same scope.
    const isContinued = heartbeat.incarnation === own.incarnation && (heartbeat.scope ?? scope) === scope
    const changes = view.changesSince(isContinued ? heartbeat.since : 0, claimScope)
    return { facts: own, counter: changes.counter, scope, claims: changes.claims }
  }

  function findScope (facts: types.MemberFacts): membership.ClaimScope {
    const { dataHall } = self.read()
    if (facts.dataHall !== dataHall) return { dataHall }
    return membership.isHub(facts, view.members()) ? 'first-hand' : 'all'
  }

  return {
    start,
    sendNow,
    pushRevision,
    receive,
    sendTable: () => keeper.current(),
    stop: () => {
      isStopped = true
      if (timer !== null) clearTimeout(timer)
    }
  }
}

function formatAddress ({ host, port }: types.Address): string {
  return `${host}:${port}`
}
