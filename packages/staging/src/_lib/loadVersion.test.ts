/**
 * Guards against engines that serve a version of which they took wrong pieces: pieces turn bad at any time, the agent stands still, orders are taken late or lose their
 * answers, and engines lose power, between any two steps of a load.
 */
import * as assert from 'node:assert/strict'
import * as crypto from 'node:crypto'
import * as nodeTest from 'node:test'
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'
import * as loadVersion from './loadVersion.js'
import type * as staging from '../types/index.js'

const MODEL = 'm'
const VERSION = 2
const LAYERS = 4
const PIECES = 12
const EXCUSE_MS = 3000
/** An engine that takes the last order within this time takes what the agent has just read. */
const PROMPT_ORDER_MS = 1900
const LONG_ORDER_MS = 6000
const CLIENT_TIMEOUT_MS = 1000
const LOAD_MS = 300
const LONGEST_PAUSE_MS = 5000
const PAUSE_BEFORE_ORDER_RATE = 0.5
const SEEDS = 25
/** An attempt to load follows the one before after this time, as steps of an agent do. */
const RETRY_MS = 200
const ATTEMPTS = 40
const TROUBLE_ATTEMPTS = 8

const BYTES = Array.from({ length: PIECES }, (_, piece) => Buffer.from(`piece ${piece}`))
const MANIFEST: staging.StageManifest = {
  id: { model: MODEL, version: VERSION },
  digests: BYTES.map((bytes) => types.brandId<types.Digest>(crypto.createHash('sha256').update(bytes).digest('hex')))
}
const READY: staging.NamedVersion = { id: MANIFEST.id, namedAt: 0, deadlineAt: Infinity }

interface Trouble {
  readonly longestOrderMs: number
  /** Probability of each trouble at each request. */
  readonly rate: number
}

interface Played {
  /** Times at which an engine with faulty layers could serve, and whether its agent let gateways use it. */
  readonly faulty: ReadonlyArray<{ readonly atMs: number, readonly isTrusted: boolean }>
  readonly isServing: boolean
  readonly orders: readonly string[]
}

