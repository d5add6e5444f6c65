/** Downloads one version from peers and, for the chunks that the policy assigns to this node, from the origin. */
import * as types from '@switchridge/types'
import * as bitmaps from '../_lib/bitmap.js'
import * as chooseRequest from '../chooseRequest/index.js'
import type * as createChunkStore from '../createChunkStore/index.js'
import type * as createLinkPacer from '../createLinkPacer/index.js'
import * as createPeerRegistry from '../createPeerRegistry/index.js'
import * as fetchChunk from '../fetchChunk/index.js'
import * as parseManifest from '../parseManifest/index.js'
import type * as transfer from '../types/index.js'

/** Requests to other processes, passed as functions so that tests can replace them. */
export interface DownloadRequests {
  readonly fetchChunk: (peer: transfer.Peer, digest: types.Digest, chunk: number, have: string, chunkBytes: number, timeoutMs: number, signal: AbortSignal) => Promise<fetchChunk.ChunkAnswer>
  readonly fetchOrigin: (source: string, from: number, length: number, timeoutMs: number, signal: AbortSignal) => Promise<fetchChunk.OriginAnswer>
  readonly announce: (peer: transfer.Peer, digest: types.Digest, have: string) => void
  /** Queries a provider for the state of a chunk. The provider gives the chunk up only if the requester would take it over. */
  readonly queryProvider: (peer: transfer.Peer, digest: types.Digest, chunk: number, wouldTakeOver: boolean) => Promise<transfer.ProviderAnswer>
}

/** Options of {@link createDownload}. */
export interface DownloadOptions {
  readonly holding: createChunkStore.Holding
  /** Path of the weights at the origin. */
  readonly source: string
  readonly requests: DownloadRequests
  readonly downlink: createLinkPacer.LinkPacer
  /** Maximum number of open requests to one peer. */
  readonly requestsPerPeer: number
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Random number from 0 to 1. */
  readonly random: () => number
  /** Called when a peer refused a request. */
  readonly onRefused: () => void
  /** Called when a chunk from a peer was verified and stored. */
  readonly onReceived: () => void
  /** Called when another request may be possible: one ended, or a new holder is known. */
  readonly onProgress: () => void
  readonly onEvent: (event: DownloadEvent) => void
}

/** An event to log and count. */
export interface DownloadEvent {
  readonly event: 'peer-failed' | 'chunk-corrupt' | 'origin-failed' | 'origin-corrupt' | 'took-over'
  readonly digest: types.Digest
  readonly chunk: number
  readonly from: string
  readonly reason: string
}

/** Counters of one download. */
export interface DownloadCounts {
  originBytes: number
  peerBytes: number
  otherHallBytes: number
  requests: number
  refused: number
  corrupt: number
  failed: number
  /** Chunks requested a second time because the first request was slow. */
  hedged: number
  announcements: number
}

/** The download of one version. */
export interface Download {
  readonly digest: types.Digest
  readonly holding: createChunkStore.Holding
  readonly counts: DownloadCounts
  readonly setPolicy: (policy: transfer.TransferPolicy, peers: readonly transfer.Peer[]) => void
  /** Number of requests whose bytes have not all passed the link yet. */
  readonly openRequests: () => number
  /** Starts one request if possible; returns whether it did. */
  readonly startRequest: () => boolean
  /** Hedges slow requests and queries the providers of overdue chunks; to be called a few times per second. */
  readonly checkOverdue: () => void
  /** Records the bitmap that a node sent, in base64. */
  readonly noteHave: (node: types.NodeId, have: string) => void
  /** Records that a node holds a chunk. */
  readonly noteHolder: (node: types.NodeId, chunk: number) => void
  /** Returns a few nodes known to hold a chunk. */
  readonly findHolders: (chunk: number) => readonly types.NodeId[]
  /** Answers the query of another node for the state of a chunk; `successor` is the node that would take it over, if any. */
  readonly answerProviderQuery: (chunk: number, successor: types.NodeId | null) => transfer.ProviderAnswer
  readonly stop: () => void
}

const FIRST_TIMEOUT_MS = 5000
const MINIMUM_TIMEOUT_MS = 3000
const MAXIMUM_TIMEOUT_MS = 10_000
const ORIGIN_TIMEOUT_MS = 30_000
/** A request that takes this many times the average is hedged: the chunk is requested from another peer too. */
const HEDGE_FACTOR = 3
const MINIMUM_HEDGE_MS = 1000
const TIMEOUT_FACTOR = 8
const AVERAGE_SAMPLE_WEIGHT = 0.2
const ORIGIN_SUSPEND_BASE_MS = 500
const ORIGIN_SUSPEND_MAXIMUM_MS = 30_000
const PROVIDER_QUERY_INTERVAL_MS = 1500
/** Milliseconds for which a chunk released to one node is not released to another. */
const RELEASE_RESERVATION_MS = 10_000
/** Maximum number of importers that a node without open requests queries per check. */
const IMPORTER_QUERIES_WHEN_IDLE = 4
const REFUSAL_BACKOFF_MS = 15
const MAXIMUM_ORIGIN_REQUESTS = 2
const OVERDUE_CHUNKS_PER_CHECK = 32

