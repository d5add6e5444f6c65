/**
 * Guards against members that an entry node takes for gone although they report to the hubs of their hall. Two data halls on the paused clock, with the heartbeats of all daemons
 * over a network in memory. Also reports how late each entry node hears of a drain.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as membership from '@switchridge/membership'
import type * as rpc from '@switchridge/rpc'
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'
import * as createSelfFacts from '../createSelfFacts/index.js'
import * as createTableKeeper from '../createTableKeeper/index.js'
import * as createHeartbeats from './index.js'

const SEEDS = [1, 2, 3]
/** Spreads the seeds, since neighbouring seeds of the generator give similar numbers. */
const SEED_FACTOR = 1_234_567
const HALLS = ['hall-a', 'hall-b']
const ENTRY_NODES = 7
const BACKENDS = 8
/** Entry nodes of each hall that are named in the settings of the daemons there. */
const NAMED_ENTRY_NODES = 2
const LATENCY_MS = 1
const REMOTE_LATENCY_MS = 5
const SETTLED_MS = 60_000
const DRAINS = 4
const DRAIN_OBSERVED_MS = 5000
/** Several silence limits: of the hub that a daemon reported to, and of the entry nodes that hear of it from there. */
const END_OBSERVED_MS = 15_000

interface Daemon {
  readonly self: createSelfFacts.SelfFacts
  readonly view: membership.MemberView
  readonly heartbeats: createHeartbeats.Heartbeats
}

interface Fleet {
  readonly daemons: readonly Daemon[]
  readonly now: () => number
  readonly advance: (milliseconds: number, afterEach?: () => void) => Promise<void>
}

/** Copies a message as a network does. */
function copy<Message> (message: Message): Message {
  return JSON.parse(JSON.stringify(message)) as Message
}

function startFleet (context: nodeTest.TestContext, random: () => number): Fleet {
  context.mock.timers.enable({ apis: ['setTimeout', 'setInterval'] })
  const daemons: Daemon[] = []
  let elapsedMs = 0

  function startDaemon (hall: string, role: types.MemberRole, name: string): void {
    const dataHall = types.brandId<types.DataHallId>(hall)
    const address = { host: types.LOOPBACK_HOST, port: daemons.length + 1 }
    const self = createSelfFacts.createSelfFacts({
      node: types.brandId(name),
      role,
      dataHall,
      region: types.brandId(hall),
      address,
      incarnation: types.brandId('1'),
      factsVersion: 1,
      state: 'live',
      service: role === 'backend' ? types.brandId<types.ServiceName>('api') : null,
      memoryBytes: 0,
      serving: [],
      holding: [],
      waitingFor: '',
      revision: 0
    })
    const countHallMembers = (): number => view.members().filter(({ facts }) => facts.dataHall === dataHall).length
    const view: membership.MemberView = membership.createMemberView({ now: () => elapsedMs, computeSilenceLimitMs: () => membership.computeSilenceLimitMs(countHallMembers()) })

    async function call (to: types.Address, _method: string, params: unknown): Promise<types.Outcome<unknown, rpc.RpcFailure>> {
      const target = daemons[to.port - 1] as Daemon
      const latencyMs = target.self.read().dataHall === dataHall ? LATENCY_MS : REMOTE_LATENCY_MS
      await types.delay(latencyMs)
      const answer = copy(await target.heartbeats.receive(copy(params)))
      await types.delay(latencyMs)
      return types.succeed(answer)
    }

    const seeds = HALLS.flatMap((seedHall, hallIndex) => Array.from({ length: NAMED_ENTRY_NODES }, (_, index) => ({ seedHall, port: hallIndex * (ENTRY_NODES + BACKENDS) + index + 1 })))
      .filter(({ seedHall }) => role === 'entry' || seedHall === hall)
      .map(({ port }) => ({ host: types.LOOPBACK_HOST, port }))
    const keeper = createTableKeeper.createTableKeeper({ debug: () => {}, info: () => {}, warn: () => {}, error: () => {} })
    const heartbeats = createHeartbeats.createHeartbeats({
      self, view, keeper, client: { call } as unknown as rpc.RpcClient, seeds, readLoad: () => null, noteLoad: () => {}, onRefresh: () => {}, random
    })
    daemons.push({ self, view, heartbeats })
  }

  for (const hall of HALLS) {
    for (let index = 0; index < ENTRY_NODES; index += 1) startDaemon(hall, 'entry', `${hall}-entry-${index}`)
    for (let index = 0; index < BACKENDS; index += 1) startDaemon(hall, 'backend', `${hall}-backend-${index}`)
  }
  for (const { heartbeats } of daemons) heartbeats.start()
  return {
    daemons,
    now: () => elapsedMs,
    advance: async (milliseconds, afterEach = () => {}) => {
      for (let passedMs = 0; passedMs < milliseconds; passedMs += 1) {
        elapsedMs += 1
        context.mock.timers.tick(1)
        await new Promise((resolve) => { setImmediate(resolve) })
        afterEach()
      }
    }
  }
}

