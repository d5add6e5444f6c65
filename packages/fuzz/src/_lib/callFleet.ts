/** Entry nodes, backend daemons and a back end in one process, built from the daemon's code and connected over the loopback interface. */
import * as http from 'node:http'
import Koa from 'koa'
import * as daemon from '@switchridge/daemon'
import * as observability from '@switchridge/observability'
import * as platform from '@switchridge/store'
import * as routing from '@switchridge/routing'
import * as rpc from '@switchridge/rpc'
import * as transfer from '@switchridge/transfer'
import * as clock from '@switchridge/clock'
import * as types from '@switchridge/types'

/** Behaviour of the back end for a request, chosen by the request's `x-fuzz` header. */
export type Behaviour = 'answer' | 'slow' | 'break-before-run' | 'break-after-run' | 'break-in-answer'

/** A running fleet. */
export interface CallFleet {
  readonly entryUrls: readonly string[]
  /** Number of times that each request was executed, by request id. */
  readonly runs: ReadonlyMap<string, number>
  /** Aborts a backend daemon and starts another in its place. */
  readonly restart: (index: number) => Promise<void>
  /** Makes a backend daemon leave: it refuses waiting and new calls. */
  readonly leave: (index: number) => void
  readonly close: () => Promise<void>
}

/** Options of {@link createCallFleet}. */
export interface CallFleetOptions {
  readonly entryNodes: number
  readonly backends: number
  /** Returns the milliseconds after which the connection of the next attempt breaks, or null to keep it. */
  readonly nextBreakMs: () => number | null
  /** Creates a daemon's tickets; tests pass a faulty implementation to check that the fuzzer detects it. */
  readonly createTickets: () => routing.Tickets
}

interface BackendDaemon {
  facts: types.MemberFacts
  admission: routing.Admission
  listener: rpc.HttpListener
}

const IDENTITY: rpc.Identity = { deployment: 'fuzz', sharedKey: '' }
const HOST = types.LOOPBACK_HOST
const SERVICE = types.brandId<types.ServiceName>('stoc')
const SLOW_MS = 15
const SLOTS = 2
const DEADLINE_MS = 1500
const TABLE: types.Table = {
  ...types.EMPTY_TABLE,
  revision: 1,
  services: [{ id: SERVICE, kind: 'plain', concurrency: SLOTS, queue: 1, deadlineMs: DEADLINE_MS, repeatable: 'reads', retryBudget: 0.5 }]
}

/** Starts the fleet. */
export async function createCallFleet (options: CallFleetOptions): Promise<CallFleet> {
  const runs = new Map<string, number>()
  const agents = rpc.createHttpAgents()
  const client = rpc.createRpcClient(IDENTITY, agents)
  const backEnd = await rpc.listenHttp(createBackEndHandler(runs), { host: HOST, port: 0 })
  const backEndUrl = `http://${HOST}:${backEnd.address.port}`
  const incarnations = { count: 0 }
  const store = platform.createMemoryObjectStore()
  const startBackend = async (index: number): Promise<BackendDaemon> => await startBackendDaemon(index, ++incarnations.count, backEndUrl, agents, options)
  const backends = await Promise.all(Array.from({ length: options.backends }, async (_, index) => await startBackend(index)))
  const entryNodes = await Promise.all(Array.from({ length: options.entryNodes }, async (_, index) => await startEntryNode(index, backends, agents, client, store, options)))
  return {
    entryUrls: entryNodes.map(({ address }) => `http://${address.host}:${address.port}`),
    runs,
    restart: async (index) => {
      backends[index]?.listener.abort()
      backends[index] = await startBackend(index)
    },
    leave: (index) => { backends[index]?.admission.close() },
    close: async () => {
      for (const { listener } of [...entryNodes.map((listener) => ({ listener })), ...backends, { listener: backEnd }]) listener.abort()
      agents.destroy()
    }
  }
}

function createBackEndHandler (runs: Map<string, number>): http.RequestListener {
  return (request, response) => {
    const id = String(request.headers['x-request-id'])
    const behaviour = request.headers['x-fuzz'] as Behaviour
    if (behaviour === 'break-before-run') {
      request.socket.destroy()
      return
    }
    runs.set(id, (runs.get(id) ?? 0) + 1)
    request.resume()
    const answer = (): void => {
      if (behaviour === 'break-after-run') request.socket.destroy()
      else if (behaviour === 'break-in-answer') response.write('{"id":', () => { request.socket.destroy() })
      else response.end(JSON.stringify({ id }))
    }
    if (behaviour === 'slow') setTimeout(answer, SLOW_MS)
    else answer()
  }
}

