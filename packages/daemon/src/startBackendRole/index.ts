/** The backend role: stores weights for its backend server, tells its engine which versions to load, and runs calls on it. */
import Koa from 'koa'
import type * as settingsTypes from '@switchridge/settings'
import * as gateway from '@switchridge/gateway'
import * as types from '@switchridge/types'
import * as store from '@switchridge/store'
import * as routing from '@switchridge/routing'
import * as rpc from '@switchridge/rpc'
import * as observability from '@switchridge/observability'
import * as transfer from '@switchridge/transfer'
import * as createBackEndState from '../createBackEndState/index.js'
import * as createBackendCalls from '../createBackendCalls/index.js'
import * as createCommonParts from '../createCommonParts/index.js'
import * as createEngineOrders from '../createEngineOrders/index.js'
import * as createEntryQuarantine from '../createEntryQuarantine/index.js'
import * as createHeartbeats from '../createHeartbeats/index.js'
import * as createPlacementLoop from '../createPlacementLoop/index.js'
import * as createServedVersions from '../createServedVersions/index.js'
import * as createWeightsListener from '../createWeightsListener/index.js'
import * as describeStatus from '../describeStatus/index.js'
import * as createDrillMethods from '../_lib/createDrillMethods.js'
import * as createTransferRequests from '../_lib/createTransferRequests.js'
import * as createTransferPlanner from '../_lib/createTransferPlanner.js'
import * as schemas from '../_lib/schemas.js'
import type * as startDaemon from '../startDaemon/index.js'

const LEASE_MS = 10_000
const LEASE_MARGIN_MS = 2000
const DRAIN_POLL_MS = 50
const HINT_TIMEOUT_MS = 500
const REQUESTS_PER_PEER = 2
const DEFAULT_CONCURRENCY = 8
const DEFAULT_QUEUE_LENGTH = 4

/**
 * Starts the backend role.
 *
 * @param parts - The daemon's shared parts.
 * @param backEnd - The settings of the back end on the same host.
 * @returns The running role.
 */
