/** An engine of a soak, in the process of the soak; its successors use its address. */
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'

/** Work of an engine on a request. */
export interface EngineRun {
  readonly id: string
  readonly engine: string
  readonly beganAt: number
  endedAt: number
  isWhole: boolean
  /** Whether the engine ended while it worked on the request. */
  isEngineEnded: boolean
}

/** An engine whose successors use its address. */
export interface SoakEngine {
  readonly service: string
  readonly hall: number
  readonly host: string
  readonly incarnations: testing.EngineStandIn[]
  /** Ends at once with all connections, and starts again. */
  readonly crash: (downMs: number) => Promise<void>
  /** States that it leaves, serves on, ends when nothing runs any more, and starts again. */
  readonly leave: (downMs: number) => Promise<void>
}

/** Options of {@link startSoakEngine}. */
export interface SoakEngineOptions {
  readonly service: string
  readonly hall: number
  readonly zone: string
  readonly host: string
  readonly port: number
  readonly slots: number
  /** Model that it serves once an agent has ordered it; null for an engine without weights. */
  readonly model: string | null
  readonly store: testing.StoreStandIn
  readonly origin: testing.OriginStandIn
  /** Receives all runs. */
  readonly runs: EngineRun[]
  readonly createId: () => string
  /** Called with each server that is opened, so that it can be closed. */
  readonly onOpen: (server: testing.EngineStandIn) => void
  /** Whether it is started again. */
  readonly mayRestart: () => boolean
}

/** An engine that has stated that it leaves serves for this long. */
const ENGINE_DRAIN_MS = 2000
const ENGINE_LINGER_MS = 6000
const POLL_MS = 100

/**
 * Starts an engine and registers it at the store.
 *
 * @param options - What it is, and the platform's services.
 * @returns The engine.
 */
export async function startSoakEngine (options: SoakEngineOptions): Promise<SoakEngine> {
  const { service, hall, store, runs } = options
  const incarnations: testing.EngineStandIn[] = []
  const open = new Set<EngineRun>()

  function register (engine: testing.EngineStandIn, state: 'ready' | 'draining'): void {
    const model = options.model === null ? undefined : { name: options.model, version: engine.version() }
    store.put(platform.OBJECT_KINDS.backEnds, engine.id, { ...testing.describeEngine(engine, service, options.zone, model) as object, slots: options.slots, state })
  }

  async function start (): Promise<testing.EngineStandIn> {
    const id = options.createId()
    const engine: testing.EngineStandIn = await testing.createEngineStandIn({
      id,
      host: options.host,
      port: options.port,
      ...(options.model === null ? {} : { model: options.model, version: 0, digestsOf: options.origin.digestsOf }),
      shapeAnswer: readShape,
      onRun: (requestId) => {
        const run: EngineRun = { id: requestId, engine: id, beganAt: performance.now(), endedAt: Infinity, isWhole: false, isEngineEnded: false }
        runs.push(run)
        open.add(run)
        engine.load.running += 1
        return (isWhole) => {
          open.delete(run)
          engine.load.running -= 1
          run.endedAt = performance.now()
          run.isWhole = isWhole
        }
      }
    })
    options.onOpen(engine)
    incarnations.push(engine)
    register(engine, 'ready')
    return engine
  }

  async function end (engine: testing.EngineStandIn, downMs: number): Promise<void> {
    for (const run of open) run.isEngineEnded = true
    engine.close()
    store.remove(platform.OBJECT_KINDS.backEnds, engine.id)
    await types.delay(downMs)
    if (options.mayRestart()) current = await start()
  }

  let current = await start()
  let isChanging = false
  const changeOnce = async (change: () => Promise<void>): Promise<void> => {
    if (isChanging) return
    isChanging = true
    await change()
    isChanging = false
  }
  return {
    service,
    hall,
    host: options.host,
    incarnations,
    crash: async (downMs) => { await changeOnce(async () => { await end(current, downMs) }) },
    leave: async (downMs) => {
      await changeOnce(async () => {
        register(current, 'draining')
        await types.delay(ENGINE_DRAIN_MS)
        const endsBy = performance.now() + ENGINE_LINGER_MS
        while (open.size > 0 && performance.now() < endsBy) await types.delay(POLL_MS)
        await end(current, downMs)
      })
    }
  }
}

/** Reads the shape of an answer from the query of the request's path, where callers put it. */
function readShape (requestPath: string): testing.AnswerShape {
  const { searchParams } = new URL(requestPath, 'http://engine')
  const read = (name: string): number => Number(searchParams.get(name))
  return { events: read('events'), eventMs: read('eventMs'), eventBytes: read('eventBytes'), bytes: read('bytes'), delayMs: read('delayMs'), pauseMs: read('pauseMs') }
}
