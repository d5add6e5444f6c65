/** Manages all downloads of a node: higher priorities first, with one limit on requests in flight for all of them. */
import * as types from '@switchridge/types'
import type * as createChunkStore from '../createChunkStore/index.js'
import * as createDownload from '../createDownload/index.js'
import type * as createLinkPacer from '../createLinkPacer/index.js'
import * as parseManifest from '../parseManifest/index.js'
import type * as transfer from '../types/index.js'

/** A version that the node is to hold. */
export interface WantedVersion {
  /** Digest of the manifest. */
  readonly digest: types.Digest
  /** Path of the weights at the origin. */
  readonly source: string
  /** Nodes to which requests may be sent. */
  readonly peers: readonly transfer.Peer[]
  /** Changes whenever the peers or their ranks change; a new policy is then created. */
  readonly signature: string
  readonly createPolicy: (manifest: transfer.Manifest, startedAt: number) => transfer.TransferPolicy
}

/** Options of the transfer manager. */
export interface TransferOptions {
  readonly store: createChunkStore.ChunkStore
  readonly requests: createDownload.DownloadRequests & {
    /** Fetches the manifest from a peer or the origin; the bytes are not verified. */
    readonly fetchManifest: (wanted: WantedVersion) => Promise<types.Outcome<Buffer, types.UnavailableError>>
  }
  readonly downlink: createLinkPacer.LinkPacer
  /** Maximum number of open requests of all downloads. */
  readonly requestsInFlight: number
  /** Maximum number of open requests of a download to one peer. */
  readonly requestsPerPeer: number
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Random number from 0 to 1. */
  readonly random: () => number
  /** Called once for each wanted version when the node holds all of its chunks. */
  readonly onComplete: (digest: types.Digest) => void
  readonly onEvent: (event: createDownload.DownloadEvent | ManifestEvent) => void
}

/** A download could not start: its manifest could not be obtained, or the version does not fit in the store. */
export interface ManifestEvent {
  readonly event: 'manifest-failed' | 'store-full'
  readonly digest: types.Digest
  readonly reason: string
}

/** Progress of one version on this node. */
export interface TransferProgress {
  readonly digest: types.Digest
  readonly chunks: number
  /** Number of chunks that the node holds. */
  readonly held: number
  readonly counts: createDownload.DownloadCounts | null
}

/** Manages the transfers of a node. */
export interface TransferManager {
  /** Replaces the wanted versions, highest priority first; downloads of versions no longer wanted stop at once. */
  readonly setWanted: (wanted: readonly WantedVersion[]) => void
  /** Records the bitmap that a node sent, in base64. */
  readonly noteHave: (digest: types.Digest, node: types.NodeId, have: string) => void
  /** Records that a chunk was sent to a node. */
  readonly noteSent: (digest: types.Digest, node: types.NodeId, chunk: number) => void
  /** Returns a few nodes known to hold a chunk. */
  readonly findHolders: (digest: types.Digest, chunk: number) => readonly types.NodeId[]
  /** Answers the query of another node for the state of a chunk; `successor` is the node that would take it over, if any. */
  readonly answerProviderQuery: (digest: types.Digest, chunk: number, successor: types.NodeId | null) => transfer.ProviderAnswer
  readonly progress: () => readonly TransferProgress[]
  /** Number of open requests of all downloads. */
  readonly openRequests: () => number
  readonly stop: () => void
}

interface ActiveTransfer {
  wanted: WantedVersion
  readonly startedAt: number
  download: createDownload.Download | null
  isComplete: boolean
  signature: string
}

const TIMER_INTERVAL_MS = 50
/** The window of requests in flight grows with each chunk received and shrinks with each refusal, so that a few holders are not overloaded. */
const MINIMUM_WINDOW = 4
const WINDOW_INCREASE = 0.5
const WINDOW_DECREASE = 0.9
const TICKS_PER_OVERDUE_CHECK = 5
/** Time after which a download that could not start is tried again. */
const MANIFEST_RETRY_MS = 500

/**
 * Creates the transfer manager of a node.
 *
 * @param options - Store, requests and limits.
 * @returns The manager; it fetches nothing until a version is wanted.
 */
