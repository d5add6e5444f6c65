/** Guards against versions that are trusted although an engine took their layers in another order than their loader gave, or without one. */
import * as assert from 'node:assert/strict'
import * as crypto from 'node:crypto'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as loadVersion from './loadVersion.js'
import type * as staging from '../types/index.js'

const MODEL = 'm'
const OLD_VERSION = 1
const VERSION = 2
const PIECES = 12
const EXCUSE_MS = 3000
const PAUSE_MS = 4000
const CLIENT_TIMEOUT_MS = 1000
const RETRY_MS = 200
const MAXIMUM_LOADS = 12
const BYTES = Array.from({ length: PIECES }, (_, piece) => Buffer.from(`piece ${piece}`))
const MANIFEST: staging.StageManifest = {
  id: { model: MODEL, version: VERSION },
  digests: BYTES.map((bytes) => types.brandId<types.Digest>(crypto.createHash('sha256').update(bytes).digest('hex')))
}
const READY: staging.NamedVersion = { id: MANIFEST.id, namedAt: 0, deadlineAt: Infinity }

interface Scene {
  readonly loader: loadVersion.VersionLoader
  readonly readState: () => staging.EngineState
  /** Lets the engine take an order at once. */
  readonly take: (version: number, layers: staging.LayerRange, sequence: number) => staging.OrderOutcome
  /** Turns a piece bad, as if that had happened the milliseconds ago. */
  readonly spoil: (piece: number, agoMs: number) => void
  readonly hasFaultyLayers: () => boolean
  readonly load: () => Promise<void>
  /** Fields of each logged order. */
  readonly loggedOrders: ReadonlyArray<Readonly<Record<string, string | number | boolean>>>
}

interface SceneOptions {
  readonly layerCount: number
  /** Layers that the engine holds at first. */
  readonly held: staging.HeldLayers
  readonly readMs?: number
  /** Time from the call that gives an order to the moment at which its connection is open. */
  readonly connectMs?: number
  /** Called before a piece is read. */
  readonly onRead?: (scene: Scene, piece: number) => void
  /** Called for each order; the engine takes it at once when absent. */
  readonly onOrder?: (scene: Scene, order: staging.LoadOrder, count: number) => staging.OrderOutcome | Promise<staging.OrderOutcome>
}

function createScene (context: nodeTest.TestContext, { layerCount, held: heldAtFirst, readMs = 1, connectMs = 1, onRead, onOrder }: SceneOptions): Scene {
  context.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: 0 })
  const now = (): number => Date.now()
  const stage = new Map<number, Buffer>(BYTES.entries())
  const badSince = new Map<number, number>()
  let version = heldAtFirst.version
  let layers = new Map(Array.from({ length: heldAtFirst.to - heldAtFirst.from }, (_, index) => [heldAtFirst.from + index, false]))
  let sequence = 1
  let writtenAt = -Infinity
  let orders = 0
  const loggedOrders: Array<Scene['loggedOrders'][number]> = []

  const isFaulty = (layer: number): boolean => BYTES.some((_, piece) => Math.floor(piece * layerCount / PIECES) === layer && now() - (badSince.get(piece) ?? Infinity) > EXCUSE_MS)

  function readState (): staging.EngineState {
    const from = Math.min(...layers.keys())
    const isComplete = layers.size === layerCount
    return { bornAt: 1, held: isComplete ? version : 0, running: 0, waiting: 0, isBusy: false, isLeaving: false, sequence, layers: layerCount === 1 || layers.size === 0 ? null : { version, from, to: from + layers.size }, layerCount }
  }

  function take (next: number, { from, to }: staging.LayerRange, expected: number): staging.OrderOutcome {
    if (expected !== sequence) return 'refused'
    const kept = next === version ? layers : new Map<number, boolean>()
    const wanted = Array.from({ length: to - from }, (_, index) => from + index)
    if (kept.size === wanted.length && wanted.every((layer) => kept.has(layer))) return 'done'
    sequence += 1
    version = next
    layers = new Map(wanted.map((layer) => [layer, kept.get(layer) ?? isFaulty(layer)]))
    return 'begun'
  }

  const engine: staging.StagedEngine = {
    putPiece: async (_model, piece, bytes) => {
      await types.delay(1)
      stage.set(piece, bytes)
      badSince.delete(piece)
      writtenAt = now()
      return types.succeed(null)
    },
    getPiece: async (_model, piece) => {
      onRead?.(scene, piece)
      await types.delay(readMs)
      return types.succeed(stage.get(piece) ?? null)
    },
    start: async (order) => {
      await types.delay(connectMs)
      if (!order.mayStillSend()) return 'unsent'
      orders += 1
      return onOrder === undefined ? take(order.id.version, order.layers ?? { from: 0, to: layerCount }, order.sequence) : await onOrder(scene, order, orders)
    },
    unload: async () => 'refused'
  }

  async function repair (): Promise<boolean> {
    for (const [piece, bytes] of BYTES.entries()) if (stage.get(piece) !== bytes) await engine.putPiece(MODEL, piece, bytes)
    return true
  }

  const loader = loadVersion.createVersionLoader({ engine, readEngine: async () => { await types.delay(1); return readState() }, onEvent: (event, fields) => { if (event === 'version-ordered') loggedOrders.push(fields) }, observe: () => {}, pausedMsSince: () => 0, now, isStopped: () => false })
  const scene: Scene = {
    loader,
    loggedOrders,
    readState,
    take,
    spoil: (piece, agoMs) => {
      stage.set(piece, Buffer.from('bad'))
      badSince.set(piece, now() - agoMs)
    },
    hasFaultyLayers: () => [...layers.values()].includes(true),
    load: async () => {
      const state = readState()
      // An agent passes on a version that isn't trusted as none.
      await passUntilDone(context, loader.load(READY, { manifest: MANIFEST, ensureVerified: repair, repair, writtenAt: () => writtenAt }, loader.isTrusted(state) ? state : { ...state, held: 0 }, 'finish'))
    }
  }
  return scene
}

