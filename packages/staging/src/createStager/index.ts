/** Brings the engine beside an agent to the versions that are named: fetch, wait for the turn, stage, verify, order. */
import * as membership from '@switchridge/membership'
import * as types from '@switchridge/types'
import * as computeTurn from '../computeTurn/index.js'
import * as createManifestReader from '../createManifestReader/index.js'
import * as createPieceFetcher from '../createPieceFetcher/index.js'
import * as createPieceStore from '../createPieceStore/index.js'
import type * as createPieceUplink from '../createPieceUplink/index.js'
import * as planVersions from '../planVersions/index.js'
import * as writeStage from '../writeStage/index.js'
import type * as staging from '../types/index.js'

/** What the stager reads of the engine. */
export interface EngineState {
  /** Version of which the engine holds every layer, 0 for none. */
  readonly held: number
  readonly running: number
  /** Calls that wait there and have not begun. */
  readonly waiting: number
  readonly isBusy: boolean
  readonly sequence: number
}

/** Options of {@link createStager}. */
export interface StagerOptions extends Pick<createPieceFetcher.PieceFetcherOptions, 'self' | 'agents' | 'expectedZones' | 'origin' | 'fetchFromPeer' | 'onSuspect' | 'now' | 'random'> {
  readonly model: string
  /** Versions named for the model. */
  readonly named: () => readonly staging.NamedVersion[]
  /** Fresh state of the engine, or null when it does not answer. */
  readonly readEngine: () => Promise<EngineState | null>
  readonly engine: staging.StagedEngine
  /** Asks a peer for a manifest; it may wait for it. */
  readonly fetchManifest: createManifestReader.ManifestReaderOptions['fetchManifest']
  /** Told in how many milliseconds the engine will change its version; null when it will not. */
  readonly onTurn: (inMs: number | null) => void
  /** Told when the engine shall get no new work, because it is about to change its version. */
  readonly onPause: (isPaused: boolean) => void
  readonly onEvent: (event: string, fields: Readonly<Record<string, string | number | boolean>>) => void
  /** Milliseconds that fetching a whole version takes on this link. */
  readonly wholeMs: number
  /** The way of pieces to peers. */
  readonly uplink: createPieceUplink.PieceUplink
}

/** A peer that asks for pieces. */
export interface PieceAsker {
  readonly node: types.NodeId
  /** Whether it may be told of another holder. */
  readonly mayRefer: boolean
  /** Milliseconds that it waits here at most. */
  readonly waitMs: number
}

/** A piece that is sent to a peer. */
export interface ProvidedPiece {
  readonly piece: number
  readonly bytes: number
  /** The bytes, as the link has room for them. */
  readonly slices: AsyncIterable<Buffer>
}

/** What a peer that asks for pieces gets: one of them, the name of a holder, or nothing. */
export type PieceAnswer = ProvidedPiece | createPieceStore.Referral | null

