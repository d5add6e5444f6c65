/** The fleet of a soak of gateways and agents: each daemon is a process of the bundled program; the platform's services and the engines run in this process. */
import * as launcher from '@switchridge/launcher'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as gatewaySoakPlan from './gatewaySoakPlan.js'
import * as soakEndlessPeers from './soakEndlessPeers.js'
import * as soakEngine from './soakEngine.js'
import * as soakNode from './soakNode.js'

/** A configuration that was in force from a time on. */
export interface ConfiguredTimeouts {
  readonly at: number
  readonly timeoutMsByRoute: ReadonlyMap<string, number>
}

/** The running fleet. */
export interface GatewaySoakFleet {
  readonly nodes: readonly soakNode.SoakNode[]
  readonly engines: readonly soakEngine.SoakEngine[]
  readonly runs: readonly soakEngine.EngineRun[]
  readonly configurations: readonly ConfiguredTimeouts[]
  /** Shortest time in milliseconds for which a connection may rest by a configuration that may be in force. */
  readonly readShortestIdleMs: () => number
  readonly callerAddressOf: (node: soakNode.SoakNode) => types.Address
  readonly readinessAddressOf: (node: soakNode.SoakNode) => types.Address
  readonly configure: (change: (configuration: testing.Configuration, turn: number) => void) => void
  readonly nameVersion: () => void
  /** Peers that send without end; null in a fleet without them. */
  readonly endlessPeers: soakEndlessPeers.EndlessPeers | null
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
/** A configuration may be in force for this long after the next one was sent. */
export const CONFIGURATION_MS = 3000
const PLAIN_ENGINES = 2
const PIECES = 8
/** Loopback networks that differ for soaks that run at the same time. */
const FIRST_NETWORK = 80
const NETWORKS = 100
/** Options of the processes in the deployment file. */
const HEAP_OPTIONS: Readonly<Record<soakNode.SoakNode['role'], string>> = { gateway: '--max-old-space-size=160', agent: '--max-old-space-size=96' }
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
 * @param hasEndlessPeers - Whether peers send without end; its processes then have the heaps of their deployment.
 * @returns The fleet, whose daemons may not be ready yet.
 */
export async function startGatewaySoakFleet (processes: launcher.Launcher, { store, origin, servers }: PlatformServices, size: gatewaySoakPlan.GatewaySoakSize, graceMs: number, hasEndlessPeers = false): Promise<GatewaySoakFleet> {
  const [internalPort = 0, callerPort = 0, readinessPort = 0, enginePort = 0] = await launcher.findPorts(4)
  const network = FIRST_NETWORK + process.pid % NETWORKS
  const runs: soakEngine.EngineRun[] = []
  const configurations: ConfiguredTimeouts[] = []
  const idleLimits: Array<{ readonly replacedAt: () => number, readonly ms: number }> = []
  let configuration = createSoakConfiguration(testing.formatAddress(origin.address), size.slots)
  if (hasEndlessPeers) soakEndlessPeers.addEndlessRoutes(configuration)
  let isEnding = false
  let version = 1
  let engineIds = 0

  function writeConfiguration (): void {
    store.put(platform.OBJECT_KINDS.configuration, platform.CONFIGURATION_NAME, configuration)
    const index = configurations.length
    idleLimits.push({ ms: Number(configuration.limits['idleTimeoutMs']), replacedAt: () => configurations[index + 1]?.at ?? Infinity })
    configurations.push({ at: performance.now(), timeoutMsByRoute: new Map(configuration.routes.map((route) => [String(route.name), Number(route.timeoutMs)])) })
  }

  async function startEngine (service: string, hall: number, host: string, model: string | null): Promise<soakEngine.SoakEngine> {
    return await soakEngine.startSoakEngine({
      service, hall, zone: nameZone(hall), host, port: enginePort, slots: size.slots, model, store, origin, runs, createId: () => `i-${engineIds++}`, onOpen: (engine) => { servers.push(engine) }, mayRestart: () => !isEnding
    })
  }

  function startNode (role: soakNode.SoakNode['role'], hall: number, host: string, node: string, section: string): soakNode.SoakNode {
    const settings = `role = "${role}"\nnode = "${node}"\nzone = "${nameZone(hall)}"\nregion = "region-a"\nhost = "${host}"\nseeds = [${seeds.map((seed) => `"${seed}:1"`).join()}]\ninternal_port = ${internalPort}\n` +
      `[store]\naddress = "${testing.formatAddress(store.address)}"\n${section}[limits]\ngrace_seconds = ${graceMs / types.MILLISECONDS_IN_SECOND}\n[waiting]\nmaximum_calls = ${size.waitingCalls}\n`
    return soakNode.startSoakNode({ processes, node, role, hall, host, settings, graceMs, ...(hasEndlessPeers ? { nodeOptions: HEAP_OPTIONS[role] } : {}), mayRestart: () => !isEnding })
  }

  writeConfiguration()
  const gatewayHosts = size.gateways.flatMap((count, hall) => Array.from({ length: count }, (_, index) => ({ hall, host: `127.${network}.${hall}.${index + 1}`, name: `gateway-${HALL_NAMES[hall] ?? ''}${index}` })))
  const agentHosts = size.agents.flatMap((count, hall) => Array.from({ length: count }, (_, index) => ({ hall, host: `127.${network}.${hall + size.gateways.length}.${index + 1}`, name: `agent-${HALL_NAMES[hall] ?? ''}${index}` })))
  const seeds = [...gatewayHosts, ...agentHosts].slice(0, 6).map(({ host }) => host)
  const plainHosts = PLAIN_SERVICES.flatMap((service, block) => Array.from({ length: PLAIN_ENGINES }, (_, index) => ({ service, hall: index % size.gateways.length, host: `127.${network}.${100 + block}.${index + 1}` })))
  const engines = [
    ...await Promise.all(agentHosts.map(async ({ hall, host }) => await startEngine(STREAM_SERVICE, hall, host, MODEL))),
    ...await Promise.all(plainHosts.map(async ({ service, hall, host }) => await startEngine(service, hall, host, null)))
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
    readShortestIdleMs: () => Math.min(...idleLimits.filter(({ replacedAt }) => replacedAt() + CONFIGURATION_MS >= performance.now()).map(({ ms }) => ms)),
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
    endlessPeers: hasEndlessPeers ? soakEndlessPeers.createEndlessPeers(store, nameZone(0), API_KEY) : null,
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
