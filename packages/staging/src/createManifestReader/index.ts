/** Obtains manifests: one agent of each zone reads from the origin, twice to detect corruption, and all others ask that agent. */
import * as membership from '@switchridge/membership'
import * as types from '@switchridge/types'
import type * as createPieceStore from '../createPieceStore/index.js'
import * as staging from '../types/index.js'

/** Options of {@link createManifestReader}. */
export interface ManifestReaderOptions {
  readonly self: staging.StagingPeer
  readonly agents: () => readonly staging.StagingPeer[]
  readonly origin: staging.WeightOrigin
  readonly store: createPieceStore.PieceStore
  /** Asks a peer for a manifest; the peer may hold the request until it has it. */
  readonly fetchManifest: (peer: staging.StagingPeer, id: staging.VersionId) => Promise<types.Outcome<readonly types.Digest[] | null, types.UnavailableError>>
  readonly onEvent: (event: string, fields: Readonly<Record<string, string | number | boolean>>) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Returns a random number from 0 to 1. */
  readonly random: () => number
}

/** Obtains manifests and provides them to peers. */
export interface ManifestReader {
  /** Retries until it has the manifest; from `lateFrom` on, a monotonic time in milliseconds, more agents read from the origin themselves. Null when the manifest is no longer wanted. */
  readonly obtain: (id: staging.VersionId, lateFrom: number, isWanted: () => boolean) => Promise<staging.StageManifest | null>
  /** Resolves with the digests for a peer, or with null when they are not available in time. */
  readonly provide: (id: staging.VersionId, waitMs: number) => Promise<readonly types.Digest[] | null>
}

/** Milliseconds for which an agent holds a peer's request for a manifest that it does not have yet. */
export const MANIFEST_WAIT_MS = 1200
/** An agent that knows no other agent of its zone may have just started, and discovers the running ones within this time. */
const PEER_DISCOVERY_MS = 75
/**
 * Limits of the exponential backoff between an agent's reads from the origin: the origin refuses connections beyond its limit, and many agents that each
 * retry after the minimum would request far more than that.
 */
const RETRY_MINIMUM_MS = 150
const RETRY_MAXIMUM_MS = 3000
/**
 * The primary reader of a zone retries sooner: until it has the manifest no agent of the zone can fetch a piece.
 */
const PRIMARY_RETRY_MAXIMUM_MS = 300
/** Peers are asked again after this time; they hold a request until they have the manifest, so that all requesters receive it at once. */
const ASK_INTERVAL_MS = 300
/** A pause is randomized between this fraction and all of it, so that agents refused together don't retry together. */
const JITTER_MINIMUM_FRACTION = 0.5
/** The next agent in a zone's ranking also reads from the origin when there has been no manifest for this time, or for half of it when little time is left. */
const FALLBACK_READER_DELAY_MS = 1500
/** From this attempt on, an agent also asks other peers than the first readers of its zone, since those may have been refused by the origin. */
const WIDE_SEARCH_TRY = 2
const POLL_MS = 50
/** Number of attempts that the primary reader makes for the request of a peer. */
const ATTEMPTS_ON_BEHALF = 4

/** State of the attempts to obtain one manifest. */
interface ManifestAttempts {
  count: number
  readonly firstAt: number
  isAsking: boolean
  /** Failed reads from the origin, and when the next one may follow. */
  failures: number
  nextReadAt: number
}

/**
 * Creates a manifest reader.
 *
 * @param options - Peers, origin and the store for manifests.
 * @returns The reader.
 */