/** Lets time pass until the work is done. */
async function passUntilDone (context: nodeTest.TestContext, work: Promise<void>): Promise<void> {
  const over = { isReached: false }
  const done = work.then(() => { over.isReached = true })
  while (!over.isReached) {
    context.mock.timers.tick(1)
    for (let turn = 0; turn < 30; turn += 1) await Promise.resolve()
  }
  await done
}

function takeInFull ({ take }: Scene, { id, layers, sequence }: staging.LoadOrder, layerCount: number): staging.OrderOutcome {
  return take(id.version, layers ?? { from: 0, to: layerCount }, sequence)
}

nodeTest.test('an engine that took another order in place of an unanswered one for all layers but the last does not serve faulty layers', async (context) => {
  const layerCount = 4
  let isPaused = false
  const scene = createScene(context, {
    layerCount,
    held: { version: OLD_VERSION, from: 0, to: layerCount },
    onOrder: (each, order, count) => {
      if (count > 1) return takeInFull(each, order, layerCount)
      each.take(OLD_VERSION, { from: 0, to: 1 }, order.sequence)
      return 'unknown'
    },
    // The agent stands still before it reads the last layer's pieces.
    onRead: (each, piece) => {
      if (piece < 9 || isPaused) return
      isPaused = true
      each.spoil(0, PAUSE_MS)
    }
  })
  await scene.load()
  const state = scene.readState()
  assert.ok(isPaused)
  assert.deepEqual({ held: state.held, isUsable: state.held === VERSION && scene.loader.isTrusted(state), isFaulty: scene.hasFaultyLayers() }, { held: VERSION, isUsable: true, isFaulty: false })
})

nodeTest.test('faulty layers that an order of an ended agent completes are not served by its successor', async (context) => {
  const layerCount = 4
  const scene = createScene(context, {
    layerCount,
    held: { version: VERSION, from: 0, to: layerCount - 1 },
    onOrder: (each, order, count) => {
      if (count === 1) {
        each.spoil(PIECES - 1, PAUSE_MS)
        each.take(VERSION, { from: 0, to: layerCount }, order.sequence)
      }
      return takeInFull(each, order, layerCount)
    }
  })
  await scene.load()
  const state = scene.readState()
  assert.deepEqual({ isUsable: state.held === VERSION && scene.loader.isTrusted(state), isFaulty: scene.hasFaultyLayers() }, { isUsable: false, isFaulty: true })
  await scene.load()
  assert.deepEqual({ held: scene.readState().held, isTrusted: scene.loader.isTrusted(scene.readState()), isFaulty: scene.hasFaultyLayers() }, { held: VERSION, isTrusted: true, isFaulty: false })
})