export function createTransferManager (options: TransferOptions): TransferManager {
  const active = new Map<types.Digest, ActiveTransfer>()
  let requestWindow = MINIMUM_WINDOW
  let ticks = 0
  let timer: NodeJS.Timeout | null = null

  function setWanted (wanted: readonly WantedVersion[]): void {
    const digests = new Set(wanted.map((each) => each.digest))
    for (const [digest, entry] of active) {
      if (digests.has(digest)) continue
      entry.download?.stop()
      active.delete(digest)
    }
    const known = new Map(active)
    active.clear()
    for (const each of wanted) active.set(each.digest, known.get(each.digest) ?? createEntry(each))
    for (const each of wanted) update(each, known.has(each.digest))
    updateTimer()
    startRequests()
  }

  function createEntry (wanted: WantedVersion): ActiveTransfer {
    return { wanted, startedAt: options.now(), download: null, isComplete: false, signature: '' }
  }

  function update (wanted: WantedVersion, isKnown: boolean): void {
    const entry = active.get(wanted.digest)
    if (entry === undefined) return
    entry.wanted = wanted
    if (isKnown) applyPolicy(entry)
    else void startDownload(entry)
  }

  async function startDownload (entry: ActiveTransfer): Promise<void> {
    const { digest } = entry.wanted
    const manifest = await obtainManifest(entry)
    if (manifest === null || active.get(digest) !== entry) return
    const opened = options.store.open(digest, manifest)
    if (!opened.ok) {
      options.onEvent({ event: 'store-full', digest, reason: opened.error.message })
      setTimeout(() => { if (active.get(digest) === entry) void startDownload(entry) }, MANIFEST_RETRY_MS)
      return
    }
    entry.download = createDownload.createDownload({
      holding: opened.value,
      source: entry.wanted.source,
      requests: options.requests,
      downlink: options.downlink,
      requestsPerPeer: options.requestsPerPeer,
      now: options.now,
      random: options.random,
      onRefused: () => { requestWindow = Math.max(MINIMUM_WINDOW, requestWindow * WINDOW_DECREASE) },
      onReceived: () => { requestWindow = Math.min(options.requestsInFlight, requestWindow + WINDOW_INCREASE) },
      onProgress: () => { startRequests() },
      onEvent: options.onEvent
    })
    applyPolicy(entry)
    startRequests()
  }

  async function obtainManifest (entry: ActiveTransfer): Promise<transfer.Manifest | null> {
    const { digest } = entry.wanted
    while (active.get(digest) === entry) {
      const known = options.store.find(digest)
      if (known !== undefined) return known.manifest
      const fetched = await options.requests.fetchManifest(entry.wanted)
      const parsed = fetched.ok ? parseManifest.parseManifest(fetched.value, digest) : fetched
      if (parsed.ok) return parsed.value
      options.onEvent({ event: 'manifest-failed', digest, reason: parsed.error.message })
      await types.delay(MANIFEST_RETRY_MS)
    }
    return null
  }

  function applyPolicy (entry: ActiveTransfer): void {
    if (entry.download === null || entry.signature === entry.wanted.signature) return
    entry.signature = entry.wanted.signature
    entry.download.setPolicy(entry.wanted.createPolicy(entry.download.holding.manifest, entry.startedAt), entry.wanted.peers)
  }

  function countOpenRequests (): number {
    return [...active.values()].reduce((sum, entry) => sum + (entry.download?.openRequests() ?? 0), 0)
  }

  function startRequests (): void {
    for (const entry of active.values()) {
      if (entry.download === null || entry.isComplete) continue
      while (countOpenRequests() < requestWindow && entry.download.startRequest());
      if (entry.download.holding.isComplete()) complete(entry)
    }
  }

  function complete (entry: ActiveTransfer): void {
    entry.isComplete = true
    updateTimer()
    options.onComplete(entry.wanted.digest)
  }

  function updateTimer (): void {
    const isActive = [...active.values()].some((entry) => !entry.isComplete)
    if (isActive && timer === null) timer = setInterval(tick, TIMER_INTERVAL_MS)
    if (!isActive && timer !== null) {
      clearInterval(timer)
      timer = null
    }
  }

  function tick (): void {
    ticks += 1
    if (ticks % TICKS_PER_OVERDUE_CHECK === 0) {
      for (const entry of active.values()) if (!entry.isComplete) entry.download?.checkOverdue()
    }
    startRequests()
  }

  function answerProviderQuery (digest: types.Digest, chunk: number, successor: types.NodeId | null): transfer.ProviderAnswer {
    const held = options.store.find(digest)?.has(chunk) === true
    return held ? 'has' : active.get(digest)?.download?.answerProviderQuery(chunk, successor) ?? 'released'
  }

  function progress (): TransferProgress[] {
    return options.store.digests().map((digest) => {
      const holding = options.store.find(digest)
      return { digest, chunks: holding?.manifest.chunks.length ?? 0, held: holding?.count() ?? 0, counts: active.get(digest)?.download?.counts ?? null }
    })
  }

  return {
    setWanted,
    openRequests: countOpenRequests,
    answerProviderQuery,
    progress,
    noteHave: (digest, node, have) => {
      const entry = active.get(digest)
      if (entry?.download == null) return
      entry.download.noteHave(node, have)
      if (!entry.isComplete) startRequests()
    },
    noteSent: (digest, node, chunk) => { active.get(digest)?.download?.noteHolder(node, chunk) },
    findHolders: (digest, chunk) => active.get(digest)?.download?.findHolders(chunk) ?? [],
    stop: () => {
      for (const entry of active.values()) entry.download?.stop()
      active.clear()
      updateTimer()
    }
  }
}
