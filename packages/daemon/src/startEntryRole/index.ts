/** The entry role: accepts calls, maintains the data hall's membership view and watches the table. */
import Koa from 'koa'
import * as clock from '@switchridge/clock'
import * as types from '@switchridge/types'
import * as membership from '@switchridge/membership'
import * as store from '@switchridge/store'
import * as routing from '@switchridge/routing'
import * as rpc from '@switchridge/rpc'
import * as observability from '@switchridge/observability'
import * as createClaims from '../createClaims/index.js'
import * as createCommonParts from '../createCommonParts/index.js'
import * as createDispatcher from '../createDispatcher/index.js'
import * as createEntryCalls from '../createEntryCalls/index.js'
import * as createEntryQuarantine from '../createEntryQuarantine/index.js'
import * as createHeartbeats from '../createHeartbeats/index.js'
import * as createNodeListPoll from '../createNodeListPoll/index.js'
import * as createTableWatch from '../createTableWatch/index.js'
import * as describeStatus from '../describeStatus/index.js'
import * as sendAttempt from '../sendAttempt/index.js'
import * as backendMembers from '../_lib/backendMembers.js'
import * as createDrillMethods from '../_lib/createDrillMethods.js'
import * as drainPeriod from '../_lib/drainPeriod.js'
import * as schemas from '../_lib/schemas.js'
import type * as startDaemon from '../startDaemon/index.js'

const PICK_POLICIES: Readonly<Record<string, routing.PickBackend>> = {
  'late-binding': routing.pickLateBinding,
  'least-loaded': routing.pickLeastLoaded,
  'two-choices': routing.pickTwoChoices,
  'least-stated': routing.pickLeastReported,
  random: routing.pickRandom
}

/** How long a draining entry node still accepts calls, until the load balancer has seen its health check fail. */
const BALANCER_GRACE_MS = 2000
const DRAIN_POLL_MS = 50
const DISPATCH_INTERVAL_MS = 50
const SWEEP_INTERVAL_MS = 60_000

/**
 * Starts the entry role.
 *
 * @param parts - The daemon's shared parts.
 * @returns The running role.
 */