/** The stager of one engine. */
export interface Stager {
  /** One of some pieces for a peer; waits for those that are on their way. */
  readonly providePiece: (id: staging.VersionId, wanted: readonly number[], asker: PieceAsker) => Promise<PieceAnswer>
  /** To be told when a piece has been sent. */
  readonly noteSent: (id: staging.VersionId, piece: number, asker: types.NodeId) => void
  readonly provideManifest: (id: staging.VersionId, waitMs: number) => Promise<readonly types.Digest[] | null>
  /** Milliseconds for which versions have been on their way without a break, 0 when none is. */
  readonly fetchingMs: () => number
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

const TICK_MS = 200
const POLL_MS = 50
/** Missing pieces come from the origin when so little time is left before the bound. */
const ORIGIN_RESERVE_MS = 2400
/** The stage is written so long before the engine's turn. */
const STAGE_BEFORE_TURN_MS = 500
/** A stage that was verified longer ago is verified again before the order. */
const VERIFIED_FOR_MS = 1500
/** Gateways hear of the pause within this time. */
const PAUSE_NOTICE_MS = 80
/** The order is given at the latest so long after the pause began. */
const PAUSE_MAXIMUM_MS = 500
const AFTER_ORDER_MS = 100
/** Calls that end within this time after the pause began are not broken off. */
const SHORT_CALLS_MS = 250
const STAGED_READ_PAUSE_MS = 50
/** With more than about three pieces waiting for the uplink a peer gets a piece sooner from whoever has it by now. */
const BUSY_MS = 130
/** A peer that was referred here is sent away only when it would wait for longer than this. */
const BUSY_REFERRED_MS = 400
const OFFER_POLL_MS = 15

/**
 * Creates the stager of one engine and model.
 *
 * @param options - Engine, origin, peers and clock.
 * @returns The stager; it works until stopped.
 */
export function createStager (options: StagerOptions): Stager {
  const store = createPieceStore.createPieceStore()
  const manifests = createManifestReader.createManifestReader({ ...options, store })
  let active: ActiveFetch | null = null
  /** The newest version while an older one is still being fetched. */
  let ahead: ActiveFetch | null = null
  let fetchingSince: number | null = null
  let notBelow = 0
  let staged: StagedVersion | null = null
  const wholeAt = new Map<number, number>()
  const stopping = new AbortController()
  let isWorking = false
  let wakeAgain = false
  let turnTimer: NodeJS.Timeout | undefined

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

  async function advance (state: EngineState): Promise<void> {
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
    if (state.held === 0) await orderEmpty(ready, state)
    else await order(ready, turn.method)
  }

  function planFetch (state: EngineState, named: readonly staging.NamedVersion[]): void {
    const newestWhole = named.findLast((each) => progressOf(each.id.version) === 1)?.id.version ?? 0
    const target = planVersions.planVersions({ held: Math.max(state.held, newestWhole), notBelow, named, progressOf, wholeMs: options.wholeMs, now: options.now() })
    if (target === null) {
      endFetch()
      return
    }
    if (active?.target.id.version !== target.id.version) startFetch(target, state)
    readAhead(named[named.length - 1] ?? target, target)
  }

  function startFetch (target: staging.NamedVersion, state: EngineState): void {
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
      isReadingAhead: () => active !== current,
      onEvent: ({ event, ...fields }) => { options.onEvent(event, fields) }
    })
    if (!await current.fetcher.whole) return
    wholeAt.set(id.version, options.now())
    options.onEvent('version-whole', { version: id.version, afterMs: Math.round(options.now() - heardAt), ...current.fetcher.counts })
    wake()
  }

  function findTurn (ready: staging.NamedVersion, state: EngineState): computeTurn.Turn {
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
  function foretellTurn (state: EngineState): void {
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

  /** Nobody calls an empty engine, so nothing is waited for: after a return of all this saves 0.2 s, in which nobody is served. */
  async function orderEmpty (ready: staging.NamedVersion, state: EngineState): Promise<void> {
    await startVersion(ready, state, 'finish')
    options.onPause(false)
  }

  async function order (ready: staging.NamedVersion, method: staging.SwitchMethod): Promise<void> {
    options.onPause(true)
    const state = await waitUntilNoneWaits()
    if (method === 'break-off') await waitForShortCalls()
    if (state === null || state.isBusy) {
      options.onPause(false)
      return
    }
    await startVersion(ready, state, method)
    options.onPause(false)
  }

  async function startVersion ({ id, heardAt, boundAt }: staging.NamedVersion, state: EngineState, method: staging.SwitchMethod): Promise<void> {
    const outcome = await options.engine.start(id, state.sequence, method)
    options.onEvent('version-ordered', { version: id.version, held: state.held, method, outcome, running: state.running, afterMs: Math.round(options.now() - heardAt) })
    await types.delay(AFTER_ORDER_MS)
    const switchedMs = await waitForSwitch({ id, heardAt, boundAt })
    options.onEvent('version-switched', { version: id.version, tookMs: switchedMs, afterMs: Math.round(options.now() - heardAt) })
  }

  /**
   * Lets calls that were sent before gateways heard of the pause begin: one that has not begun when the order is
   * given waits for all that runs, and would begin on the old version if the machine stood still meanwhile.
   */
  async function waitUntilNoneWaits (): Promise<EngineState | null> {
    await types.delay(PAUSE_NOTICE_MS)
    return await pollEngine((state) => state.waiting === 0, PAUSE_MAXIMUM_MS - PAUSE_NOTICE_MS)
  }

  /** Most calls end within moments; only the long ones are broken off. */
  async function waitForShortCalls (): Promise<void> {
    await pollEngine((state) => state.running === 0, SHORT_CALLS_MS)
  }

  /** Waits until the engine tells the new version, or is no longer busy with it. */
  async function waitForSwitch (ready: staging.NamedVersion): Promise<number> {
    const startedAt = options.now()
    await pollEngine((state) => stopping.signal.aborted || state.held >= ready.id.version || !state.isBusy, Infinity)
    return Math.round(options.now() - startedAt)
  }

  /** Reads the engine's state until it is the one waited for, the time is over or the engine does not answer. */
  async function pollEngine (isDone: (state: EngineState) => boolean, maximumMs: number): Promise<EngineState | null> {
    const endsAt = options.now() + maximumMs
    for (;;) {
      const state = await options.readEngine()
      if (state === null || isDone(state) || options.now() >= endsAt) return state
      await types.delay(POLL_MS)
    }
  }

  /** A piece that only lies in the stage of the engine, from before this process began. */
  async function takeFromStage (id: staging.VersionId, wanted: readonly number[]): Promise<createPieceStore.TakenPiece | null> {
    const manifest = await manifests.obtain(id, Infinity, () => !stopping.signal.aborted)
    if (manifest === null) return null
    const pieces = store.open(manifest)
    const held = pieces.take(wanted)
    if (held !== null) return held
    for (const piece of wanted) {
      const lies = await options.engine.getPiece(id.model, piece)
      if (lies.ok && lies.value !== null && pieces.put(piece, lies.value)) return pieces.take([piece])
    }
    await types.delay(STAGED_READ_PAUSE_MS)
    return null
  }

  /**
   * Whoever asks when the uplink has a queue is told who else has the piece by now, so that a piece spreads like a tree.
   * Agents of other zones wait in the queue: they bring the piece to their zone, where nobody else has it.
   */
  async function offer (pieces: createPieceStore.VersionPieces, wanted: readonly number[], asker: PieceAsker): Promise<PieceAnswer> {
    const endsAt = options.now() + asker.waitMs
    for (;;) {
      const isHere = wanted.some(pieces.has)
      if (isHere && options.uplink.backlogMs() <= (asker.mayRefer ? BUSY_MS : BUSY_REFERRED_MS)) return send(pieces.take(wanted))
      const near = isHere ? listNear() : null
      if (near !== null && !near.delete(asker.node)) return send(pieces.take(wanted))
      const referral = near !== null && asker.mayRefer ? pieces.refer(wanted, (node) => near.has(node)) : null
      if (referral !== null || options.now() >= endsAt) return referral
      await types.delay(OFFER_POLL_MS)
    }
  }

  function listNear (): Set<types.NodeId> {
    return new Set(options.agents().filter((agent) => agent.zone === options.self.zone).map((agent) => agent.node))
  }

  function send (taken: createPieceStore.TakenPiece | null): ProvidedPiece | null {
    return taken === null ? null : { piece: taken.piece, bytes: taken.bytes.length, slices: options.uplink.send(taken.bytes) }
  }

  async function providePiece (id: staging.VersionId, wanted: readonly number[], asker: PieceAsker): Promise<PieceAnswer> {
    if (id.model !== options.model) return null
    const isOnItsWay = [active, ahead].some((each) => each?.target.id.version === id.version)
    const pieces = store.find(id)
    if (pieces !== null && (isOnItsWay || pieces.isWhole())) return await offer(pieces, wanted, asker)
    if (!isOnItsWay) return send(await takeFromStage(id, wanted))
    await types.delay(STAGED_READ_PAUSE_MS)
    return null
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

  const timer = setInterval(wake, TICK_MS)
  wake()
  return {
    wake,
    providePiece,
    fetchingMs: () => fetchingSince === null ? 0 : options.now() - fetchingSince,
    noteSent: (id, piece, asker) => { store.find(id)?.noteSent(piece, asker) },
    provideManifest: manifests.provide,
    stop: () => {
      stopping.abort()
      clearInterval(timer)
      clearTimeout(turnTimer)
      endFetch()
    }
  }
}
