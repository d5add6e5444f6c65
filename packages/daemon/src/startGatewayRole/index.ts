/** The gateway role: accepts calls, follows the store's objects and forwards the calls to back ends. */
import * as gateway from '@switchridge/gateway'
import * as observability from '@switchridge/observability'
import * as platform from '@switchridge/platform'
import type * as settings from '@switchridge/settings'
import * as spread from '@switchridge/spread'
import * as types from '@switchridge/types'
import * as createCallQuarantine from '../createCallQuarantine/index.js'
import * as createFleetExchange from '../createFleetExchange/index.js'
import * as createFleetParts from '../createFleetParts/index.js'
import * as createRateLimiter from '../createRateLimiter/index.js'
import * as createSharedBackoffs from '../createSharedBackoffs/index.js'
import * as openTextServer from '../openTextServer/index.js'
import * as engineStatus from '../_lib/engineStatus.js'
import * as gracePeriod from '../_lib/gracePeriod.js'
import * as leavingFacts from '../_lib/leavingFacts.js'
import * as openOperatorEndpoints from '../_lib/openOperatorEndpoints.js'
import type * as fleetRole from '../_lib/fleetRole.js'

/** Within this time the load balancer notices that a gateway is not ready. */
const BALANCER_NOTICE_MS = 2600
/** Time for sending the final responses of calls that did not end within the grace period. */
const FINAL_ANSWERS_MS = 100
const BYTES_PER_MEGABYTE = 1_000_000
/** A gateway that has just started may not know most of the others yet, and would take their share of what returning engines can serve. */
const PEERS_UNKNOWN_MS = 1500
/** Share of the memory for answers that are buffered until they are complete. Those that were given up take as much again until the garbage collector frees them. */
const ANSWERS_SHARE = 0.15
/** Room for four answers of the largest size, whatever the share is. */
const MINIMUM_ANSWERS_BYTES = 4 * gateway.MAXIMUM_BUFFERED_BYTES
const OK = 200
const UNAVAILABLE = 503

/**
 * Starts the gateway role.
 *
 * @param checked - The validated settings.
 * @param environment - Clocks and log output; those of the process by default.
 * @returns The running role. Rejects if an address for callers, for other daemons or for the readiness check cannot be bound.
 */
