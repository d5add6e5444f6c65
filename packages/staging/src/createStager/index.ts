/** Brings an agent's engine to the versions that operators name: fetches the pieces, waits for the engine's turn, stages, verifies, and orders the change. */
import * as membership from '@switchridge/membership'
import type * as types from '@switchridge/types'
import * as computeTurn from '../computeTurn/index.js'
import * as createManifestReader from '../createManifestReader/index.js'
import * as createPieceFetcher from '../createPieceFetcher/index.js'
import * as createPieceStore from '../createPieceStore/index.js'
import * as createReadinessEstimate from '../createReadinessEstimate/index.js'
import * as createReceiveWindow from '../createReceiveWindow/index.js'
import * as selectVersion from '../selectVersion/index.js'
import * as findSuccessor from '../_lib/findSuccessor.js'
import type * as loadVersion from '../_lib/loadVersion.js'
import * as offerPieces from '../_lib/offerPieces.js'
import * as orderVersion from '../_lib/orderVersion.js'
import * as readStage from '../_lib/readStage.js'
import * as unloadOldVersion from '../_lib/unloadOldVersion.js'
import * as writeStage from '../writeStage/index.js'
import type * as staging from '../types/index.js'

export { PIECE_WAIT_MS, type ProvidedPiece } from '../_lib/offerPieces.js'

/** Options of {@link createStager}. */
export interface StagerOptions extends createReceiveWindow.ReceiveWindowOptions, orderVersion.OrderOptions, offerPieces.OfferOptions, Pick<createPieceFetcher.PieceFetcherOptions, 'expectedZones' | 'origin' | 'fetchFromPeer' | 'onSuspect' | 'random'> {
  /** Versions that operators have named for the model, in ascending order. */
  readonly named: () => readonly staging.NamedVersion[]
  /** Asks a peer for a manifest; the peer may hold the request until it has it. */
  readonly fetchManifest: createManifestReader.ManifestReaderOptions['fetchManifest']
  /** Called with the milliseconds until the engine changes its version, or null when no change is expected. */
  readonly onTurn: (inMs: number | null) => void
  /** Milliseconds that fetching all pieces of a version takes on this link. */
  readonly fullFetchMs: number
}

/** Keeps one engine at the newest version. */
export interface Stager {
  readonly providePiece: offerPieces.ProvidePiece
  /** Records that a piece was sent to a peer. */
  readonly recordSent: (id: staging.VersionId, piece: number, requester: types.NodeId) => void
  /** Resolves with a version's digests for a peer, or with null when they are not available within `waitMs`. */
  readonly provideManifest: (id: staging.VersionId, waitMs: number) => Promise<readonly types.Digest[] | null>
  /** Milliseconds since the current uninterrupted series of fetches began, 0 when nothing is being fetched. */
  readonly fetchingMs: () => number
  /** Measured fraction of the link's nominal rate where pieces arrive far more slowly; 1 otherwise. */
  readonly linkFraction: () => number
  /** Milliseconds until the engine, which may serve no call now, is expected to serve; null if it serves or the time is unknown. */
  readonly readyInMs: () => number | null
  /** Whether calls may run on the version that an engine in this state holds. */
  readonly isTrusted: loadVersion.VersionLoader['isTrusted']
  /** Performs the next step; call it regularly, and when the named versions or the engine change. */
  readonly wake: () => void
  /** Begins no further change of the engine's version; resolves when one in progress has ended, or the engine doesn't answer. */
  readonly finishChange: () => Promise<void>
  readonly stop: () => void
}

interface ActiveFetch {
  readonly target: staging.NamedVersion
  fetcher: createPieceFetcher.PieceFetcher | null
}

/** A verified version in the stage. */
interface StagedVersion {
  readonly version: number
  readonly verifiedAt: number
}

