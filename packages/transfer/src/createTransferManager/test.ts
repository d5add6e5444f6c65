import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as types from '@switchridge/types'
import * as transfer from '../index.js'

const CHUNK_BYTES = 8
const STEP_MS = 10
const LIMIT_MS = 60_000
const LATENCY_MS = 20

interface Faults {
  /** Nodes that answer no request. */
  readonly unreachable: Set<string>
  /** Nodes that send wrong bytes for a chunk. */
  readonly corrupting: Set<string>
  /** Nodes that receive no announcements. */
  readonly withoutAnnouncements: Set<string>
  /** Nodes that cannot reach the origin. */
  readonly withoutOrigin: Set<string>
  origin: 'good' | 'refusing' | 'corrupt' | 'breaking'
}

interface Node {
  readonly name: string
  readonly hall: string
  readonly store: transfer.ChunkStore
  readonly transfers: transfer.TransferManager
  completed: number
}

interface Swarm {
  readonly nodes: readonly Node[]
  readonly faults: Faults
  readonly originBytes: () => number
  readonly events: transfer.DownloadEvent[]
  readonly setWanted: (version: Version, names?: readonly string[]) => void
  readonly runUntil: (condition: () => boolean) => Promise<boolean>
}

interface Version {
  readonly bytes: Buffer
  readonly manifest: transfer.Manifest
  readonly digest: types.Digest
}

async function createVersion (text: string): Promise<Version> {
  const bytes = Buffer.from(text)
  const manifest = await transfer.createManifest([bytes], CHUNK_BYTES)
  return { bytes, manifest, digest: transfer.computeDigest(transfer.formatManifest(manifest)) }
}

const createText = (seed: string, chunks: number): string => Array.from({ length: chunks }, (_, index) => `${seed}${index}`.padEnd(CHUNK_BYTES, '.')).join('')

function toPeer (name: string, hall: string): transfer.Peer {
  return { node: types.brandId(name), dataHall: types.brandId(hall), address: { host: name, port: 1 } }
}

