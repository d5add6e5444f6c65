/** Heartbeats: backend daemons to the entry nodes of their hall, entry nodes to each other. */
import * as types from '@switchridge/types'
import * as membership from '@switchridge/membership'
import type * as rpc from '@switchridge/rpc'
import type * as routing from '@switchridge/routing'
import type * as createSelfFacts from '../createSelfFacts/index.js'
import type * as createTableKeeper from '../createTableKeeper/index.js'
import * as schemas from '../_lib/schemas.js'

/** What a daemon answers to a heartbeat. */
export interface HeartbeatAnswer {
  readonly facts: types.MemberFacts
  readonly counter: number
  readonly claims: readonly membership.MemberClaim[]
}

/** Options of {@link createHeartbeats}. */
export interface HeartbeatOptions {
  readonly self: createSelfFacts.SelfFacts
  readonly view: membership.MemberView
  readonly keeper: createTableKeeper.TableKeeper
  readonly client: rpc.RpcClient
  /** Entry nodes named in the settings. */
  readonly seeds: readonly types.Address[]
  readonly readLoad: () => routing.Load | null
  readonly noteLoad: (node: types.NodeId, load: routing.StatedLoad) => void
  /** Called after each round and each heartbeat that brought news. */
  readonly onRefresh: () => void
  /** Random number from 0 to 1. */
  readonly random: () => number
}

/** The heartbeats of a daemon. */
export interface Heartbeats {
  readonly start: () => void
  /** Sends one round at once, for news that shall not wait. */
  readonly sendNow: () => Promise<void>
  /** Tells the backend daemons of the hall that this entry node is responsible for about its revision. */
  readonly pushRevision: () => void
  /** Answers a heartbeat of another daemon. */
  readonly receive: rpc.RpcMethod
  readonly sendTable: rpc.RpcMethod
  readonly stop: () => void
}

interface Position {
  readonly incarnation: string
  readonly counter: number
}

const HEARTBEAT_METHOD = 'heartbeat'
const TABLE_METHOD = 'table'
const HEARTBEAT_CALL_MS = 1000
const TABLE_CALL_MS = 5000
const JITTER = 0.2
/** Rounds after which entry nodes of the settings that are unknown are tried again. */
const SEED_ROUNDS = 4

/**
 * Creates the heartbeats of a daemon.
 *
 * @param options - View, table and connections.
 * @returns The heartbeats, stopped.
 */
export function createHeartbeats (options: HeartbeatOptions): Heartbeats {
  const { self, view, keeper } = options
  const positions = new Map<string, Position>()
  const fetching = new Set<string>()
  let timer: NodeJS.Timeout | null = null
  let isStopped = false
  let rounds = 0

  function start (): void {
    void sendNow().finally(schedule)
  }

  function schedule (): void {
    if (isStopped) return
    const waitMs = membership.computeInterval(countHall()) * (1 - JITTER / 2 + JITTER * options.random())
    timer = setTimeout(() => { void sendNow().finally(schedule) }, waitMs)
  }

  function countHall (): number {
    return view.members().filter(({ facts, condition }) => facts.dataHall === self.read().dataHall && condition !== 'gone').length
  }

  async function sendNow (): Promise<void> {
    view.hear(self.read())
    await Promise.all(listTargets().map(sendOne))
    view.refresh()
    options.onRefresh()
  }

  /** Each backend daemon hears of a revision from one entry node of its hall at once, from the others with heartbeats. */
  function pushRevision (): void {
    const own = self.read()
    const near = view.members().filter(({ facts, condition }) => facts.dataHall === own.dataHall && condition === 'live')
    const entryNodes = near.filter(({ facts }) => facts.role === 'entry')
    for (const { facts } of near) {
      if (facts.role !== 'backend' || facts.revision >= own.revision) continue
      const responsible = membership.pickByRendezvous(facts.node, entryNodes, (member) => member.facts.node)
      if (responsible?.facts.node === own.node) void sendOne(facts.address)
    }
  }

  /** Hubs, and now and then entry nodes of the settings that are not known yet. */
  function listTargets (): types.Address[] {
    const own = self.read()
    const targets = membership.computeReportTargets(own, view.members()).map((facts) => facts.address)
    const known = new Set(view.members().map(({ facts }) => formatAddress(facts.address)))
    const isSeedRound = targets.length === 0 || rounds % SEED_ROUNDS === 0
    const seeds = isSeedRound ? options.seeds.filter((seed) => !known.has(formatAddress(seed))) : []
    rounds += 1
    return [...targets, ...seeds].filter((address) => formatAddress(address) !== formatAddress(own.address))
  }

  async function sendOne (address: types.Address): Promise<void> {
    const key = formatAddress(address)
    const position = positions.get(key) ?? { incarnation: '', counter: 0 }
    const params = { facts: self.read(), load: options.readLoad(), incarnation: position.incarnation, since: position.counter }
    const sent = await options.client.call<unknown>(address, HEARTBEAT_METHOD, params, HEARTBEAT_CALL_MS)
    if (!sent.ok) return
    const parsed = schemas.heartbeatAnswerSchema.safeParse(sent.value)
    if (!parsed.success) return
    const answer = parsed.data as unknown as HeartbeatAnswer
    positions.set(key, { incarnation: answer.facts.incarnation, counter: answer.counter })
    view.hear(answer.facts)
    view.applyClaims(answer.facts.node, answer.claims.filter((claim) => claim.facts.node !== self.read().node))
    await catchUp(answer.facts)
  }

  /** Fetches the table from a daemon that has a higher revision. */
  async function catchUp (facts: types.MemberFacts): Promise<void> {
    const key = formatAddress(facts.address)
    if (facts.revision <= keeper.current().revision || fetching.has(key)) return
    fetching.add(key)
    const fetched = await options.client.call<unknown>(facts.address, TABLE_METHOD, {}, TABLE_CALL_MS)
    fetching.delete(key)
    if (fetched.ok) keeper.offerUnchecked(fetched.value, facts.node)
  }

  function receive (params: unknown): HeartbeatAnswer {
    const heartbeat = schemas.heartbeatSchema.parse(params)
    const facts = heartbeat.facts as unknown as types.MemberFacts
    const known = view.find(facts.node)
    view.hear(facts)
    if (heartbeat.load !== null) options.noteLoad(facts.node, heartbeat.load)
    void catchUp(facts)
    if (known?.condition !== 'live' || types.isNewerFacts(facts, known.facts)) options.onRefresh()
    const own = self.read()
    const since = heartbeat.incarnation === own.incarnation ? heartbeat.since : 0
    const changes = view.changesSince(since, findScope(facts))
    return { facts: own, counter: changes.counter, claims: changes.claims }
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
