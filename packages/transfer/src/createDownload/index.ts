/** Fetches one version: asks peers and, where it is this node's part, the origin. */
import * as types from '@switchridge/types'
import * as bitmaps from '../_lib/bitmap.js'
import * as chooseRequest from '../chooseRequest/index.js'
import type * as createChunkStore from '../createChunkStore/index.js'
import type * as createLinkPacer from '../createLinkPacer/index.js'
import * as createPeerBook from '../createPeerBook/index.js'
import * as fetchChunk from '../fetchChunk/index.js'
import * as parseManifest from '../parseManifest/index.js'
import type * as transfer from '../types/index.js'

/** Requests to other processes, as functions, so that tests can stand in for them. */
export interface DownloadRequests {
  readonly fetchChunk: (peer: transfer.Peer, digest: types.Digest, chunk: number, have: string, timeoutMs: number, signal: AbortSignal) => Promise<fetchChunk.ChunkAnswer>
  readonly fetchOrigin: (source: string, from: number, length: number, timeoutMs: number, signal: AbortSignal) => Promise<fetchChunk.OriginAnswer>
  readonly announce: (peer: transfer.Peer, digest: types.Digest, have: string) => void
  /** Asks what became of a chunk; only who would take it over causes its release. */
  readonly askProvider: (peer: transfer.Peer, digest: types.Digest, chunk: number, wouldTakeOver: boolean) => Promise<transfer.ProviderAnswer>
}

/** Options of {@link createDownload}. */
export interface DownloadOptions {
  readonly holding: createChunkStore.Holding
  /** Path of the weights at the origin. */
  readonly source: string
  readonly requests: DownloadRequests
  readonly downlink: createLinkPacer.LinkPacer
  readonly perPeer: number
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Random number from 0 to 1. */
  readonly random: () => number
  /** Called when a peer had no slot. */
  readonly onRefused: () => void
  /** Called when a chunk arrived from a peer. */
  readonly onReceived: () => void
  /** Called when a slot came free or something new is known. */
  readonly onProgress: () => void
  readonly onEvent: (event: DownloadEvent) => void
}

/** Something worth a line in the log or a count. */
export interface DownloadEvent {
  readonly event: 'peer-failed' | 'chunk-corrupt' | 'origin-failed' | 'origin-corrupt' | 'took-over'
  readonly digest: types.Digest
  readonly chunk: number
  readonly from: string
  readonly reason: string
}

/** Counts of one download. */
export interface DownloadCounts {
  originBytes: number
  peerBytes: number
  otherHallBytes: number
  requests: number
  refused: number
  corrupt: number
  failed: number
  /** Requests made a second time because the first one was slow. */
  hedged: number
  announcements: number
}

/** One version on its way. */
export interface Download {
  readonly digest: types.Digest
  readonly holding: createChunkStore.Holding
  readonly counts: DownloadCounts
  readonly setPolicy: (policy: transfer.TransferPolicy, peers: readonly transfer.Peer[]) => void
  /** Requests whose bytes have not passed the link yet. */
  readonly openRequests: () => number
  /** Starts one request if one makes sense now. */
  readonly startRequest: () => boolean
  /** Looks for chunks whose provider is late; call it a few times a second. */
  readonly checkOverdue: () => void
  readonly noteHave: (node: types.NodeId, have: string) => void
  /** Notes that a node holds a chunk. */
  readonly noteHolder: (node: types.NodeId, chunk: number) => void
  /** A few nodes known to hold a chunk. */
  readonly findHolders: (chunk: number) => readonly types.NodeId[]
  /** Answers another node that asks what became of a chunk. */
  readonly answerProvider: (chunk: number, successor: types.NodeId | null) => transfer.ProviderAnswer
  readonly stop: () => void
}

