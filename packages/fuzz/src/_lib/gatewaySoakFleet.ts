/** The fleet of a soak of gateways and agents: each daemon is a process of the bundled program; the platform's services and the engines run in this process. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'
import * as launcher from '@switchridge/launcher'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as gatewaySoakPlan from './gatewaySoakPlan.js'

/** One start of a daemon until its end. Times are of the monotonic clock in milliseconds. */
export interface Incarnation {
  readonly node: string
  readonly role: 'gateway' | 'agent'
  readonly startedAt: number
  /** Signals in the order in which they were sent. */
  readonly signals: Array<{ readonly signal: NodeJS.Signals, readonly at: number }>
  exitedAt: number | null
  /** Exit code; null while it runs and if a signal ended it. */
  code: number | null
  /** Whether it was killed because it still ran at the end of the grace period. */
  wasOverdue: boolean
  readonly logFile: string
}

const STOP_SIGNALS: ReadonlySet<NodeJS.Signals> = new Set(['SIGTERM', 'SIGINT'])

/** When a process got the first signal that stops it; null if it got none. */
export function findStop ({ signals }: Pick<Incarnation, 'signals'>): number | null {
  return signals.find(({ signal }) => STOP_SIGNALS.has(signal))?.at ?? null
}

/** A daemon that is started again when it has ended. */
export interface SoakNode {
  readonly node: string
  readonly role: 'gateway' | 'agent'
  readonly hall: number
  readonly host: string
  readonly incarnations: Incarnation[]
  /** Sends a signal if the process runs. The first signal that stops it is followed by SIGKILL after the grace period. */
  readonly signal: (signal: NodeJS.Signals) => void
  readonly isRunning: () => boolean
  /** How the next start is to be done. */
  next: { downMs: number, reloadsAfterStartMs: readonly number[] }
  /** Writes the settings file; `torn` writes only the first half of it. */
  readonly changeSettings: (torn: boolean) => void
}

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
  readonly incarnations: testing.EngineStandIn[]
  /** Ends at once with all connections, and starts again. */
  readonly crash: (downMs: number) => Promise<void>
  /** States that it leaves, serves on, ends when nothing runs any more, and starts again. */
  readonly leave: (downMs: number) => Promise<void>
}

/** A configuration that was in force from a time on. */
export interface ConfiguredTimeouts {
  readonly at: number
  readonly timeoutMsByRoute: ReadonlyMap<string, number>
}

/** The running fleet. */
export interface GatewaySoakFleet {
  readonly nodes: readonly SoakNode[]
  readonly engines: readonly SoakEngine[]
  readonly runs: readonly EngineRun[]
  readonly configurations: readonly ConfiguredTimeouts[]
  readonly callerAddressOf: (node: SoakNode) => types.Address
  readonly readinessAddressOf: (node: SoakNode) => types.Address
  readonly configure: (change: (configuration: testing.Configuration, turn: number) => void) => void
  readonly nameVersion: () => void
  /** Starts no process or engine again. */
  readonly noteEnding: () => void
}

/** The platform's services, and the servers of all engines that were started. */
export interface PlatformServices {
  readonly store: testing.StoreStandIn
  readonly origin: testing.OriginStandIn
  readonly servers: Array<{ readonly close: () => void }>
  readonly close: () => void
}

export const MODEL = 'model-a'
export const API_KEY = 'key-of-tenant-one'
export const STREAM_SERVICE = 'llm'
export const PLAIN_SERVICES = ['api', 'api-2'] as const
const PLAIN_ENGINES = 2
const PIECES = 8
const PROGRAM = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../../../../target/switchridged.js')
/** The platform passes the path of the settings file in this environment variable. */
const SETTINGS_VARIABLE = 'SWITCHRIDGE_NODE_FILE'
/** Loopback networks that differ for soaks that run at the same time. */
const FIRST_NETWORK = 80
const NETWORKS = 100
const DOWN_MS = 300
/** An engine that has stated that it leaves serves for this long. */
const ENGINE_DRAIN_MS = 2000
const ENGINE_LINGER_MS = 6000
const POLL_MS = 100
const HALL_NAMES = 'abcdefgh'

/** Starts the platform's services. */
export async function startPlatformServices (): Promise<PlatformServices> {
  const store = await testing.createStoreStandIn()
  const origin = await testing.createOriginStandIn(PIECES)
  const servers: PlatformServices['servers'] = [store, origin]
  return { store, origin, servers, close: () => { for (const server of servers) server.close() } }
}

/**
 * Starts the fleet.
 *
 * @param processes - Starts the processes and keeps their settings and logs.
 * @param services - The platform's services.
 * @param size - Size of the fleet.
 * @param graceMs - Milliseconds from SIGTERM to SIGKILL.
 * @returns The fleet, whose daemons may not be ready yet.
 */