const readName = ({ self }: Daemon): types.NodeId => self.read().node

/** Drains a backend daemon; returns after how many milliseconds each entry node knew of it, by data hall. */
async function measureDrain (fleet: Fleet, leaver: Daemon): Promise<Map<string, number[]>> {
  const entryNodes = fleet.daemons.filter(({ self }) => self.read().role === 'entry')
  const startedAt = fleet.now()
  const knownAt = new Map<Daemon, number>()
  leaver.self.update({ state: 'leaving' })
  void leaver.heartbeats.sendNow()
  await fleet.advance(DRAIN_OBSERVED_MS, () => {
    for (const entryNode of entryNodes) if (!knownAt.has(entryNode) && entryNode.view.find(readName(leaver))?.leaving === true) knownAt.set(entryNode, fleet.now() - startedAt)
  })
  return new Map(HALLS.map((hall) => [hall, entryNodes.filter(({ self }) => self.read().dataHall === hall).map((entryNode) => knownAt.get(entryNode) ?? Infinity)]))
}

/** Lists the daemons that entry nodes do not take for live. */
function listUnknown (daemons: readonly Daemon[]): string[] {
  const entryNodes = daemons.filter(({ self }) => self.read().role === 'entry')
  return entryNodes.flatMap((entryNode) => daemons.flatMap((daemon) => {
    const condition = entryNode.view.find(readName(daemon))?.condition ?? 'unknown'
    return condition === 'live' ? [] : [`${readName(entryNode)} takes ${readName(daemon)} for ${condition}`]
  }))
}

nodeTest.test('all entry nodes know all daemons of a steady fleet of two halls as live', async (context) => {
  const unknown: string[] = []
  for (const seed of SEEDS) {
    const random = standins.createSeededRandom(seed * SEED_FACTOR)
    const fleet = startFleet(context, random)
    await fleet.advance(SETTLED_MS)
    unknown.push(...listUnknown(fleet.daemons).map((each) => `seed ${seed}: ${each}`))
    const backends = fleet.daemons.filter(({ self }) => self.read().role === 'backend')
    for (const leaver of backends.slice(0, DRAINS)) {
      await fleet.advance(Math.floor(random() * types.HEARTBEAT_INTERVAL_MS))
      const delays = await measureDrain(fleet, leaver)
      context.diagnostic(`seed ${seed}, ${readName(leaver)} drains; ${HALLS.map((hall) => `known in ${hall} after ${[...delays.get(hall) ?? []].sort((one, other) => one - other).join(', ')} ms`).join('; ')}`)
    }
    for (const { heartbeats } of fleet.daemons) heartbeats.stop()
    context.mock.timers.reset()
  }
  assert.deepEqual(unknown, [])
})

nodeTest.test('no entry node takes daemons for live that have ended in a steady fleet of two halls', async (context) => {
  const takenForLive: string[] = []
  for (const seed of SEEDS) {
    const fleet = startFleet(context, standins.createSeededRandom(seed * SEED_FACTOR))
    await fleet.advance(SETTLED_MS)
    const ended = fleet.daemons.filter(({ self }) => self.read().role === 'backend').filter((_, index) => index % DRAINS === 0)
    for (const { heartbeats } of ended) heartbeats.stop()
    await fleet.advance(END_OBSERVED_MS)
    for (const entryNode of fleet.daemons.filter(({ self }) => self.read().role === 'entry')) {
      for (const each of ended) if (entryNode.view.find(readName(each))?.condition === 'live') takenForLive.push(`seed ${seed}: ${readName(entryNode)} takes ${readName(each)} for live`)
    }
    for (const { heartbeats } of fleet.daemons) heartbeats.stop()
    context.mock.timers.reset()
  }
  assert.deepEqual(takenForLive, [])
})
