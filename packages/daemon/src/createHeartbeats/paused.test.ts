/**
 * Guards against refusals by an entry node that was paused itself: heartbeats that arrived during its pause are read after its timers have run, so that it
 * took its own pause for silence of all backend servers and refused calls for want of one, while a server beside a draining one was serving.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as routing from '@switchridge/routing'
import * as rpc from '@switchridge/rpc'
import * as settings from '@switchridge/settings'
import * as standins from '@switchridge/standins'
import * as store from '@switchridge/store'
import * as types from '@switchridge/types'
import * as createCommonParts from '../createCommonParts/index.js'
import * as createDispatcher from '../createDispatcher/index.js'
import * as backendMembers from '../_lib/backendMembers.js'
import * as createHeartbeats from './index.js'

const SERVICE = types.brandId<types.ServiceName>('llm')
const ROW = types.brandId<types.RowId>('m')
const PAUSES_MS = [500, 2000, 6000, 30_000]
const SEEDS = 40
const TICK_MS = 20
const DRAIN_MS = 4000
const BACKEND_NAMES = ['leaver', 'remaining']
/** Silence limit, recovery after a pause and the wait for a recently silent server, at heartbeats of one second. */
const DETECTION_MS = 3200 + 1000 + 3200
const ROUND_MS = 1200

interface TestEntry {
  readonly parts: createCommonParts.CommonParts
  /** Lets the process run while backend servers send heartbeats. */
  readonly run: (milliseconds: number) => Promise<void>
  /** Stops the process for a while. Its timers run first afterwards; what backend servers sent meanwhile is delivered by `deliver`. */
  readonly pause: (milliseconds: number) => Promise<void>
  readonly deliver: () => void
  readonly drainLeaver: () => void
  readonly stopBackends: () => void
  /** Sends a call that the draining server has refused before, and returns the backend server that takes it, a refusal, or null while the call waits. */
  readonly call: () => Promise<string | null>
  readonly close: () => void
}

const settle = async (): Promise<void> => { await new Promise((resolve) => { setImmediate(resolve) }) }

function createFacts (name: string, state: 'live' | 'leaving', factsVersion: number): types.MemberFacts {
  return {
    node: types.brandId(name),
    role: 'backend',
    dataHall: types.brandId('hall'),
    region: types.brandId('region'),
    address: { host: types.LOOPBACK_HOST, port: 1 },
    incarnation: types.brandId('1'),
    factsVersion,
    state,
    service: SERVICE,
    memoryBytes: 1,
    serving: [{ row: ROW, version: '1', manifest: types.brandId('a'.repeat(64)) }],
    holding: [],
    waitingFor: '',
    revision: 0
  }
}