export async function startGatewaySoakFleet (processes: launcher.Launcher, { store, origin, servers }: PlatformServices, size: gatewaySoakPlan.GatewaySoakSize, graceMs: number): Promise<GatewaySoakFleet> {
  const [internalPort = 0, callerPort = 0, readinessPort = 0, enginePort = 0] = await launcher.findPorts(4)
  const network = FIRST_NETWORK + process.pid % NETWORKS
  const runs: EngineRun[] = []
  const configurations: ConfiguredTimeouts[] = []
  let configuration = createSoakConfiguration(testing.formatAddress(origin.address), size.slots)
  let isEnding = false
  let version = 1
  let engineIds = 0

  function writeConfiguration (): void {
    store.put(platform.OBJECT_KINDS.configuration, platform.CONFIGURATION_NAME, configuration)
    configurations.push({ at: performance.now(), timeoutMsByRoute: new Map(configuration.routes.map((route) => [String(route.name), Number(route.timeoutMs)])) })
  }

  async function startEngine (service: string, hall: number, host: string): Promise<SoakEngine> {
    const incarnations: testing.EngineStandIn[] = []
    const open = new Set<EngineRun>()

    function register (engine: testing.EngineStandIn, state: 'ready' | 'draining'): void {
      const model = service === STREAM_SERVICE ? { name: MODEL, version: engine.version() } : undefined
      store.put(platform.OBJECT_KINDS.backEnds, engine.id, { ...testing.describeEngine(engine, service, nameZone(hall), model) as object, slots: size.slots, state })
    }

    async function start (): Promise<testing.EngineStandIn> {
      const id = `i-${engineIds++}`
      const engine: testing.EngineStandIn = await testing.createEngineStandIn({
        id,
        host,
        port: enginePort,
        ...(service === STREAM_SERVICE ? { model: MODEL, version: 0, digestsOf: origin.digestsOf } : {}),
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
      servers.push(engine)
      incarnations.push(engine)
      register(engine, 'ready')
      return engine
    }

    async function end (engine: testing.EngineStandIn, downMs: number): Promise<void> {
      for (const run of open) run.isEngineEnded = true
      engine.close()
      store.remove(platform.OBJECT_KINDS.backEnds, engine.id)
      await types.delay(downMs)
      if (!isEnding) current = await start()
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

  function startNode (role: SoakNode['role'], hall: number, host: string, name: string, section: string): SoakNode {
    const settingsFile = path.join(processes.folder, `${name}.toml`)
    const incarnations: Incarnation[] = []
    let running: launcher.LaunchedProcess | null = null
    let settingsTurn = 0

    function changeSettings (torn: boolean): void {
      settingsTurn += 1
      const text = `role = "${role}"\nnode = "${name}"\nzone = "${nameZone(hall)}"\nregion = "region-a"\nhost = "${host}"\nseeds = [${seeds.map((seed) => `"${seed}:1"`).join()}]\ninternal_port = ${internalPort}\n` +
        `[store]\naddress = "${testing.formatAddress(store.address)}"\n${section}[limits]\ngrace_seconds = ${graceMs / types.MILLISECONDS_IN_SECOND}\n[waiting]\nmaximum_calls = ${size.waitingCalls}\n# Change ${settingsTurn}\n`
      fs.writeFileSync(settingsFile, torn ? text.slice(0, text.length / 2) : text)
    }

    function start (): void {
      const started = processes.start(`${name}.${incarnations.length}`, PROGRAM, [], { [SETTINGS_VARIABLE]: settingsFile })
      const incarnation: Incarnation = { node: name, role, startedAt: performance.now(), signals: [], exitedAt: null, code: null, wasOverdue: false, logFile: started.logFile }
      incarnations.push(incarnation)
      running = started
      for (const afterMs of node.next.reloadsAfterStartMs) setTimeout(() => { if (running === started) signal('SIGHUP') }, afterMs)
      void started.exited.then(async (code) => {
        running = null
        incarnation.exitedAt = performance.now()
        incarnation.code = code
        await types.delay(node.next.downMs)
        node.next = { ...node.next, downMs: DOWN_MS }
        if (!isEnding) start()
      })
      node.next = { downMs: DOWN_MS, reloadsAfterStartMs: [] }
    }

    function signal (sent: NodeJS.Signals): void {
      const incarnation = incarnations.at(-1)
      const target = running
      if (incarnation === undefined || target === null) return
      const isFirstStop = STOP_SIGNALS.has(sent) && findStop(incarnation) === null
      incarnation.signals.push({ signal: sent, at: performance.now() })
      target.kill(sent)
      if (!isFirstStop) return
      setTimeout(() => {
        if (running !== target) return
        incarnation.wasOverdue = true
        target.kill('SIGKILL')
      }, graceMs).unref()
    }

    const node: SoakNode = { node: name, role, hall, host, incarnations, signal, isRunning: () => running !== null, next: { downMs: DOWN_MS, reloadsAfterStartMs: [] }, changeSettings }
    changeSettings(false)
    start()
    return node
  }

  writeConfiguration()
  const gatewayHosts = size.gateways.flatMap((count, hall) => Array.from({ length: count }, (_, index) => ({ hall, host: `127.${network}.${hall}.${index + 1}`, name: `gateway-${HALL_NAMES[hall] ?? ''}${index}` })))
  const agentHosts = size.agents.flatMap((count, hall) => Array.from({ length: count }, (_, index) => ({ hall, host: `127.${network}.${hall + size.gateways.length}.${index + 1}`, name: `agent-${HALL_NAMES[hall] ?? ''}${index}` })))
  const seeds = [...gatewayHosts, ...agentHosts].slice(0, 6).map(({ host }) => host)
  const plainHosts = PLAIN_SERVICES.flatMap((service, block) => Array.from({ length: PLAIN_ENGINES }, (_, index) => ({ service, hall: index % size.gateways.length, host: `127.${network}.${100 + block}.${index + 1}` })))
  const engines = [
    ...await Promise.all(agentHosts.map(async ({ hall, host }) => await startEngine(STREAM_SERVICE, hall, host))),
    ...await Promise.all(plainHosts.map(async ({ service, hall, host }) => await startEngine(service, hall, host)))
  ]
  const nodes = [
    ...gatewayHosts.map(({ hall, host, name }) => startNode('gateway', hall, host, name, `[listen]\ncallers = "${host}:${callerPort}"\nreadiness = "${host}:${readinessPort}"\n`)),
    ...agentHosts.map(({ hall, host, name }) => startNode('agent', hall, host, name, `[engine]\naddress = "${host}:${enginePort}"\nservice = "${STREAM_SERVICE}"\n`))
  ]
  return {
    nodes,
    engines,
    runs,
    configurations,
    callerAddressOf: ({ host }) => ({ host, port: callerPort }),
    readinessAddressOf: ({ host }) => ({ host, port: readinessPort }),
    configure: (change) => {
      configuration = structuredClone(configuration)
      configuration.version += 1
      change(configuration, configuration.version)
      writeConfiguration()
    },
    nameVersion: () => {
      version += 1
      store.put(platform.OBJECT_KINDS.versions, MODEL, { model: MODEL, version })
    },
    noteEnding: () => { isEnding = true }
  }
}

function nameZone (hall: number): string {
  return `zone-${HALL_NAMES[hall] ?? ''}`
}

function createSoakConfiguration (originAddress: string, slots: number): testing.Configuration {
  const configuration = testing.createConfiguration(originAddress, PIECES, MODEL, API_KEY)
  const plainRoute = { timeoutMs: 7000, targetLatencyMs: 2500 }
  const [read, write, , stream] = configuration.routes as [Record<string, unknown>, Record<string, unknown>, unknown, Record<string, unknown>]
  configuration.routes = [
    { ...read, ...plainRoute },
    { ...write, ...plainRoute },
    { ...stream, timeoutMs: 6000 },
    { ...stream, name: 'talk', pathPrefix: '/talk/', resumable: false, timeoutMs: 6000 },
    createRemovableRoute(read)
  ]
  const [plainService, streamService, weights] = configuration.services as [Record<string, unknown>, Record<string, unknown>, Record<string, unknown>]
  configuration.services = [
    ...PLAIN_SERVICES.map((name) => ({ ...plainService, name })),
    { ...streamService, engine: { ...streamService.engine as object, slots, kvCapacity: 1_000_000, step_ms: gatewaySoakPlan.STEP_MS } },
    weights
  ]
  configuration.limits.maxBodyBytes = 1_000_000
  return configuration
}

/** A route that comes and goes. */
export function createRemovableRoute (read: Record<string, unknown> | undefined): Record<string, unknown> {
  return { ...read, name: 'removable', pathPrefix: '/removable/', timeoutMs: 7000, targetLatencyMs: 2500 }
}

/** Reads the shape of an answer from the query of the request's path, where callers put it. */
function readShape (requestPath: string): testing.AnswerShape {
  const { searchParams } = new URL(requestPath, 'http://engine')
  const read = (name: string): number => Number(searchParams.get(name))
  return { events: read('events'), eventMs: read('eventMs'), eventBytes: read('eventBytes'), bytes: read('bytes'), delayMs: read('delayMs') }
}
