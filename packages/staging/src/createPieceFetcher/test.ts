import * as assert from 'node:assert/strict'
import * as crypto from 'node:crypto'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createPieceStore from '../createPieceStore/index.js'
import type * as staging from '../types/index.js'
import * as createPieceFetcher from './index.js'

const PIECES = 12
const ID: staging.VersionId = { model: 'm', version: 2 }
const STEP_MS = 20
const STEPS = 500
const HOLDER = types.brandId<types.NodeId>('empty-0')

function pieceOf (piece: number): Buffer {
  return Buffer.from(`piece ${piece}`)
}

function createAgent (node: string, zone: string): staging.StagingPeer {
  return { node: types.brandId(node), zone, address: { host: '127.0.0.1', port: 1 } }
}

function createManifest (): staging.StageManifest {
  const digests = Array.from({ length: PIECES }, (_, piece) => crypto.createHash('sha256').update(pieceOf(piece)).digest('hex'))
  return { id: ID, digests: digests.map((digest) => types.brandId<types.Digest>(digest)) }
}

interface Fetch {
  readonly fetcher: createPieceFetcher.PieceFetcher
  readonly originReads: number[]
  /** Pieces that the origin sent, in order. */
  readonly originPieces: number[]
  readonly mostOriginReads: () => number
}

/** What differs between the scenarios of the tests. */
interface FetchScenario {
  /** The origin refuses every connection. */
  readonly isOriginRefusing?: boolean
  /** Milliseconds from the start during which the origin refuses every connection. */
  readonly outageMs?: number
  readonly hasPeer?: boolean
  /** Milliseconds that the peer takes for a piece; Infinity when it has none. */
  readonly peerMs?: number
  readonly isPrefetching?: () => boolean
  /** Additional peers of the zone that have no pieces. */
  readonly emptyPeers?: number
  /** Another peer holds all pieces, and the one that is asked refers to it. */
  readonly isReferring?: boolean
}

/** Starts a fetch; unless the scenario says otherwise, one peer has all pieces. */
function startFetch (now: () => number, { isOriginRefusing = false, outageMs = 0, hasPeer = true, peerMs = 0, isPrefetching = () => false, emptyPeers = 0, isReferring = false }: FetchScenario): Fetch {
  const self = createAgent('self', 'a')
  const peer = createAgent('peer', 'a')
  const others = Array.from({ length: emptyPeers }, (_, index) => createAgent(`empty-${index}`, 'a'))
  const originReads: number[] = []
  const originPieces: number[] = []
  const startedAt = now()
  let open = 0
  let mostOpen = 0
  const origin: staging.WeightOrigin = {
    readManifest: async () => types.succeed(createManifest().digests),
    readPiece: async (_id, piece) => {
      originReads.push(now())
      open += 1
      mostOpen = Math.max(mostOpen, open)
      await types.delay(STEP_MS)
      open -= 1
      if (isOriginRefusing || now() - startedAt < outageMs) return types.fail(new types.UnavailableError('reset'))
      originPieces.push(piece)
      return types.succeed(pieceOf(piece))
    }
  }
  const fetcher = createPieceFetcher.createPieceFetcher({
    pieces: createPieceStore.createPieceStore().open(createManifest()),
    self,
    agents: () => hasPeer ? [self, peer, ...others] : [self],
    origin,
    isPrefetching,
    expectedZones: () => [],
    fetchFromPeer: async (asked, _id, wanted, mayRefer) => {
      await types.delay(Number.isFinite(peerMs) ? peerMs : STEP_MS)
      if (isReferring && asked.node === peer.node) return types.succeed(mayRefer ? { piece: wanted[0] as number, holder: HOLDER } : null)
      return types.succeed(Number.isFinite(peerMs) ? { piece: wanted[0] as number, bytes: pieceOf(wanted[0] as number) } : null)
    },
    now,
    random: () => 0.5,
    onEvent: () => {},
    onSuspect: () => {}
  })
  return { fetcher, originReads, originPieces, mostOriginReads: () => mostOpen }
}

