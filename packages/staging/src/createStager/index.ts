/** Brings the engine beside an agent to the versions that are named: fetch, stage, verify, wait for the turn, order. */
import * as membership from '@switchridge/membership'
import * as types from '@switchridge/types'
import * as createPieceFetcher from '../createPieceFetcher/index.js'
import * as createPieceStore from '../createPieceStore/index.js'
import * as planVersions from '../planVersions/index.js'
import * as staging from '../types/index.js'

/** What the stager reads of the engine. */
export interface EngineState {
  /** Version of which the engine holds every layer, 0 for none. */
  readonly held: number
  readonly running: number
  readonly isBusy: boolean
  readonly sequence: number
}

/** Options of {@link createStager}. */
export interface StagerOptions {
  readonly self: staging.StagingPeer
  readonly model: string
  /** Versions named for the model. */
  readonly named: () => readonly staging.NamedVersion[]
  /** Fresh state of the engine, or null when it does not answer. */
  readonly readEngine: () => Promise<EngineState | null>
  readonly engine: staging.StagedEngine
  readonly origin: staging.WeightOrigin
  readonly agents: () => readonly staging.StagingPeer[]
  readonly fetchFromPeer: createPieceFetcher.PieceFetcherOptions['fetchFromPeer']
  /** Asks a peer for a manifest; it may wait for it. */
  readonly fetchManifest: (peer: staging.StagingPeer, id: staging.VersionId) => Promise<types.Outcome<readonly types.Digest[] | null, types.UnavailableError>>
  /** Told when the engine shall get no new work, because it is about to change its version. */
  readonly onPause: (isPaused: boolean) => void
  readonly onEvent: (event: string, fields: Readonly<Record<string, string | number | boolean>>) => void
  /** Milliseconds that fetching a whole version takes on this link. */
  readonly wholeMs: number
  readonly now: () => number
  readonly random: () => number
}

/** The stager of one engine. */
export interface Stager {
  /** The pieces of a version for a peer; waits for one that is on its way. */
  readonly providePiece: (id: staging.VersionId, piece: number, waitMs: number) => Promise<Buffer | null>
  readonly provideManifest: (id: staging.VersionId, waitMs: number) => Promise<readonly types.Digest[] | null>
  /** Goes on with what is to be done now; call it when versions or the engine change, and regularly. */
  readonly wake: () => void
  readonly stop: () => void
}

interface Active {
  readonly target: staging.NamedVersion
  pieces: createPieceStore.VersionPieces | null
  fetcher: createPieceFetcher.PieceFetcher | null
  /** Pieces that were written to the stage. */
  readonly staged: Set<number>
  wholeAt: number | null
}

const TICK_MS = 100
const MANIFEST_RETRY_MS = 150
/** Milliseconds that an agent waits for a manifest on behalf of another one. */
export const MANIFEST_WAIT_MS = 1200
/** Missing pieces come from the origin when so little time is left before the bound. */
const ORIGIN_RESERVE_MS = 2600
/** Engines of a zone change their version in so many turns, so that the others keep serving. */
const TURNS = 3
const TURN_MS = 800
/** The last turn begins so long before the bound. */
const LAST_TURN_RESERVE_MS = 1700
/** Milliseconds that gateways get to hear of the pause before the order. */
const PAUSE_NOTICE_MS = 30
const AFTER_ORDER_MS = 250
const VERIFY_LANES = 4

/**
 * Creates the stager of one engine and model.
 *
 * @param options - Engine, origin, peers and clock.
 * @returns The stager; it works until stopped.
 */
