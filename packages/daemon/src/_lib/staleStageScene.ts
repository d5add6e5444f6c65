/**
 * A change of versions in which pieces turn bad in the stage of an engine: agents and a gateway are processes of their own, callers ask for streams all the time, and
 * trouble strikes when a request reaches the engine.
 */
import * as assert from 'node:assert/strict'
import type * as nodeTest from 'node:test'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as fleetTesting from './fleetTesting.js'
import * as programTesting from './programTesting.js'

/** Moments of a change, as the engine sees them. */
export type Moment =
  /** A request of any kind arrives. */
  | 'at-request'
  /** Few pieces have been read back. */
  | 'early-read-back'
  /** Half of the pieces have been read back. */
  | 'amid-read-back'
  /** The last pieces are read back. */
  | 'last-reads'
  /** The stage has been read back, and the agent reads nothing more of it. */
  | 'after-check'
  /** The agent asks for a report after that. */
  | 'amid-pause'
  /** An order arrives. */
  | 'at-order'

/** Trouble at a moment of a change. */
export interface Strike {
  readonly moment: Moment
  /** Orders of the new version that the engine has got before the moment. */
  readonly afterOrders: number
  /** Requests that the engine has got before the moment since the version was named, or since the strike before. */
  readonly afterRequests: number
  /** Milliseconds from the moment to the trouble; pieces turn bad at the moment. */
  readonly afterMs: number
  readonly kind: 'freeze' | 'kill-agent' | 'crash-engine' | 'power-loss' | 'none'
  /** How long the agent or the engine is away. */
  readonly forMs: number
  /** Fractions of the pieces that were read so far, in the order of their last reads, at which pieces turn bad. */
  readonly spoil: readonly number[]
}

/** Options of {@link playStaleStage}. */
export interface StaleStageOptions {
  /** Distinguishes scenes that run at the same time. */
  readonly network: number
  /** Version that the engines hold at first, 0 for none. */
  readonly held: 0 | 1
  /** Number of engines, each with an agent; trouble strikes the first one. */
  readonly engines: number
  /** Milliseconds until no call may begin on an older version. */
  readonly versionMs: number
  readonly delays?: Partial<testing.EngineDelays>
  /** Milliseconds by which the delays of the engine prolong a change. */
  readonly delayedMs?: number
  readonly strikes: readonly Strike[]
  /** Whether the scene fails if one of the strikes doesn't come about. */
  readonly mustStrike?: boolean
}

/** What was seen. */
export interface StaleStageReport {
  /** Problems, described; empty if every answer was made with the right weights and the new version was served in time. */
  readonly problems: readonly string[]
  readonly strikes: number
  /** Methods of the orders that the disturbed engine took. */
  readonly methods: readonly string[]
  /** What the agent logged, and what the engine took. */
  readonly trace: string
}

const PIECES = 96
const PIECE_BYTES = 2048
const LAYERS = 16
const OLD_VERSION = 1
const NEW_VERSION = 2
const SWITCH_MS = 300
const CALL_INTERVAL_MS = 100
/** The engine has to serve the new version by the version's bound, the length of the trouble and this. */
const RECOVERY_MS = 8000
/** Calls go on for this long after the engine serves the new version. */
const SETTLE_MS = 1000
const POLL_MS = 20
/** Pieces of all layers but the last. */
const CHECKED_PIECES = PIECES - PIECES / LAYERS
/** Without a read for this long a check of the stage is complete. */
const QUIET_MS = 20
const EARLY_PIECES = 8
const OK = 200

/**
 * Plays one change of versions.
 *
 * @param context - The test; all processes are ended with it.
 * @param options - Versions, delays and trouble.
 * @returns What was seen.
 */