const FIRST_TIMEOUT_MS = 5000
const MINIMUM_TIMEOUT_MS = 3000
const MAXIMUM_TIMEOUT_MS = 10_000
const ORIGIN_TIMEOUT_MS = 30_000
/** A request that takes this many times as long as others is made a second time elsewhere. */
const HEDGE_FACTOR = 3
const HEDGE_MINIMUM_MS = 1000
const TIMEOUT_FACTOR = 8
const AVERAGE_WEIGHT = 0.2
const ORIGIN_SUSPEND_BASE_MS = 500
const ORIGIN_SUSPEND_MAXIMUM_MS = 30_000
const ASK_AGAIN_MS = 1500
/** A chunk that was given up to one node is not given to another one before this time. */
const RELEASE_HOLD_MS = 10_000
/** Importers asked at a time by a node that has nothing else to do. */
const ASKED_WHEN_IDLE = 4
const REFUSED_PAUSE_MS = 15
const ORIGIN_OPEN_REQUESTS = 2
const OVERDUE_BATCH = 32

interface Release {
  readonly to: types.NodeId
  readonly at: number
}

/**
 * Creates the download of one version.
 *
 * @param options - Where chunks are kept and how they are fetched.
 * @returns The download; nothing is fetched before it has a policy.
 */
export function createDownload (options: DownloadOptions): Download {
  const { holding, requests, now } = options
  const { digest, manifest } = holding
  const size = manifest.chunks.length
  const counts: DownloadCounts = { originBytes: 0, peerBytes: 0, otherHallBytes: 0, requests: 0, refused: 0, corrupt: 0, failed: 0, hedged: 0, announcements: 0 }
  const book = createPeerBook.createPeerBook(size, options.random)
  const ties = Float64Array.from({ length: size }, options.random)
  const wanted = bitmaps.createBitmap(size)
  for (const chunk of holding.missing()) bitmaps.setBit(wanted, chunk)
  let imported = bitmaps.createBitmap(size)
  const partial = new Map<number, Buffer>()
  const asked = new Map<number, number>()
  const askedPeersAt = new Map<number, number>()
  const hedged = new Set<number>()
  /** Chunks that this node gave up to the next one in order. */
  const released = new Map<number, Release>()
  const abort = new AbortController()
  let policy: transfer.TransferPolicy | null = null
  let originChunks: number[] = []
  let nextSlot = 0
  let originOpen = 0
  let peersOpen = 0
  let originFailures = 0
  let originSuspendedUntil = 0
  let averageMs = 0
  let uploadMs = 0

  function setPolicy (next: transfer.TransferPolicy, members: readonly transfer.Peer[]): void {
    policy = next
    nextSlot = 0
    originChunks = []
    book.setPeers(members, next.reach)
    imported = bitmaps.createBitmap(size)
    for (let chunk = 0; chunk < size; chunk += 1) if (next.isImporter(chunk)) bitmaps.setBit(imported, chunk)
  }

  const openRequests = (): number => peersOpen + originOpen

  function startRequest (): boolean {
    if (policy === null || abort.signal.aborted) return false
    const originChunk = chooseOriginChunk(policy)
    if (originChunk !== null) {
      void readOrigin(originChunk)
      return true
    }
    const choice = chooseRequest.chooseRequest({
      wanted, imported, peers: book.list(), holders: book.holders, ties, prefersRare: policy.prefersRare, now: now(), perPeer: options.perPeer, uploadMs, random: options.random
    })
    if (choice === null) return false
    void askPeer(choice.chunk, choice.peer)
    return true
  }

  function chooseOriginChunk (current: transfer.TransferPolicy): number | null {
    while (nextSlot < size && current.slotAt(nextSlot) <= now()) {
      if (!holding.has(nextSlot) && current.readsOrigin(nextSlot)) originChunks.push(nextSlot)
      nextSlot += 1
    }
    if (originOpen >= ORIGIN_OPEN_REQUESTS || now() < originSuspendedUntil) return null
    originChunks = originChunks.filter((chunk) => !holding.has(chunk) && current.readsOrigin(chunk))
    return originChunks.find((chunk) => bitmaps.hasBit(wanted, chunk) && !isAvailable(chunk)) ?? null
  }

  function isAvailable (chunk: number): boolean {
    return book.isAvailable(chunk, bitmaps.hasBit(imported, chunk), now())
  }

  async function askPeer (chunk: number, peer: transfer.PeerState): Promise<void> {
    bitmaps.clearBit(wanted, chunk)
    peer.outstanding += 1
    peersOpen += 1
    counts.requests += 1
    const startedAt = now()
    askedPeersAt.set(chunk, startedAt)
    const answer = await requests.fetchChunk(peer, digest, chunk, bitmaps.encodeBitmap(holding.bitmap), computeTimeout(), abort.signal)
    peer.outstanding -= 1
    await settle(chunk, peer, answer, now() - startedAt)
    peersOpen -= 1
    if (askedPeersAt.get(chunk) === startedAt) askedPeersAt.delete(chunk)
    if (!holding.has(chunk)) bitmaps.setBit(wanted, chunk)
    options.onProgress()
  }

  async function settle (chunk: number, peer: transfer.PeerState, answer: fetchChunk.ChunkAnswer, elapsedMs: number): Promise<void> {
    if (abort.signal.aborted) return
    book.noteHave(peer.node, answer.statement.have)
    peer.backlog = answer.statement.backlog
    peer.backlogAt = now()
    if (answer.outcome.ok) {
      averageMs = average(averageMs, elapsedMs)
      uploadMs = average(uploadMs, elapsedMs / (answer.statement.backlog + 1))
      await receive(chunk, answer.outcome.value, peer)
    } else if (answer.outcome.error instanceof fetchChunk.ChunkRefusedError) {
      counts.refused += 1
      peer.suspendedUntil = now() + REFUSED_PAUSE_MS
      for (const node of answer.statement.holders) book.noteHolder(node, chunk)
      options.onRefused()
    } else {
      counts.failed += 1
      book.suspend(peer, now())
      options.onEvent({ event: 'peer-failed', digest, chunk, from: peer.node, reason: answer.outcome.error.message })
    }
  }

  async function receive (chunk: number, bytes: Buffer, peer: transfer.PeerState): Promise<void> {
    counts.peerBytes += bytes.length
    if (peer.reach === 'imported') counts.otherHallBytes += bytes.length
    await options.downlink.receive(bytes.length)
    const kept = holding.put(chunk, bytes)
    if (kept.ok) {
      peer.failures = 0
      bitmaps.clearBit(wanted, chunk)
      options.onReceived()
      announce(chunk)
      return
    }
    counts.corrupt += 1
    book.suspend(peer, now())
    options.onEvent({ event: 'chunk-corrupt', digest, chunk, from: peer.node, reason: kept.error.message })
  }

  /** A peer is slow when it takes several times as long as peers do on average. */
  function computeTimeout (): number {
    if (averageMs === 0) return FIRST_TIMEOUT_MS
    return Math.min(MAXIMUM_TIMEOUT_MS, Math.max(MINIMUM_TIMEOUT_MS, TIMEOUT_FACTOR * averageMs))
  }

  async function readOrigin (chunk: number): Promise<void> {
    bitmaps.clearBit(wanted, chunk)
    originOpen += 1
    const before = partial.get(chunk) ?? Buffer.alloc(0)
    const length = parseManifest.computeChunkBytes(manifest, chunk)
    const from = chunk * manifest.chunkBytes + before.length
    const answer = await requests.fetchOrigin(options.source, from, length - before.length, ORIGIN_TIMEOUT_MS, abort.signal)
    counts.originBytes += answer.bytes.length
    await options.downlink.receive(answer.bytes.length)
    originOpen -= 1
    if (abort.signal.aborted) return
    const bytes = Buffer.concat([before, answer.bytes])
    if (answer.error === undefined) keepFromOrigin(chunk, bytes)
    else keepPartial(chunk, bytes, answer.error)
    if (!holding.has(chunk)) bitmaps.setBit(wanted, chunk)
    options.onProgress()
  }

  function keepFromOrigin (chunk: number, bytes: Buffer): void {
    partial.delete(chunk)
    const kept = holding.put(chunk, bytes)
    if (kept.ok) {
      originFailures = 0
      announce(chunk)
      return
    }
    counts.corrupt += 1
    suspendOrigin()
    options.onEvent({ event: 'origin-corrupt', digest, chunk, from: options.source, reason: kept.error.message })
  }

  function keepPartial (chunk: number, bytes: Buffer, error: types.UnavailableError): void {
    partial.set(chunk, bytes)
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
    for (const node of policy?.announceTo(chunk) ?? []) {
      const peer = book.find(node)
      if (peer === undefined || bitmaps.hasBit(peer.has, chunk)) continue
      counts.announcements += 1
      requests.announce(peer, digest, have)
    }
  }

  /** At the end, wants the last chunks once more from elsewhere if their requests take far longer than others did. */
  function hedgeSlowRequests (): void {
    if (bitmaps.countBits(wanted) > 0) return
    const limit = now() - Math.max(HEDGE_MINIMUM_MS, HEDGE_FACTOR * averageMs)
    for (const [chunk, startedAt] of askedPeersAt) {
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
    for (let chunk = 0; chunk < size && checked < OVERDUE_BATCH && policy.slotAt(chunk) <= now(); chunk += 1) {
      if (!bitmaps.hasBit(wanted, chunk) || (asked.get(chunk) ?? 0) > now() || isAvailable(chunk)) continue
      checked += 1
      const provider = policy.overdueFrom(chunk, now())
      if (provider !== null) void askAbout(policy, chunk, provider)
      else if (openRequests() === 0 && checked <= ASKED_WHEN_IDLE) void askImporter(policy, chunk)
    }
  }

  /** A node that has nothing to ask for may have missed who holds its last chunks; their importers know. */
  async function askImporter (current: transfer.TransferPolicy, chunk: number): Promise<void> {
    const importer = current.importerOf(chunk)
    const peer = importer === null ? undefined : book.find(importer)
    if (peer === undefined) return
    asked.set(chunk, now() + ASK_AGAIN_MS)
    const answer = await requests.askProvider(peer, digest, chunk, false)
    if (answer !== 'has') return
    book.noteHolder(peer.node, chunk)
    options.onProgress()
  }

  async function askAbout (current: transfer.TransferPolicy, chunk: number, provider: types.NodeId): Promise<void> {
    asked.set(chunk, now() + ASK_AGAIN_MS)
    const peer = book.find(provider)
    const answer = peer === undefined ? 'unreachable' : await requests.askProvider(peer, digest, chunk, true)
    if (answer === 'reading' || holding.has(chunk)) return
    if (answer === 'has' && peer !== undefined) {
      book.noteHolder(provider, chunk)
    } else if (current.takeOver(chunk, provider)) {
      originChunks.push(chunk)
      released.delete(chunk)
      bitmaps.setBit(imported, chunk)
      options.onEvent({ event: 'took-over', digest, chunk, from: provider, reason: answer })
    }
    options.onProgress()
  }

  /** Only a reader whose origin fails gives a chunk up; any other node is still about to get it. */
  function answerProvider (chunk: number, successor: types.NodeId | null): transfer.ProviderAnswer {
    if (holding.has(chunk)) return 'has'
    if (successor === null) return 'reading'
    const earlier = released.get(chunk)
    const isHeld = earlier !== undefined && earlier.to !== successor && now() - earlier.at < RELEASE_HOLD_MS
    if (isHeld) return 'reading'
    const isOriginDown = originFailures > 0 && now() < originSuspendedUntil
    const mayRelease = earlier !== undefined || (policy?.readsOrigin(chunk) === true && isOriginDown)
    if (!mayRelease) return 'reading'
    policy?.release(chunk)
    released.set(chunk, { to: successor, at: now() })
    return 'released'
  }

  return { digest, holding, counts, openRequests, setPolicy, startRequest, checkOverdue, noteHave: book.noteHave, noteHolder: book.noteHolder, findHolders: book.findHolders, answerProvider, stop: () => { abort.abort() } }
}

function average (before: number, sample: number): number {
  return before === 0 ? sample : before + AVERAGE_WEIGHT * (sample - before)
}