/** The fuzzer's back end breaks connections but never ends, so quarantine stays inactive. */
const INACTIVE_GUARD: daemon.EntryGuard = { isActive: () => false, readBlockedMs: () => null, noteServed: () => {}, onBlocked: () => {}, noteLost: async () => {} }
const steadyClock = clock.createSteadyClock()
const LOGGER = observability.createLogger('fuzz-calls', {}, { level: 'silent' })
const scheduleAt = clock.createDeadlineScheduler(steadyClock)

function createRegister (): observability.CallRegister {
  return observability.createCallRegister({ logger: LOGGER, count: () => {}, readConfiguration: () => null, now: steadyClock.now })
}

async function startBackendDaemon (index: number, incarnationNumber: number, url: string, agents: rpc.HttpAgents, options: CallFleetOptions): Promise<BackendDaemon> {
  const incarnation = types.brandId<types.IncarnationId>(`life-${incarnationNumber}`)
  const admission = routing.createAdmission(SLOTS, 1)
  const tickets = options.createTickets()
  const app = new Koa()
  app.on('error', () => {})
  app.use(daemon.createBackendCalls({
    identity: IDENTITY,
    service: SERVICE,
    incarnation,
    url,
    isEngine: false,
    admission,
    tickets,
    serving: daemon.createServedVersions(),
    agents,
    uplink: transfer.createLinkPacer(0, () => 0),
    count: () => {},
    register: createRegister(),
    onQueueFull: () => {},
    after: (milliseconds, action) => scheduleAt(steadyClock.now() + milliseconds, action),
    onAnswer: () => {},
    findTerminatedInstance: async () => null
  }))
  app.use(rpc.createRpcServer(IDENTITY, {
    ticket: (params) => {
      const request = params as { ticket: types.TicketId, incarnation: string }
      return request.incarnation === incarnation ? tickets.resolve(request.ticket) : 'unknown'
    }
  }))
  const listener = await rpc.listenHttp(app.callback(), { host: HOST, port: 0 })
  const facts = { node: types.brandId<types.NodeId>(`backend-${index}`), role: 'backend', dataHall: 'hall', address: listener.address, incarnation, service: SERVICE, serving: [] } as unknown as types.MemberFacts
  return { facts, admission, listener }
}

async function startEntryNode (index: number, backends: readonly BackendDaemon[], agents: rpc.HttpAgents, client: rpc.RpcClient, store: platform.ObjectStore, options: CallFleetOptions): Promise<rpc.HttpListener> {
  const { now } = steadyClock
  const leaving = new Set<types.IncarnationId>()
  const loads = routing.createBackendLoads()
  const health = routing.createBackendHealth(now)
  const dispatcher = daemon.createDispatcher({
    loads,
    health,
    pick: routing.pickLateBinding,
    listBackends: () => backends.map((backend) => backend.facts).filter((facts) => !leaving.has(facts.incarnation)),
    isRecoveryPossible: () => false,
    findService: () => TABLE.services[0],
    dataHall: types.brandId<types.DataHallId>('hall'),
    random: Math.random
  })
  const calls = daemon.createEntryCalls({
    table: () => TABLE,
    dispatcher,
    loads,
    health,
    limiter: routing.createAccountLimiter(now, () => 1),
    claims: daemon.createClaims(store, Date.now),
    onLeaving: ({ incarnation }) => { leaving.add(incarnation) },
    onEnded: () => {},
    send: async (call, backend, signal) => {
      const breakAfterMs = options.nextBreakMs()
      const breakableSignal = breakAfterMs === null ? signal : AbortSignal.any([signal, AbortSignal.timeout(breakAfterMs)])
      return await daemon.sendAttempt(call, backend, { self: types.brandId<types.NodeId>(`entry-${index}`), identity: IDENTITY, agents, client, now, signal: breakableSignal })
    },
    logger: LOGGER,
    endsAt: () => Infinity,
    register: createRegister(),
    metrics: observability.createStatsdMetrics({ host: HOST, port: 8125, tags: {}, enabled: false }),
    now,
    at: scheduleAt,
    guard: INACTIVE_GUARD
  })
  const app = new Koa()
  app.on('error', () => {})
  app.use(calls.middleware)
  return await rpc.listenHttp(app.callback(), { host: HOST, port: 0 })
}
