/** The parts that gateways and agents have: mirrors of the store, the exchange with other daemons, logs. */
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
import * as createCopyAnswers from '../createCopyAnswers/index.js'
import * as followVersions from '../followVersions/index.js'
import * as readCopyAnswer from '../readCopyAnswer/index.js'
import * as copyParts from '../_lib/copyParts.js'

/** Parts of both roles. */
export interface FleetParts {
  readonly settings: settings.FleetSettings
  readonly logger: observability.Logger
  readonly metrics: observability.TextMetrics
  readonly agents: rpc.HttpAgents
  readonly identity: rpc.Identity
  /** The configuration in force, or null before the first one. */
  readonly routes: () => gateway.RouteTable | null
  readonly onRoutes: (listener: (table: gateway.RouteTable) => void) => void
  readonly backEnds: () => readonly gateway.BackEnd[]
  /** The back end at an address of the form IP:PORT, the last one listed if there are several. */
  readonly backEndAt: (address: string) => gateway.BackEnd | undefined
  /** The model that engines of a service run, where there is just one. */
  readonly soleModelOf: (service: types.ServiceName) => string | null
  readonly areBackEndsKnown: () => boolean
  readonly onBackEnds: (listener: () => void) => void
  readonly versions: followVersions.VersionFollower
  readonly areVersionsKnown: () => boolean
  readonly onVersions: (listener: () => void) => void
  /** Copies of the kinds that the role needs; an agent needs no list of back ends, and of the configuration only a part. */
  readonly mirrors: readonly store.Mirror[]
  readonly clock: clock.SteadyClock
  /** The clock's time. */
  readonly now: () => number
  /** Calls an action at a time of the clock. */
  readonly at: clock.AtTime
}

/** Milliseconds before a version's bound from which nothing is sent to older ones. */
const VERSION_MARGIN_MS = 1700
/** A gateway is not bound by what happened before it for so long after its start. */
const START_MS = 2800
/** A peer that sends no byte of a copy for so long is given up; links between regions answer within a tenth of it. */
const COPY_QUIET_MS = 1000
/** No copy takes longer, however slowly it keeps arriving. */
const COPY_MAXIMUM_MS = 30_000
const OK = 200

/** What the parts take from their surroundings. */
export interface PartsSurroundings {
  readonly clocks: clock.MachineClocks
  /** Takes a line of the log. */
  readonly writeLine: (line: string) => void
}

const PROCESS_SURROUNDINGS: PartsSurroundings = {
  clocks: clock.PROCESS_CLOCKS,
  writeLine: (line) => { process.stdout.write(line + '\n') }
}

/**
 * Creates the parts; nothing is opened or sent yet.
 *
 * @param checked - The settings.
 * @param surroundings - Clock and log; those of the process when absent.
 * @returns The parts.
 */
