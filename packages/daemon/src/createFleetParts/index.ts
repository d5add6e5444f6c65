/** Parts shared by the gateway and agent roles: mirrors of the store's objects, connections, clock, log and metrics. */
import Koa from 'koa'
import * as clock from '@switchridge/clock'
import * as gateway from '@switchridge/gateway'
import * as observability from '@switchridge/observability'
import * as platform from '@switchridge/platform'
import * as rpc from '@switchridge/rpc'
import type * as settings from '@switchridge/settings'
import * as spread from '@switchridge/spread'
import type * as staging from '@switchridge/staging'
import * as store from '@switchridge/store'
import * as types from '@switchridge/types'
import * as createBackEndList from '../_lib/createBackEndList.js'
import * as createReservedAddresses from '../_lib/createReservedAddresses.js'
import * as createUnreadableObjects from '../_lib/createUnreadableObjects.js'
import * as createCopyAnswers from '../createCopyAnswers/index.js'
import * as createEvacuations from '../createEvacuations/index.js'
import * as createVersionRecord from '../createVersionRecord/index.js'
import * as readCopyAnswer from '../readCopyAnswer/index.js'
import * as copyParts from '../_lib/copyParts.js'

/** Parts shared by both roles. */
export interface FleetParts {
  readonly settings: settings.FleetSettings
  readonly logger: observability.Logger
  readonly metrics: observability.PrometheusMetrics
  readonly agents: rpc.HttpAgents
  readonly identity: rpc.Identity
  /** The configuration in force, or null before the first one. */
  readonly routes: () => gateway.RouteTable | null
  readonly onRoutes: (listener: (table: gateway.RouteTable) => void) => void
  readonly backEnds: () => readonly gateway.BackEnd[]
  /** Records that a gateway runs on a host, so that no entry leads calls back to it. */
  readonly noteGatewayHost: (host: string) => void
  /** The back end with an address of the form IP:PORT; the last one listed if there are several. */
  readonly backEndsAt: createBackEndList.BackEndList['at']
  readonly othersAtAddressOf: createBackEndList.BackEndList['othersAtAddressOf']
  /** The model that a service's engines run, or null unless there is exactly one. */
  readonly soleModelOf: (service: types.ServiceName) => string | null
  readonly areBackEndsKnown: () => boolean
  readonly onBackEnds: (listener: () => void) => void
  readonly versions: createVersionRecord.VersionRecord
  readonly areVersionsKnown: () => boolean
  /** Data halls that operators are evacuating; agents don't follow them. */
  readonly evacuations: createEvacuations.Evacuations
  readonly onVersions: (listener: () => void) => void
  /** Mirrors of the kinds that the role needs: an agent needs no list of back ends, and only part of the configuration. */
  readonly mirrors: readonly store.Mirror[]
  readonly clock: clock.SteadyClock
  /** The time of {@link clock}, in milliseconds. */
  readonly now: () => number
  /** Pauses of this process; a suspension of the machine counts, too. */
  readonly pauses: clock.PauseMonitor
  /** Memory and turns of this process. */
  readonly usage: observability.ProcessUsage
  /** Runs an action at a time of {@link clock}. */
  readonly at: clock.ScheduleAt
}

/** Calls are no longer sent to older versions from this long before the deadline of a version change. */
export const VERSION_MARGIN_MS = 1700
/** A gateway that starts must follow earlier version changes within this time, shorter than the usual bound, since it can't know how long ago they were made. */
const STARTUP_GRACE_MS = 2800
/** A copy is aborted when the peer sends no byte for this long; a round trip between regions takes less than a tenth of it. */
const COPY_IDLE_TIMEOUT_MS = 1000
/** Total timeout of a copy, even if bytes keep arriving. */
const COPY_TIMEOUT_MS = 30_000
const OK = 200

/** Clocks and log output that the parts use; replaceable in tests. */
export interface PartsEnvironment {
  readonly clocks: clock.MachineClocks
  /** Writes a line of the log. */
  readonly writeLine: (line: string) => void
}

const PROCESS_ENVIRONMENT: PartsEnvironment = {
  clocks: clock.SYSTEM_CLOCKS,
  writeLine: observability.createLineWriter(process.stdout)
}

/**
 * Creates the parts; nothing is opened or sent yet.
 *
 * @param checked - The validated settings.
 * @param environment - Clocks and log output; those of the process by default.
 * @returns The parts.
 */