export async function startEntryRole (parts: createCommonParts.CommonParts): Promise<startDaemon.RunningRole> {
  const { settings, view, keeper, loads, logger } = parts
  const controlApp = new Koa()
  controlApp.on('error', () => {})
  const listener = await rpc.listenHttp(controlApp.callback(), { ...settings.listen, ...(parts.tls === undefined ? {} : { tls: parts.tls }) })
  const self = createCommonParts.createInitialFacts(parts, listener.address)
  const health = routing.createBackendHealth(parts.now)
  const startedAt = parts.liveness.now()
  let isLeaving = false
  let endsAt = Infinity

  /** Backend servers report once an interval, so that an entry node that has just started may not have heard all of them. */
  const isStarting = (): boolean => parts.liveness.now() - startedAt < types.HEARTBEAT_TIMEOUT_MS

  const dispatcher = createDispatcher.createDispatcher({
    loads,
    health,
    pick: PICK_POLICIES[settings.experiments.pick_backend] ?? routing.pickLateBinding,
    listBackends: (service, row) => backendMembers.listBackends(view.members(), service, row),
    isRecoveryPossible: (service, row) => isStarting() || backendMembers.isRecoveryPossible(view.members(), service, row),
    findService: (service) => keeper.current().services.find((row) => row.id === service),
    dataHall: self.read().dataHall,
    random: parts.random
  })
  const claims = createClaims.createClaims(parts.store, Date.now)
  const quarantine = createEntryQuarantine.createEntryQuarantine({ parts, mayAskStore: () => createTableWatch.isTableWatcher(self.read(), view.members()) })
  const register = observability.createCallRegister({ logger, count: parts.countLabelled, readConfiguration, now: parts.now })
  const calls = createEntryCalls.createEntryCalls({
    register,
    table: keeper.current,
    dispatcher,
    loads,
    health,
    claims,
    limiter: routing.createAccountLimiter(parts.now, () => 1 / Math.max(1, countEntryNodes())),
    onLeaving: ({ node, incarnation }) => { view.noteLeavingRefusal(node, incarnation) },
    onEnded: ({ node, incarnation }) => { view.noteEndedProcess(node, incarnation) },
    send: async (call, backend, signal) => await sendAttempt.sendAttempt(call, backend, {
      self: self.read().node, identity: parts.identity, agents: parts.agents, client: parts.client, now: parts.now, signal
    }),
    logger,
    metrics: parts.metrics,
    now: parts.now,
    at: parts.at,
    guard: quarantine.guard,
    endsAt: () => endsAt
  })

  function readConfiguration (): number {
    return keeper.current().revision
  }

  /** Whether this entry node removes expired claims for the whole fleet. With different membership views two may do so, which is harmless. */
  function isClaimSweeper (): boolean {
    const live = view.members().filter((member) => member.facts.role === 'entry' && member.condition === 'live')
    return membership.pickByRendezvous('sweep', live, (member) => member.facts.node)?.facts.node === self.read().node
  }

  function countEntryNodes (): number {
    return view.members().filter((member) => member.facts.role === 'entry' && member.condition === 'live').length
  }

  const heartbeats = createHeartbeats.createHeartbeats({
    self,
    view,
    keeper,
    client: parts.client,
    seeds: createCommonParts.readSeeds(settings),
    readLoad: () => null,
    noteLoad: (node, load) => { loads.noteReported(node, load) },
    onRefresh: dispatcher.dispatchWaiting,
    random: parts.random
  })
  const watch = createTableWatch.createTableWatch({
    store: parts.store,
    keeper,
    isWatcher: () => createTableWatch.isTableWatcher(self.read(), view.members()),
    logger,
    random: parts.random
  })
  const nodeList = createNodeListPoll.createNodeListPoll(
    async () => await store.readNodeList(settings.platform.url, parts.agents, settings.platform.timeout_ms),
    view.applyNodeList,
    parts.random,
    () => membership.isHub(self.read(), view.members())
  )
  const methods: Record<string, rpc.RpcMethod> = {
    heartbeat: heartbeats.receive,
    table: heartbeats.sendTable,
    status: () => describeStatus.describeStatus(parts, self.read(), { transfers: [], load: null, counts: { ...calls.counts, ...quarantine.counts(), waiting: dispatcher.waiting(), inProgress: calls.inProgress() } }),
    'slots.free': (params) => {
      const hint = schemas.hintSchema.parse(params)
      loads.noteReported(types.brandId<types.NodeId>(hint.node), hint.load)
      dispatcher.dispatchWaiting()
      return null
    },
    ...quarantine.methods,
    ...createDrillMethods.createDrillMethods(parts)
  }
  controlApp.use(rpc.createRpcServer(parts.identity, methods, parts.traffic))

  const callerApp = new Koa()
  callerApp.on('error', () => {})
  callerApp.use(closeWhileLeaving)
  callerApp.use(answerHealth)
  callerApp.use(calls.middleware)
  const callerListener = await rpc.listenHttp(callerApp.callback(), {
    host: settings.listen.host,
    port: settings.listen.caller_port ?? 0,
    onIdleClose: observability.createIdleCloseLog({ logger, count: parts.countLabelled, readConfiguration })
  })

  /** Ends callers' connections with their next answer, so that a draining entry node becomes idle while its callers go on. */
  async function closeWhileLeaving (context: Koa.Context, next: Koa.Next): Promise<void> {
    if (isLeaving) context.set('connection', 'close')
    await next()
  }

  /** Health check for the platform's load balancer: whether this entry node can serve callers, and if not, why. */
  async function answerHealth (context: Koa.Context, next: Koa.Next): Promise<void> {
    if (context.path !== '/health') {
      await next()
      return
    }
    const reason = findUnhealthyReason()
    context.status = reason === '' ? 200 : 503
    context.body = { ok: reason === '', reason, revision: keeper.current().revision }
  }

  function findUnhealthyReason (): string {
    if (isLeaving) return 'leaving'
    if (keeper.current().revision === 0) return 'no table yet'
    if (!quarantine.isInitialized()) return 'blocked calls not read yet'
    const hasBackend = view.members().some((member) => member.facts.role === 'backend' && member.condition === 'live' && !member.leaving)
    return hasBackend ? '' : 'no live backend server'
  }

  /** A call may still have to record its answer after its caller has got it. */
  async function waitForCalls (): Promise<void> {
    while (calls.inProgress() > 0) await types.delay(DRAIN_POLL_MS)
  }

  keeper.onAdopt(() => {
    heartbeats.pushRevision()
    void heartbeats.sendNow()
  })
  const sweepTimer = setInterval(() => { if (isClaimSweeper()) void claims.sweep() }, SWEEP_INTERVAL_MS)
  const dispatchTimer = setInterval(dispatcher.dispatchWaiting, DISPATCH_INTERVAL_MS)
  heartbeats.start()
  watch.start()
  nodeList.start()

  return {
    address: listener.address,
    callerAddress: callerListener.address,
    calls: register,
    logger,
    count: parts.countLabelled,
    drain: async () => {
      isLeaving = true
      endsAt = parts.now() + drainPeriod.computeDrainMs(settings.limits) - drainPeriod.LAST_ANSWERS_MS
      const cancelEnd = parts.at(endsAt, () => { clock.runAfterReads(calls.endAll) })
      self.update({ state: 'leaving' })
      await heartbeats.sendNow()
      await types.delay(BALANCER_GRACE_MS)
      await callerListener.close()
      await waitForCalls()
      cancelEnd()
    },
    close: listener.close,
    stop: () => {
      clearInterval(dispatchTimer)
      clearInterval(sweepTimer)
      heartbeats.stop()
      watch.stop()
      nodeList.stop()
      quarantine.stop()
      callerListener.abort()
      listener.abort()
      parts.agents.destroy()
      parts.metrics.close()
      parts.liveness.stop()
    }
  }
}
