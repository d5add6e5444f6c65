/** Brings the engine beside an agent to the versions that are named: fetch, wait for the turn, stage, verify, order. */
import * as membership from '@switchridge/membership'
import type * as types from '@switchridge/types'
import * as computeTurn from '../computeTurn/index.js'
import * as createManifestReader from '../createManifestReader/index.js'
import * as createPieceFetcher from '../createPieceFetcher/index.js'
import * as createPieceStore from '../createPieceStore/index.js'
import * as createReceiveWindow from '../createReceiveWindow/index.js'
import * as selectVersion from '../selectVersion/index.js'
import * as offerPieces from '../_lib/offerPieces.js'
import * as orderVersion from '../_lib/orderVersion.js'
import * as writeStage from '../writeStage/index.js'
import type * as staging from '../types/index.js'

export { PIECE_WAIT_MS, type ProvidedPiece } from '../_lib/offerPieces.js'

/** Options of {@link createStager}. */
export interface StagerOptions extends createReceiveWindow.ReceiveWindowOptions, orderVersion.OrderOptions, offerPieces.OfferOptions, Pick<createPieceFetcher.PieceFetcherOptions, 'expectedZones' | 'origin' | 'fetchFromPeer' | 'onSuspect' | 'random'> {
  /** Versions named for the model. */
  readonly named: () => readonly staging.NamedVersion[]
  /** Asks a peer for a manifest; it may wait for it. */
  readonly fetchManifest: createManifestReader.ManifestReaderOptions['fetchManifest']
  /** Told in how many milliseconds the engine will change its version; null when it will not. */
  readonly onTurn: (inMs: number | null) => void
  /** Milliseconds that fetching a whole version takes on this link. */
  readonly wholeMs: number
}

/** The stager of one engine. */
export interface Stager {
  readonly providePiece: offerPieces.ProvidePiece
  /** To be told when a piece has been sent. */
  readonly noteSent: (id: staging.VersionId, piece: number, requester: types.NodeId) => void
  readonly provideManifest: (id: staging.VersionId, waitMs: number) => Promise<readonly types.Digest[] | null>
  /** Milliseconds for which versions have been on their way without a break, 0 when none is. */
  readonly fetchingMs: () => number
  /** Part of what the link is to carry that it carries, where pieces came far more slowly; 1 otherwise. */
  readonly readLinkPart: () => number
  /** Goes on with what is to be done now; call it when versions or the engine change, and regularly. */
  readonly wake: () => void
  readonly stop: () => void
}

interface ActiveFetch {
  readonly target: staging.NamedVersion
  fetcher: createPieceFetcher.PieceFetcher | null
}

/** A version that lies verified in the stage. */
interface StagedVersion {
  readonly version: number
  readonly verifiedAt: number
}

/** While the engine works, or a version is on its way or is to be ordered. */
const TICK_MS = 200
/** Otherwise the engine is read as often as gateways of a hall are told of it. */
const IDLE_TICK_MS = 350
/** Missing pieces come from the origin when so little time is left before the bound. */
const ORIGIN_RESERVE_MS = 2400
/** The stage is written so long before the engine's turn. */
const STAGE_BEFORE_TURN_MS = 500
/** A stage that was verified longer ago is verified again before the order. */
const VERIFIED_FOR_MS = 1500

/**
 * Creates the stager of one engine and model.
 *
 * @param options - Engine, origin, peers and clock.
 * @returns The stager; it works until stopped.
 */
