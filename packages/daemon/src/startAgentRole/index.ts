/** The agent role: loads the weight versions that operators announce into the engine on the same host, and reports the engine's load to gateways. */
import * as nodeStream from 'node:stream'
import type Koa from 'koa'
import * as gateway from '@switchridge/gateway'
import * as platform from '@switchridge/platform'
import * as rpc from '@switchridge/rpc'
import type * as settings from '@switchridge/settings'
import * as spread from '@switchridge/spread'
import * as staging from '@switchridge/staging'
import * as types from '@switchridge/types'
import * as createColdChecks from '../createColdChecks/index.js'
import * as createFleetExchange from '../createFleetExchange/index.js'
import * as createFleetParts from '../createFleetParts/index.js'
import * as createAgentPermitServer from '../_lib/createAgentPermitServer.js'
import * as fetchWithIdleTimeout from '../_lib/fetchWithIdleTimeout.js'
import * as engineStatus from '../_lib/engineStatus.js'
import * as gracePeriod from '../_lib/gracePeriod.js'
import * as openOperatorEndpoints from '../_lib/openOperatorEndpoints.js'
import type * as fleetRole from '../_lib/fleetRole.js'

/** How long a peer that failed or was slow is excluded from fetches. */
const SUSPECT_TIMEOUT_MS = 6000
/** Agents of all zones are discovered within this time after a start, even in a fleet of hundreds of nodes; until then every configured zone is expected to have agents. */
const ZONE_DISCOVERY_MS = 3500
/** Interval of engine reports until the configuration says which weights the engine runs; from then on the stager requests them. */
const REPORT_INTERVAL_MS = 350
/** Share of the link's bandwidth for pieces while the engine serves no model; the rest is left for heartbeats and the response headers of pieces. */
const IDLE_LINK_SHARE = 0.9
/** Share of the link's bandwidth for pieces while response streams use it too: with a larger one, calls during a version change queue behind pieces and are late. */
const SERVING_LINK_SHARE = 0.75
const BITS_PER_BYTE = 8
const BITS_PER_MEGABIT = 1_000_000
/** Added to the transfer time computed from a version's size, since the origin sends its pieces one after the other. */
const RAMP_UP_MS = 500
/** A peer's response is aborted after this long without a byte. The peer holds a request for at most {@link staging.PIECE_WAIT_MS} + 400 ms; the rest covers queueing on the links. */
const PIECE_IDLE_TIMEOUT_MS = 2500
/** A peer that has read nothing of a piece for this long gets no more of it. It would have given up by itself, so its process is stopped or its link is cut. */
const STALLED_PEER_MS = 2 * PIECE_IDLE_TIMEOUT_MS
const PIECES_PATH = '/pieces/'
const MANIFESTS_PATH = '/manifests/'
/** Response header with the index of the piece that was sent, out of those requested. */
const PIECE_HEADER = 'x-switchridge-piece'
/** Request header with the node that requests a piece. */
const NODE_HEADER = 'x-switchridge-node'
/** Request header: the response may refer to another node that holds the piece instead of sending it. */
const MAY_REFER_HEADER = 'x-switchridge-may-refer'
/** Response header with the node to request the piece from. */
const HOLDER_HEADER = 'x-switchridge-holder'
/** The text of an error may be longer than a small piece. */
const ERROR_TEXT_BYTES = 4096
/** A digest in hexadecimal and a comma, as agents send them to each other. */
const DIGEST_BYTES = 65
const OK = 200

/**
 * Starts the agent role.
 *
 * @param checked - The validated settings.
 * @returns The running role. Rejects if the address for other daemons cannot be bound.
 */