/** Interval of steps while the engine has calls, or a version is being fetched or is to be ordered. */
const TICK_MS = 200
/** Interval of steps otherwise: the one at which gateways of the zone receive the engine's state. */
const IDLE_TICK_MS = 350
/** With less than this time left before the deadline, more agents read the manifest from the origin. */
const ORIGIN_FALLBACK_LEAD_MS = 2400
/** Time between writing the stage and the engine's turn. */
const STAGE_LEAD_MS = 500
/** Before the deadline of a newer version, requests are limited from this lead on, which is longer than unlimited requests take to arrive over a slow link. */
const LIMITED_FETCH_LEAD_MS = 3500
/** After this lead no calls are sent to the older version any more. */
const LAST_CALL_LEAD_MS = 800
const LIMITED_FETCH_REQUESTS = 4
/** A stage that was verified longer ago than this is verified again before the first order: an engine that takes a wrong piece has to load the version once more. */
const VERIFICATION_VALID_MS = 1500

/**
 * Creates the stager of one engine and model.
 *
 * @param options - Engine, origin, peers and clock.
 * @returns The stager; it runs until it is stopped.
 */
export function createStager (options: StagerOptions): Stager {
  const store = createPieceStore.createPieceStore()
  const window = createReceiveWindow.createReceiveWindow({ ...options, maximumRequests })
  const manifests = createManifestReader.createManifestReader({ ...options, store })
  let active: ActiveFetch | null = null
  /** Fetch of the newest version while an older one is still being fetched. */
  let prefetch: ActiveFetch | null = null
  let fetchingSince: number | null = null
  /** Version of the last fetch that was started; older ones are not fetched again. */
  let minimumVersion = 0
  let staged: StagedVersion | null = null
  /** Version of which the engine last reported some of the layers, which it took from its stage; 0 for none. */
  let partialVersion = 0
  /** Whether the stage may hold pieces that this process doesn't have: it is read once, and holds no others once this process writes it. */
  let mayReuseStage = true
  /** Monotonic time in milliseconds at which pieces were last written into the stage. */
  let writtenAt = -Infinity
  /** Start time of the engine process for which the stage was written. */
  let bornAt: number | null = null
  /** Version that the engine last reported as held completely, unless it may have taken wrong pieces of it. */
  let held = 0
  /** The same, whatever it took. */
  let reported = 0
  /** Whether the engine had calls when its state was last read. */
  let isServing = false
  /** Monotonic times in milliseconds at which versions were complete. */
  const completeAt = new Map<number, number>()
  const stopping = new AbortController()
  const readiness = createReadinessEstimate.createReadinessEstimate(options.now)
  /** Whether the engine was about to end when its state was last read. */
  let isLeaving = false
  /** Monotonic time in milliseconds at which the engine was ordered to load a version that it doesn't hold yet; null otherwise. */
  let orderedAt: number | null = null
  /** The last load into an engine without a version, until the engine reports the version. */
  let firstLoad: { readonly version: number, readonly tookMs: number } | null = null
  /** Version that the engine didn't hold after it was ordered to load it, 0 for none: when it will is unknown. */
  let failedVersion = 0
  /** The last change of versions that was begun. */
  let change: Promise<void> = Promise.resolve()
  let mayBeginChange = true
  let isStepping = false
  let mustStepAgain = false
  let turnTimer: NodeJS.Timeout | undefined
  const isStopped = (): boolean => stopping.signal.aborted
  const orders = orderVersion.createVersionOrders({ ...options, isStopped })
  const unloader = unloadOldVersion.createOldVersionUnloader({ ...options, isChangeDue: () => findReady(held) !== undefined })
  const providePiece = offerPieces.createPieceOffers({ ...options, store, manifests, isBeingFetched, isStopped })

  function isBeingFetched (id: staging.VersionId): boolean {
    return [active, prefetch].some((each) => each?.target.id.version === id.version)
  }

  function findPieces (version: number): createPieceStore.VersionPieces | null {
    return store.find({ model: options.model, version })
  }

  /**
   * Limits the requests while a call may be sent to an engine whose version must soon not begin any more: if the link becomes slow, pieces that were
   * requested before delay the call beyond that.
   */
  function maximumRequests (): number {
    const next = held === 0 ? undefined : options.named().find((each) => each.id.version > held)
    const leftMs = next === undefined ? Infinity : next.deadlineAt - options.now()
    return leftMs <= LIMITED_FETCH_LEAD_MS && leftMs > LAST_CALL_LEAD_MS ? LIMITED_FETCH_REQUESTS : Infinity
  }

  function progressOf (version: number): number {
    const pieces = findPieces(version)
    return pieces === null ? 0 : pieces.count() / pieces.manifest.digests.length
  }

  /** The newest version that is complete here, newer than the held one, and may serve for some time. */
  function findReady (heldVersion: number): staging.NamedVersion | undefined {
    return options.named().findLast(({ id }) => id.version > heldVersion && progressOf(id.version) === 1 && mayServe(id.version))
  }

  /** Whether an engine that is ordered now to load a version will hold it before it would have to unload it. */
  function mayServe (version: number): boolean {
    const successor = findSuccessor.findSuccessor(options.named(), version)
    return successor === undefined || options.now() + selectVersion.SWITCH_MS + unloadOldVersion.UNLOAD_LEAD_MS < successor.deadlineAt
  }

  /** Performs one step at a time; a wake-up during a step causes another one. */
  async function step (): Promise<void> {
    if (isStepping) {
      mustStepAgain = true
      return
    }
    isStepping = true
    try {
      const state = await options.readEngine()
      if (state !== null) orders.noteState(state)
      if (state !== null && !stopping.signal.aborted) await advance(orders.isTrusted(state) ? state : { ...state, held: 0 }, state.held)
    } finally {
      isStepping = false
    }
    if (!mustStepAgain) return
    mustStepAgain = false
    void step()
  }

  async function advance (state: staging.EngineState, reportedVersion: number): Promise<void> {
    checkEngineRestart(state)
    held = state.held
    partialVersion = held === 0 ? state.layers?.version ?? 0 : 0
    reported = reportedVersion
    unloader.schedule(reported)
    isServing = state.running + state.waiting > 0
    isLeaving = state.isLeaving
    if (firstLoad !== null) noteFirstLoad(firstLoad)
    firstLoad = null
    if (state.isLeaving) {
      endFetch()
      options.onTurn(null)
      return
    }
    const named = options.named()
    planFetch(state, named)
    readiness.note(readReadiness())
    const ready = findReady(state.held)
    if (ready === undefined) announceExpectedTurn(state)
    if (ready === undefined || state.isBusy) return
    const turn = findTurn(ready, state)
    const turnAt = turn.at
    options.onTurn(Math.max(0, turnAt - options.now()))
    if (options.now() < turnAt - STAGE_LEAD_MS) {
      wakeAt(turnAt - STAGE_LEAD_MS)
      return
    }
    if (!isStagedFor(ready)) await stage(ready)
    if (options.now() < turnAt) wakeAt(turnAt)
    if (options.now() < turnAt || !isStagedFor(ready) || !mayBeginChange) return
    const weights = describeStage(ready)
    if (weights === null) return
    orderedAt = options.now()
    change = state.held === 0 ? orders.orderFirstVersion(ready, weights, state) : orders.order(ready, weights, turn.method)
    await change
    if (state.held === 0) firstLoad = { version: ready.id.version, tookMs: options.now() - orderedAt }
    orderedAt = null
  }

  function noteFirstLoad ({ version, tookMs }: { readonly version: number, readonly tookMs: number }): void {
    failedVersion = held === version ? 0 : version
    if (held === version) readiness.noteTook('load', tookMs)
  }

  /** An engine with an older version that may no longer serve returns like one without a version. */
  function mayHeldServe (): boolean {
    const successor = findSuccessor.findSuccessor(options.named(), held)
    return held > 0 && (successor === undefined || options.now() < successor.deadlineAt - LAST_CALL_LEAD_MS)
  }

  function readReadiness (): createReadinessEstimate.ReadinessState {
    if (isLeaving || mayHeldServe()) return { kind: 'none' }
    const ready = findReady(held)
    if (ready !== undefined && ready.id.version === failedVersion) return { kind: 'none' }
    if (orderedAt !== null) return { kind: 'loading', since: orderedAt }
    if (ready !== undefined) return { kind: isStagedFor(ready) ? 'staged' : 'staging' }
    const pieces = active === null ? null : findPieces(active.target.id.version)
    if (active === null || pieces === null) return { kind: 'none' }
    const total = pieces.manifest.digests.length
    return { kind: 'fetching', version: active.target.id.version, pieces: total, missing: total - pieces.count() }
  }

  /** A stage survives a crash of its engine, but not a loss of power: a stage that was verified before the engine restarted is verified again. */
  function checkEngineRestart (state: staging.EngineState): void {
    if (bornAt !== null && state.bornAt !== bornAt) {
      staged = null
      options.onEvent('engine-born-again', { bornAt: state.bornAt ?? '', before: bornAt })
    }
    bornAt = state.bornAt
  }

  function planFetch (state: staging.EngineState, named: readonly staging.NamedVersion[]): void {
    const newestComplete = named.findLast((each) => progressOf(each.id.version) === 1)?.id.version ?? 0
    const target = selectVersion.selectVersion({ held: Math.max(state.held, newestComplete), minimumVersion, named, progressOf, fullFetchMs: options.fullFetchMs, now: options.now() })
    if (target === null) {
      endFetch()
      return
    }
    if (active?.target.id.version !== target.id.version) startFetch(target, state)
    startPrefetch(named[named.length - 1] ?? target, target)
  }

  function startFetch (target: staging.NamedVersion, state: staging.EngineState): void {
    active?.fetcher?.stop()
    fetchingSince ??= options.now()
    minimumVersion = target.id.version
    const isPrefetched = prefetch?.target.id.version === target.id.version
    active = isPrefetched ? prefetch : { target, fetcher: null }
    if (isPrefetched) prefetch = null
    options.onEvent('version-begun', { version: target.id.version, held: state.held, leftMs: Math.round(target.deadlineAt - options.now()) })
    if (!isPrefetched) void fetch(active as ActiveFetch)
  }

  /** Prefetches the newest version, since the origin's link is idle while agents distribute the rest of an older one. */
  function startPrefetch (newest: staging.NamedVersion, target: staging.NamedVersion): void {
    if (newest.id.version <= target.id.version || prefetch?.target.id.version === newest.id.version) return
    prefetch?.fetcher?.stop()
    prefetch = { target: newest, fetcher: null }
    void fetch(prefetch)
  }

  function endFetch (): void {
    active?.fetcher?.stop()
    prefetch?.fetcher?.stop()
    active = null
    prefetch = null
    fetchingSince = null
  }

  async function fetch (current: ActiveFetch): Promise<void> {
    const { id, deadlineAt, namedAt } = current.target
    const isCurrent = (): boolean => (active === current || prefetch === current) && !stopping.signal.aborted
    const originFallbackAt = deadlineAt - ORIGIN_FALLBACK_LEAD_MS
    const manifest = await manifests.obtain(id, originFallbackAt, isCurrent)
    if (manifest === null || !isCurrent()) return
    const pieces = store.open(manifest)
    if (mayReuseStage && partialVersion === id.version) await reuseStage(pieces, isCurrent)
    if (!isCurrent()) return
    current.fetcher = createPieceFetcher.createPieceFetcher({
      ...options,
      pieces,
      window,
      isPrefetching: () => active !== current,
      onEvent: ({ event, ...fields }) => { options.onEvent(event, fields) }
    })
    if (!await current.fetcher.completion) return
    completeAt.set(id.version, options.now())
    options.onEvent('version-whole', { version: id.version, afterMs: Math.round(options.now() - namedAt), ...current.fetcher.counts })
    wake()
  }

  /** Takes the pieces that an earlier process of this agent has staged. */
  async function reuseStage (pieces: createPieceStore.VersionPieces, isCurrent: () => boolean): Promise<void> {
    mayReuseStage = false
    const count = await readStage.readStage(options.engine, pieces, isCurrent)
    if (count > 0) options.onEvent('stage-reused', { version: pieces.manifest.id.version, pieces: count })
  }

  function findTurn (ready: staging.NamedVersion, state: staging.EngineState): computeTurn.Turn {
    const ranked = membership.rankByRendezvous(`turn/${ready.id.version}`, options.agents(), (agent) => agent.node)
    return computeTurn.computeTurn({
      held: state.held,
      rank: ranked.findIndex((agent) => agent.node === options.self.node),
      engines: ranked.length,
      completeAt: completeAt.get(ready.id.version) ?? options.now() + computeRemainingFetchMs(ready.id.version),
      deadlineAt: ready.deadlineAt
    })
  }

  function computeRemainingFetchMs (version: number): number {
    return (1 - progressOf(version)) * options.fullFetchMs
  }

  /** Announces the expected turn while the version is still being fetched, so that gateways route long calls to engines that change later. */
  function announceExpectedTurn (state: staging.EngineState): void {
    const isExpected = active !== null && state.held > 0
    options.onTurn(isExpected ? Math.max(0, findTurn((active as ActiveFetch).target, state).at - options.now()) : null)
  }

  function isStagedFor (ready: staging.NamedVersion): boolean {
    return staged !== null && staged.version === ready.id.version && options.now() - staged.verifiedAt <= VERIFICATION_VALID_MS
  }

  function describeStage (ready: staging.NamedVersion): loadVersion.StagedWeights | null {
    const pieces = findPieces(ready.id.version)
    if (pieces === null) return null
    return {
      manifest: pieces.manifest,
      writtenAt: () => writtenAt,
      ensureVerified: async () => isStagedFor(ready) || await stage(ready),
      repair: async () => await stage(ready)
    }
  }

  /** Writes what is missing or wrong in the stage; returns whether every piece of the version was right when it was last read. */
  async function stage (ready: staging.NamedVersion): Promise<boolean> {
    const pieces = findPieces(ready.id.version)
    if (pieces === null) return false
    const isRewritten = staged?.version !== ready.id.version
    staged = null
    mayReuseStage = false
    const startedAt = options.now()
    const written = await writeStage.writeStage(options.engine, pieces, isRewritten, options.now)
    if (isRewritten || written.repaired > 0) writtenAt = options.now()
    if (written.repaired > 0) options.onEvent('stage-repaired', { version: ready.id.version, pieces: written.repaired, failed: written.failed })
    if (written.failed > 0) return false
    staged = { version: ready.id.version, verifiedAt: options.now() }
    if (isRewritten) readiness.noteTook('stage', options.now() - startedAt)
    options.onEvent('staged', { version: ready.id.version, tookMs: Math.round(options.now() - startedAt) })
    return true
  }

  /** Wakes at the exact time if it comes before the next tick. */
  function wakeAt (time: number): void {
    const inMs = time - options.now()
    if (inMs >= TICK_MS) return
    clearTimeout(turnTimer)
    turnTimer = setTimeout(wake, inMs)
  }

  function wake (): void {
    if (stopping.signal.aborted) return
    unloader.schedule(reported)
    void step()
  }

  /** Whether the engine has no calls, holds the newest named version, and nothing is being fetched. */
  function isIdle (): boolean {
    return !isServing && active === null && prefetch === null && held >= (options.named().at(-1)?.id.version ?? 0)
  }

  function runTicks (): void {
    wake()
    timer = setTimeout(runTicks, isIdle() ? IDLE_TICK_MS : TICK_MS)
  }

  let timer: NodeJS.Timeout
  runTicks()
  return {
    wake,
    isTrusted: orders.isTrusted,
    providePiece,
    linkFraction: window.linkFraction,
    fetchingMs: () => fetchingSince === null ? 0 : options.now() - fetchingSince,
    recordSent: (id, piece, requester) => { store.find(id)?.recordSent(piece, requester) },
    provideManifest: manifests.provide,
    readyInMs: () => {
      readiness.note(readReadiness())
      return readiness.read()
    },
    finishChange: async () => {
      mayBeginChange = false
      await Promise.all([change, unloader.finishAttempt()])
    },
    stop: () => {
      stopping.abort()
      clearTimeout(timer)
      clearTimeout(turnTimer)
      unloader.stop()
      endFetch()
    }
  }
}
