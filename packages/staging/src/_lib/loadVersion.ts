/**
 * Loads a staged version into an engine. The engine takes pieces from its stage whenever it gets to an order, and a piece may have turned bad by then. So all layers but
 * the last one are loaded first, and the last one only when the stage was found right after the engine had taken the others: an engine serves no call without all layers.
 */
import * as types from '@switchridge/types'
import type * as staging from '../types/index.js'
import * as verifyStage from '../verifyStage/index.js'

/** Options of {@link createVersionLoader}. */
export interface LoaderOptions {
  /** Reads the current state of the engine; null when it does not answer. */
  readonly readEngine: () => Promise<staging.EngineState | null>
  readonly engine: staging.StagedEngine
  readonly onEvent: (event: string, fields: Readonly<Record<string, string | number | boolean>>) => void
  /** Records a duration in milliseconds in the histogram of that name. */
  readonly observe: (name: string, milliseconds: number) => void
  /** Milliseconds for which this process was paused since a time of the clock. */
  readonly pausedMsSince: (time: number) => number
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  readonly isStopped: () => boolean
}

/** The stage that an engine is ordered to load. */
export interface StagedWeights {
  readonly manifest: staging.StageManifest
  /** Verifies all pieces unless that was done shortly before, and writes wrong ones again; resolves to whether each was right when it was last read. */
  readonly ensureVerified: () => Promise<boolean>
  /** Verifies all pieces, and writes wrong ones again; resolves as above. */
  readonly repair: () => Promise<boolean>
  /** Monotonic time in milliseconds at which pieces were last written; -Infinity if none were. */
  readonly writtenAt: () => number
}

/** Loads versions into one engine. */
export interface VersionLoader {
  /** Resolves when the engine runs the version, or when this attempt to load it has failed. */
  readonly load: (ready: staging.NamedVersion, staged: StagedWeights, state: staging.EngineState, method: staging.SwitchMethod) => Promise<void>
  /** Records the engine's state. A version that it was seen to hold in part is not trusted until this process has verified it, since an order of an ended process may complete it. */
  readonly noteState: (state: Pick<staging.EngineState, 'bornAt' | 'held' | 'layers'>) => void
  /** Whether the layers that an engine in this state holds were verified, as far as this process ordered them or saw them being completed. */
  readonly isTrusted: (state: Pick<staging.EngineState, 'bornAt' | 'held'>) => boolean
}

/** One order of a load. */
interface LoadStep {
  readonly name: 'discard' | 'body' | 'last' | 'whole'
  readonly layers: staging.LayerRange
  /** Layers that the engine takes from its stage. */
  readonly taken: staging.LayerRange
}

/** An engine process whose layers but the last one are known to be right. */
interface VerifiedBody {
  readonly bornAt: number | null
  readonly version: number
  readonly sequence: number
}

/** Orders without an answer, one of which the engine may have taken at any time. */
interface UnansweredOrders {
  readonly bornAt: number | null
  /** Version of the last one. */
  readonly version: number
  /** Order count of the engine once it has taken one of them. */
  readonly sequence: number
  /** Monotonic time in milliseconds at which the first one was sent. */
  readonly sentAt: number
}

/** Monotonic times of an order in milliseconds, for its log line. */
interface OrderTimes {
  /** Beginning of the request, before its connection was open. */
  readonly beganAt: number
  /** When it was written, or withdrawn. */
  readonly sentAt: number
  /** When the oldest read that it relies on was sent; -Infinity if it relies on none. */
  readonly checkedAt: number
  /** Milliseconds for which the process was paused between the last two. */
  readonly pausedMs: number
}

/** A version of an engine process whose pieces were not found right after their last order. */
interface UnverifiedVersion {
  readonly bornAt: number | null
  readonly version: number
  /** Monotonic time in milliseconds at which its first order that completes the layers was sent by this process; -Infinity if it may have been sent by another one. */
  readonly orderedAt: number
}

/**
 * Longest age of the reads of the last layer's pieces when their order is written. A piece may have been bad for 3 s when it is taken; the engine has the rest of that time to
 * take the order.
 */
const LAST_CHECK_VALID_MS = 1000
/** The last layer has few pieces, whose reads must not wait for each other. */
const LAST_CHECK_CONCURRENCY = 16
/** Most orders of one load, which takes two, and two more each time that the engine takes wrong pieces; a later step of the agent begins anew. */
const MAXIMUM_STEPS = 8
const POLL_MS = 50
/** Interval of polls while the last layer is loaded, which takes less time than the others. */
const LAST_POLL_MS = 20
/** Time after an order until which an engine that reports itself idle may not have begun it. */
const ORDER_SETTLE_MS = 100
/** An order without an answer is taken within this time, or taken for lost. */
const UNANSWERED_ORDER_MS = 1000

/**
 * Creates the loader of one engine.
 *
 * @param options - Engine and clock.
 * @returns The loader.
 */