export async function startAgentRole (checked: settings.FleetSettings): Promise<fleetRole.FleetRole> {
  const parts = createFleetParts.createFleetParts(checked)
  const { logger, metrics, now } = parts
  const startedAt = now()
  const self: staging.StagingPeer = { node: types.brandId(checked.node), zone: checked.zone, address: createFleetParts.getInternalAddress(parts, checked.host) }
  const engineAddress = checked.engine.address as string
  const engine = platform.createEngineClient(platform.parseAddress(engineAddress), parts.agents, logUnreadableReport, () => readSizes().pieceBytes)
  const linkBytesPerSecond = checked.limits.link_megabits_per_second * BITS_PER_MEGABIT / BITS_PER_BYTE
  const uplink = staging.createPieceUplink(linkBytesPerSecond, () => (isServing() ? SERVING_LINK_SHARE : IDLE_LINK_SHARE) * (stager?.linkFraction() ?? 1), now)
  let report: platform.LocalEngineReport | null = null
  /** The last report that the engine answered with, which it may not do at the moment. */
  let lastReport: platform.LocalEngineReport | null = null
  let isPaused = false
  let changesInMs: number | null = null
  let isLeaving = false
  /** By when this process must have ended; known once it drains. */
  let endsBy = Infinity
  let lastReportError = ''
  /** Whether the configuration limits cold engines; until it is known, no health check can be sent. */
  let hasColdSettings = false
  let stager: staging.Stager | null = null
  const suspectUntil = new Map<types.NodeId, number>()

  const listener = await createFleetParts.listenInternal(parts, [serveWeights])
  let startedExchange: createFleetExchange.FleetExchange | null = null
  const coldChecks = createColdChecks.createColdChecks({
    isEnabled: () => findService()?.healthPath !== undefined,
    readColdRemainingMs: async () => {
      const remainingMs = await engine.readColdRemainingMs(findService()?.healthPath as string)
      metrics.count('health_checks', { answer: remainingMs === null ? 'none' : remainingMs > 0 ? 'cold' : 'warm' })
      return remainingMs
    },
    onCold: (remainingMs) => {
      logger.info('engine-cold', { address: engineAddress, remainingMs: Math.round(remainingMs) })
      startedExchange?.gossip.sendNow('gateway')
    },
    at: parts.at,
    now
  })
  const permits = createAgentPermitServer.createAgentPermitServer(parts, () => startedExchange, noteColdRequest)
  const slots = gateway.createSlotReservations(now)
  const reservations = gateway.createReservationServer({
    reserve: reserveSlot,
    send: (host, bytes) => { startedExchange?.send(host, bytes) },
    count: metrics.count
  })
  const exchange = await createFleetExchange.createFleetExchange({
    parts,
    store: null,
    openDatagrams: spread.openDatagrams(checked.host, checked.internal_port),
    fetchChanges: createFleetParts.createChangesFetcher(parts),
    describeSelf: () => createFleetParts.describeSelf(parts, { isLeaving: isLeavingNode(), isStoreLost: false }, describeEngine(), listSuspects()),
    onHeartbeat: (heartbeat) => { if (createFleetParts.recordPeerVersions(parts, heartbeat)) stager?.wake() },
    onFact: () => {},
    onDatagram: (bytes, from) => permits.receive(bytes, from) || reservations.receive(bytes, from),
    random: Math.random
  })
  startedExchange = exchange
  const { gossip } = exchange

  /** Gateways limit an engine whose report shows a restart, until they know its entry. */
  function noteMaybeCold (): void {
    coldChecks.noteMaybeCold()
    if (findService()?.coldPerSecond !== undefined) startedExchange?.gossip.sendNow('gateway')
  }

  /** A gateway that knows the engine as cold may know more than this agent: from the engine's entry, or because its hall was evacuated. */
  function noteColdRequest (): void {
    if (coldChecks.readColdMs() === null) coldChecks.noteMaybeCold()
  }

  function readColdField (): { coldMs?: number } {
    const coldMs = coldChecks.readColdMs()
    return coldMs === null ? {} : { coldMs }
  }

  /** Counts every report that can't be parsed, and logs an error only when it differs from the previous one. */
  function logUnreadableReport ({ message }: types.InvalidInputError): void {
    metrics.count('engine_reports_unreadable')
    if (message === lastReportError) return
    lastReportError = message
    logger.error('engine-report-unreadable', { address: engineAddress, error: message })
  }

  /** An agent whose engine is about to end takes part no more in distributing weights, so other agents must not depend on it. */
  function isLeavingNode (): boolean {
    return isLeaving || report?.isLeaving === true
  }

  /** Stated only where gateways use it. */
  function readReadyIn (): Pick<engineStatus.EngineStatus, 'readyInMs'> {
    const readyInMs = checked.waiting.maximum_calls > 0 && findOriginService()?.linkMbps !== null ? stager?.readyInMs() ?? null : null
    return readyInMs === null ? {} : { readyInMs }
  }

  function isServing (): boolean {
    return report !== null && describeReport(report).models.size > 0
  }

  /** Gateways go by the engine's own entry where its agent states nothing, so an engine that may complete a version with wrong pieces is described while it is silent, too. */
  function describeEngine (): unknown {
    const described = report ?? (lastReport !== null && !isTrusted(lastReport) ? lastReport : null)
    if (described === null) return null
    const readyIn = report === null ? {} : readReadyIn()
    return engineStatus.encodeEngineStatus({ address: engineAddress, report: describeReport(described), isPaused, changesInMs, ...readColdField(), ...readyIn }, { host: checked.host, soleModel: findSoleModel })
  }

  /** Gateways must not send calls to an engine that may have taken wrong pieces of its version. */
  function describeReport (made: platform.LocalEngineReport): gateway.EngineReport {
    return isTrusted(made) ? made : { ...made, models: new Map() }
  }

  /** Whether calls may run on the version that the engine holds, or whose last layers it lacks. */
  function isTrusted ({ bornAt, layers, models }: platform.LocalEngineReport): boolean {
    const [model] = findFigures()?.models ?? []
    return stager === null || model === undefined || stager.isTrusted({ bornAt, held: layers?.version ?? models.get(model) ?? 0 })
  }

  function reserveSlot (request: gateway.SlotRequest): boolean {
    const figures = findFigures()
    return figures !== null && !isPaused && !isLeavingNode() && slots.reserve(request, figures)
  }

  function findService (): gateway.Service | null {
    const name = checked.engine.service
    return name === undefined ? null : parts.routes()?.findService(types.brandId<types.ServiceName>(name)) ?? null
  }

  function findFigures (): gateway.EngineFigures | null {
    return findService()?.engine ?? null
  }

  function readSizes (): platform.WeightSizes {
    const figures = findFigures()
    return { pieces: figures?.chunks ?? 0, pieceBytes: Math.max(figures?.chunkBytes ?? 0, ERROR_TEXT_BYTES) }
  }

  function findSoleModel (): string | null {
    const name = checked.engine.service
    return name === undefined ? null : parts.soleModelOf(types.brandId<types.ServiceName>(name))
  }

  function findOriginService (): gateway.Service | null {
    return parts.routes()?.configuration.services.find((service) => service.originAddress !== null) ?? null
  }

  function findOrigin (): types.Address | null {
    return findOriginService()?.originAddress ?? null
  }

  async function readReport (): Promise<platform.LocalEngineReport | null> {
    const next = await engine.readReport(findFigures()?.layers ?? 1)
    if (isFromEarlierProcess(next, report)) return report
    const hadReport = report !== null
    const wasLeaving = isLeavingNode()
    const mayBeCold = next !== null && (report === null || next.bornAt !== report.bornAt)
    report = next
    lastReport = next ?? lastReport
    if (mayBeCold) noteMaybeCold()
    slots.noteReport(next)
    if (wasLeaving !== isLeavingNode()) {
      logger.info('engine-leaving', { address: engineAddress, isLeaving: isLeavingNode() })
      gossip.sendNow('gateway')
    }
    if (hadReport !== (next !== null)) logger.warn(next === null ? 'engine-lost' : 'engine-regained', { address: engineAddress })
    return next
  }

  /** Responses on two connections may arrive out of order, so a report may come from an earlier engine process than the current one. */
  function isFromEarlierProcess (next: gateway.EngineReport | null, known: gateway.EngineReport | null): boolean {
    return (next?.bornAt ?? Infinity) < (known?.bornAt ?? -Infinity)
  }

  function startStager (figures: gateway.EngineFigures, model: string): staging.Stager {
    const versionBytes = figures.chunks * figures.chunkBytes
    return staging.createStager({
      self,
      model,
      named: () => parts.areVersionsKnown() ? parts.versions.named(model) : [],
      readEngine: async () => {
        const fresh = await readReport()
        return fresh === null ? null : { bornAt: fresh.bornAt, held: fresh.models.get(model) ?? 0, running: fresh.running, waiting: fresh.waiting, isBusy: fresh.isBusy, isLeaving: fresh.isLeaving, sequence: fresh.sequence, layers: fresh.layers, layerCount: fresh.layerCount }
      },
      engine,
      origin: platform.createOriginClient(findOrigin, parts.agents, readSizes, (bytes) => { metrics.count('origin_bytes', {}, bytes) }),
      agents: listReliableAgents,
      expectedZones: () => now() - startedAt < ZONE_DISCOVERY_MS ? checked.zones : [],
      fetchFromPeer: async (peer, id, wanted, mayRefer, { onHeaders, onBytes }) => {
        const headers = { [NODE_HEADER]: self.node, ...(mayRefer ? { [MAY_REFER_HEADER]: '1' } : {}) }
        const fetched = await requestFromAgent(peer, `${PIECES_PATH}${encodeURIComponent(id.model)}/${id.version}/${wanted.join()}`, readSizes().pieceBytes, headers, { onHeaders, onBytes })
        if (!fetched.ok || fetched.value === null) return fetched.ok ? types.succeed(null) : fetched
        const piece = Number(fetched.value.headers[PIECE_HEADER])
        const holder = fetched.value.headers[HOLDER_HEADER]
        return types.succeed(typeof holder === 'string' ? { piece, holder: types.brandId(holder) } : { piece, bytes: fetched.value.body })
      },
      fetchManifest: async (peer, id) => {
        const fetched = await requestFromAgent(peer, `${MANIFESTS_PATH}${encodeURIComponent(id.model)}/${id.version}`, DIGEST_BYTES * readSizes().pieces)
        if (!fetched.ok || fetched.value === null) return fetched.ok ? types.succeed(null) : fetched
        return types.succeed(fetched.value.body.toString().split(',').map((digest) => types.brandId<types.Digest>(digest)))
      },
      onSuspect: (node) => {
        const isNew = !suspectUntil.has(node)
        suspectUntil.set(node, now() + SUSPECT_TIMEOUT_MS)
        if (!isNew) return
        gossip.sendNow('agent')
        if (node === self.node) logger.warn('link-narrow', { part: stager?.linkFraction().toFixed(2) ?? '' })
      },
      onTurn: (inMs) => { changesInMs = inMs },
      onPause: (next) => {
        isPaused = next
        gossip.sendNow('gateway')
      },
      onEvent: (event, fields) => {
        metrics.count('weights_events', { event })
        logger.info(event, fields)
      },
      observe: metrics.observe,
      pausedMsSince: parts.pauses.pausedMsSince,
      uplink,
      pieceBytes: figures.chunkBytes,
      linkBytesPerSecond,
      fullFetchMs: versionBytes * types.MILLISECONDS_IN_SECOND / (linkBytesPerSecond * SERVING_LINK_SHARE) + RAMP_UP_MS,
      now,
      random: Math.random
    })
  }

  function listSuspects (): types.NodeId[] {
    for (const [node, until] of suspectUntil) if (until <= now()) suspectUntil.delete(node)
    return [...suspectUntil.keys()]
  }

  /** Lists the agents that all others may depend on for pieces, including this one unless it was voted out. */
  function listReliableAgents (): staging.StagingPeer[] {
    const fetchingMs = stager?.fetchingMs() ?? 0
    const livePeers = gossip.peers().filter((peer) => staging.isRecentlyHeard({
      isOwnZone: peer.heartbeat.zone === checked.zone,
      isLive: gossip.isLive(peer),
      silentMs: now() - peer.heardAt,
      fetchingMs
    }))
    const others = livePeers
      .filter(({ heartbeat }) => heartbeat.role === 'agent' && !heartbeat.isLeaving)
      .map(({ heartbeat }) => ({ node: heartbeat.node, zone: heartbeat.zone, address: createFleetParts.getInternalAddress(parts, heartbeat.host) }))
    const reports = [...livePeers.map(({ heartbeat }) => heartbeat), { node: self.node, suspects: [...suspectUntil.keys()] }]
    const selfSuspected = reports.filter(({ node, suspects }) => suspects.includes(node)).map(({ node }) => node)
    return staging.listReliableAgents(self, others, reports.map(({ suspects }) => suspects), selfSuspected)
  }

  /** Sends a GET request to another agent; null when it does not have what is requested. */
  async function requestFromAgent (peer: staging.StagingPeer, path: string, maximumBytes: number, headers: Readonly<Record<string, string>> = {}, receiver: Pick<rpc.OutgoingRequest, 'onHeaders' | 'onBytes'> = {}): Promise<types.Outcome<rpc.BufferedResponse | null, types.UnavailableError>> {
    const sent = await fetchWithIdleTimeout.fetchWithIdleTimeout(parts.agents, {
      base: `http://${peer.address.host}:${peer.address.port}`,
      path,
      method: 'GET',
      headers: { ...rpc.createIdentityHeaders(parts.identity), ...headers },
      ...receiver
    }, PIECE_IDLE_TIMEOUT_MS, maximumBytes)
    if (!sent.ok && sent.error instanceof rpc.ResponseTooLargeError) logger.warn('peer-answer-too-large', { from: peer.node, reason: sent.error.message })
    return sent.ok ? types.succeed(sent.value.status === OK ? sent.value : null) : sent
  }

  async function serveWeights (context: Koa.Context, next: Koa.Next): Promise<void> {
    const [, kind, model, version, wanted] = context.path.split('/')
    const id = { model: decodeURIComponent(model ?? ''), version: Number(version) }
    if (`/${kind ?? ''}/` === PIECES_PATH) await servePiece(context, id, (wanted ?? '').split(',').map(Number))
    else if (`/${kind ?? ''}/` === MANIFESTS_PATH) await serveManifest(context, id)
    else await next()
  }

  async function servePiece (context: Koa.Context, id: staging.VersionId, wanted: readonly number[]): Promise<void> {
    const node = types.brandId<types.NodeId>(context.get(NODE_HEADER))
    const provided = await stager?.providePiece(id, wanted, { node, mayRefer: context.get(MAY_REFER_HEADER) !== '', waitMs: staging.PIECE_WAIT_MS }) ?? null
    if (provided === null) return
    context.set(PIECE_HEADER, String(provided.piece))
    if ('holder' in provided) {
      context.set(HOLDER_HEADER, provided.holder)
      context.body = Buffer.alloc(0)
      return
    }
    context.status = OK
    context.length = provided.bytes
    streamPiece(context, provided, { id, node })
  }

  /** Bypasses Koa's stream handling, which loads the runtime's fetch and HTTP/2 modules when the first piece is sent. */
  function streamPiece (context: Koa.Context, { piece, slices }: staging.ProvidedPiece, { id, node }: { readonly id: staging.VersionId, readonly node: types.NodeId }): void {
    context.respond = false
    context.res.setTimeout(STALLED_PEER_MS, () => { context.res.destroy() })
    nodeStream.pipeline(nodeStream.Readable.from(slices), context.res, (error) => {
      if (error === null || error === undefined) stager?.recordSent(id, piece, node)
      else logger.info('piece-cut', { version: id.version, piece, to: node, error: error.message })
    })
  }

  async function serveManifest (context: Koa.Context, id: staging.VersionId): Promise<void> {
    const digests = await stager?.provideManifest(id, staging.MANIFEST_WAIT_MS) ?? null
    if (digests !== null) context.body = Buffer.from(digests.join())
  }

  parts.onRoutes(() => {
    const figures = findFigures()
    const model = figures?.models[0]
    if (report !== null && !hasColdSettings && findService()?.coldPerSecond !== undefined) coldChecks.noteMaybeCold()
    hasColdSettings = findService()?.coldPerSecond !== undefined
    if (stager === null && !isLeaving && figures !== null && model !== undefined && figures.chunks > 0) stager = startStager(figures, model)
  })
  parts.onVersions(() => { stager?.wake() })
  parts.clock.onSuspension(() => { stager?.wake() })
  const reportTimer = setInterval(() => { if (stager === null) void readReport() }, REPORT_INTERVAL_MS)
  void readReport()

  metrics.gauge('peers_live', () => gossip.peers().filter(gossip.isLive).length)
  metrics.gauge('link_part', () => stager?.linkFraction() ?? 1)
  metrics.gauge('engine_running', () => report?.running ?? 0)
  const operatorServer = await openOperatorEndpoints.openOperatorEndpoints(parts, () => ({
    ...createFleetParts.describeSelf(parts, { isLeaving: isLeavingNode(), isStoreLost: false }, null, listSuspects()),
    engine: report === null ? null : { ...report, models: Object.fromEntries(report.models), isPaused, changesInMs, coldMs: coldChecks.readColdMs(), ...readReadyIn() },
    agents: listReliableAgents().map((agent) => agent.node)
  }))

  /** Waits for uploads in progress, and for a change of versions that has begun: without its end the engine gets no new calls. No further change begins. */
  async function close (): Promise<void> {
    await Promise.all([listener.close(), operatorServer.close(), stager?.finishChange()])
  }

  logger.info('started', { role: 'agent', engine: engineAddress, internalPort: checked.internal_port })
  return {
    calls: null,
    logger,
    count: metrics.count,
    drain: async () => {
      isLeaving = true
      endsBy = gracePeriod.computeGraceEnd(checked.limits, now())
      gossip.sendNow()
    },
    close: async () => { await gracePeriod.waitAtMost(close(), endsBy - now()) },
    countPeers: () => gossip.peers().filter(gossip.isLive).length,
    reload: exchange.reload,
    stop: () => {
      clearInterval(reportTimer)
      coldChecks.stop()
      operatorServer.abort()
      stager?.stop()
      exchange.stop()
      parts.pauses.stop()
      parts.usage.stop()
      listener.abort()
      parts.agents.destroy()
    }
  }
}