for (const orderMs of [2100, 4300]) {
  nodeTest.test(`an engine that takes each order ${orderMs} ms after it was sent gets its version`, async (context) => {
    const layerCount = 4
    const scene = createScene(context, {
      layerCount,
      held: { version: OLD_VERSION, from: 0, to: layerCount },
      onOrder: async (each, order) => {
        const taken = types.delay(orderMs).then(() => takeInFull(each, order, layerCount))
        return await Promise.race([taken, types.delay(CLIENT_TIMEOUT_MS).then(() => 'unknown' as const)])
      }
    })
    for (let load = 0; load < MAXIMUM_LOADS && scene.readState().held !== VERSION; load += 1) {
      await scene.load()
      await passUntilDone(context, types.delay(RETRY_MS))
    }
    assert.deepEqual({ held: scene.readState().held, isFaulty: scene.hasFaultyLayers() }, { held: VERSION, isFaulty: false })
  })
}

nodeTest.test('faulty layers that an unanswered order has loaded before the stage was repaired are not served', async (context) => {
  const layerCount = 4
  let sequence = 0
  let isTaken = false
  const scene = createScene(context, {
    layerCount,
    held: { version: OLD_VERSION, from: 0, to: layerCount },
    onOrder: (each, order, count) => {
      if (count === 1) return takeInFull(each, order, layerCount)
      if (count === 2) sequence = order.sequence
      return count <= 3 ? 'unknown' : takeInFull(each, order, layerCount)
    },
    // The engine takes the second order when the last layer's pieces are read for the third one.
    onRead: (each, piece) => {
      if (piece < 9 || sequence === 0 || isTaken) return
      isTaken = true
      each.spoil(piece, PAUSE_MS)
      each.take(VERSION, { from: 0, to: layerCount }, sequence)
    }
  })
  await scene.load()
  await scene.load()
  const state = scene.readState()
  assert.ok(isTaken)
  assert.equal(state.held === VERSION && scene.loader.isTrusted(state) && scene.hasFaultyLayers(), false)
})

nodeTest.test('the logged age of the reads that an order relies on includes the time until its connection was open', async (context) => {
  const connectMs = 700
  const scene = createScene(context, { layerCount: 4, held: { version: OLD_VERSION, from: 0, to: 4 }, connectMs })
  await scene.load()
  const last = scene.loggedOrders.find(({ step }) => step === 'last')
  assert.ok(Number(last?.oldestReadMs) >= connectMs, JSON.stringify(last))
})

nodeTest.test('an engine of a model without layers that took wrong pieces does not serve them once its stage is right again', async (context) => {
  const scene = createScene(context, {
    layerCount: 1,
    held: { version: OLD_VERSION, from: 0, to: 1 },
    // The engine takes the first order late.
    onOrder: (each, order, count) => {
      if (count === 1) each.spoil(0, PAUSE_MS)
      return takeInFull(each, order, 1)
    }
  })
  await scene.load()
  assert.deepEqual({ isTrusted: scene.loader.isTrusted(scene.readState()), isFaulty: scene.hasFaultyLayers() }, { isTrusted: false, isFaulty: true })
  await scene.load()
  assert.deepEqual({ isTrusted: scene.loader.isTrusted(scene.readState()), isFaulty: scene.hasFaultyLayers() }, { isTrusted: false, isFaulty: true })
})

nodeTest.test('faulty layers that other orders have loaded in place of verified ones are not served', async (context) => {
  const layerCount = 4
  const last = { from: layerCount - 1, to: layerCount }
  let isReplaced = false
  const scene = createScene(context, {
    layerCount,
    held: { version: OLD_VERSION, from: 0, to: layerCount },
    // Late orders of an ended agent are taken while the last layer's pieces are read.
    onRead: (each, piece) => {
      const { sequence, layers } = each.readState()
      if (piece < 9 || isReplaced || layers?.version !== VERSION) return
      isReplaced = true
      each.take(VERSION, last, sequence)
      each.spoil(0, PAUSE_MS)
      each.take(VERSION, { from: 0, to: last.from }, sequence + 1)
    }
  })
  await scene.load()
  await scene.load()
  const state = scene.readState()
  assert.ok(isReplaced)
  assert.deepEqual({ held: state.held, isFaulty: scene.hasFaultyLayers() }, { held: VERSION, isFaulty: false })
})