/** Creates nodes whose transfers reach each other's stores through function calls, on a mock clock. */
function createSwarm (context: test.TestContext, halls: readonly string[], versions: readonly Version[]): Swarm {
  context.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'] })
  const now = (): number => Date.now()
  const faults: Faults = { unreachable: new Set(), corrupting: new Set(), withoutAnnouncements: new Set(), withoutOrigin: new Set(), origin: 'good' }
  const peers = halls.map((hall, index) => toPeer(`node-${index}`, hall))
  const events: transfer.DownloadEvent[] = []
  const nodes = new Map<string, Node>()
  let originBytes = 0
  let seed = 1
  const random = (): number => { seed = (seed * 16_807) % 2_147_483_647; return seed / 2_147_483_647 }

  const readOrigin = async (name: string, source: string, from: number, length: number): Promise<transfer.OriginAnswer> => {
    await types.delay(LATENCY_MS)
    const version = versions.find((each) => each.digest === source)
    const isUnavailable = faults.origin === 'refusing' || faults.withoutOrigin.has(name) || version === undefined
    if (isUnavailable) return { bytes: Buffer.alloc(0), error: new types.UnavailableError('status 503') }
    const part = Buffer.from(version.bytes.subarray(from, from + (faults.origin === 'breaking' && length > 2 ? Math.ceil(length / 2) : length)))
    originBytes += part.length
    if (faults.origin === 'corrupt') part[0] = (part[0] ?? 0) ^ 1
    return part.length < length ? { bytes: part, error: new types.UnavailableError('closed in mid-range') } : { bytes: part }
  }

  const createRequests = (self: transfer.Peer): transfer.TransferOptions['requests'] => ({
    fetchManifest: async (wanted) => {
      const version = versions.find((each) => each.digest === wanted.digest)
      return version === undefined ? types.fail(new types.UnavailableError('none')) : types.succeed(transfer.formatManifest(version.manifest))
    },
    fetchOrigin: async (source, from, length) => await readOrigin(self.node, source, from, length),
    fetchChunk: async (peer, digest, chunk, have, _chunkBytes, timeoutMs) => {
      const provider = nodes.get(peer.node)
      const emptyReport = { have: '', backlog: 0, holders: [] }
      if (provider === undefined || faults.unreachable.has(peer.node) || faults.unreachable.has(self.node)) {
        await types.delay(timeoutMs)
        return { report: emptyReport, outcome: types.fail(new types.UnavailableError('no answer')) }
      }
      await types.delay(LATENCY_MS)
      provider.transfers.noteHave(digest, self.node, have)
      const holding = provider.store.find(digest)
      const bytes = holding?.get(chunk)
      const report = { ...emptyReport, have: holding === undefined ? '' : transfer.encodeBitmap(holding.bitmap) }
      if (bytes === undefined) return { report, outcome: types.fail(new transfer.ChunkRefusedError('status 404')) }
      return { report, outcome: types.succeed(faults.corrupting.has(peer.node) ? Buffer.from('wrong!!!') : bytes) }
    },
    announce: (peer, digest, have) => { if (!faults.unreachable.has(self.node) && !faults.withoutAnnouncements.has(peer.node)) nodes.get(peer.node)?.transfers.noteHave(digest, self.node, have) },
    queryProvider: async (peer, digest, chunk, wouldTakeOver) => faults.unreachable.has(peer.node) ? 'unreachable' : nodes.get(peer.node)?.transfers.answerProviderQuery(digest, chunk, wouldTakeOver ? self.node : null) ?? 'unreachable'
  })

  for (const self of peers) {
    const store = transfer.createChunkStore(10_000)
    const node: Node = {
      name: self.node,
      hall: self.dataHall,
      store,
      completed: 0,
      transfers: transfer.createTransferManager({
        store,
        requests: createRequests(self),
        downlink: transfer.createLinkPacer(0, now),
        requestsInFlight: 4,
        requestsPerPeer: 2,
        now,
        random,
        onComplete: () => { node.completed += 1 },
        onEvent: (event) => { if ('chunk' in event) events.push(event) }
      })
    }
    nodes.set(self.node, node)
    context.after(() => { node.transfers.stop() })
  }

  const setWanted = (version: Version, names: readonly string[] = peers.map((peer) => peer.node)): void => {
    const holders = peers.filter((peer) => names.includes(peer.node))
    for (const self of holders) {
      nodes.get(self.node)?.transfers.setWanted([{
        digest: version.digest,
        source: version.digest,
        peers: holders.filter((peer) => peer !== self),
        signature: names.join(),
        createPolicy: (manifest, startedAt) => transfer.createSwarmPolicy({
          self, holders, originGroup: new Set(peers.map((peer) => peer.dataHall)), manifestDigest: version.digest, chunkBytes: manifest.chunkBytes, originBytesPerSecond: 400, startedAt
        })
      }])
    }
  }

  const runUntil = async (condition: () => boolean): Promise<boolean> => {
    for (let elapsed = 0; elapsed < LIMIT_MS && !condition(); elapsed += STEP_MS) {
      context.mock.timers.tick(STEP_MS)
      await new Promise((resolve) => { setImmediate(resolve) })
    }
    return condition()
  }
  return { nodes: [...nodes.values()], faults, originBytes: () => originBytes, events, setWanted, runUntil }
}

const HALLS = ['a', 'a', 'a', 'b', 'b', 'c']

function isHeldByAll (swarm: Swarm, version: Version, except: readonly string[] = []): boolean {
  return swarm.nodes.filter((node) => !except.includes(node.name)).every((node) => node.store.find(version.digest)?.isComplete() === true)
}