export async function playStaleStage (context: nodeTest.TestContext, options: StaleStageOptions): Promise<StaleStageReport> {
  const fleet = await fleetTesting.createTestFleet(context, PIECES, { pieceBytes: PIECE_BYTES, layers: LAYERS })
  fleet.configure(({ services }) => {
    for (const { engine } of services) if (engine !== undefined) Object.assign(engine as object, { layers: LAYERS, chunkBytes: PIECE_BYTES })
  })
  const gatewayHost = formatHost(options.network, 0)
  const bounds = `[bounds]\nversion_ms = ${options.versionMs}\n`
  const agentHosts = Array.from({ length: options.engines }, (_, index) => formatHost(options.network, index + 1))
  const engines = await Promise.all(agentHosts.map(async (host, index) => await startEngine(fleet, host, `i-${index}`, options.held)))
  const [engine] = engines as [testing.EngineStandIn]
  const gateway = programTesting.startProgram(context, programTesting.formatGatewaySettings(fleet, gatewayHost, bounds))
  const startAgent = (index: number): programTesting.StartedProgram => {
    const host = agentHosts[index] as string
    const settings = programTesting.formatAgentSettings(fleet, host, (engines[index] as testing.EngineStandIn).address, gatewayHost, bounds)
    return programTesting.startProgram(context, settings.replace('node = "agent"', `node = "agent-${index}"`))
  }
  const agents = agentHosts.map((_, index) => startAgent(index))
  const disturbed = [agents[0] as programTesting.StartedProgram]
  await Promise.all([gateway, ...agents].map(async (program) => { await program.waitForOutput('event=started') }))
  const callers = { host: gatewayHost, port: fleet.ports.callers }
  if (options.held > 0) await fleetTesting.waitWithLimit(async () => (await callStream(callers, 'first')).status === OK)
  const calls = startCallers(callers)
  Object.assign(engine.delays, options.delays)
  engine.load.waiting = 1
  const trouble = createTrouble(options.strikes, engine, () => disturbed.at(-1) as programTesting.StartedProgram, () => { disturbed.push(startAgent(0)) })
  const namedAt = performance.now()
  fleet.store.put('versions', fleetTesting.MODEL, { model: fleetTesting.MODEL, version: NEW_VERSION })
  const hasServed = (): boolean => trouble.isOver() && calls.answered.some(({ version, engineId, at }) => version === NEW_VERSION && engineId === engine.id && at > trouble.endedAt())
  const readBoundMs = (): number => options.versionMs + trouble.plannedMs() + (options.delayedMs ?? 0) + RECOVERY_MS
  while (!hasServed() && performance.now() < namedAt + readBoundMs()) await types.delay(POLL_MS)
  const isInTime = hasServed()
  if (isInTime) await types.delay(SETTLE_MS)
  await calls.stop()
  const problems = [
    ...describeFaults(engines),
    ...(isInTime ? [] : [`the new version is not served ${Math.round(performance.now() - namedAt)} ms after it was named`]),
    ...(options.mustStrike === false || trouble.struck() === options.strikes.length ? [] : [`only ${trouble.struck()} of ${options.strikes.length} strikes came about`])
  ]
  return { problems, strikes: trouble.struck(), methods: engine.orderMethods, trace: formatTrace(engine, namedAt, disturbed, trouble.notes) }
}

function formatHost (network: number, host: number): string {
  return `127.${60 + Math.floor(network / 200)}.${network % 200}.${host + 1}`
}

async function startEngine (fleet: fleetTesting.TestFleet, host: string, id: string, held: number): Promise<testing.EngineStandIn> {
  const engine = await fleet.startEngine({ id, host, model: fleetTesting.MODEL, version: held, layers: LAYERS, switchMs: SWITCH_MS, reportsStart: true, digestsOf: fleet.origin.digestsOf })
  if (held > 0) for (let piece = 0; piece < PIECES; piece += 1) engine.stage.set(piece, fleet.origin.pieceOf(OLD_VERSION, piece))
  return engine
}

async function callStream (gateway: types.Address, id: string): Promise<testing.CallerAnswer> {
  return await fleetTesting.callService(gateway, fleetTesting.STREAM_SERVICE, id)
}

interface Answered {
  readonly version: number
  readonly engineId: string
  /** Monotonic time in milliseconds at which it was complete. */
  readonly at: number
}

interface Callers {
  readonly answered: readonly Answered[]
  readonly stop: () => Promise<void>
}

/** Starts callers that ask for streams at a constant rate, whatever becomes of earlier ones. */
function startCallers (gateway: types.Address): Callers {
  const answered: Answered[] = []
  const open = new Set<Promise<void>>()
  let count = 0

  async function call (): Promise<void> {
    const { status, isWhole, headers } = await callStream(gateway, `call-${count++}`)
    if (status === OK && isWhole) answered.push({ ...testing.readServingEngine(headers), at: performance.now() })
  }

  const timer = setInterval(() => {
    const calling = call()
    open.add(calling)
    void calling.finally(() => { open.delete(calling) })
  }, CALL_INTERVAL_MS)
  return {
    answered,
    stop: async () => {
      clearInterval(timer)
      await Promise.all(open)
    }
  }
}

interface Trouble {
  readonly notes: readonly string[]
  /** Number of strikes that came about. */
  readonly struck: () => number
  readonly isOver: () => boolean
  readonly endedAt: () => number
  /** Planned length of the strikes that came about. */
  readonly plannedMs: () => number
}