export function createManifestReader (options: ManifestReaderOptions): ManifestReader {
  const pending = new Map<string, Promise<staging.StageManifest | null>>()
  const attemptsByVersion = new Map<string, ManifestAttempts>()

  function rankReaders (id: staging.VersionId): staging.StagingPeer[] {
    const inZone = options.agents().filter((agent) => agent.zone === options.self.zone)
    return membership.rankByRendezvous(`${staging.formatVersion(id)}/manifest`, inZone, (agent) => agent.node)
  }

  async function read (id: staging.VersionId, isLate: boolean): Promise<staging.StageManifest | null> {
    if (rankReaders(id).length <= 1) await types.delay(PEER_DISCOVERY_MS)
    const ranked = rankReaders(id)
    const index = ranked.findIndex((agent) => agent.node === options.self.node)
    const rank = index < 0 ? ranked.length : index
    const attempts = recordAttempt(id)
    const asking = ask(id, listPeersToAsk(ranked, rank, attempts.count), attempts)
    const found = rank === 0 ? null : await asking
    const readsAfterMs = rank * FALLBACK_READER_DELAY_MS * (isLate ? 0.5 : 1)
    if (found !== null || options.now() - attempts.firstAt < readsAfterMs || options.now() < attempts.nextReadAt) return found
    const manifest = await readTwice(id)
    if (manifest === null) backOff(attempts, rank === 0 ? PRIMARY_RETRY_MAXIMUM_MS : RETRY_MAXIMUM_MS)
    return manifest
  }

  /** Asks one peer after the other and stores the manifest; the primary reader does not wait for the peers. */
  async function ask (id: staging.VersionId, peers: readonly staging.StagingPeer[], attempts: ManifestAttempts): Promise<staging.StageManifest | null> {
    if (attempts.isAsking) return null
    attempts.isAsking = true
    const digests = await askInTurn(id, peers)
    attempts.isAsking = false
    if (digests === null) return null
    const manifest = { id, digests }
    options.store.open(manifest)
    return manifest
  }

  async function askInTurn (id: staging.VersionId, peers: readonly staging.StagingPeer[]): Promise<readonly types.Digest[] | null> {
    for (const peer of peers) {
      const fetched = await options.fetchManifest(peer, id)
      if (fetched.ok && fetched.value !== null) return fetched.value
    }
    return null
  }

  function backOff (attempts: ManifestAttempts, maximumMs: number): void {
    const pauseMs = Math.min(maximumMs, RETRY_MINIMUM_MS * 2 ** attempts.failures)
    attempts.failures += 1
    attempts.nextReadAt = options.now() + types.jitter(pauseMs, JITTER_MINIMUM_FRACTION, options.random())
  }

  function recordAttempt (id: staging.VersionId): ManifestAttempts {
    const key = staging.formatVersion(id)
    const attempts = attemptsByVersion.get(key) ?? { count: 0, firstAt: options.now(), isAsking: false, failures: 0, nextReadAt: -Infinity }
    attempts.count += 1
    attemptsByVersion.set(key, attempts)
    return attempts
  }

  /** Lists the peers to ask: first the two highest-ranked readers, which the primary reader leaves out; from a later attempt on also one other agent at a time, those of other zones first. */
  function listPeersToAsk (ranked: readonly staging.StagingPeer[], rank: number, count: number): staging.StagingPeer[] {
    const first = rank === 0 ? [] : ranked.slice(0, 2).filter((agent) => agent.node !== options.self.node)
    if (count < WIDE_SEARCH_TRY) return first
    const others = options.agents().filter((agent) => agent.node !== options.self.node)
    const byDistance = [...others.filter((agent) => agent.zone !== options.self.zone), ...others.filter((agent) => agent.zone === options.self.zone)]
    const next = byDistance[(count - WIDE_SEARCH_TRY) % byDistance.length]
    return next === undefined ? first : [...first, next]
  }

  /** Reads the manifest twice, since it may arrive corrupted; two equal readings are accepted. */
  async function readTwice (id: staging.VersionId): Promise<staging.StageManifest | null> {
    const first = await options.origin.readManifest(id)
    const second = first.ok ? await options.origin.readManifest(id) : first
    if (first.ok && second.ok && first.value.join() === second.value.join()) return { id, digests: first.value }
    const reason = second.ok ? 'two readings differ' : second.error.message
    options.onEvent('manifest-failed', { version: id.version, reason })
    return null
  }

  /** Callers that request the same manifest share one attempt. */
  async function attempt (id: staging.VersionId, isLate: boolean): Promise<staging.StageManifest | null> {
    const known = options.store.find(id)
    if (known !== null) return known.manifest
    const key = staging.formatVersion(id)
    const shared = pending.get(key) ?? read(id, isLate)
    pending.set(key, shared)
    const manifest = await shared
    pending.delete(key)
    if (manifest === null) return null
    attemptsByVersion.delete(key)
    options.store.open(manifest)
    return manifest
  }

  async function obtain (id: staging.VersionId, lateFrom: number, isWanted: () => boolean): Promise<staging.StageManifest | null> {
    while (isWanted()) {
      const manifest = await attempt(id, options.now() >= lateFrom)
      if (manifest !== null) return manifest
      await types.delay(types.jitter(ASK_INTERVAL_MS, JITTER_MINIMUM_FRACTION, options.random()))
    }
    return null
  }

  /** Only the primary reader reads on behalf of others, so that no two agents wait for each other. */
  async function provide (id: staging.VersionId, waitMs: number): Promise<readonly types.Digest[] | null> {
    if (rankReaders(id)[0]?.node === options.self.node) {
      let attempts = 0
      const manifest = await obtain(id, Infinity, () => { attempts += 1; return attempts <= ATTEMPTS_ON_BEHALF })
      return manifest?.digests ?? null
    }
    const deadline = options.now() + waitMs
    while (options.store.find(id) === null && options.now() < deadline) await types.delay(POLL_MS)
    return options.store.find(id)?.manifest.digests ?? null
  }

  return { obtain, provide }
}