export async function startGatewayRole (checked: settings.FleetSettings, environment?: createFleetParts.PartsEnvironment): Promise<fleetRole.FleetRole> {
  const parts = createFleetParts.createFleetParts(checked, environment)
  const { logger, metrics, now } = parts
  const tracker = gateway.createBackEndTracker(now)
  const budgets = new Map<types.ServiceName, gateway.RetryBudget>()
  const errorBounds = new Map<types.ServiceName, gateway.ErrorBound>()
  const exclusionRules: gateway.ExclusionRules = { regions: new Map(Object.entries(checked.regions)), isEvacuated: parts.evacuations.isEvacuated }
  const startedAt = now()
  let isListening = false
  let isLeaving = false
  /** By when this process must have ended; known once it drains. */
  let endsBy = Infinity

  let startedQuarantine: createCallQuarantine.CallQuarantine | null = null

  const client = platform.createStoreClient({
    address: platform.parseAddress(checked.store.address),
    agents: parts.agents,
    timeoutMs: checked.store.timeout_ms,
    onCall: (operation) => { metrics.count('store_calls', { operation }) },
    onUnreadable: (kind, { message }) => {
      metrics.count('objects_unreadable', { kind })
      logger.warn('object-unreadable', { kind, error: message })
    },
    onRestored: (era) => {
      metrics.count('store_restorations')
      logger.warn('store-restored', { era })
      startedQuarantine?.saveAgain()
    }
  })
  const listener = await createFleetParts.listenInternal(parts, [])
  let startedExchange: createFleetExchange.FleetExchange | null = null
  const callQuarantine = createCallQuarantine.createCallQuarantine({
    settings: checked.quarantine,
    store: client,
    mayAskStore: () => startedExchange?.mayAskStore() ?? false,
    backEnds: parts.backEnds,
    tracker,
    isLeaving: isLeavingBackEnd,
    publishFact: (content, ttlMs, ageMs) => { startedExchange?.facts.publish(content, ttlMs, ageMs) },
    probe: gateway.probeAddress,
    logger,
    count: metrics.count,
    now,
    timeOfDay: Date.now,
    random: Math.random
  })
  startedQuarantine = callQuarantine
  const limiter = createRateLimiter.createRateLimiter({
    parts,
    exchange: () => startedExchange,
    isLeaving: () => isLeaving,
    random: Math.random
  })
  const leavers = gateway.createLeavingRecord({
    onLeaving: (instance, source) => {
      metrics.count('back_ends_leaving', { source })
      logger.info('back-end-leaving', { instance, source })
      if (source === 'answer') startedExchange?.facts.publish(leavingFacts.formatFact(instance), gateway.LEAVING_RETENTION_MS)
    },
    now
  })
  const backoffs = createSharedBackoffs.createSharedBackoffs({
    parts,
    tracker,
    publishFact: (content, ttlMs) => { startedExchange?.facts.publish(content, ttlMs) },
    countGateways: countLiveGateways,
    random: Math.random
  })
  const reserver = gateway.createReservationClient({
    send: (host, bytes) => { startedExchange?.send(host, bytes) },
    count: metrics.count,
    at: parts.at,
    now,
    random: Math.random
  })
  let waitingServices: ReadonlySet<types.ServiceName> = new Set()
  const waiting = checked.waiting.maximum_calls === 0 ? null : createWaiting()
  const exchange = await createFleetExchange.createFleetExchange({
    parts,
    store: client,
    openDatagrams: spread.openDatagrams(checked.host, checked.internal_port),
    fetchChanges: createFleetParts.createChangesFetcher(parts),
    describeSelf: (isStoreLost) => createFleetParts.describeSelf(parts, { isLeaving, isStoreLost }),
    onHeartbeat: handleHeartbeat,
    onFact: handleFact,
    onDatagram: (bytes, from) => limiter.receive(bytes, from) || reserver.receive(bytes, from),
    random: Math.random
  })
  startedExchange = exchange
  const { gossip } = exchange

  function handleFact (content: unknown, madeAt: number): void {
    const leaver = leavingFacts.parseFact(content)
    if (leaver !== null) leavers.noteFromPeer(leaver)
    else if (!backoffs.noteFact(content, madeAt) && !limiter.noteFact(content, madeAt)) callQuarantine.noteFact(content, madeAt)
  }

  function isLeavingBackEnd (backEnd: gateway.BackEnd): boolean {
    return backEnd.isDraining || leavers.isLeaving(backEnd) || tracker.read(backEnd.id).report?.isLeaving === true
  }

  function handleHeartbeat (heartbeat: spread.Heartbeat, delayMs: number, ageMs: number): void {
    createFleetParts.recordPeerVersions(parts, heartbeat)
    if (heartbeat.role === 'gateway') parts.noteGatewayHost(heartbeat.host)
    const engineUpdate = engineStatus.decodeEngineStatus(heartbeat.engine, { host: heartbeat.host, soleModel: findSoleModel })
    if (engineUpdate === null) return
    const reported = listReported(engineUpdate.address, engineUpdate.report.bornAt)
    for (const backEnd of reported) noteEngineUpdate(backEnd, engineUpdate, delayMs, ageMs)
    if (reported.length > 0) waiting?.wake()
  }

  function noteEngineUpdate (backEnd: gateway.BackEnd, update: engineStatus.EngineStatus, delayMs: number, ageMs: number): void {
    const { coldMs, report: { bornAt, limitPerSecond } } = update
    const madeAt = now() - delayMs - ageMs
    tracker.noteReport(backEnd.id, update, madeAt, delayMs)
    limiter.noteReportedCold(backEnd, { bornAt, ...(coldMs === undefined ? {} : { coldMs }) }, madeAt)
    if (limitPerSecond !== null) limiter.noteReportedLimit(backEnd, limitPerSecond, madeAt)
  }

  /** Lists the entries that a report from an address may be about: where several name it, those with the instance that reports and those that no other one has displaced. */
  function listReported (address: string, bornAt: number | null): readonly gateway.BackEnd[] {
    const listed = parts.backEndsAt(address)
    if (listed.length < 2) return listed
    const sameInstance = keepIfAny(listed, (backEnd) => backEnd.bornAt === bornAt)
    return keepIfAny(sameInstance, (backEnd) => !tracker.read(backEnd.id).isGone && !isDisplaced(backEnd))
  }

  /** Whether another instance that is not older answers at the address of a back end: one process listens there, so that at most one entry is right. */
  function isDisplaced ({ id, bornAt }: gateway.BackEnd): boolean {
    const others = parts.othersAtAddressOf(id)
    if (others.length === 0) return false
    const { answeredAt } = tracker.read(id)
    return others.some((other) => {
      const load = tracker.read(other.id)
      const isOlder = other.bornAt !== null && bornAt !== null && other.bornAt < bornAt
      return load.answeredAt > answeredAt && !load.isGone && !isOlder && !isLeavingBackEnd(other)
    })
  }

  function findSoleModel (address: string): string | null {
    const models = parts.backEndsAt(address).map(({ service }) => parts.soleModelOf(service))
    return models.find((model) => model !== null) ?? null
  }

  /** Counts peers that are no longer live, too, since they may still be sending: so a gateway's budget never exceeds its share. */
  function countGateways (): number {
    return 1 + gossip.peers().filter((peer) => peer.heartbeat.role === 'gateway').length
  }

  function countLiveGateways (): number {
    return 1 + gossip.peers().filter((peer) => peer.heartbeat.role === 'gateway' && gossip.isLive(peer)).length
  }

  function countLiveAgents (): number {
    return gossip.peers().filter((peer) => peer.heartbeat.role === 'agent' && gossip.isLive(peer)).length
  }

  function budgetOf (service: types.ServiceName): gateway.RetryBudget {
    const { retry_ratio: ratio, retry_slack: slack, retry_window_seconds: seconds } = checked.bounds
    return types.getOrCreate(budgets, service, () => gateway.createRetryBudget({ ratio, slack, windowMs: seconds * types.MILLISECONDS_IN_SECOND }, countGateways, now))
  }

  function errorBoundOf (service: types.ServiceName): gateway.ErrorBound {
    return types.getOrCreate(errorBounds, service, () => gateway.createErrorBound(now))
  }

  function findExclusion (backEnd: gateway.BackEnd, allowedRegions: gateway.AllowedRegions): gateway.ExclusionReason | null {
    return gateway.findExclusion(backEnd, allowedRegions, exclusionRules)
  }

  function chooseBackEnd (choice: gateway.CallChoice): gateway.ChoiceOutcome {
    const { figures, model } = choice
    return gateway.chooseBackEnd({
      backEnds: parts.backEnds().filter((backEnd) => backEnd.service === choice.service),
      tracker,
      figures,
      zone: checked.zone,
      gateways: countLiveGateways(),
      model,
      promptTokens: choice.promptTokens,
      answerTokens: choice.answerTokens,
      lastBeginAt: (version) => model === null ? Infinity : parts.versions.lastBeginAt(model, version),
      versionBoundAt: (version) => model === null ? Infinity : parts.versions.boundAt(model, version),
      endsAt: now() + choice.remainingMs,
      pinnedVersion: choice.version,
      tried: choice.tried,
      isDisplaced,
      isRepeatable: choice.isRepeatable,
      isLeaving: leavers.isLeaving,
      findExclusion: (backEnd) => findExclusion(backEnd, choice.allowedRegions),
      mustConfirm: waitingServices.has(choice.service),
      readBackoff: backoffs.read,
      readAllowance: (backEnd) => limiter.readAllowance(backEnd, choice.isLate, choice.rank),
      mayRequestPermit: choice.mayRequestPermit,
      now: now(),
      random: Math.random
    })
  }

  function readConfiguration (): number | null {
    return parts.routes()?.configuration.version ?? null
  }

  const heldBytes = gateway.createHeldBytes({ maximumBytes: checked.limits.held_share > 0 ? checked.limits.held_share * checked.limits.memory_megabytes * BYTES_PER_MEGABYTE : Infinity, now })
  const answerBuffers = gateway.createAnswerBuffers(Math.max(MINIMUM_ANSWERS_BYTES, ANSWERS_SHARE * checked.limits.memory_megabytes * BYTES_PER_MEGABYTE))

  function listForecastEngines (service: types.ServiceName): readonly gateway.ForecastEngine[] {
    const model = parts.soleModelOf(service)
    if (model === null) return []
    const backEnds = parts.backEnds().filter((backEnd) => backEnd.service === service && !isLeavingBackEnd(backEnd) && !isDisplaced(backEnd))
    return gateway.listForecastEngines(backEnds, tracker, model, (version) => parts.versions.lastBeginAt(model, version) > now(), now())
  }

  function computeUsualHoldMs (service: types.ServiceName): number | null {
    const figures = parts.routes()?.findService(service)?.engine ?? null
    return figures === null || figures.usualPromptTokens === null ? null : gateway.computeHoldMs(figures, figures.usualPromptTokens, 0)
  }

  function createWaiting (): gateway.WaitingCalls {
    return gateway.createWaitingCalls({
      limits: { maximumCalls: checked.waiting.maximum_calls, maximumBytes: checked.waiting.maximum_bytes },
      readEngines: listForecastEngines,
      holdMsOf: computeUsualHoldMs,
      countGateways: () => now() - startedAt < PEERS_UNKNOWN_MS ? null : countLiveGateways(),
      reserve: (backEnd, request, onAnswer) => { void reserver.reserve(backEnd, request).then(onAnswer) },
      count: metrics.count,
      now,
      at: parts.at,
      random: Math.random
    })
  }

  const calls = gateway.createCallHandler({
    protocol: platform.createCallProtocol(),
    routes: parts.routes,
    tracker,
    choose: chooseBackEnd,
    findExclusion,
    onSent: ({ zone }) => { parts.evacuations.noteSent(zone) },
    budgetOf,
    errorBoundOf,
    sharedTargetOf: gateway.createSharedTargets(now).note,
    mustConfirmSlots: () => gateway.mustConfirmSlots({ isEnabled: checked.placement.confirm_slots, gateways: countLiveGateways(), agents: countLiveAgents() }),
    guard: callQuarantine,
    limiter,
    leavers,
    backoffs,
    reserver,
    heldBytes,
    answerBuffers,
    ...(waiting === null ? {} : { waiting }),
    sendAttempt: gateway.sendAttempt,
    logger,
    count: metrics.count,
    observe: metrics.observe,
    now,
    at: parts.at,
    random: Math.random
  })
  const server = gateway.createCallerServer(calls, observability.createIdleCloseLog({
    logger,
    count: metrics.count,
    readConfiguration
  }), ({ peer, requests }) => {
    metrics.count('connections_held_back')
    logger.warn('connection-held-back', { caller: peer, requests })
  })
  parts.evacuations.onTakenBack(limiter.noteTakenBack)
  parts.evacuations.onEvacuated(() => { waiting?.endExcluded() })
  parts.onRoutes((table) => {
    server.setLimits(table.configuration.limits)
    waitingServices = waiting === null ? new Set() : gateway.listWaitingServices(table.configuration)
  })
  parts.onBackEnds(() => {
    tracker.keepOnly(parts.backEnds())
    limiter.removeUnlisted()
    leavers.noteListed(parts.backEnds())
    leavers.removeUnlisted(parts.backEnds())
    backoffs.removeUnlisted(parts.backEnds())
    waiting?.endExcluded()
  })
  const readiness = checked.listen.readiness === undefined
    ? null
    : await openTextServer.openTextServer(platform.parseAddress(checked.listen.readiness), { [platform.READINESS_PATH]: () => ({ status: isReady() ? OK : UNAVAILABLE }) })

  function isReady (): boolean {
    return isListening && !isLeaving && parts.routes() !== null && parts.areBackEndsKnown() && parts.evacuations.isKnown() && callQuarantine.isInitialized()
  }

  async function drain (): Promise<void> {
    isLeaving = true
    const beganAt = now()
    endsBy = gracePeriod.computeGraceEnd(checked.limits, beganAt)
    calls.drain({ balancedUntil: beganAt + BALANCER_NOTICE_MS, endsAt: endsBy })
    gossip.sendNow()
    await types.delay(Math.min(BALANCER_NOTICE_MS, endsBy - now()))
    if (await gracePeriod.waitAtMost(server.drain(), endsBy - now())) return
    logger.warn('drain-ended-early', { inProgress: calls.register.count(), ...server.countConnections() })
    calls.endAll()
    await types.delay(FINAL_ANSWERS_MS)
  }

  metrics.gauge('calls_in_progress', calls.register.count)
  metrics.gauge('calls_waiting', () => waiting?.size() ?? 0)
  metrics.gauge('prediction_error_bound_ms', () => Math.max(0, ...[...errorBounds.values()].map((bound) => bound.read())))
  metrics.gauge('peers_live', () => gossip.peers().filter(gossip.isLive).length)
  metrics.gauge('configuration_version', () => readConfiguration() ?? 0)
  metrics.gauge('back_ends', () => parts.backEnds().length)
  metrics.gauge('calls_blocked_now', () => callQuarantine.blocks().length)
  metrics.gauge('calls_suspected', callQuarantine.countSuspects)
  metrics.gauge('ends_known', callQuarantine.countEnds)
  metrics.gauge('rate_limits_in_force', () => limiter.inForce().length)
  metrics.gauge('held_bytes', heldBytes.read)
  metrics.gauge('held_upload_bytes', heldBytes.readUploads)
  metrics.gauge('held_unread_bytes', () => heldBytes.read() - heldBytes.readUploads())
  metrics.gauge('buffered_answer_bytes', answerBuffers.read)
  metrics.gauge('connection_requests_most', server.countMostRequests)
  metrics.gauge('back_ends_cold', () => limiter.listCold().length)
  metrics.gauge('backoffs_in_force', backoffs.countInForce)
  metrics.gauge('evacuations_in_force', () => parts.evacuations.list().length)
  metrics.gauge('facts', exchange.facts.count)
  const operatorServer = await openOperatorEndpoints.openOperatorEndpoints(parts, () => ({
    ...createFleetParts.describeSelf(parts, { isLeaving, isStoreLost: exchange.isStoreLost() }),
    isReady: isReady(),
    inProgress: calls.register.count(),
    connections: server.countConnections(),
    store: exchange.storeState(),
    blockedCalls: callQuarantine.blocks().map(({ fingerprint, count, since }) => ({ fingerprint, count, ageSeconds: Math.round((now() - since) / types.MILLISECONDS_IN_SECOND) })),
    endsKnown: callQuarantine.countEnds(),
    rateLimits: limiter.inForce().map(({ life, perSecond, receivedAt }) => ({ life, perSecond, ageSeconds: Math.round((now() - receivedAt) / types.MILLISECONDS_IN_SECOND) })),
    coldBackEnds: limiter.listCold(),
    evacuations: parts.evacuations.list(),
    peers: gossip.peers().map((peer) => ({ node: peer.heartbeat.node, role: peer.heartbeat.role, zone: peer.heartbeat.zone, isLive: gossip.isLive(peer) })),
    backEnds: parts.backEnds().map((backEnd) => ({ id: backEnd.id, service: backEnd.service, isDraining: backEnd.isDraining, isLeaving: isLeavingBackEnd(backEnd), backoffMs: Math.round(backoffs.read(backEnd).waitMs), models: Object.fromEntries(backEnd.models) }))
  }))

  // Last, since a start that fails ends the process, and with it the calls that it has accepted.
  await server.listen(platform.parseAddress(checked.listen.callers as string))
  isListening = true
  logger.info('started', { role: 'gateway', internalPort: checked.internal_port })
  return {
    calls: calls.register,
    logger,
    count: metrics.count,
    drain,
    close: async () => { await gracePeriod.waitAtMost(Promise.all([listener.close(), readiness?.close(), operatorServer.close()]), endsBy - now()) },
    countPeers: () => gossip.peers().filter(gossip.isLive).length,
    reload: exchange.reload,
    stop: () => {
      callQuarantine.stop()
      exchange.stop()
      parts.pauses.stop()
      parts.usage.stop()
      server.close()
      readiness?.abort()
      operatorServer.abort()
      listener.abort()
      parts.agents.destroy()
    }
  }
}

/** The items that meet a condition, or all of them if none does. */
function keepIfAny<Item> (items: readonly Item[], condition: (item: Item) => boolean): readonly Item[] {
  const kept = items.filter(condition)
  return kept.length > 0 ? kept : items
}