test.describe('createTransferManager', () => {
  test.it('brings one copy from the origin to all nodes', async (context) => {
    const version = await createVersion(createText('x', 40))
    const swarm = createSwarm(context, HALLS, [version])
    swarm.setWanted(version)
    assert.ok(await swarm.runUntil(() => isHeldByAll(swarm, version)))
    assert.equal(swarm.originBytes(), version.bytes.length)
    assert.ok(swarm.nodes.every((node) => node.completed === 1))
  })

  test.it('completes when a node that is origin reader and only holder of chunks becomes unreachable', async (context) => {
    const version = await createVersion(createText('x', 40))
    const swarm = createSwarm(context, HALLS, [version])
    swarm.setWanted(version)
    await swarm.runUntil(() => swarm.originBytes() > version.bytes.length / 3)
    swarm.faults.unreachable.add('node-1')
    const reachableNames = swarm.nodes.map((node) => node.name).filter((name) => name !== 'node-1')
    await swarm.runUntil(() => false)
    swarm.setWanted(version, reachableNames)
    assert.ok(await swarm.runUntil(() => isHeldByAll(swarm, version, ['node-1'])))
    assert.ok(swarm.originBytes() <= 1.35 * version.bytes.length, `${swarm.originBytes()} bytes`)
  })

  test.it('rejects corrupted chunks of a peer and completes', async (context) => {
    const version = await createVersion(createText('x', 30))
    const swarm = createSwarm(context, HALLS, [version])
    swarm.faults.corrupting.add('node-0')
    swarm.setWanted(version)
    await swarm.runUntil(() => swarm.events.some((event) => event.event === 'chunk-corrupt'))
    swarm.faults.corrupting.clear()
    assert.ok(await swarm.runUntil(() => isHeldByAll(swarm, version)))
    assert.ok(swarm.events.some((event) => event.event === 'chunk-corrupt' && event.from === 'node-0'))
  })

  test.it('stores nothing from a corrupt origin, reads it less and less often, and completes when it is correct again', async (context) => {
    const version = await createVersion(createText('x', 20))
    const swarm = createSwarm(context, HALLS, [version])
    swarm.faults.origin = 'corrupt'
    swarm.setWanted(version)
    await swarm.runUntil(() => false)
    assert.ok(swarm.nodes.every((node) => node.store.find(version.digest)?.count() === 0))
    assert.ok(swarm.originBytes() <= 4 * version.bytes.length, `${swarm.originBytes()} bytes in a minute`)
    swarm.faults.origin = 'good'
    assert.ok(await swarm.runUntil(() => isHeldByAll(swarm, version)))
  })

  test.it('retries an origin that refuses requests', async (context) => {
    const version = await createVersion(createText('x', 20))
    const swarm = createSwarm(context, HALLS, [version])
    swarm.faults.origin = 'refusing'
    swarm.setWanted(version)
    await swarm.runUntil(() => swarm.events.filter((event) => event.event === 'origin-failed').length > 10)
    swarm.faults.origin = 'good'
    assert.ok(await swarm.runUntil(() => isHeldByAll(swarm, version)))
    assert.equal(swarm.originBytes(), version.bytes.length)
  })

  test.it('resumes interrupted origin ranges without reading bytes twice', async (context) => {
    const version = await createVersion(createText('x', 12))
    const swarm = createSwarm(context, HALLS, [version])
    swarm.faults.origin = 'breaking'
    swarm.setWanted(version)
    assert.ok(await swarm.runUntil(() => isHeldByAll(swarm, version)))
    assert.equal(swarm.originBytes(), version.bytes.length)
  })

  test.it('takes over the chunks of a node that cannot reach the origin', async (context) => {
    const version = await createVersion(createText('x', 30))
    const swarm = createSwarm(context, HALLS, [version])
    swarm.faults.withoutOrigin.add('node-2')
    swarm.setWanted(version)
    assert.ok(await swarm.runUntil(() => isHeldByAll(swarm, version)))
    assert.equal(swarm.originBytes(), version.bytes.length)
    assert.ok(swarm.events.some((event) => event.event === 'took-over'))
  })

  test.it('finds its last chunks even if no announcement reached it', async (context) => {
    const version = await createVersion(createText('x', 24))
    const halls = Array.from({ length: 14 }, () => 'a')
    const swarm = createSwarm(context, halls, [version])
    swarm.faults.withoutAnnouncements.add('node-3')
    swarm.setWanted(version)
    assert.ok(await swarm.runUntil(() => isHeldByAll(swarm, version, ['node-3'])))
    const before = Date.now()
    assert.ok(await swarm.runUntil(() => isHeldByAll(swarm, version)))
    assert.ok(Date.now() - before < 5000, `${Date.now() - before} ms of the mock clock after all other nodes`)
  })

  test.it('stops the download of a replaced version and keeps the chunks shared with its successor', async (context) => {
    const shared = createText('s', 20)
    const first = await createVersion(shared + createText('x', 20))
    const second = await createVersion(shared + createText('y', 20))
    const swarm = createSwarm(context, HALLS, [first, second])
    swarm.setWanted(first)
    await swarm.runUntil(() => swarm.originBytes() > first.bytes.length / 3)
    swarm.setWanted(second)
    swarm.setWanted(first)
    swarm.setWanted(second)
    assert.ok(await swarm.runUntil(() => isHeldByAll(swarm, second)))
    assert.ok(swarm.originBytes() < first.bytes.length * 1.6, `${swarm.originBytes()} bytes for two versions of ${first.bytes.length}`)
    assert.ok(!isHeldByAll(swarm, first))
  })
})