export function createStager (options: StagerOptions): Stager {
  const store = createPieceStore.createPieceStore()
  const window = createReceiveWindow.createReceiveWindow(options)
  const manifests = createManifestReader.createManifestReader({ ...options, store })
  let active: ActiveFetch | null = null
  /** The newest version while an older one is still being fetched. */
  let ahead: ActiveFetch | null = null
  let fetchingSince: number | null = null
  let notBelow = 0
  let staged: StagedVersion | null = null
  /** The life of the engine that the stage was written for. */
  let bornAt: number | null = null
  /** Version of which the engine last told every layer. */
  let held = 0
  /** Whether the engine worked when it was last read. */
  let isServing = false
  const wholeAt = new Map<number, number>()
  const stopping = new AbortController()
  let isWorking = false
  let wakeAgain = false
  let turnTimer: NodeJS.Timeout | undefined
  const isStopped = (): boolean => stopping.signal.aborted
  const orders = orderVersion.createVersionOrders({ ...options, isStopped })
  const providePiece = offerPieces.createPieceOffers({ ...options, store, manifests, isOnItsWay, isStopped })

  function isOnItsWay (id: staging.VersionId): boolean {
    return [active, ahead].some((each) => each?.target.id.version === id.version)
  }

  function find (version: number): createPieceStore.VersionPieces | null {
    return store.find({ model: options.model, version })
  }

  function progressOf (version: number): number {
    const pieces = find(version)
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
      if (state !== null && !stopping.signal.aborted) await advance(state)
    } finally {
      isWorking = false
    }
    if (!wakeAgain) return
    wakeAgain = false
    void step()
  }

  async function advance (state: staging.EngineState): Promise<void> {
    noteLife(state)
    held = state.held
    isServing = state.running + state.waiting > 0
    const named = options.named()
    planFetch(state, named)
    const ready = named.findLast((each) => each.id.version > state.held && progressOf(each.id.version) === 1)
    if (ready === undefined) foretellTurn(state)
    if (ready === undefined || state.isBusy) return
    const turn = findTurn(ready, state)
    const turnAt = turn.at
    options.onTurn(Math.max(0, turnAt - options.now()))
    if (options.now() < turnAt - STAGE_BEFORE_TURN_MS) {
      wakeAt(turnAt - STAGE_BEFORE_TURN_MS)
      return
    }
    if (!isStagedFor(ready)) await stage(ready)
    if (options.now() < turnAt) wakeAt(turnAt)
    if (options.now() < turnAt || !isStagedFor(ready)) return
    if (state.held === 0) await orders.orderEmpty(ready, state)
    else await orders.order(ready, turn.method)
  }

  /** A stage outlasts a crash of its engine, but not a loss of power: what was verified in an earlier life is verified again. */
  function noteLife (state: staging.EngineState): void {
    if (bornAt !== null && state.bornAt !== bornAt) {
      staged = null
      options.onEvent('engine-born-again', { bornAt: state.bornAt ?? '', before: bornAt })
    }
    bornAt = state.bornAt
  }

  function planFetch (state: staging.EngineState, named: readonly staging.NamedVersion[]): void {
    const newestWhole = named.findLast((each) => progressOf(each.id.version) === 1)?.id.version ?? 0
    const target = selectVersion.selectVersion({ held: Math.max(state.held, newestWhole), notBelow, named, progressOf, wholeMs: options.wholeMs, now: options.now() })
    if (target === null) {
      endFetch()
      return
    }
    if (active?.target.id.version !== target.id.version) startFetch(target, state)
    readAhead(named[named.length - 1] ?? target, target)
  }

  function startFetch (target: staging.NamedVersion, state: staging.EngineState): void {
    active?.fetcher?.stop()
    fetchingSince ??= options.now()
    notBelow = target.id.version
    const isAhead = ahead?.target.id.version === target.id.version
    active = isAhead ? ahead : { target, fetcher: null }
    if (isAhead) ahead = null
    options.onEvent('version-begun', { version: target.id.version, held: state.held, leftMs: Math.round(target.boundAt - options.now()) })
    if (!isAhead) void fetch(active as ActiveFetch)
  }

  /** The origin's link is idle while agents pass on the rest of an older version. */
  function readAhead (newest: staging.NamedVersion, target: staging.NamedVersion): void {
    if (newest.id.version <= target.id.version || ahead?.target.id.version === newest.id.version) return
    ahead?.fetcher?.stop()
    ahead = { target: newest, fetcher: null }
    void fetch(ahead)
  }

  function endFetch (): void {
    active?.fetcher?.stop()
    ahead?.fetcher?.stop()
    active = null
    ahead = null
    fetchingSince = null
  }

  async function fetch (current: ActiveFetch): Promise<void> {
    const { id, boundAt, heardAt } = current.target
    const isCurrent = (): boolean => (active === current || ahead === current) && !stopping.signal.aborted
    const originFrom = boundAt - ORIGIN_RESERVE_MS
    const manifest = await manifests.obtain(id, originFrom, isCurrent)
    if (manifest === null || !isCurrent()) return
    current.fetcher = createPieceFetcher.createPieceFetcher({
      ...options,
      pieces: store.open(manifest),
      window,
      isReadingAhead: () => active !== current,
      onEvent: ({ event, ...fields }) => { options.onEvent(event, fields) }
    })
    if (!await current.fetcher.whole) return
    wholeAt.set(id.version, options.now())
    options.onEvent('version-whole', { version: id.version, afterMs: Math.round(options.now() - heardAt), ...current.fetcher.counts })
    wake()
  }

  function findTurn (ready: staging.NamedVersion, state: staging.EngineState): computeTurn.Turn {
    const ranked = membership.rankByRendezvous(`turn/${ready.id.version}`, options.agents(), (agent) => agent.node)
    return computeTurn.computeTurn({
      held: state.held,
      rank: ranked.findIndex((agent) => agent.node === options.self.node),
      engines: ranked.length,
      wholeAt: wholeAt.get(ready.id.version) ?? options.now() + missingMs(ready.id.version),
      boundAt: ready.boundAt
    })
  }

  function missingMs (version: number): number {
    return (1 - progressOf(version)) * options.wholeMs
  }

  /** Tells of the turn while the version is still on its way, so that long answers go to engines that change later. */
  function foretellTurn (state: staging.EngineState): void {
    const isComing = active !== null && state.held > 0
    options.onTurn(isComing ? Math.max(0, findTurn((active as ActiveFetch).target, state).at - options.now()) : null)
  }

  function isStagedFor (ready: staging.NamedVersion): boolean {
    return staged !== null && staged.version === ready.id.version && options.now() - staged.verifiedAt <= VERIFIED_FOR_MS
  }

  async function stage (ready: staging.NamedVersion): Promise<void> {
    const pieces = find(ready.id.version)
    if (pieces === null) return
    const isRewritten = staged?.version !== ready.id.version
    staged = null
    const startedAt = options.now()
    const written = await writeStage.writeStage(options.engine, pieces, isRewritten)
    if (written.repaired > 0) options.onEvent('stage-repaired', { version: ready.id.version, pieces: written.repaired, failed: written.failed })
    if (written.failed > 0) return
    staged = { version: ready.id.version, verifiedAt: options.now() }
    options.onEvent('staged', { version: ready.id.version, tookMs: Math.round(options.now() - startedAt) })
  }

  /** Wakes exactly at a turn that comes before the next tick. */
  function wakeAt (time: number): void {
    const inMs = time - options.now()
    if (inMs >= TICK_MS) return
    clearTimeout(turnTimer)
    turnTimer = setTimeout(wake, inMs)
  }

  function wake (): void {
    if (!stopping.signal.aborted) void step()
  }

  /** Whether the engine serves nobody, holds the newest version that is named, and nothing is fetched. */
  function isIdle (): boolean {
    return !isServing && active === null && ahead === null && held >= (options.named().at(-1)?.id.version ?? 0)
  }

  function keepWaking (): void {
    wake()
    timer = setTimeout(keepWaking, isIdle() ? IDLE_TICK_MS : TICK_MS)
  }

  let timer: NodeJS.Timeout
  keepWaking()
  return {
    wake,
    providePiece,
    readLinkPart: window.readLinkPart,
    fetchingMs: () => fetchingSince === null ? 0 : options.now() - fetchingSince,
    noteSent: (id, piece, requester) => { store.find(id)?.noteSent(piece, requester) },
    provideManifest: manifests.provide,
    stop: () => {
      stopping.abort()
      clearTimeout(timer)
      clearTimeout(turnTimer)
      endFetch()
    }
  }
}
