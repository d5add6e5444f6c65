/**
 * An entry node and backend daemons of a plain service for tests of drains: the whole roles of this process, on the paused clock, with heartbeats that the test
 * can hold back or lose. Their back ends hold each call until the test releases it.
 */
import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import type * as net from 'node:net'
import type * as nodeTest from 'node:test'
import * as rpc from '@switchridge/rpc'
import * as settings from '@switchridge/settings'
import * as types from '@switchridge/types'
import * as createCommonParts from '../createCommonParts/index.js'
import type * as describeStatus from '../describeStatus/index.js'
import * as startBackendRole from '../startBackendRole/index.js'
import type * as startDaemon from '../startDaemon/index.js'
import * as startEntryRole from '../startEntryRole/index.js'

/** What happens to heartbeats in which a backend daemon says that it leaves. */
export interface Notification {
  /** Number of heartbeats that are lost. */
  readonly lost: number
  /** Milliseconds that the others are under way. */
  readonly delayMs: number
}

/** The end of a call as its caller sees it. */
export interface CallResult {
  readonly id: string
  readonly status: number
  readonly reason: string
}

/** A backend daemon with its back end. */
export interface DrainingBackend {
  readonly node: types.NodeId
  /** Ids of the calls that its back end has received, in their order. */
  readonly received: readonly string[]
  /** Starts the drain; the calls in progress go on. */
  readonly drain: () => void
  /** Ends the process and starts another one for the same node at the same address, whose heartbeats are lost for some milliseconds. */
  readonly restart: (silentMs?: number) => Promise<void>
}

/** The hall. */
export interface DrainingHall {
  readonly backends: readonly DrainingBackend[]
  /** Lets time pass; heartbeats are sent and answered meanwhile. */
  readonly advance: (milliseconds: number) => Promise<void>
  /** Sends calls at the same moment, and waits until each runs, waits for a slot or has ended. */
  readonly send: (count: number) => Promise<void>
  /** Answers calls that run, at the given backend daemons or at all; returns how many there were. */
  readonly release: (count: number, at?: readonly DrainingBackend[]) => Promise<number>
  /** Ends of calls so far. */
  readonly results: readonly CallResult[]
  /** Number of attempts that backend daemons refused because they leave. */
  readonly countRefusedAttempts: () => Promise<number>
}

/** Options of {@link openDrainingHall}. */
export interface DrainingHallOptions {
  readonly backends: number
  readonly notification: Notification
  /** Retries allowed as a fraction of calls. */
  readonly retryBudget: number
  /** Calls that each backend server runs at a time, and that wait there beyond these; 100 and 0 if absent. */
  readonly slots?: number
  readonly queue?: number
  /** Random number from 0 to 1. */
  readonly random: () => number
}

/** Status of an answered call. */
export const ANSWERED_STATUS = 200

const HOST = types.LOOPBACK_HOST
const SERVICE = types.brandId<types.ServiceName>('api')
const STEP_MS = 20
const DEFAULT_SLOTS = 100
const DEADLINE_MS = 600_000
/** Turns of the event loop in which a call that makes progress reaches its next step. */
const MAXIMUM_TURNS = 100_000

/** Waits for input and output, since the test's clock stands still meanwhile. */
async function until (condition: () => Promise<boolean> | boolean, awaited: () => string): Promise<void> {
  for (let turn = 0; !(await condition()); turn += 1) {
    assert.ok(turn < MAXIMUM_TURNS, `no progress: ${awaited()}`)
    await new Promise((resolve) => { setImmediate(resolve) })
  }
}