/** Strikes in the given order, each at the first such moment after the one before it. */
function createTrouble (strikes: readonly Strike[], engine: testing.EngineStandIn, agent: () => programTesting.StartedProgram, restartAgent: () => void): Trouble {
  /** Monotonic time in milliseconds of the last read of each piece since the last order, in the order of these reads. */
  const reads = new Map<number, number>()
  const notes: string[] = []
  let orders = 0
  let requests = 0
  let struck = 0
  let open = 0
  let endedAt = -Infinity
  let plannedMs = 0
  let quietTimer: NodeJS.Timeout | undefined

  function reach (moment: Moment): void {
    const strike = strikes[struck]
    if (strike === undefined || open > 0 || strike.moment !== moment || orders < strike.afterOrders || requests < strike.afterRequests) return
    struck += 1
    open += 1
    requests = 0
    plannedMs += strike.afterMs + strike.forMs
    const order = [...reads.keys()]
    const spoilt = order.length === 0 ? [] : strike.spoil.map((fraction) => order[Math.min(order.length - 1, Math.floor(fraction * order.length))] as number)
    for (const piece of spoilt) engine.spoilPiece(piece)
    notes.push(`${Math.round(performance.now())} ${moment} after ${orders} orders: ${strike.kind}, pieces ${spoilt.join()}`)
    void strikeOnce(strike).finally(() => {
      open -= 1
      endedAt = performance.now()
    })
  }

  function countRequest (): void {
    requests += 1
    reach('at-request')
  }

  async function strikeOnce ({ kind, forMs, afterMs }: Strike): Promise<void> {
    if (afterMs > 0) await types.delay(afterMs)
    const { child } = agent()
    if (kind === 'none') return
    if (kind === 'crash-engine' || kind === 'power-loss') {
      await engine.crash(forMs, kind === 'power-loss')
      return
    }
    child.kill(kind === 'freeze' ? 'SIGSTOP' : 'SIGKILL')
    await types.delay(forMs)
    if (kind === 'freeze') child.kill('SIGCONT')
    else restartAgent()
  }

  Object.assign(engine.hooks, {
    onStageWrite: countRequest,
    onStageRead: (piece: number) => {
      reads.delete(piece)
      reads.set(piece, performance.now())
      countRequest()
      if (reads.size === EARLY_PIECES) reach('early-read-back')
      if (reads.size === PIECES / 2) reach('amid-read-back')
      if (reads.size >= CHECKED_PIECES) reach('last-reads')
      clearTimeout(quietTimer)
      if (reads.size >= CHECKED_PIECES) quietTimer = setTimeout(() => { reach('after-check') }, QUIET_MS)
    },
    onReport: () => {
      countRequest()
      const lastReadAt = [...reads.values()].at(-1)
      if (reads.size >= CHECKED_PIECES && performance.now() - (lastReadAt ?? 0) > QUIET_MS) reach('amid-pause')
    },
    onOrder: ({ version }) => {
      countRequest()
      if (version !== NEW_VERSION) return
      clearTimeout(quietTimer)
      reach('at-order')
      orders += 1
      reads.clear()
    }
  } satisfies testing.EngineHooks)
  return { notes, struck: () => struck, isOver: () => open === 0, endedAt: () => endedAt, plannedMs: () => plannedMs }
}

function describeFaults (engines: readonly testing.EngineStandIn[]): string[] {
  return engines.flatMap(({ id, faultyAnswers }) => {
    const [first] = faultyAnswers
    if (first === undefined) return []
    return [`${faultyAnswers.length} answers of ${id} on faulty layers, the first: ${first.requestId} on version ${first.version}, ${formatPieces(first.badPieces)}`]
  })
}

function formatPieces (pieces: readonly testing.BadPiece[]): string {
  return pieces.map(({ layer, piece, badMs }) => `piece ${piece} of layer ${layer} bad for ${Math.round(badMs)} ms`).join(', ')
}

function formatTrace (engine: testing.EngineStandIn, namedAt: number, agents: readonly programTesting.StartedProgram[], notes: readonly string[]): string {
  const orders = engine.acceptedOrders.map(({ version, source, targetVersion, method, badPieces, at }) => `${Math.round(at)} takes [${source},${targetVersion}) of ${version} (${method}) ${formatPieces(badPieces)}`)
  const events = agents.map((agent) => agent.output().split('\n').filter((line) => /event=(version|stage|unload|engine|paused)/.test(line)).join('\n'))
  return [`named at ${Math.round(namedAt)}`, ...notes, ...orders, `holds ${JSON.stringify(engine.heldLayers())}`, ...events].join('\n')
}

/** Fails with the trace if there are problems. */
export function assertNoProblems ({ problems, trace }: StaleStageReport): void {
  assert.deepEqual(problems, [], `${problems.join('; ')}\n${trace}`)
}