/** Lets a loader work beside an engine until it has loaded the version, on mocked timers. */
async function play (context: nodeTest.TestContext, seed: number, trouble: Trouble): Promise<Played> {
  context.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: 0 })
  const random = standins.createSeededRandom(seed)
  let pausedMs = 0
  const now = (): number => Date.now() + pausedMs
  const stage = new Map<number, Buffer>(BYTES.map((bytes, piece) => [piece, bytes]))
  /** Times since which pieces are wrong. */
  const badSince = new Map<number, number>()
  /** For each held layer whether it is faulty. */
  let held = new Map<number, boolean>()
  let sequence = 0
  let bornAt = 1
  let busyUntil = -Infinity
  let isTroubled = true
  let lastWrittenAt = -Infinity
  const orders: string[] = []
  const faulty: Array<{ atMs: number, isTrusted: boolean }> = []
  const strikes = (): boolean => isTroubled && random() < trouble.rate

  function spoilOne (): void {
    const piece = Math.floor(random() * PIECES)
    stage.set(piece, Buffer.from('bad'))
    if (!badSince.has(piece)) badSince.set(piece, now())
  }

  function isFaulty (layer: number): boolean {
    const pieces = Array.from({ length: PIECES / LAYERS }, (_, index) => layer * PIECES / LAYERS + index)
    return pieces.some((piece) => badSince.has(piece) && now() - (badSince.get(piece) as number) > EXCUSE_MS)
  }

  function isComplete (): boolean {
    return held.size === LAYERS && now() >= busyUntil
  }

  function readState (): staging.EngineState {
    const layers = [...held.keys()].sort((left, right) => left - right)
    const [from] = layers
    return { bornAt, held: isComplete() ? VERSION : 0, running: 0, waiting: 0, isBusy: now() < busyUntil, isLeaving: false, sequence, layers: from === undefined || now() < busyUntil ? null : { version: VERSION, from, to: from + layers.length }, layerCount: LAYERS }
  }

  function disturb (): void {
    if (strikes()) spoilOne()
    if (strikes()) pausedMs += random() * LONGEST_PAUSE_MS
    if (!strikes() || random() > 0.2) return
    bornAt += 1
    sequence = 0
    held = new Map()
    busyUntil = -Infinity
    if (random() < 0.5) return
    stage.clear()
    for (let piece = 0; piece < PIECES; piece += 1) badSince.set(piece, now())
  }

  async function pass (milliseconds: number): Promise<void> {
    await types.delay(milliseconds)
    disturb()
  }

  function take (order: staging.LoadOrder): staging.OrderOutcome {
    if (now() < busyUntil || order.sequence !== sequence) return 'refused'
    sequence += 1
    const { from, to } = order.layers ?? { from: 0, to: LAYERS }
    held = new Map(Array.from({ length: to - from }, (_, index) => from + index).map((layer) => [layer, held.get(layer) ?? isFaulty(layer)]))
    busyUntil = now() + LOAD_MS
    return 'begun'
  }

  const engine: staging.StagedEngine = {
    putPiece: async (_model, piece, bytes) => {
      await pass(1)
      stage.set(piece, bytes)
      badSince.delete(piece)
      lastWrittenAt = now()
      return types.succeed(null)
    },
    getPiece: async (_model, piece) => {
      await pass(1)
      const bytes = stage.get(piece) ?? null
      disturb()
      return types.succeed(bytes)
    },
    start: async (order) => {
      await pass(1)
      if (isTroubled && random() < PAUSE_BEFORE_ORDER_RATE) {
        spoilOne()
        pausedMs += random() * LONGEST_PAUSE_MS
      }
      if (!order.mayStillSend()) return 'unsent'
      const { bornAt: bornBefore } = readState()
      const delayMs = strikes() ? random() * trouble.longestOrderMs : 0
      const outcome = types.delay(delayMs).then(() => bornAt === bornBefore ? take(order) : 'unknown')
      orders.push(`${order.layers?.from ?? 0}-${order.layers?.to ?? LAYERS}`)
      return delayMs > CLIENT_TIMEOUT_MS || strikes() ? await types.delay(CLIENT_TIMEOUT_MS).then(() => 'unknown' as const) : await outcome
    },
    unload: async () => 'refused'
  }
  const loader = loadVersion.createVersionLoader({ engine, readEngine: async () => { await pass(1); return readState() }, onEvent: () => {}, observe: () => {}, pausedMsSince: () => 0, now, isStopped: () => false })
  const repair = async (): Promise<boolean> => {
    for (const [piece, bytes] of BYTES.entries()) if (stage.get(piece) !== bytes) await engine.putPiece(MODEL, piece, bytes)
    return true
  }
  const writtenAt = (): number => lastWrittenAt
  let isServing = false
  const played = (async () => {
    for (let attempt = 0; attempt < ATTEMPTS && !isServing; attempt += 1) {
      isTroubled = attempt < TROUBLE_ATTEMPTS
      const state = readState()
      if (!isTroubled && state.held === VERSION && loader.isTrusted(state)) isServing = true
      else if (!state.isBusy) await loader.load(READY, { manifest: MANIFEST, ensureVerified: repair, repair, writtenAt }, state, 'finish')
      await types.delay(RETRY_MS)
    }
  })()
  const over = { isReached: false }
  void played.then(() => { over.isReached = true })
  while (!over.isReached) {
    context.mock.timers.tick(1)
    for (let turn = 0; turn < 30; turn += 1) await Promise.resolve()
    if (isComplete() && [...held.values()].includes(true)) faulty.push({ atMs: now(), isTrusted: loader.isTrusted(readState()) })
  }
  await played
  context.mock.timers.reset()
  return { faulty, isServing, orders }
}

nodeTest.test('a version is loaded in two orders while nothing goes wrong', async (context) => {
  const { faulty, isServing, orders } = await play(context, 1, { longestOrderMs: 0, rate: 0 })
  assert.deepEqual({ faulty, isServing, orders }, { faulty: [], isServing: true, orders: ['0-3', '0-4'] })
})

nodeTest.test('no engine that takes orders in time ever holds all layers while one of them is faulty, and each serves in the end', async (context) => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const { faulty, isServing } = await play(context, seed, { longestOrderMs: PROMPT_ORDER_MS, rate: 0.05 })
    assert.deepEqual({ seed, faulty: faulty.length, isServing }, { seed, faulty: 0, isServing: true })
  }
})

nodeTest.test('an engine that takes orders late is not used while one of its layers is faulty, and serves in the end', async (context) => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const { faulty, isServing } = await play(context, seed, { longestOrderMs: LONG_ORDER_MS, rate: 0.05 })
    assert.deepEqual({ seed, trusted: faulty.filter(({ isTrusted }) => isTrusted), isServing }, { seed, trusted: [], isServing: true })
  }
})