export function createFleetParts (checked: settings.FleetSettings, surroundings = PROCESS_SURROUNDINGS): FleetParts {
  const metrics = observability.createTextMetrics({ node: checked.node, zone: checked.zone, role: checked.role })
  const logger = observability.createLogger('daemon', { node: checked.node, zone: checked.zone }, { level: checked.logs.level, write: surroundings.writeLine })
  const agents = rpc.createHttpAgents()
  const identity = { deployment: checked.deployment, sharedKey: checked.security.shared_key ?? '' }
  const steadyClock = clock.createSteadyClock(surroundings.clocks)
  const { now } = steadyClock
  const configurations = store.createMirror(platform.KINDS.configuration)
  const servers = store.createMirror(platform.KINDS.backEnds)
  const named = store.createMirror(platform.KINDS.versions)
  const versions = followVersions.createVersionFollower({ boundMs: checked.bounds.version_ms, marginMs: VERSION_MARGIN_MS, startMs: checked.role === 'agent' ? checked.bounds.version_ms : START_MS, onBound: noteBound, now })
  const routeListeners: Array<(table: gateway.RouteTable) => void> = []
  let routes: gateway.RouteTable | null = null
  const notedFigures = new Map<types.ServiceName, string>()
  let adoptedRevision = 0
  const backEnds = createBackEndList.createBackEndList({
    layersOf: (service) => routes?.findService(service)?.engine?.layers ?? 1,
    onUnreadable: (object, error) => { noteUnreadable(servers.kind, object, error) }
  })
  const parsedVersions = new WeakSet<store.StoredObject>()

  function adoptConfiguration (): void {
    const object = configurations.objects().get(platform.CONFIGURATION_NAME)
    if (object === undefined || object.revision <= adoptedRevision) return
    const parsed = platform.parseConfiguration(object.value)
    if (!parsed.ok) {
      logger.error('configuration-unreadable', { revision: object.revision, error: parsed.error.message })
      return
    }
    adoptedRevision = object.revision
    routes = gateway.createRouteTable(parsed.value)
    logger.info('configuration', { revision: object.revision, version: parsed.value.version, routes: parsed.value.routes.length })
    for (const service of parsed.value.services) noteFigures(service)
    backEnds.adopt(servers.objects())
    for (const listener of routeListeners) listener(routes)
  }

  function noteBound ({ model, version }: staging.VersionId, { ageMs, leftMs }: followVersions.VersionBound): void {
    logger.info('version-bound', { model, version, ageMs: Math.round(ageMs), leftMs: Math.round(leftMs) })
  }

  /** Says which figures decisions work with, when they are new, and which are not told. */
  function noteFigures ({ name, engine }: gateway.Service): void {
    if (engine === null) return
    const figures = JSON.stringify(engine)
    if (notedFigures.get(name) === figures) return
    notedFigures.set(name, figures)
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

  function adoptVersions (): void {
    for (const object of named.objects().values()) {
      const version = platform.parseNamedVersion(object)
      if (version.ok) versions.note(version.value, 0)
      else if (!parsedVersions.has(object)) noteUnreadable(named.kind, object, version.error)
      parsedVersions.add(object)
    }
  }

  /** An object of another writer costs no other one. */
  function noteUnreadable (kind: string, { name, revision }: store.StoredObject, { message }: types.InvalidInputError): void {
    metrics.count('objects_unreadable', { kind })
    logger.warn('object-unreadable', { kind, name, revision, error: message })
  }

  steadyClock.onSuspension((suspension) => {
    metrics.count('suspensions')
    logger.warn('suspended', { lostMs: Math.round(suspension.lostMs) })
    versions.noteSuspension(suspension)
  })
  configurations.onChange(adoptConfiguration)
  servers.onChange(() => { backEnds.adopt(servers.objects()) })
  named.onChange(adoptVersions)
  return {
    settings: checked,
    logger,
    metrics,
    agents,
    identity,
    routes: () => routes,
    onRoutes: (listener) => { routeListeners.push(listener) },
    backEnds: backEnds.all,
    soleModelOf: (service) => {
      const models = routes?.findService(service)?.engine?.models ?? []
      return models.length === 1 ? models[0] as string : null
    },
    backEndAt: backEnds.at,
    areBackEndsKnown: servers.isKnown,
    onBackEnds: (listener) => { servers.onChange(listener) },
    versions,
    areVersionsKnown: named.isKnown,
    onVersions: (listener) => { named.onChange(listener) },
    mirrors: checked.role === 'gateway' ? [configurations, servers, named] : [configurations, named],
    clock: steadyClock,
    now,
    at: clock.createDeadlines(steadyClock)
  }
}

/** What a daemon tells of itself beyond its parts. */
export interface SelfState {
  readonly isLeaving: boolean
  readonly isStoreLost: boolean
}

/** Describes this daemon on its heartbeats. */
export function describeSelf (parts: FleetParts, { isLeaving, isStoreLost }: SelfState, engine: unknown = null, suspects: readonly string[] = []): spread.Heartbeat {
  return {
    node: types.brandId<types.NodeId>(parts.settings.node),
    role: parts.settings.role,
    zone: parts.settings.zone,
    host: parts.settings.host,
    isLeaving,
    isStoreLost,
    copies: Object.fromEntries(parts.mirrors.map((mirror) => [mirror.kind, mirror.state()])),
    versions: parts.versions.news(),
    suspects,
    engine
  }
}

/** Reads the hosts of the seeds. */
export function readSeedHosts (checked: settings.FleetSettings): string[] {
  return checked.seeds.map((seed) => platform.parseAddress(seed).host)
}

/** Asks peers what changed in their copies of a kind. */
export function fetchChanges (parts: FleetParts): spread.CopySyncOptions['fetchChanges'] {
  return async (host, request, signal) => {
    const part = copyParts.partOf(request.kind, parts.settings.role)
    const sent = await rpc.sendRequest(parts.agents, {
      base: rpc.formatBaseUrl(parts.agents, internalAddress(parts, host)),
      path: copyParts.formatCopyPath(request.kind, part, request.since),
      method: 'GET',
      headers: rpc.createIdentityHeaders(parts.identity),
      quietMs: COPY_QUIET_MS,
      timeoutMs: COPY_MAXIMUM_MS,
      signal
    }, readCopyAnswer.MAXIMUM_COPY_BYTES)
    if (!sent.ok) return sent
    if (sent.value.status !== OK) return types.fail(new types.UnavailableError(`status ${sent.value.status}`))
    const read = await readCopyAnswer.readCopyAnswer(sent.value.body, request, part)
    return read.ok ? types.succeed({ changes: read.value, bytes: sent.value.body.length }) : read
  }
}

/** Where daemons reach the daemon on a host. */
export function internalAddress (parts: FleetParts, host: string): types.Address {
  return { host, port: parts.settings.internal_port }
}

/** Notes what a peer's heartbeat tells of versions; returns whether one was not known. */
export function noteVersions (parts: FleetParts, heartbeat: spread.Heartbeat): boolean {
  let isNew = false
  for (const { model, version, ageMs } of heartbeat.versions) isNew = parts.versions.note({ model, version }, ageMs) || isNew
  return isNew
}

/** Opens the server that other daemons ask. */
export async function listenInternal (parts: FleetParts, middleware: readonly Koa.Middleware[]): Promise<rpc.HttpListener> {
  const app = new Koa()
  app.on('error', () => {})
  for (const each of middleware) app.use(each)
  app.use(createCopyAnswers.createCopyAnswers({ mirrors: parts.mirrors, role: parts.settings.role, identity: parts.identity }).middleware)
  return await rpc.listenHttp(app.callback(), { host: parts.settings.host, port: parts.settings.internal_port })
}
