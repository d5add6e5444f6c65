/** An engine in memory that changes its version of the weights on orders, and records which version each request begins on. */
import type * as gateway from '@switchridge/gateway'
import type * as staging from '@switchridge/staging'

/** A request that has arrived at the engine as a whole. */
export interface EngineRequest {
  readonly promptTokens: number
  /** Events that the engine sends. */
  readonly events: number
  /** Version that must serve the request; null for any. */
  readonly version: number | null
  readonly onBegin: (version: number) => void
  readonly onEvent: () => void
  readonly onEnd: () => void
  readonly onRefused: (reason: 'full' | 'other') => void
  /** The engine aborts the running request. */
  readonly onBroken: () => void
}

/** A simulated engine. */
export interface SimulatedVersionEngine {
  /** Takes a request; the returned function removes it when its connection has been closed. */
  readonly receive: (request: EngineRequest) => () => void
  readonly readState: () => staging.EngineState
  readonly start: staging.StagedEngine['start']
  readonly unload: staging.StagedEngine['unload']
}

interface Run {
  readonly request: EngineRequest
  timer: NodeJS.Timeout | undefined
  eventsLeft: number
}

const QUEUE_LIMIT = 16
const TOKENS_PER_EVENT = 5
const CHANGE_MS = 300
const FIRST_VERSION = 1

/**
 * Creates an idle engine that holds the first version.
 *
 * @param figures - Speeds, slots and layers.
 * @returns The engine.
 */
export function createSimulatedVersionEngine (figures: gateway.EngineFigures): SimulatedVersionEngine {
  /** Version of which it holds every layer, 0 for none. */
  let held = FIRST_VERSION
  const running = new Set<Run>()
  const waiting: Run[] = []
  /** Version that is held once the order under way is done. */
  let ordered: number | null = null
  let sequence = 0
  const eventMs = TOKENS_PER_EVENT * (figures.stepMs as number)

  function canBegin (): boolean {
    return ordered === null && running.size < figures.slots && waiting.length > 0
  }

  function beginWaiting (): void {
    while (canBegin()) begin(waiting.shift() as Run)
  }

  function begin (run: Run): void {
    const { request } = run
    if (held === 0 || (request.version !== null && request.version !== held)) return request.onRefused('other')
    running.add(run)
    request.onBegin(held)
    run.timer = setTimeout(() => { sendEvent(run) }, request.promptTokens / (figures.prefillTokensPerMs as number) + eventMs)
  }

  function sendEvent (run: Run): void {
    run.request.onEvent()
    run.eventsLeft -= 1
    if (run.eventsLeft > 0) {
      run.timer = setTimeout(() => { sendEvent(run) }, eventMs)
      return
    }
    run.request.onEnd()
    remove(run)
  }

  function remove (run: Run): void {
    clearTimeout(run.timer)
    if (waiting.includes(run)) waiting.splice(waiting.indexOf(run), 1)
    if (!running.delete(run)) return
    changeIfIdle()
    beginWaiting()
  }

  function changeIfIdle (): void {
    if (ordered === null || running.size > 0) return
    const next = ordered
    setTimeout(() => {
      held = next
      ordered = null
      beginWaiting()
    }, CHANGE_MS)
  }

  function takeOrder (version: number, expectedSequence: number, method: staging.SwitchMethod): staging.OrderOutcome {
    if (ordered !== null || expectedSequence !== sequence) return 'refused'
    sequence += 1
    ordered = version
    if (method === 'break-off') breakRuns()
    changeIfIdle()
    return 'begun'
  }

  function breakRuns (): void {
    for (const run of running) {
      clearTimeout(run.timer)
      run.request.onBroken()
    }
    running.clear()
  }

  return {
    receive: (request) => {
      const run: Run = { request, timer: undefined, eventsLeft: request.events }
      if (waiting.length >= QUEUE_LIMIT) {
        request.onRefused('full')
        return () => {}
      }
      waiting.push(run)
      beginWaiting()
      return () => { remove(run) }
    },
    readState: () => ({ bornAt: null, held, running: running.size, waiting: waiting.length, isBusy: ordered !== null, isLeaving: false, sequence, layers: null, layerCount: 1 }),
    start: async ({ id, sequence: expectedSequence, method }) => takeOrder(id.version, expectedSequence, method),
    unload: async (_id, expectedSequence) => takeOrder(0, expectedSequence, 'finish')
  }
}