export function createFleetParts (checked: settings.FleetSettings, environment = PROCESS_ENVIRONMENT): FleetParts {
  const metrics = observability.createPrometheusMetrics({ node: checked.node, zone: checked.zone, role: checked.role })
  const logger = observability.createLogger('daemon', { node: checked.node, zone: checked.zone }, { level: checked.logs.level, write: environment.writeLine })
  const agents = rpc.createHttpAgents()
  const identity = { deployment: checked.deployment, sharedKey: checked.security.shared_key ?? '' }
  const steadyClock = clock.createSteadyClock(environment.clocks)
  const { now } = steadyClock
  const pauses = clock.createPauseMonitor({ now, onPause: logPause })
  const usage = observability.createProcessUsage()
  observability.gaugeProcessUsage(usage, metrics.gauge)
  const configurations = store.createMirror(platform.OBJECT_KINDS.configuration)
  const backEndObjects = store.createMirror(platform.OBJECT_KINDS.backEnds)
  const namedVersions = store.createMirror(platform.OBJECT_KINDS.versions)
  const versions = createVersionRecord.createVersionRecord({ boundMs: checked.bounds.version_ms, marginMs: VERSION_MARGIN_MS, startupBoundMs: checked.role === 'agent' ? checked.bounds.version_ms : STARTUP_GRACE_MS, onBound: logBound, now })
  const evacuations = createEvacuations.createEvacuations({ boundMs: checked.role === 'gateway' ? checked.bounds.evacuation_ms ?? null : null, logger, observe: metrics.observe, now })
  const routeListeners: Array<(table: gateway.RouteTable) => void> = []
  let routes: gateway.RouteTable | null = null
  const loggedFigures = new Map<types.ServiceName, string>()
  let adoptedRevision = 0
  let unreadableRevision = 0
  let isMissingTableLogged = false
  const reportUnreadable = createUnreadableObjects.createUnreadableObjects({ logger, count: metrics.count })
  const reservedAddresses = createReservedAddresses.createReservedAddresses(checked)
  const backEnds = createBackEndList.createBackEndList({
    isReserved: reservedAddresses.has,
    layersOf: (service) => routes?.findService(service)?.engine?.layers ?? 1,
    onUnreadable: (object, error) => { reportUnreadable(backEndObjects, object, error) }
  })

  function logPause (pausedMs: number): void {
    metrics.count('pauses')
    metrics.observe('pause', pausedMs)
    logger.warn('paused', { pausedMs: Math.round(pausedMs) })
  }

  function adoptConfiguration (): void {
    const object = configurations.objects().get(platform.CONFIGURATION_NAME)
    if (object === undefined || object.revision <= adoptedRevision) return
    const parsed = platform.parseConfiguration(object.value)
    if (!parsed.ok) {
      if (object.revision !== unreadableRevision) logger.error('configuration-unreadable', { revision: object.revision, error: parsed.error.message, omitted: store.readOmission(object.value) })
      unreadableRevision = object.revision
      return
    }
    adoptedRevision = object.revision
    // A store that was restored from an older copy may hold an older configuration until operators write the last one again.
    if (routes !== null && parsed.value.version < routes.configuration.version) {
      logger.warn('configuration-older', { revision: object.revision, version: parsed.value.version, inForce: routes.configuration.version })
      return
    }
    routes = gateway.createRouteTable(parsed.value)
    metrics.count('configurations')
    logger.info('configuration', { revision: object.revision, version: parsed.value.version, routes: parsed.value.routes.length })
    for (const { place, given, allowed } of parsed.value.unusable ?? []) logger.warn('configuration-field-unusable', { version: parsed.value.version, place, given, allowed })
    for (const service of parsed.value.services) logFigures(service)
    logUnknownRegions(parsed.value)
    backEnds.update(backEndObjects.objects())
    for (const listener of routeListeners) listener(routes)
  }

  function logBound ({ model, version }: staging.VersionId, { ageMs, leftMs }: createVersionRecord.VersionBound): void {
    logger.info('version-bound', { model, version, ageMs: Math.round(ageMs), leftMs: Math.round(leftMs) })
  }

  /** Logs the engine figures that decisions use when they have changed, and which of them are missing. */
  function logFigures ({ name, engine }: gateway.Service): void {
    if (engine === null) return
    const figures = JSON.stringify(engine)
    if (loggedFigures.get(name) === figures) return
    loggedFigures.set(name, figures)
    logger.info('engine-figures', {
      service: name,
      slots: engine.slots,
      models: engine.models.join(),
      layers: engine.layers,
      pieces: engine.chunks,
      pieceBytes: engine.chunkBytes,
      stepMs: engine.stepMs,
      stepMsPerSequence: engine.stepMsPerSequence,
      readsPerMs: engine.prefillTokensPerMs,
      usualPrompt: engine.usualPromptTokens,
      usualAnswer: engine.usualAnswerTokens
    })
    const missing = Object.entries(engine).filter(([, figure]) => figure === null).map(([figure]) => figure)
    if (missing.length > 0) logger.warn('engine-figures-missing', { service: name, missing: missing.join() })
  }

  /** Logs regions that routes or tenants allow and no data hall is in: calls that may enter no other region are refused. */
  function logUnknownRegions (configuration: gateway.Configuration): void {
    const known = new Set(Object.values(checked.regions))
    const unknown = gateway.findUnknownRegions(configuration, known)
    if (unknown.length > 0 && known.size === 0 && !isMissingTableLogged) {
      isMissingTableLogged = true
      logger.warn('regions-missing', { version: configuration.version, reason: 'the settings assign no data hall to a region; calls with allowed regions are refused' })
    }
    for (const region of unknown) logger.warn('unknown-region', { version: configuration.version, region })
  }

  function adoptVersions (): void {
    for (const object of namedVersions.objects().values()) {
      const version = platform.parseNamedVersion(object)
      if (version.ok) versions.note(version.value, 0)
      else reportUnreadable(namedVersions, object, version.error)
    }
  }

  steadyClock.onSuspension((suspension) => {
    metrics.count('suspensions')
    logger.warn('suspended', { lostMs: Math.round(suspension.lostMs) })
    versions.noteSuspension(suspension)
  })
  configurations.onChange(adoptConfiguration)
  backEndObjects.onChange(() => { backEnds.update(backEndObjects.objects()) })
  namedVersions.onChange(adoptVersions)
  return {
    settings: checked,
    logger,
    metrics,
    agents,
    identity,
    routes: () => routes,
    onRoutes: (listener) => { routeListeners.push(listener) },
    backEnds: backEnds.all,
    noteGatewayHost: (host) => { if (reservedAddresses.addGateway(host)) backEnds.update(backEndObjects.objects()) },
    soleModelOf: (service) => {
      const models = routes?.findService(service)?.engine?.models ?? []
      return models.length === 1 ? models[0] as string : null
    },
    backEndsAt: backEnds.at,
    othersAtAddressOf: backEnds.othersAtAddressOf,
    areBackEndsKnown: backEndObjects.isInitialized,
    onBackEnds: (listener) => { backEndObjects.onChange(listener) },
    versions,
    areVersionsKnown: namedVersions.isInitialized,
    onVersions: (listener) => { namedVersions.onChange(listener) },
    evacuations,
    mirrors: checked.role === 'gateway' ? [configurations, backEndObjects, namedVersions, ...(evacuations.mirror === null ? [] : [evacuations.mirror])] : [configurations, namedVersions],
    clock: steadyClock,
    now,
    pauses,
    usage,
    at: clock.createDeadlineScheduler(steadyClock)
  }
}