export async function startBackendRole (parts: createCommonParts.CommonParts, backEnd: NonNullable<settingsTypes.Settings['back_end']>): Promise<startDaemon.RunningRole> {
  const { settings, view, keeper, logger } = parts
  const controlApp = new Koa()
  controlApp.on('error', () => {})
  const listener = await rpc.listenHttp(controlApp.callback(), { ...settings.listen, ...(parts.tls === undefined ? {} : { tls: parts.tls }) })
  const weightsListener = await createWeightsListener.createWeightsListener()
  const self = createCommonParts.createInitialFacts(parts, listener.address)
  const { node, dataHall } = self.read()
  const uplink = transfer.createLinkPacer(settings.limits.link_bytes_per_second, parts.now)
  const downlink = transfer.createLinkPacer(settings.limits.link_bytes_per_second, parts.now)
  const chunkStore = transfer.createChunkStore(settings.limits.chunk_memory_bytes)
  const counts: Record<string, number> = {}
  const count = (name: string): void => {
    counts[name] = (counts[name] ?? 0) + 1
    parts.metrics.increment(name)
  }

  const transfers = transfer.createTransferManager({
    store: chunkStore,
    requests: createTransferRequests.createTransferRequests(parts, node, () => uploader.backlog()),
    downlink,
    requestsInFlight: settings.limits.requests_in_flight,
    requestsPerPeer: REQUESTS_PER_PEER,
    now: parts.now,
    random: parts.random,
    onComplete: (digest) => {
      logger.info('weights-complete', { manifest: digest })
      placementLoop.reconcile()
    },
    onEvent: ({ event, ...fields }) => {
      count(`transfer.${event}`)
      logger.info(event, fields)
    }
  })
  const uploader = transfer.createUploader({
    identity: parts.identity,
    store: chunkStore,
    uplink,
    slots: settings.limits.upload_slots,
    onHave: transfers.noteHave,
    onSent: transfers.noteSent,
    findHolders: transfers.findHolders
  })

  const waitingEntryNodes = new Set<types.NodeId>()
  const admission = routing.createAdmission(DEFAULT_CONCURRENCY, DEFAULT_QUEUE_LENGTH, notifyWaitingEntryNode)
  const tickets = routing.createTickets()
  const serving = createServedVersions.createServedVersions()
  const backEndState = createBackEndState.createBackEndState({ url: backEnd.url, name: `${node}/${parts.incarnation}`, probe: gateway.probeAddress })
  const register = observability.createCallRegister({ logger, count: parts.countLabelled, readConfiguration: () => parts.keeper.current().revision, now: parts.now })
  const calls = createBackendCalls.createBackendCalls({
    register,
    identity: parts.identity,
    service: types.brandId<types.ServiceName>(backEnd.service),
    incarnation: parts.incarnation,
    url: backEnd.url,
    isEngine: backEnd.kind === 'engine',
    admission,
    tickets,
    serving,
    agents: parts.agents,
    uplink,
    count,
    onQueueFull: (entryNode) => { waitingEntryNodes.add(entryNode) },
    after: (milliseconds, action) => parts.at(parts.now() + milliseconds, action),
    onAnswer: backEndState.noteAnswer,
    findTerminatedInstance: backEndState.findTerminatedInstance
  })

  /** Tells the entry node that has waited longest since a refused call that a slot is free. */
  function notifyWaitingEntryNode (): void {
    const [longestWaiting] = waitingEntryNodes
    if (longestWaiting === undefined) return
    waitingEntryNodes.delete(longestWaiting)
    const member = view.find(longestWaiting)
    if (member !== undefined) void parts.client.call(member.facts.address, 'slots.free', { node, load: admission.load() }, HINT_TIMEOUT_MS)
  }

  const placementLoop = createPlacementLoop.createPlacementLoop({
    self,
    view,
    keeper,
    store: chunkStore,
    transfer: transfers,
    serving,
    weights: weightsListener,
    plan: createTransferPlanner.createTransferPlanner({ node, dataHall, address: listener.address }, keeper.current, settings.experiments.transfer_policy),
    orders: createEngineOrders.createEngineOrders({
      url: backEnd.url,
      checksFences: backEnd.checks_fences,
      agents: parts.agents,
      lease: store.createLease(parts.store, `engine.${node}`, parts.incarnation, {
        durationMs: LEASE_MS, marginMs: LEASE_MARGIN_MS, now: parts.now, preemptsHolder: backEnd.checks_fences
      })
    }),
    logger,
    onServing: () => { void heartbeats.sendNow() }
  })
  const heartbeats = createHeartbeats.createHeartbeats({
    self,
    view,
    keeper,
    client: parts.client,
    seeds: createCommonParts.readSeeds(settings),
    readLoad: admission.load,
    noteLoad: () => {},
    onRefresh: () => { if (backEnd.kind === 'engine') placementLoop.reconcile() },
    random: parts.random
  })

  const methods: Record<string, rpc.RpcMethod> = {
    heartbeat: heartbeats.receive,
    table: heartbeats.sendTable,
    status: () => describeStatus.describeStatus(parts, self.read(), { transfers: transfers.progress(), load: admission.load(), counts: { ...counts, uploadedBytes: uploader.sentBytes(), backlog: uploader.backlog(), openRequests: transfers.openRequests() } }),
    ticket: (params) => {
      const request = schemas.ticketSchema.parse(params)
      return request.incarnation === parts.incarnation ? tickets.resolve(types.brandId<types.TicketId>(request.ticket)) : 'unknown'
    },
    [createEntryQuarantine.ENDED_METHOD]: backEndState.findTerminatedInstance,
    'transfer.announce': (params) => {
      const announcement = schemas.announceSchema.parse(params)
      transfers.noteHave(types.brandId<types.Digest>(announcement.digest), types.brandId<types.NodeId>(announcement.node), announcement.have)
      return null
    },
    'transfer.provider': (params) => {
      const request = schemas.providerSchema.parse(params)
      return transfers.answerProviderQuery(types.brandId<types.Digest>(request.digest), request.chunk, request.successor === null ? null : types.brandId<types.NodeId>(request.successor))
    },
    ...createDrillMethods.createDrillMethods(parts)
  }
  controlApp.use(calls)
  controlApp.use(uploader.middleware)
  controlApp.use(rpc.createRpcServer(parts.identity, methods, parts.traffic))

  keeper.onAdopt((table) => {
    const service = table.services.find((row) => row.id === backEnd.service)
    if (service !== undefined) admission.setLimits(service.concurrency, service.queue)
    if (backEnd.kind === 'engine') placementLoop.reconcile()
    void heartbeats.sendNow()
  })
  heartbeats.start()

  return {
    address: listener.address,
    callerAddress: null,
    calls: register,
    logger,
    count: parts.countLabelled,
    drain: async () => {
      const { running, waiting } = admission.load()
      logger.info('draining', { running, waiting })
      admission.close()
      self.update({ state: 'leaving' })
      await heartbeats.sendNow()
      while (admission.load().running > 0 || register.count() > 0) await types.delay(DRAIN_POLL_MS)
    },
    close: listener.close,
    stop: () => {
      heartbeats.stop()
      transfers.stop()
      weightsListener.close()
      listener.abort()
      parts.agents.destroy()
      parts.metrics.close()
      parts.liveness.stop()
    }
  }
}