export function createVersionLoader (options: LoaderOptions): VersionLoader {
  let verifiedBody: VerifiedBody | null = null
  let unanswered: UnansweredOrders | null = null
  /** The version that the engine didn't hold completely, and whose pieces were not yet found right after its last order. */
  let unverified: UnverifiedVersion | null = null

  async function load (ready: staging.NamedVersion, staged: StagedWeights, first: staging.EngineState, method: staging.SwitchMethod): Promise<void> {
    const startedAt = options.now()
    let state: staging.EngineState | null = first
    noteState(first)
    await verifyLateBody(staged, first)
    for (let steps = 0; steps < MAXIMUM_STEPS && state !== null && !options.isStopped(); steps += 1) {
      const isHeld = state.held === ready.id.version
      // Where a model has one layer, an engine that holds it takes nothing anew.
      if (state.isLeaving || (isHeld && (isTrusted(state) || state.layerCount === 1))) break
      const step = chooseStep(state, ready.id.version)
      // Only the first order meets calls of the old version: without all layers the engine has none.
      state = await takeStep(step, ready, staged, state, steps === 0 ? method : 'finish')
    }
    const isSwitched = state !== null && state.held === ready.id.version && isTrusted(state)
    options.onEvent(isSwitched ? 'version-switched' : 'version-not-switched', { version: ready.id.version, tookMs: Math.round(options.now() - startedAt), afterMs: Math.round(options.now() - ready.namedAt) })
  }

  function chooseStep (state: staging.EngineState, version: number): LoadStep {
    const { bornAt, sequence, layers, layerCount } = state
    const whole = { from: 0, to: layerCount }
    if (layerCount === 1) return { name: 'whole', layers: whole, taken: whole }
    const body = { from: 0, to: layerCount - 1 }
    const last = { from: layerCount - 1, to: layerCount }
    // An order without an answer may have been refused, and another one taken in its place.
    const isBodyVerified = holdsBody(state, version) && verifiedBody !== null && verifiedBody.bornAt === bornAt && verifiedBody.version === version && verifiedBody.sequence === sequence
    if (isBodyVerified) return { name: 'last', layers: whole, taken: last }
    // An engine keeps the layers that it holds of a version, so that those taken before are dropped first.
    const holdsBodyLayers = layers !== null && layers.version === version && layers.from < body.to
    return holdsBodyLayers ? { name: 'discard', layers: last, taken: last } : { name: 'body', layers: body, taken: body }
  }

  /** Gives one order and waits until it is done; resolves to the engine's state then, or to null if the load can't go on. */
  async function takeStep (step: LoadStep, ready: staging.NamedVersion, staged: StagedWeights, state: staging.EngineState, method: staging.SwitchMethod): Promise<staging.EngineState | null> {
    const { id } = ready
    if (step.name === 'body' && !await staged.ensureVerified()) return null
    const completesLayers = step.name === 'last' || step.name === 'whole'
    const pieces = listPieces(step.taken, state.layerCount, staged.manifest.digests.length)
    const check = completesLayers ? await verifyStage.verifyStage(options.engine, staged.manifest, pieces, options.now, LAST_CHECK_CONCURRENCY) : null
    if (check !== null && check.wrong.length > 0) return await staged.repair() ? state : null
    const checkedAt = check?.oldestReadAt ?? -Infinity
    const beganAt = options.now()
    if (completesLayers && (unverified === null || unverified.bornAt !== state.bornAt || unverified.version !== id.version)) unverified = { bornAt: state.bornAt, version: id.version, orderedAt: beganAt }
    let sentAt = beganAt
    let pausedMs = 0
    const outcome = await options.engine.start({
      id,
      sequence: state.sequence,
      method,
      layers: step.layers.to - step.layers.from === state.layerCount ? null : step.layers,
      mayStillSend: () => {
        sentAt = options.now()
        pausedMs = options.pausedMsSince(checkedAt)
        return !completesLayers || sentAt - checkedAt <= LAST_CHECK_VALID_MS
      }
    })
    logOrder(ready, step, state, method, outcome, { beganAt, sentAt, checkedAt, pausedMs })
    if (outcome === 'unknown') noteUnanswered(state, id.version, beganAt)
    if (outcome === 'unsent' && completesLayers) return await options.readEngine()
    const isTaken = outcome === 'begun' || outcome === 'done' || (outcome === 'unknown' && await waitUntilTaken(state))
    if (!isTaken) return null
    const [after, afterwards] = await Promise.all([
      step.name === 'discard' ? null : verifyStage.verifyStage(options.engine, staged.manifest, pieces, options.now),
      waitUntilDone(id.version, step)
    ])
    if (after === null) return afterwards
    if (after.wrong.length > 0) {
      options.onEvent('load-discarded', { version: id.version, step: step.name, wrong: after.wrong.length })
      return await staged.repair() ? afterwards : null
    }
    if (outcome === 'unknown' && !isStageUnchanged(staged)) return afterwards
    // The engine may have taken the layers at an earlier order, and nothing at this one.
    if (outcome === 'done' && completesLayers && unverified !== null && staged.writtenAt() >= unverified.orderedAt) return null
    if (completesLayers) unverified = null
    else verifiedBody = { bornAt: state.bornAt, version: id.version, sequence: state.sequence + 1 }
    return afterwards
  }

  function noteUnanswered ({ bornAt, sequence: before }: staging.EngineState, version: number, sentAt: number): void {
    const sequence = before + 1
    const isFirst = unanswered === null || unanswered.bornAt !== bornAt || unanswered.sequence !== sequence
    unanswered = { bornAt, version, sequence, sentAt: isFirst ? sentAt : (unanswered as UnansweredOrders).sentAt }
  }

  /** Whether nothing was written since the first of the unanswered orders: otherwise the stage says nothing about what the engine took. */
  function isStageUnchanged (staged: StagedWeights): boolean {
    return unanswered !== null && staged.writtenAt() < unanswered.sentAt
  }

  /** Verifies the layers that an unanswered order has loaded after the load that gave it. */
  async function verifyLateBody (staged: StagedWeights, state: staging.EngineState): Promise<void> {
    const { version } = staged.manifest.id
    if (unanswered === null || unanswered.bornAt !== state.bornAt || unanswered.version !== version || unanswered.sequence !== state.sequence) return
    if (!holdsBody(state, version) || !isStageUnchanged(staged)) return
    const pieces = listPieces({ from: 0, to: state.layerCount - 1 }, state.layerCount, staged.manifest.digests.length)
    const { wrong } = await verifyStage.verifyStage(options.engine, staged.manifest, pieces, options.now)
    if (wrong.length === 0) verifiedBody = unanswered
  }

  function logOrder ({ id, namedAt }: staging.NamedVersion, step: LoadStep, state: staging.EngineState, method: staging.SwitchMethod, outcome: staging.OrderOutcome, { beganAt, sentAt, checkedAt, pausedMs }: OrderTimes): void {
    const answeredMs = options.now() - beganAt
    options.observe('order_answer', answeredMs)
    if (checkedAt > -Infinity) options.observe('stage_age_at_order', sentAt - checkedAt)
    options.onEvent('version-ordered', {
      version: id.version,
      held: state.held,
      step: step.name,
      method,
      outcome,
      running: state.running,
      afterMs: Math.round(options.now() - namedAt),
      answeredMs: Math.round(answeredMs),
      ...(checkedAt > -Infinity ? { oldestReadMs: Math.round(sentAt - checkedAt), pausedMs: Math.round(pausedMs) } : {})
    })
  }

  /** Waits until the engine's order count shows that it took an order that it didn't answer. */
  async function waitUntilTaken ({ bornAt, sequence }: staging.EngineState): Promise<boolean> {
    const state = await pollEngine((next) => next.bornAt !== bornAt || next.sequence > sequence, UNANSWERED_ORDER_MS, POLL_MS)
    return state !== null && state.bornAt === bornAt && state.sequence === sequence + 1
  }

  /** Waits until the engine holds what it was ordered to, or is no longer busy with it. */
  async function waitUntilDone (version: number, { name, layers }: LoadStep): Promise<staging.EngineState | null> {
    const startedAt = options.now()
    const completesLayers = name === 'last' || name === 'whole'
    const isHeld = (state: staging.EngineState): boolean => completesLayers ? state.held === version : state.layers?.version === version && state.layers.from === layers.from && state.layers.to === layers.to
    const isDone = (state: staging.EngineState): boolean => options.isStopped() || (!state.isBusy && (isHeld(state) || options.now() - startedAt >= ORDER_SETTLE_MS))
    return await pollEngine(isDone, Infinity, name === 'last' ? LAST_POLL_MS : POLL_MS)
  }

  /** Polls the engine's state until the condition holds, the time is over or the engine does not answer. */
  async function pollEngine (isDone: (state: staging.EngineState) => boolean, maximumMs: number, intervalMs: number): Promise<staging.EngineState | null> {
    const endsAt = options.now() + maximumMs
    for (;;) {
      await types.delay(intervalMs)
      const state = await options.readEngine()
      if (state === null || isDone(state) || options.now() >= endsAt) return state
    }
  }

  function noteState ({ bornAt, held, layers }: Pick<staging.EngineState, 'bornAt' | 'held' | 'layers'>): void {
    if (layers !== null && layers.version !== held) unverified = { bornAt, version: layers.version, orderedAt: -Infinity }
  }

  function isTrusted ({ bornAt, held }: Pick<staging.EngineState, 'bornAt' | 'held'>): boolean {
    return unverified === null || unverified.bornAt !== bornAt || unverified.version !== held
  }

  return { load, noteState, isTrusted }
}

/** Whether the engine holds exactly the layers of a version without the last one. */
function holdsBody ({ layers, layerCount }: staging.EngineState, version: number): boolean {
  return layers !== null && layers.version === version && layers.from === 0 && layers.to === layerCount - 1
}

/** Lists the pieces that layers of a model are made of; neighbouring layers may share one. */
function listPieces ({ from, to }: staging.LayerRange, layerCount: number, pieceCount: number): number[] {
  const first = Math.floor(from * pieceCount / layerCount)
  const end = Math.ceil(to * pieceCount / layerCount)
  return Array.from({ length: end - first }, (_, index) => first + index)
}