/** State that a daemon reports in its heartbeats beside what its parts provide. */
export interface SelfState {
  readonly isLeaving: boolean
  readonly isStoreLost: boolean
}

/** Creates this daemon's heartbeat; `engine` is the encoded status of an agent's engine, and `suspects` are the nodes that an agent currently excludes from fetches. */
export function describeSelf (parts: FleetParts, { isLeaving, isStoreLost }: SelfState, engine: unknown = null, suspects: readonly string[] = []): spread.Heartbeat {
  return {
    node: types.brandId<types.NodeId>(parts.settings.node),
    role: parts.settings.role,
    zone: parts.settings.zone,
    host: parts.settings.host,
    isLeaving,
    isStoreLost,
    copies: Object.fromEntries(parts.mirrors.map((mirror) => [mirror.kind, mirror.state()])),
    versions: parts.versions.recentVersions(),
    suspects,
    engine
  }
}

/** Returns the hosts of the seeds, the daemons that this one contacts first. */
export function readSeedHosts (checked: settings.FleetSettings): string[] {
  return checked.seeds.map((seed) => platform.parseAddress(seed).host)
}

/** Creates the function that requests changes of a kind from a peer. */
export function createChangesFetcher (parts: FleetParts): spread.CopySyncOptions['fetchChanges'] {
  return async (host, request, signal) => {
    const part = copyParts.partForRole(request.kind, parts.settings.role)
    const sent = await rpc.sendRequest(parts.agents, {
      base: rpc.formatBaseUrl(parts.agents, getInternalAddress(parts, host)),
      path: copyParts.formatCopyPath(request.kind, part, request.since),
      method: 'GET',
      headers: rpc.createIdentityHeaders(parts.identity),
      idleTimeoutMs: COPY_IDLE_TIMEOUT_MS,
      timeoutMs: COPY_TIMEOUT_MS,
      signal
    }, readCopyAnswer.MAXIMUM_COPY_BYTES)
    if (!sent.ok) return sent
    if (sent.value.status !== OK) return types.fail(new types.UnavailableError(`status ${sent.value.status}`))
    const read = await readCopyAnswer.readCopyAnswer(sent.value.body, request, part)
    return read.ok ? types.succeed({ changes: read.value, bytes: sent.value.body.length }) : read
  }
}

/** Address for requests from other daemons to the daemon on a host. */
export function getInternalAddress (parts: FleetParts, host: string): types.Address {
  return { host, port: parts.settings.internal_port }
}

/** Records the versions that a peer's heartbeat reports; returns whether any of them was new. */
export function recordPeerVersions (parts: FleetParts, heartbeat: spread.Heartbeat): boolean {
  let isNew = false
  for (const { model, version, ageMs } of heartbeat.versions) isNew = parts.versions.note({ model, version }, ageMs) || isNew
  return isNew
}

/** Opens the server for requests from other daemons. */
export async function listenInternal (parts: FleetParts, middleware: readonly Koa.Middleware[]): Promise<rpc.HttpListener> {
  const app = new Koa()
  app.on('error', () => {})
  for (const handler of middleware) app.use(handler)
  app.use(createCopyAnswers.createCopyAnswers({ mirrors: parts.mirrors, role: parts.settings.role, identity: parts.identity }).middleware)
  return await rpc.listenHttp(app.callback(), { host: parts.settings.host, port: parts.settings.internal_port })
}
