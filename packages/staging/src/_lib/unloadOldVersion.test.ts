/** Guards against calls that begin on an old version after its deadline because they were in transit for long: by then the engine must have been ordered to unload it. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as unloadOldVersion from './unloadOldVersion.js'
import type * as staging from '../types/index.js'

const MODEL = 'm'
const DEADLINE_MS = 8000
/** Longer than anything that a test waits for. */
const END_MS = 10_000
const SERVING: staging.EngineState = { bornAt: null, held: 1, running: 3, waiting: 0, isBusy: false, isLeaving: false, layers: null, layerCount: 1, sequence: 4 }

/** How long the client of an engine waits for an answer. */
const CLIENT_TIMEOUT_MS = 1000

interface Order {
  readonly version: number
  readonly sequence: number
  readonly atMs: number
}

interface Scenario {
  /** State of the engine at a time; null when it does not answer. */
  readonly readState?: (atMs: number) => staging.EngineState | null
  /** Outcome of the order with this number, from 0 on. */
  readonly decide?: (order: number) => staging.OrderOutcome
  /** Deadlines by version. */
  readonly deadlines?: Readonly<Record<number, number>>
  /** Times between which a complete newer version is about to be ordered. */
  readonly changeDue?: readonly [number, number]
  /** Milliseconds at which the agent first hears of the versions. */
  readonly heardAtMs?: number
  /** Number of the first reads and orders that get no answer within the client's timeout. */
  readonly lostReads?: number
  readonly lostOrders?: number
}

/** Runs a scenario to its end and returns the orders that the engine got; one that accepts an order is busy from then on. */
async function run (context: nodeTest.TestContext, { readState = () => SERVING, decide = () => 'begun', deadlines = { 2: DEADLINE_MS }, changeDue, heardAtMs = 0, lostReads = 0, lostOrders = 0 }: Scenario): Promise<Order[]> {
  context.mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 0 })
  const now = Date.now
  const orders: Order[] = []
  let isBusy = false
  let reads = 0
  const named = Object.entries(deadlines).map(([version, deadlineAt]) => ({ id: { model: MODEL, version: Number(version) }, namedAt: 0, deadlineAt }))
  const unloader = unloadOldVersion.createOldVersionUnloader({
    model: MODEL,
    named: () => now() < heardAtMs ? [] : named,
    readEngine: async () => {
      reads += 1
      if (reads <= lostReads) await types.delay(CLIENT_TIMEOUT_MS)
      const state = reads <= lostReads ? null : readState(now())
      return state === null ? null : { ...state, isBusy: state.isBusy || isBusy }
    },
    engine: {
      unload: async ({ version }, sequence) => {
        const outcome = decide(orders.length)
        orders.push({ version, sequence, atMs: now() })
        if (orders.length <= lostOrders) await types.delay(CLIENT_TIMEOUT_MS)
        else isBusy = outcome === 'begun'
        return outcome
      }
    },
    isChangeDue: () => changeDue !== undefined && now() >= changeDue[0] && now() < changeDue[1],
    onEvent: () => {},
    now
  })
  while (now() < END_MS) {
    if (now() % 200 === 0) unloader.schedule(1)
    context.mock.timers.tick(1)
    for (let turn = 0; turn < 20; turn += 1) await Promise.resolve()
  }
  unloader.stop()
  context.mock.timers.reset()
  return orders
}

nodeTest.test('an engine is ordered once, 600 ms before the deadline of the version that follows, to unload the old one', async (context) => {
  assert.deepEqual(await run(context, {}), [{ version: 1, sequence: 4, atMs: 7400 }])
})

nodeTest.test('the earliest deadline of all newer versions counts', async (context) => {
  const [first] = await run(context, { deadlines: { 2: 9000, 3: 6000 } })
  assert.equal(first?.atMs, 5400)
})

nodeTest.test('an agent that hears of a version after its deadline orders at once', async (context) => {
  const [first] = await run(context, { heardAtMs: 9000 })
  // A timer of 0 ms takes 1 ms.
  assert.equal(first?.atMs, 9001)
})

nodeTest.test('a refused or unanswered order is repeated before the deadline', async (context) => {
  const outcomes: readonly staging.OrderOutcome[] = ['refused', 'unknown', 'begun']
  const orders = await run(context, { decide: (order) => outcomes[order] ?? 'begun' })
  assert.deepEqual(orders.map(({ atMs }) => atMs), [7400, 7500, 7600])
})

nodeTest.test('an engine that answers again gets the order at once', async (context) => {
  const [first] = await run(context, { readState: (atMs) => atMs < 7700 ? null : SERVING })
  assert.equal(first?.atMs, 7700)
})

nodeTest.test('calls that are queued at the engine may begin first, but not for longer than until 400 ms before the deadline', async (context) => {
  const queued = { ...SERVING, waiting: 2 }
  const [first] = await run(context, { readState: (atMs) => atMs < 7450 ? queued : SERVING })
  assert.equal(first?.atMs, 7500)
  const [always] = await run(context, { readState: () => queued })
  assert.equal(always?.atMs, 7600)
})

nodeTest.test('a change to a complete version that is about to be ordered is waited for, until 400 ms before the deadline', async (context) => {
  const changed = await run(context, { changeDue: [7000, 7500], readState: (atMs) => atMs < 7500 ? SERVING : { ...SERVING, held: 2 } })
  assert.deepEqual(changed, [])
  const [delayed] = await run(context, { changeDue: [7000, END_MS] })
  assert.equal(delayed?.atMs, 7600)
})

nodeTest.test('an engine that is changing its version, holds the newest one or none gets no order', async (context) => {
  assert.deepEqual(await run(context, { readState: () => ({ ...SERVING, isBusy: true }) }), [])
  assert.deepEqual(await run(context, { readState: () => ({ ...SERVING, held: 2 }) }), [])
  assert.deepEqual(await run(context, { readState: () => ({ ...SERVING, held: 0 }) }), [])
  assert.deepEqual(await run(context, { deadlines: { 2: Infinity } }), [])
})

nodeTest.test('an engine that says it has done what was ordered is not ordered again and again', async (context) => {
  const orders = await run(context, { decide: () => 'done' })
  assert.equal(orders.length, 1)
})

nodeTest.test('a read or an order that gets no answer does not delay the next one beyond the deadline', async (context) => {
  const [afterLostRead] = await run(context, { lostReads: 1 })
  assert.equal(afterLostRead?.atMs, 7650)
  const [, afterLostOrder] = await run(context, { lostOrders: 1 })
  assert.equal(afterLostOrder?.atMs, 7650)
})

nodeTest.test('an engine that refuses every order is ordered less and less often after the deadline', async (context) => {
  const orders = await run(context, { decide: () => 'refused' })
  assert.deepEqual(orders.map(({ atMs }) => atMs), [7400, 7500, 7600, 7700, 7800, 7900, 8000, 8100, 8300, 8700, 9500])
})
