/** Obtains manifests: one agent of each zone reads the origin, twice to be sure, and all others ask agents. */
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
  /** Asks a peer for a manifest; it may wait for it. */
  readonly fetchManifest: (peer: staging.StagingPeer, id: staging.VersionId) => Promise<types.Outcome<readonly types.Digest[] | null, types.UnavailableError>>
  readonly onEvent: (event: string, fields: Readonly<Record<string, string | number | boolean>>) => void
  readonly now: () => number
  /** Random number from 0 to 1. */
  readonly random: () => number
}

/** Obtains manifests and gives them to peers. */
export interface ManifestReader {
  /** Tries until it has the manifest; from `lateFrom` on, more agents read for themselves. Null when it is no longer wanted. */
  readonly obtain: (id: staging.VersionId, lateFrom: number, isWanted: () => boolean) => Promise<staging.StageManifest | null>
  /** The digests for a peer, or null when they are not here in time. */
  readonly provide: (id: staging.VersionId, waitMs: number) => Promise<readonly types.Digest[] | null>
}

/** Milliseconds that an agent waits for a manifest on behalf of another one. */
export const MANIFEST_WAIT_MS = 1200
/** An agent that knows no other one of its zone may only just have started; by then it has heard of those that run. */
const SETTLE_MS = 75
/**
 * Pauses between an agent's reads of the origin double up to the maximum: it refuses beyond its bound of connections, and many agents that each
 * come back at the minimum ask for far more than that.
 */
const RETRY_MINIMUM_MS = 150
const RETRY_MAXIMUM_MS = 3000
/**
 * The first reader of a zone comes back sooner: until it has the manifest nobody of the zone can fetch a piece.
 */
const FIRST_RETRY_MAXIMUM_MS = 300
/** Peers are asked again after this; they hold a request until they have the manifest, so that whoever gets it tells all at once. */
const ASK_PAUSE_MS = 300
/** A pause is between this part and the whole, so that agents that were refused together don't come back together. */
const RETRY_MINIMUM_PART = 0.5
/** The next agent of a zone's ranking reads too when there has been no manifest for so long; half of it when little time is left. */
const READER_STEP_MS = 1500
/** From this try on, an agent also asks others than the first readers of its zone, which may have been refused. */
const WIDE_TRY = 2
const POLL_MS = 50
const ATTEMPTS_ON_BEHALF = 4

/** Tries to obtain one manifest. */
interface Tries {
  count: number
  readonly firstAt: number
  isAsking: boolean
  /** Reads of the origin that failed, and when the next one may follow. */
  failures: number
  nextReadAt: number
}

/**
 * Creates the reader.
 *
 * @param options - Peers, origin and where manifests are kept.
 * @returns The reader.
 */
export function createManifestReader (options: ManifestReaderOptions): ManifestReader {
  const pending = new Map<string, Promise<staging.StageManifest | null>>()
  const tries = new Map<string, Tries>()

  function rankReaders (id: staging.VersionId): staging.StagingPeer[] {
    const inZone = options.agents().filter((agent) => agent.zone === options.self.zone)
    return membership.rankByRendezvous(`${staging.formatVersion(id)}/manifest`, inZone, (agent) => agent.node)
  }

  async function read (id: staging.VersionId, isLate: boolean): Promise<staging.StageManifest | null> {
    if (rankReaders(id).length <= 1) await types.delay(SETTLE_MS)
    const ranked = rankReaders(id)
    const place = ranked.findIndex((agent) => agent.node === options.self.node)
    const rank = place < 0 ? ranked.length : place
    const tried = countTry(id)
    const asking = ask(id, listAsked(ranked, rank, tried.count), tried)
    const found = rank === 0 ? null : await asking
    const readsAfterMs = rank * READER_STEP_MS * (isLate ? 0.5 : 1)
    if (found !== null || options.now() - tried.firstAt < readsAfterMs || options.now() < tried.nextReadAt) return found
    const manifest = await readTwice(id)
    if (manifest === null) postpone(tried, rank === 0 ? FIRST_RETRY_MAXIMUM_MS : RETRY_MAXIMUM_MS)
    return manifest
  }

  /** Asks one peer after the other, and keeps what it gets: the first reader does not wait for them. */
  async function ask (id: staging.VersionId, peers: readonly staging.StagingPeer[], tried: Tries): Promise<staging.StageManifest | null> {
    if (tried.isAsking) return null
    tried.isAsking = true
    const digests = await askInTurn(id, peers)
    tried.isAsking = false
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

  function postpone (tried: Tries, maximumMs: number): void {
    const pauseMs = Math.min(maximumMs, RETRY_MINIMUM_MS * 2 ** tried.failures)
    tried.failures += 1
    tried.nextReadAt = options.now() + types.jitter(pauseMs, RETRY_MINIMUM_PART, options.random())
  }

  function countTry (id: staging.VersionId): Tries {
    const key = staging.formatVersion(id)
    const tried = tries.get(key) ?? { count: 0, firstAt: options.now(), isAsking: false, failures: 0, nextReadAt: -Infinity }
    tried.count += 1
    tries.set(key, tried)
    return tried
  }

  /** The first reader asks nobody at first; later all also ask one other agent after the other, those of other zones first. */
  function listAsked (ranked: readonly staging.StagingPeer[], rank: number, count: number): staging.StagingPeer[] {
    const first = rank === 0 ? [] : ranked.slice(0, 2).filter((agent) => agent.node !== options.self.node)
    if (count < WIDE_TRY) return first
    const others = options.agents().filter((agent) => agent.node !== options.self.node)
    const byDistance = [...others.filter((agent) => agent.zone !== options.self.zone), ...others.filter((agent) => agent.zone === options.self.zone)]
    const next = byDistance[(count - WIDE_TRY) % byDistance.length]
    return next === undefined ? first : [...first, next]
  }

  /** A manifest may arrive spoilt; two readings that agree are right. */
  async function readTwice (id: staging.VersionId): Promise<staging.StageManifest | null> {
    const first = await options.origin.readManifest(id)
    const second = first.ok ? await options.origin.readManifest(id) : first
    if (first.ok && second.ok && first.value.join() === second.value.join()) return { id, digests: first.value }
    const reason = second.ok ? 'two readings differ' : second.error.message
    options.onEvent('manifest-failed', { version: id.version, reason })
    return null
  }

  /** Callers that want the same manifest share one attempt. */
  async function attempt (id: staging.VersionId, isLate: boolean): Promise<staging.StageManifest | null> {
    const known = options.store.find(id)
    if (known !== null) return known.manifest
    const key = staging.formatVersion(id)
    const shared = pending.get(key) ?? read(id, isLate)
    pending.set(key, shared)
    const manifest = await shared
    pending.delete(key)
    if (manifest === null) return null
    tries.delete(key)
    options.store.open(manifest)
    return manifest
  }

  async function obtain (id: staging.VersionId, lateFrom: number, isWanted: () => boolean): Promise<staging.StageManifest | null> {
    while (isWanted()) {
      const manifest = await attempt(id, options.now() >= lateFrom)
      if (manifest !== null) return manifest
      await types.delay(types.jitter(ASK_PAUSE_MS, RETRY_MINIMUM_PART, options.random()))
    }
    return null
  }

  /** Only the first in rank reads on behalf of others, so that no two agents wait for each other. */
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