interface Release {
  readonly to: types.NodeId
  readonly at: number
}

/**
 * Creates the download of one version.
 *
 * @param options - Where chunks are stored and how they are fetched.
 * @returns The download; it fetches nothing until it has a policy.
 */
export function createDownload (options: DownloadOptions): Download {
  const { holding, requests, now } = options
  const { digest, manifest } = holding
  const chunkCount = manifest.chunks.length
  const counts: DownloadCounts = { originBytes: 0, peerBytes: 0, otherHallBytes: 0, requests: 0, refused: 0, corrupt: 0, failed: 0, hedged: 0, announcements: 0 }
  const peers = createPeerRegistry.createPeerRegistry(chunkCount, options.random)
  const tieBreakers = Float64Array.from({ length: chunkCount }, options.random)
  /** Chunks to request: neither held nor requested, or to be hedged. */
  const wanted = bitmaps.createBitmap(chunkCount)
  for (const chunk of holding.missing()) bitmaps.setBit(wanted, chunk)
  /** Chunks that this node imports into its data hall. */
  let imported = bitmaps.createBitmap(chunkCount)
  /** Bytes of chunks whose origin reads were cut short. */
  const partialChunks = new Map<number, Buffer>()
  const nextProviderQueryAt = new Map<number, number>()
  const requestStartedAt = new Map<number, number>()
  const hedged = new Set<number>()
  /** Chunks that this node released to the next one in order. */
  const released = new Map<number, Release>()
  const abort = new AbortController()
  let policy: transfer.TransferPolicy | null = null
  let originChunks: number[] = []
  let nextOriginChunk = 0
  let openOriginRequests = 0
  let openPeerRequests = 0
  let originFailures = 0
  let originSuspendedUntil = 0
  /** Moving averages of the time of a request to a peer, and of the time that a peer needs for one upload; 0 while unknown. */
  let averageRequestMs = 0
  let uploadMs = 0

  function setPolicy (next: transfer.TransferPolicy, members: readonly transfer.Peer[]): void {
    policy = next
    nextOriginChunk = 0
    originChunks = []
    peers.setPeers(members, next.requestScopeOf)
    imported = bitmaps.createBitmap(chunkCount)
    for (let chunk = 0; chunk < chunkCount; chunk += 1) if (next.isImporter(chunk)) bitmaps.setBit(imported, chunk)
  }

  const openRequests = (): number => openPeerRequests + openOriginRequests

  function startRequest (): boolean {
    if (policy === null || abort.signal.aborted) return false
    const originChunk = chooseOriginChunk(policy)
    if (originChunk !== null) {
      void readFromOrigin(originChunk)
      return true
    }
    const choice = chooseRequest.chooseRequest({
      wanted, imported, peers: peers.list(), holders: peers.holders, tieBreakers, rarestFirst: policy.rarestFirst, now: now(), requestsPerPeer: options.requestsPerPeer, uploadMs, random: options.random
    })
    if (choice === null) return false
    void requestFromPeer(choice.chunk, choice.peer)
    return true
  }

  function chooseOriginChunk (current: transfer.TransferPolicy): number | null {
    while (nextOriginChunk < chunkCount && current.originReadAt(nextOriginChunk) <= now()) {
      if (!holding.has(nextOriginChunk) && current.readsOrigin(nextOriginChunk)) originChunks.push(nextOriginChunk)
      nextOriginChunk += 1
    }
    if (openOriginRequests >= MAXIMUM_ORIGIN_REQUESTS || now() < originSuspendedUntil) return null
    originChunks = originChunks.filter((chunk) => !holding.has(chunk) && current.readsOrigin(chunk))
    return originChunks.find((chunk) => bitmaps.hasBit(wanted, chunk) && !isAvailable(chunk)) ?? null
  }

  function isAvailable (chunk: number): boolean {
    return peers.isAvailable(chunk, bitmaps.hasBit(imported, chunk), now())
  }

  async function requestFromPeer (chunk: number, peer: transfer.PeerState): Promise<void> {
    bitmaps.clearBit(wanted, chunk)
    peer.outstanding += 1
    openPeerRequests += 1
    counts.requests += 1
    const startedAt = now()
    requestStartedAt.set(chunk, startedAt)
    const answer = await requests.fetchChunk(peer, digest, chunk, bitmaps.encodeBitmap(holding.bitmap), parseManifest.computeChunkBytes(holding.manifest, chunk), computeTimeoutMs(), abort.signal)
    peer.outstanding -= 1
    await handlePeerAnswer(chunk, peer, answer, now() - startedAt)
    openPeerRequests -= 1
    if (requestStartedAt.get(chunk) === startedAt) requestStartedAt.delete(chunk)
    if (!holding.has(chunk)) bitmaps.setBit(wanted, chunk)
    options.onProgress()
  }

  async function handlePeerAnswer (chunk: number, peer: transfer.PeerState, answer: fetchChunk.ChunkAnswer, elapsedMs: number): Promise<void> {
    if (abort.signal.aborted) return
    peers.noteHave(peer.node, answer.report.have)
    peer.backlog = answer.report.backlog
    peer.backlogUpdatedAt = now()
    if (answer.outcome.ok) {
      averageRequestMs = updateAverage(averageRequestMs, elapsedMs)
      uploadMs = updateAverage(uploadMs, elapsedMs / (answer.report.backlog + 1))
      await storePeerChunk(chunk, answer.outcome.value, peer)
    } else if (answer.outcome.error instanceof fetchChunk.ChunkRefusedError) {
      counts.refused += 1
      peer.suspendedUntil = now() + REFUSAL_BACKOFF_MS
      for (const node of answer.report.holders) peers.noteHolder(node, chunk)
      options.onRefused()
    } else {
      counts.failed += 1
      peers.suspend(peer, now())
      options.onEvent({ event: 'peer-failed', digest, chunk, from: peer.node, reason: answer.outcome.error.message })
    }
  }

  async function storePeerChunk (chunk: number, bytes: Buffer, peer: transfer.PeerState): Promise<void> {
    counts.peerBytes += bytes.length
    if (peer.requestScope === 'imported') counts.otherHallBytes += bytes.length
    await options.downlink.waitToReceive(bytes.length)
    const stored = holding.put(chunk, bytes)
    if (stored.ok) {
      peer.failures = 0
      bitmaps.clearBit(wanted, chunk)
      options.onReceived()
      announce(chunk)
      return
    }
    counts.corrupt += 1
    peers.suspend(peer, now())
    options.onEvent({ event: 'chunk-corrupt', digest, chunk, from: peer.node, reason: stored.error.message })
  }

  /** Computes the timeout of a request to a peer: several times the average duration of such requests, within fixed bounds. */
  function computeTimeoutMs (): number {
    if (averageRequestMs === 0) return FIRST_TIMEOUT_MS
    return Math.min(MAXIMUM_TIMEOUT_MS, Math.max(MINIMUM_TIMEOUT_MS, TIMEOUT_FACTOR * averageRequestMs))
  }

  async function readFromOrigin (chunk: number): Promise<void> {
    bitmaps.clearBit(wanted, chunk)
    openOriginRequests += 1
    const earlierBytes = partialChunks.get(chunk) ?? Buffer.alloc(0)
    const length = parseManifest.computeChunkBytes(manifest, chunk)
    const from = chunk * manifest.chunkBytes + earlierBytes.length
    const answer = await requests.fetchOrigin(options.source, from, length - earlierBytes.length, ORIGIN_TIMEOUT_MS, abort.signal)
    counts.originBytes += answer.bytes.length
    await options.downlink.waitToReceive(answer.bytes.length)
    openOriginRequests -= 1
    if (abort.signal.aborted) return
    const bytes = Buffer.concat([earlierBytes, answer.bytes])
    if (answer.error === undefined) storeOriginChunk(chunk, bytes)
    else storePartialChunk(chunk, bytes, answer.error)
    if (!holding.has(chunk)) bitmaps.setBit(wanted, chunk)
    options.onProgress()
  }

  function storeOriginChunk (chunk: number, bytes: Buffer): void {
    partialChunks.delete(chunk)
    const stored = holding.put(chunk, bytes)
    if (stored.ok) {
      originFailures = 0
      announce(chunk)
      return
    }
    counts.corrupt += 1
    suspendOrigin()
    options.onEvent({ event: 'origin-corrupt', digest, chunk, from: options.source, reason: stored.error.message })
  }

  function storePartialChunk (chunk: number, bytes: Buffer, error: types.UnavailableError): void {
    partialChunks.set(chunk, bytes)
    suspendOrigin()
    options.onEvent({ event: 'origin-failed', digest, chunk, from: options.source, reason: error.message })
  }

  function suspendOrigin (): void {
    const ceiling = Math.min(ORIGIN_SUSPEND_MAXIMUM_MS, ORIGIN_SUSPEND_BASE_MS * 2 ** originFailures)
    originSuspendedUntil = now() + ceiling * (0.5 + options.random() / 2)
    originFailures += 1
  }

  function announce (chunk: number): void {
    const have = bitmaps.encodeBitmap(holding.bitmap)
    for (const node of policy?.findAnnounceTargets(chunk) ?? []) {
      const peer = peers.find(node)
      if (peer === undefined || bitmaps.hasBit(peer.has, chunk)) continue
      counts.announcements += 1
      requests.announce(peer, digest, have)
    }
  }

  /** Once all missing chunks are requested, marks those whose requests take far longer than average as wanted again, each once. */
  function hedgeSlowRequests (): void {
    if (bitmaps.countBits(wanted) > 0) return
    const limit = now() - Math.max(MINIMUM_HEDGE_MS, HEDGE_FACTOR * averageRequestMs)
    for (const [chunk, startedAt] of requestStartedAt) {
      if (startedAt > limit || hedged.has(chunk)) continue
      hedged.add(chunk)
      bitmaps.setBit(wanted, chunk)
      counts.hedged += 1
    }
  }

  function checkOverdue (): void {
    if (policy === null) return
    hedgeSlowRequests()
    let checked = 0
    for (let chunk = 0; chunk < chunkCount && checked < OVERDUE_CHUNKS_PER_CHECK && policy.originReadAt(chunk) <= now(); chunk += 1) {
      if (!bitmaps.hasBit(wanted, chunk) || (nextProviderQueryAt.get(chunk) ?? 0) > now() || isAvailable(chunk)) continue
      checked += 1
      const provider = policy.findOverdueProvider(chunk, now())
      if (provider !== null) void queryOverdueProvider(policy, chunk, provider)
      else if (openRequests() === 0 && checked <= IMPORTER_QUERIES_WHEN_IDLE) void queryImporter(policy, chunk)
    }
  }

  /** A node without open requests may have missed the announcements of its last chunks; the importers know whether they hold them. */
  async function queryImporter (current: transfer.TransferPolicy, chunk: number): Promise<void> {
    const importer = current.findImporter(chunk)
    const peer = importer === null ? undefined : peers.find(importer)
    if (peer === undefined) return
    nextProviderQueryAt.set(chunk, now() + PROVIDER_QUERY_INTERVAL_MS)
    const answer = await requests.queryProvider(peer, digest, chunk, false)
    if (answer !== 'has') return
    peers.noteHolder(peer.node, chunk)
    options.onProgress()
  }

  async function queryOverdueProvider (current: transfer.TransferPolicy, chunk: number, provider: types.NodeId): Promise<void> {
    nextProviderQueryAt.set(chunk, now() + PROVIDER_QUERY_INTERVAL_MS)
    const peer = peers.find(provider)
    const answer = peer === undefined ? 'unreachable' : await requests.queryProvider(peer, digest, chunk, true)
    if (answer === 'reading' || holding.has(chunk)) return
    if (answer === 'has' && peer !== undefined) {
      peers.noteHolder(provider, chunk)
    } else if (current.takeOver(chunk, provider)) {
      originChunks.push(chunk)
      released.delete(chunk)
      bitmaps.setBit(imported, chunk)
      options.onEvent({ event: 'took-over', digest, chunk, from: provider, reason: answer })
    }
    options.onProgress()
  }

  /** Only an origin reader whose origin fails releases a chunk; any other node still expects to get it. */
  function answerProviderQuery (chunk: number, successor: types.NodeId | null): transfer.ProviderAnswer {
    if (holding.has(chunk)) return 'has'
    if (successor === null) return 'reading'
    const earlierRelease = released.get(chunk)
    const isReservedForOther = earlierRelease !== undefined && earlierRelease.to !== successor && now() - earlierRelease.at < RELEASE_RESERVATION_MS
    if (isReservedForOther) return 'reading'
    const isOriginDown = originFailures > 0 && now() < originSuspendedUntil
    const mayRelease = earlierRelease !== undefined || (policy?.readsOrigin(chunk) === true && isOriginDown)
    if (!mayRelease) return 'reading'
    policy?.release(chunk)
    released.set(chunk, { to: successor, at: now() })
    return 'released'
  }

  return { digest, holding, counts, openRequests, setPolicy, startRequest, checkOverdue, noteHave: peers.noteHave, noteHolder: peers.noteHolder, findHolders: peers.findHolders, answerProviderQuery, stop: () => { abort.abort() } }
}

function updateAverage (previous: number, sample: number): number {
  return previous === 0 ? sample : previous + AVERAGE_SAMPLE_WEIGHT * (sample - previous)
}