async function openEntry (context: nodeTest.TestContext, seed: number): Promise<TestEntry> {
  context.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: 0 })
  let elapsedMs = 0
  const random = standins.createSeededRandom(seed)
  const clocks = { monotonic: () => elapsedMs, timeOfDay: () => elapsedMs, uptime: () => elapsedMs }
  const parsed = settings.parseSettings('deployment = "test"\ndata_hall = "hall"\nregion = "region"\nrole = "entry"\nnode = "entry"\nentry_nodes = ["127.0.0.1:9"]\n[listen]\nhost = "127.0.0.1"\nport = 0\ncaller_port = 0\n[platform]\nurl = "http://127.0.0.1:9"\n[origin]\nurl = "http://127.0.0.1:9"\n[logs]\nlevel = "silent"\n', 'test')
  assert.ok(parsed.ok)
  const parts = createCommonParts.createCommonParts(parsed.value, clocks)
  const { view, loads } = parts
  /** Another entry node that never answers: the heartbeat to it times out first after a pause. */
  const client = {
    call: async () => {
      await types.delay(1000)
      return types.fail(new Error('timed out'))
    }
  } as unknown as rpc.RpcClient
  const self = createCommonParts.createInitialFacts(parts, { host: types.LOOPBACK_HOST, port: 2 })
  const dispatcher = createDispatcher.createDispatcher({
    loads,
    health: routing.createBackendHealth(parts.now),
    pick: routing.pickLateBinding,
    listBackends: (service, row) => backendMembers.listBackends(view.members(), service, row),
    isRecoveryPossible: (service, row) => backendMembers.isRecoveryPossible(view.members(), service, row),
    findService: () => ({ id: SERVICE, concurrency: 8, queue: 4 }) as unknown as types.ServiceRow,
    dataHall: types.brandId('hall'),
    random
  })
  const heartbeats = createHeartbeats.createHeartbeats({
    self, view, keeper: parts.keeper, client, seeds: createCommonParts.readSeeds(parsed.value), readLoad: () => null, noteLoad: () => {}, onRefresh: dispatcher.dispatchWaiting, random
  })
  let isDraining = false
  let areStopped = false
  let factsVersion = 1
  const undelivered: types.MemberFacts[] = []
  const nextAt = new Map(BACKEND_NAMES.map((name) => [name, random() * ROUND_MS]))

  function sendDueHeartbeats (): void {
    for (const [name, at] of nextAt) {
      if (areStopped || elapsedMs < at) continue
      undelivered.push(createFacts(name, isDraining && name === 'leaver' ? 'leaving' : 'live', factsVersion))
      nextAt.set(name, at + 0.9 * ROUND_MS - 0.2 * ROUND_MS * random())
    }
  }

  function deliver (): void {
    for (const facts of undelivered.splice(0)) heartbeats.receive({ facts, load: null, incarnation: '', since: 0 })
  }

  async function run (milliseconds: number): Promise<void> {
    for (let passedMs = 0; passedMs < milliseconds; passedMs += TICK_MS) {
      elapsedMs += TICK_MS
      sendDueHeartbeats()
      context.mock.timers.tick(TICK_MS)
      await settle()
      deliver()
      dispatcher.dispatchWaiting()
    }
  }

  heartbeats.start()
  await run(3 * ROUND_MS)
  return {
    parts,
    run,
    deliver,
    pause: async (milliseconds) => {
      const endsAt = elapsedMs + milliseconds
      for (; elapsedMs < endsAt; elapsedMs += TICK_MS) sendDueHeartbeats()
      context.mock.timers.tick(milliseconds)
      for (let turn = 0; turn < 5; turn += 1) await settle()
    },
    drainLeaver: () => {
      isDraining = true
      factsVersion += 1
    },
    stopBackends: () => { areStopped = true },
    call: async () => {
      const dispatched = dispatcher.submit({ service: SERVICE, row: ROW, queued: { account: types.brandId('account'), share: 1, priority: 'interactive' }, affinity: '', tried: new Set([types.brandId<types.NodeId>('leaver')]) })
      const outcome = await Promise.race([dispatched.backend, settle().then(() => null)])
      if (outcome === null) return null
      if (!outcome.ok) return outcome.error.reason
      loads.noteEnded(outcome.value.node, undefined)
      return outcome.value.node
    },
    close: () => {
      heartbeats.stop()
      parts.liveness.stop()
      parts.metrics.close()
      context.mock.timers.reset()
    }
  }
}

for (const pauseMs of PAUSES_MS) {
  nodeTest.test(`an entry node that was paused for ${pauseMs} ms while a backend server drains refuses no call that another one can take`, async (context) => {
    const refused: string[] = []
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const entry = await openEntry(context, seed)
      await entry.run(seed * 37 % ROUND_MS)
      entry.drainLeaver()
      await entry.run(seed * 101 % DRAIN_MS)
      await entry.pause(pauseMs)
      const first = await entry.call()
      entry.deliver()
      const second = await entry.call()
      await entry.run(2 * ROUND_MS)
      const third = await entry.call()
      entry.close()
      if ([first, second, third].some((taker) => taker !== 'remaining')) refused.push(`seed ${seed}: ${first}, ${second}, ${third}`)
    }
    assert.deepEqual(refused, [])
  })
}

nodeTest.test('an entry node refuses calls at once when no backend server is left, also after a pause', async (context) => {
  const entry = await openEntry(context, 1)
  entry.stopBackends()
  await entry.pause(6000)
  await entry.run(DETECTION_MS + ROUND_MS)
  assert.equal(await entry.call(), 'no-backend')
  entry.close()
})

nodeTest.test('a pause counts for leases, though not as silence of others', async (context) => {
  const entry = await openEntry(context, 1)
  const lease = store.createLease(store.createMemoryObjectStore(), 'engine', 'holder', { durationMs: 10_000, marginMs: 2000, now: entry.parts.now })
  assert.ok((await lease.acquire()).ok)
  await entry.pause(9000)
  assert.equal(lease.currentGeneration(), null)
  assert.equal(await entry.call(), 'remaining')
  entry.close()
})