/** Wraps the client of a backend daemon: loses its heartbeats while the daemon is silent, and loses or delays those in which it says that it leaves. Counts those that wait for an answer. */
function createLossyClient (client: rpc.RpcClient, notification: Notification, isSilent: () => boolean, pending: { heartbeats: number }): rpc.RpcClient {
  let lost = 0

  async function call (address: types.Address, method: string, params: unknown, timeoutMs?: number): Promise<types.Outcome<never, rpc.RpcFailure>> {
    const isLeaving = (params as { facts?: types.MemberFacts }).facts?.state === 'leaving'
    if (isSilent()) return types.fail(new types.UnavailableError('lost'))
    if (isLeaving && lost < notification.lost) {
      lost += 1
      return types.fail(new types.UnavailableError('lost'))
    }
    if (isLeaving && notification.delayMs > 0) await types.delay(notification.delayMs)
    pending.heartbeats += 1
    const result = await client.call<never>(address, method, params, timeoutMs)
    pending.heartbeats -= 1
    return result
  }

  return { call: call as rpc.RpcClient['call'] }
}

/**
 * Opens the hall. The entry node knows all backend daemons as live.
 *
 * @param context - Context of the test, whose timers are paused.
 * @param options - Number of backend daemons, and what happens to their notifications.
 * @returns The hall.
 */
