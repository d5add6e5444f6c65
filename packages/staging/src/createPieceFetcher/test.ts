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
  readonly mostOriginReads: () => number
}

/** What differs between the fetches of the tests. */
interface FetchChange {
  /** The origin refuses every connection. */
  readonly isOriginFull?: boolean
  readonly hasPeer?: boolean
  /** Milliseconds that the peer takes for a piece; Infinity when it has none. */
  readonly peerMs?: number
  readonly isReadingAhead?: () => boolean
  /** Peers of the zone that have nothing, beside the one. */
  readonly emptyPeers?: number
  /** Another peer holds all pieces; the one that is asked tells of it. */
  readonly isReferring?: boolean
}

/** A fetch beside a peer that has all pieces. */
function startFetch (now: () => number, { isOriginFull = false, hasPeer = true, peerMs = 0, isReadingAhead = () => false, emptyPeers = 0, isReferring = false }: FetchChange): Fetch {
  const self = createAgent('self', 'a')
  const peer = createAgent('peer', 'a')
  const others = Array.from({ length: emptyPeers }, (_, index) => createAgent(`empty-${index}`, 'a'))
  const originReads: number[] = []
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
      return isOriginFull ? types.fail(new types.UnavailableError('reset')) : types.succeed(pieceOf(piece))
    }
  }
  const fetcher = createPieceFetcher.createPieceFetcher({
    pieces: createPieceStore.createPieceStore().open(createManifest()),
    self,
    agents: () => hasPeer ? [self, peer, ...others] : [self],
    origin,
    isReadingAhead,
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
  return { fetcher, originReads, mostOriginReads: () => mostOpen }
}

async function play (context: nodeTest.TestContext, run: (now: () => number) => Fetch): Promise<Fetch & { readonly isWhole: boolean }> {
  context.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'] })
  const fetch = run(Date.now)
  const result = { isWhole: false }
  void fetch.fetcher.whole.then((whole) => { result.isWhole = whole })
  for (let step = 0; step < STEPS && !result.isWhole; step += 1) {
    context.mock.timers.tick(STEP_MS)
    await new Promise((resolve) => { setImmediate(resolve) })
  }
  fetch.fetcher.stop()
  context.mock.timers.tick(STEP_MS)
  return { ...fetch, isWhole: result.isWhole }
}

nodeTest.test('pieces that the origin refuses come from a peer that has them', async (context) => {
  const played = await play(context, (now) => startFetch(now, { isOriginFull: true }))
  assert.equal(played.isWhole, true)
})

nodeTest.test('an agent comes back to an origin that refuses it less and less often', async (context) => {
  const played = await play(context, (now) => startFetch(now, { isOriginFull: true, hasPeer: false }))
  assert.equal(played.isWhole, false)
  const lastSeconds = Math.max(...played.originReads) - 2000
  const lately = played.originReads.filter((at) => at > lastSeconds).length
  assert.ok(lately <= 2 * PIECES, `${lately} reads of ${PIECES} pieces in two seconds`)
})

nodeTest.test('an agent has one read open at the origin at a time', async (context) => {
  const played = await play(context, (now) => startFetch(now, {}))
  assert.equal(played.isWhole, true)
  assert.equal(played.mostOriginReads(), 1)
})

nodeTest.test('an agent whose pieces come slowly from a peer leaves the origin to those who read it for all', async (context) => {
  const played = await play(context, (now) => startFetch(now, { peerMs: 1200 }))
  assert.equal(played.isWhole, true)
  assert.ok(played.originReads.length < PIECES, `${played.originReads.length} reads`)
})

nodeTest.test('an agent that gets nothing from its peers reads at the origin what is missing', async (context) => {
  const played = await play(context, (now) => startFetch(now, { peerMs: Infinity }))
  assert.equal(played.isWhole, true)
  assert.equal(played.originReads.length, PIECES)
})

nodeTest.test('a newer version is only read ahead from the origin while an older one uses the links', async (context) => {
  let isReadingAhead = true
  const played = await play(context, (now) => {
    const startedAt = now()
    return startFetch(now, { isReadingAhead: () => { isReadingAhead = now() - startedAt < 4000; return isReadingAhead } })
  })
  assert.equal(played.isWhole, true)
  assert.equal(isReadingAhead, false)
  assert.ok(played.originReads.length < PIECES, `${played.originReads.length} reads`)
})

nodeTest.test('a piece comes from the peer that a busy one tells of', async (context) => {
  const played = await play(context, (now) => startFetch(now, { emptyPeers: 1, isReferring: true }))
  assert.equal(played.isWhole, true)
  assert.ok(played.originReads.length < PIECES, `${played.originReads.length} reads`)
  assert.ok(played.fetcher.counts.peerPieces > 0)
})

nodeTest.test('the more agents get nothing from each other, the more slowly each of them reads for itself', async (context) => {
  const played = await play(context, (now) => startFetch(now, { peerMs: Infinity, emptyPeers: 40 }))
  assert.equal(played.isWhole, false)
  const [first, ...later] = played.originReads
  const lately = later.filter((at) => at > (first as number) + 2500)
  assert.ok(lately.length > 0 && lately.length <= 6, `${lately.length} reads`)
})