async function runFetch (context: nodeTest.TestContext, run: (now: () => number) => Fetch): Promise<Fetch & { readonly isWhole: boolean }> {
  context.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'] })
  const fetch = run(Date.now)
  const result = { isWhole: false }
  void fetch.fetcher.completion.then((whole) => { result.isWhole = whole })
  for (let step = 0; step < STEPS && !result.isWhole; step += 1) {
    context.mock.timers.tick(STEP_MS)
    await new Promise((resolve) => { setImmediate(resolve) })
  }
  fetch.fetcher.stop()
  context.mock.timers.tick(STEP_MS)
  return { ...fetch, isWhole: result.isWhole }
}

nodeTest.test('pieces that the origin refuses are fetched from a peer that has them', async (context) => {
  const result = await runFetch(context, (now) => startFetch(now, { isOriginRefusing: true }))
  assert.equal(result.isWhole, true)
})

nodeTest.test('an agent retries ever more rarely at an origin that refuses it', async (context) => {
  const result = await runFetch(context, (now) => startFetch(now, { isOriginRefusing: true, hasPeer: false }))
  assert.equal(result.isWhole, false)
  const lastSeconds = Math.max(...result.originReads) - 2000
  const recentReads = result.originReads.filter((at) => at > lastSeconds).length
  assert.ok(recentReads <= 2 * PIECES, `${recentReads} reads of ${PIECES} pieces in two seconds`)
})

nodeTest.test('an agent has at most one read open at the origin', async (context) => {
  const result = await runFetch(context, (now) => startFetch(now, {}))
  assert.equal(result.isWhole, true)
  assert.equal(result.mostOriginReads(), 1)
})

nodeTest.test('an agent whose peer is slow does not read pieces from the origin that are assigned to others', async (context) => {
  const result = await runFetch(context, (now) => startFetch(now, { peerMs: 1200 }))
  assert.equal(result.isWhole, true)
  assert.ok(result.originReads.length < PIECES, `${result.originReads.length} reads`)
})

nodeTest.test('an agent that gets nothing from its peers reads the missing pieces from the origin', async (context) => {
  const result = await runFetch(context, (now) => startFetch(now, { peerMs: Infinity }))
  assert.equal(result.isWhole, true)
  assert.equal(result.originReads.length, PIECES)
})

/** Guards against agents that read random missing pieces when the origin returns after an outage, which their assigned readers read as well. */
nodeTest.test('an agent that got nothing during an outage of the origin first reads the pieces assigned to it, and for a time only these', async (context) => {
  const outageMs = 6000
  const assigned = (await runFetch(context, (now) => startFetch(now, { peerMs: 0 }))).originPieces
  context.mock.timers.reset()
  const result = await runFetch(context, (now) => startFetch(now, { peerMs: Infinity, outageMs }))
  const startedAt = result.originReads[0] as number
  assert.deepEqual(new Set(result.originPieces.slice(0, assigned.length)), new Set(assigned))
  const readsBySecond = result.originReads.filter((at) => at >= startedAt + outageMs && at < startedAt + outageMs + 2000).length
  assert.equal(readsBySecond, assigned.length)
})

nodeTest.test('a newer version is only prefetched from the origin while an older one uses the links', async (context) => {
  let isPrefetching = true
  const result = await runFetch(context, (now) => {
    const startedAt = now()
    return startFetch(now, { isPrefetching: () => { isPrefetching = now() - startedAt < 4000; return isPrefetching } })
  })
  assert.equal(result.isWhole, true)
  assert.equal(isPrefetching, false)
  assert.ok(result.originReads.length < PIECES, `${result.originReads.length} reads`)
})

nodeTest.test('a piece is fetched from the peer that a busy one refers to', async (context) => {
  const result = await runFetch(context, (now) => startFetch(now, { emptyPeers: 1, isReferring: true }))
  assert.equal(result.isWhole, true)
  assert.ok(result.originReads.length < PIECES, `${result.originReads.length} reads`)
  assert.ok(result.fetcher.counts.peerPieces > 0)
})

nodeTest.test('the more agents get nothing from each other, the more slowly each of them reads from the origin', async (context) => {
  const result = await runFetch(context, (now) => startFetch(now, { peerMs: Infinity, emptyPeers: 40 }))
  assert.equal(result.isWhole, false)
  const [first, ...later] = result.originReads
  const recentReads = later.filter((at) => at > (first as number) + 2500)
  assert.ok(recentReads.length > 0 && recentReads.length <= 6, `${recentReads.length} reads`)
})