export async function openDrainingHall (context: nodeTest.TestContext, options: DrainingHallOptions): Promise<DrainingHall> {
  context.mock.timers.enable({ apis: ['setTimeout', 'setInterval'] })
  let elapsedMs = 0
  let calls = 0
  const pending = { heartbeats: 0 }
  const clocks = { monotonic: () => elapsedMs, timeOfDay: () => elapsedMs, uptime: () => elapsedMs }
  const agents = rpc.createHttpAgents()
  const client = rpc.createRpcClient({ deployment: 'test', sharedKey: '' }, agents)
  const results: CallResult[] = []
  const held = new Map<string, () => void>()
  const services: http.Server[] = []
  const table: types.Table = {
    ...types.EMPTY_TABLE,
    revision: 1,
    services: [{ id: SERVICE, kind: 'plain', concurrency: options.slots ?? DEFAULT_SLOTS, queue: options.queue ?? 0, deadlineMs: DEADLINE_MS, repeatable: 'none', retryBudget: options.retryBudget }]
  }

  function createParts (text: string): createCommonParts.CommonParts {
    const parsed = settings.parseSettings(`deployment = "test"\ndata_hall = "hall"\nregion = "region"\n${text}\n[platform]\nurl = "http://${HOST}:9"\n[origin]\nurl = "http://${HOST}:9"\n[logs]\nlevel = "silent"\n`, 'test')
    assert.ok(parsed.ok, parsed.ok ? '' : parsed.error.message)
    return { ...createCommonParts.createCommonParts(parsed.value, clocks), random: options.random }
  }

  const entryParts = createParts(`role = "entry"\nnode = "entry"\n[listen]\nhost = "${HOST}"\nport = 0\ncaller_port = 0`)
  const entry = await startEntryRole.startEntryRole(entryParts)
  entryParts.keeper.offer(table, 'test')
  const base = `http://${HOST}:${entry.callerAddress?.port ?? 0}`

  async function startService (received: string[]): Promise<string> {
    const service = http.createServer((request, response) => {
      const id = String(request.headers['x-request-id'])
      request.resume()
      received.push(id)
      held.set(id, () => { response.end(id) })
    })
    await new Promise<void>((resolve) => { service.listen(0, HOST, resolve) })
    services.push(service)
    return `http://${HOST}:${(service.address() as net.AddressInfo).port}`
  }

  async function startProcess (name: string, serviceUrl: string, port = 0, silentMs = 0): Promise<startDaemon.RunningRole> {
    const parts = createParts(`role = "backend"\nnode = "${name}"\nentry_nodes = ["${HOST}:${entry.address.port}"]\n[listen]\nhost = "${HOST}"\nport = ${port}\n[back_end]\nservice = "${SERVICE}"\nkind = "plain"\nurl = "${serviceUrl}"`)
    assert.ok(parts.settings.back_end !== undefined)
    const silentUntil = elapsedMs + silentMs
    const role = await startBackendRole.startBackendRole({ ...parts, client: createLossyClient(parts.client, options.notification, () => elapsedMs < silentUntil, pending) }, parts.settings.back_end)
    parts.keeper.offer(table, 'test')
    return role
  }

  const roles = new Map<types.NodeId, startDaemon.RunningRole>()

  async function openBackend (name: string): Promise<DrainingBackend> {
    const node = types.brandId<types.NodeId>(name)
    const received: string[] = []
    const serviceUrl = await startService(received)
    const first = await startProcess(name, serviceUrl)
    roles.set(node, first)
    return {
      node,
      received,
      drain: () => { void roles.get(node)?.drain() },
      restart: async (silentMs) => {
        roles.get(node)?.stop()
        roles.set(node, await startProcess(name, serviceUrl, first.address.port, silentMs))
        // Connections to the process that has ended are closed by then.
        await until(async () => (await client.call(first.address, 'status', {})).ok, () => `${name} to answer`)
      }
    }
  }

  context.after(() => {
    for (const role of roles.values()) role.stop()
    entry.stop()
    agents.destroy()
    for (const service of services) {
      service.close()
      service.closeAllConnections()
    }
  })

  async function settleHeartbeats (): Promise<void> {
    await until(() => pending.heartbeats === 0, () => `${pending.heartbeats} heartbeats`)
  }

  async function advance (milliseconds: number): Promise<void> {
    for (let passedMs = 0; passedMs < milliseconds; passedMs += STEP_MS) {
      elapsedMs += STEP_MS
      context.mock.timers.tick(STEP_MS)
      await new Promise((resolve) => { setImmediate(resolve) })
      await settleHeartbeats()
    }
  }

  async function readStatus (address: types.Address): Promise<describeStatus.Status> {
    const status = await client.call<describeStatus.Status>(address, 'status', {})
    assert.ok(status.ok)
    return status.value
  }

  const readBackendStatuses = async (): Promise<describeStatus.Status[]> => await Promise.all([...roles.values()].map(async ({ address }) => await readStatus(address)))

  async function countWaiting (): Promise<number> {
    const atBackends = (await readBackendStatuses()).map(({ load }) => load?.waiting ?? 0)
    return atBackends.reduce((sum, waiting) => sum + waiting, (await readStatus(entry.address)).counts['waiting'] ?? 0)
  }

  async function call (id: string): Promise<void> {
    const sent = await rpc.sendRequest(agents, { base, path: `/services/${SERVICE}/orders`, method: 'POST', headers: { 'x-request-id': id }, body: 'order' }, types.BYTES_IN_MEBIBYTE)
    const status = sent.ok ? sent.value.status : 0
    results.push({ id, status, reason: sent.ok ? String(sent.value.headers['x-switchridge-reason'] ?? '') : sent.error.message })
  }

  /** Whether the calls that were sent are all answered, refused, running at a back end or waiting for a slot. */
  const areSettled = async (): Promise<boolean> => results.length + held.size >= calls || results.length + held.size + await countWaiting() >= calls

  const backends = await Promise.all(Array.from({ length: options.backends }, async (_, index) => await openBackend(`backend-${index}`)))
  await advance(types.HEARTBEAT_TIMEOUT_MS)
  assert.equal(entryParts.view.members().filter(({ facts, condition }) => facts.role === 'backend' && condition === 'live').length, options.backends)

  return {
    backends,
    advance,
    results,
    send: async (count) => {
      for (let sent = 0; sent < count; sent += 1) void call(`call-${calls++}`)
      await until(areSettled, () => `${calls} calls, ${held.size} run, ${results.length} ended`)
    },
    release: async (count, at = backends) => {
      const released = [...held].filter(([id]) => at.some(({ received }) => received.includes(id))).slice(0, count)
      const expected = results.length + released.length
      for (const [id, answer] of released) {
        held.delete(id)
        answer()
      }
      await until(() => results.length >= expected, () => `${expected - results.length} answers`)
      return released.length
    },
    countRefusedAttempts: async () => {
      const statuses = await readBackendStatuses()
      return statuses.reduce((sum, { counts }) => sum + (counts['calls.not-run.leaving'] ?? 0), 0)
    }
  }
}