export function createStager (options: StagerOptions): Stager {
  const store = createPieceStore.createPieceStore()
  const manifests = new Map<string, Promise<staging.StageManifest | null>>()
  let active: Active | null = null
  let isStopped = false
  let isWorking = false
  let wakeAgain = false

  function progressOf (version: number): number {
    const pieces = store.find({ model: options.model, version })
    return pieces === null ? 0 : pieces.count() / pieces.manifest.digests.length
  }

  /** One step at a time; a wake in between makes another step follow. */
  async function step (): Promise<void> {
    if (isWorking) {
      wakeAgain = true
      return
    }
    isWorking = true
    try {
      const state = await options.readEngine()
      if (state !== null && !isStopped) await advance(state)
    } finally {
      isWorking = false
    }
    if (!wakeAgain) return
    wakeAgain = false
    void step()
  }

  async function advance (state: EngineState): Promise<void> {
    const target = planVersions.planVersions({ held: state.held, named: options.named(), progressOf, wholeMs: options.wholeMs, now: options.now() })
    if (target === null) {
      finish()
      return
    }
    if (active === null || active.target.id.version !== target.id.version) begin(target)
    const current = active as unknown as Active
    if (current.pieces === null || !current.pieces.isWhole()) return
    current.wholeAt ??= noteWhole(current)
    if (state.isBusy) return
    if (options.now() < turnAt(current, state)) return
    await order(current)
  }

  function noteWhole (current: Active): number {
    const { counts } = current.fetcher as createPieceFetcher.PieceFetcher
    options.onEvent('version-whole', { version: current.target.id.version, afterMs: Math.round(options.now() - current.target.heardAt), ...counts })
    return options.now()
  }

  function begin (target: staging.NamedVersion): void {
    finish()
    const next: Active = { target, pieces: null, fetcher: null, staged: new Set(), wholeAt: null }
    active = next
    options.onEvent('version-begun', { version: target.id.version, leftMs: Math.round(target.boundAt - options.now()) })
    void fetch(next)
  }

  function finish (): void {
    active?.fetcher?.stop()
    active = null
  }

  async function fetch (current: Active): Promise<void> {
    const { id, boundAt } = current.target
    let manifest: staging.StageManifest | null = null
    while (manifest === null && active === current && !isStopped) {
      manifest = await obtainManifest(id, options.now() >= boundAt - ORIGIN_RESERVE_MS)
      if (manifest === null) await types.delay(MANIFEST_RETRY_MS)
    }
    if (manifest === null || active !== current) return
    const pieces = store.open(manifest)
    current.pieces = pieces
    current.fetcher = createPieceFetcher.createPieceFetcher({
      pieces,
      self: options.self,
      agents: options.agents,
      origin: options.origin,
      fetchFromPeer: options.fetchFromPeer,
      originFrom: () => boundAt - ORIGIN_RESERVE_MS,
      now: options.now,
      random: options.random,
      onEvent: ({ event, ...fields }) => { options.onEvent(event, fields) }
    })
    void stageWhileFetching(current, pieces)
    if (await current.fetcher.whole) wake()
  }

  /** Writes pieces to the stage as they come. */
  async function stageWhileFetching (current: Active, pieces: createPieceStore.VersionPieces): Promise<void> {
    const size = pieces.manifest.digests.length
    while (active === current && current.staged.size < size) {
      let wrote = false
      for (let piece = 0; piece < size && active === current; piece += 1) {
        const bytes = pieces.get(piece)
        if (bytes === null || current.staged.has(piece)) continue
        const put = await options.engine.putPiece(options.model, piece, bytes)
        if (put.ok) current.staged.add(piece)
        wrote = put.ok || wrote
      }
      if (!wrote) await types.delay(TICK_MS)
    }
    wake()
  }

  /** Asks the agent that the ranks name; the one that they name reads the origin twice and compares. */
  async function obtainManifest (id: staging.VersionId, isLate: boolean): Promise<staging.StageManifest | null> {
    const key = staging.formatVersion(id)
    const known = store.find(id)
    if (known !== null) return known.manifest
    const pending = manifests.get(key)
    if (pending !== undefined) return await pending
    const obtained = fetchManifest(id, isLate)
    manifests.set(key, obtained)
    const manifest = await obtained
    manifests.delete(key)
    if (manifest !== null) store.open(manifest)
    return manifest
  }

  async function fetchManifest (id: staging.VersionId, isLate: boolean): Promise<staging.StageManifest | null> {
    const ranked = membership.rankByRendezvous(`${staging.formatVersion(id)}/manifest`, options.agents(), (agent) => agent.node)
    const attempt = manifestAttempts
    manifestAttempts += 1
    const first = ranked[attempt % Math.max(1, Math.min(2, ranked.length))]
    if (first === undefined || first.node === options.self.node || isLate) return await readManifestTwice(id)
    const fetched = await options.fetchManifest(first, id)
    if (fetched.ok && fetched.value !== null) return { id, digests: fetched.value }
    return attempt >= 3 ? await readManifestTwice(id) : null
  }

  let manifestAttempts = 0

  async function readManifestTwice (id: staging.VersionId): Promise<staging.StageManifest | null> {
    const [first, second] = await Promise.all([options.origin.readManifest(id), options.origin.readManifest(id)])
    if (!first.ok || !second.ok) return null
    if (first.value.join() !== second.value.join()) return null
    return { id, digests: first.value }
  }

  /** When this engine may change its version: empty ones at once, the rest in turns that leave others serving. */
  function turnAt (current: Active, state: EngineState): number {
    if (state.held === 0) return 0
    const inZone = options.agents().filter((agent) => agent.zone === options.self.zone)
    const ranked = membership.rankByRendezvous(`turn/${staging.formatVersion(current.target.id)}`, inZone, (agent) => agent.node)
    const rank = ranked.findIndex((agent) => agent.node === options.self.node)
    const turn = Math.floor(Math.max(0, rank) * TURNS / Math.max(1, ranked.length))
    const lastTurnAt = current.target.boundAt - LAST_TURN_RESERVE_MS
    const firstTurnAt = Math.min(current.wholeAt ?? 0, lastTurnAt - TURNS * TURN_MS)
    return Math.max(current.wholeAt ?? 0, Math.min(lastTurnAt, firstTurnAt + turn * TURN_MS))
  }

  async function order (current: Active): Promise<void> {
    const pieces = current.pieces as createPieceStore.VersionPieces
    const startedAt = options.now()
    options.onPause(true)
    const [isVerified] = await Promise.all([verifyStage(pieces), types.delay(PAUSE_NOTICE_MS)])
    const state = isVerified ? await options.readEngine() : null
    if (state === null || state.isBusy) {
      options.onPause(false)
      return
    }
    const outcome = await options.engine.start(current.target.id, state.sequence)
    options.onEvent('version-ordered', { version: current.target.id.version, outcome, running: state.running, verifyMs: Math.round(options.now() - startedAt), afterMs: Math.round(options.now() - current.target.heardAt) })
    await types.delay(AFTER_ORDER_MS)
    await waitForSwitch(current.target)
    options.onPause(false)
  }

  /** Waits until the engine tells the new version, or is no longer busy with it. */
  async function waitForSwitch (target: staging.NamedVersion): Promise<void> {
    while (!isStopped) {
      const state = await options.readEngine()
      if (state === null || state.held >= target.id.version || !state.isBusy) return
      await types.delay(TICK_MS / 2)
    }
  }

  /** Reads every staged piece back; writes again what is missing or spoilt, and then looks once more. */
  async function verifyStage (pieces: createPieceStore.VersionPieces): Promise<boolean> {
    const size = pieces.manifest.digests.length
    let next = 0
    let repaired = 0
    let failed = 0

    async function verifyPiece (piece: number): Promise<void> {
      const lies = await options.engine.getPiece(options.model, piece)
      if (lies.ok && lies.value !== null && createPieceStore.matchesDigest(lies.value, pieces.manifest.digests[piece])) return
      const put = lies.ok && await options.engine.putPiece(options.model, piece, pieces.get(piece) as Buffer)
      const again = put !== false && put.ok ? await options.engine.getPiece(options.model, piece) : null
      const isRight = again !== null && again.ok && again.value !== null && createPieceStore.matchesDigest(again.value, pieces.manifest.digests[piece])
      repaired += 1
      if (!isRight) failed += 1
    }

    async function runLane (): Promise<void> {
      while (next < size && failed === 0) {
        const piece = next
        next += 1
        await verifyPiece(piece)
      }
    }

    await Promise.all(Array.from({ length: VERIFY_LANES }, runLane))
    if (repaired > 0) options.onEvent('stage-repaired', { pieces: repaired, failed })
    return failed === 0
  }

  /** A piece that only lies in the stage of the engine, from before this process began. */
  async function readFromStage (id: staging.VersionId, piece: number): Promise<Buffer | null> {
    const manifest = await obtainManifest(id, false)
    if (manifest === null) return null
    const lies = await options.engine.getPiece(id.model, piece)
    if (!lies.ok || lies.value === null) return null
    const pieces = store.open(manifest)
    return pieces.put(piece, lies.value) ? pieces.get(piece) : null
  }

  async function providePiece (id: staging.VersionId, piece: number, waitMs: number): Promise<Buffer | null> {
    if (id.model !== options.model) return null
    const held = store.find(id)?.get(piece) ?? null
    if (held !== null) return held
    const isOnItsWay = active !== null && active.target.id.version === id.version
    if (!isOnItsWay) return await readFromStage(id, piece)
    const deadline = options.now() + waitMs
    while (active?.pieces === null && options.now() < deadline) await types.delay(TICK_MS / 4)
    return await (active?.pieces?.waitFor(piece, Math.max(0, deadline - options.now())) ?? null)
  }

  function wake (): void {
    if (!isStopped) void step()
  }

  const timer = setInterval(wake, TICK_MS)
  return {
    wake,
    providePiece,
    provideManifest: async (id, waitMs) => {
      const deadline = options.now() + waitMs
      let manifest = await obtainManifest(id, false)
      while (manifest === null && options.now() < deadline) {
        await types.delay(MANIFEST_RETRY_MS)
        manifest = store.find(id)?.manifest ?? null
      }
      return manifest?.digests ?? null
    },
    stop: () => {
      isStopped = true
      clearInterval(timer)
      finish()
    }
  }
}

