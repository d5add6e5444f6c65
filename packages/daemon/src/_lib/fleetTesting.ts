/** A small fleet within the test process: stand-ins for the platform's services, gateways and agents. */
import type * as nodeTest from 'node:test'
import * as assert from 'node:assert/strict'
import * as clock from '@switchridge/clock'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import * as settings from '@switchridge/settings'
import * as types from '@switchridge/types'
import * as startAgentRole from '../startAgentRole/index.js'
import * as startGatewayRole from '../startGatewayRole/index.js'
import type * as fleetRole from './fleetRole.js'

export const MODEL = 'model-a'
export const API_KEY = 'key-of-tenant-one'
/** Longer than the time of any test. */
const LONGEST_WAIT_MS = 180_000
const POLL_INTERVAL_MS = 10
const HTTP_OK = 200
const STATUS_WAIT_MS = 10_000
/** Copies number revisions across eras; the remainder is the store's own revision. */
const REVISIONS_PER_ERA = 1e12

/** The fleet of one test. */
export interface TestFleet {
  readonly store: testing.StoreStandIn
  readonly origin: testing.OriginStandIn
  readonly startEngine: (options: testing.EngineStandInOptions, service?: string) => Promise<testing.EngineStandIn>
  readonly startGateway: (host: string, seeds?: readonly string[], clocks?: clock.MachineClocks, extra?: ExtraSettings) => Promise<types.Address>
  /** Stops the gateway on a host without draining, as if it were killed. */
  readonly stopGateway: (host: string) => void
  /** Waits until each gateway knows of exactly `count` terminated backend servers. */
  readonly waitForKnownEnds: (count: number) => Promise<void>
  /** Waits until each gateway lists a blocked call. */
  readonly waitForBlockedCalls: () => Promise<void>
  /** Waits until each gateway knows of exactly `count` rate limits in force. */
  readonly waitForRateLimits: (count: number) => Promise<void>
  /** Waits until the status of each gateway meets a condition; fails if one still doesn't after {@link STATUS_WAIT_MS}. */
  readonly waitForStatus: (condition: (status: GatewayStatus) => boolean) => Promise<void>
  /** Waits until each gateway's copy of a kind has reached a revision of the store's first era; fails like {@link TestFleet.waitForStatus}. */
  readonly waitForRevision: (kind: string, revision: number) => Promise<void>
  /** Waits until each gateway's copy of a kind is of an era of the store or a later one; fails like {@link TestFleet.waitForStatus}. */
  readonly waitForEra: (kind: string, era: number) => Promise<void>
  /** Waits until a gateway answers a path with a status; fails if it still doesn't after {@link STATUS_WAIT_MS}. */
  readonly waitForAnswer: (gateway: types.Address, path: string, status: number) => Promise<void>
  /** Reads a counter of the gateway on a host for a label value; 0 if nothing was counted yet. */
  readonly readCounter: (host: string, name: string, label: string) => Promise<number>
  /** Waits until the readiness endpoint of the gateway on a host answers that it is ready. */
  readonly waitUntilReady: (host: string) => Promise<void>
  /** Drains the gateway on a host, as the platform does before it ends it. */
  readonly drainGateway: (host: string) => Promise<void>
  readonly startAgent: (host: string, engine: testing.EngineStandIn, seeds: readonly string[], extra?: Pick<ExtraSettings, 'waiting'>) => Promise<fleetRole.FleetRole>
  /** Free ports on the loopback addresses of the test. */
  readonly ports: TestPorts
  readonly configure: (change?: (configuration: testing.Configuration) => void) => void
}

/** Lines that a test adds to sections of a daemon's settings. */
export interface ExtraSettings {
  readonly bounds?: string
  readonly regions?: string
  readonly waiting?: string
}

/** The fields of a gateway's status that tests read. */
export interface GatewayStatus {
  readonly copies: Readonly<Record<string, { readonly at: number }>>
  readonly versions: ReadonlyArray<{ readonly model: string, readonly version: number }>
  readonly backEnds: ReadonlyArray<{ readonly id: string, readonly isLeaving: boolean }>
  readonly endsKnown: number
  readonly blockedCalls: readonly unknown[]
  readonly rateLimits: readonly unknown[]
  readonly coldBackEnds: readonly unknown[]
  readonly evacuations: ReadonlyArray<{ readonly hall: string }>
}

/** Polls until the condition holds; fails after {@link LONGEST_WAIT_MS}. The timeout of a test is shorter. */
export async function waitUntil (condition: () => boolean | Promise<boolean>): Promise<void> {
  const deadline = performance.now() + LONGEST_WAIT_MS
  while (!await condition()) {
    // A test whose time is over goes on waiting, and would keep its process alive.
    assert.ok(performance.now() < deadline, `the condition is not met in ${LONGEST_WAIT_MS} ms`)
    await types.delay(POLL_INTERVAL_MS)
  }
}

/** Polls until the condition holds; fails if it still does not after {@link STATUS_WAIT_MS}. */
export async function waitWithLimit (condition: () => Promise<boolean>): Promise<void> {
  const deadline = performance.now() + STATUS_WAIT_MS
  await waitUntil(async () => {
    assert.ok(performance.now() < deadline, 'the condition is not met in time')
    return await condition()
  })
}

/**
 * Starts the stand-ins of the store and the origin. Daemons and engines are started by the test.
 *
 * @param context - The test; everything is stopped when it ends.
 * @param pieces - Number of pieces in a version of the weights.
 * @param shape - Size of a piece, and number of layers; small when absent. The configuration is the test's to adapt.
 * @returns The fleet.
 */
export async function createTestFleet (context: nodeTest.TestContext, pieces = 8, shape?: testing.WeightsShape): Promise<TestFleet> {
  const store = await testing.createStoreStandIn()
  const origin = await testing.createOriginStandIn(pieces, shape)
  const roles: fleetRole.FleetRole[] = []
  const gateways = new Map<string, fleetRole.FleetRole>()
  const servers: Array<{ close: () => void }> = [store, origin]
  let configuration = testing.createConfiguration(testing.formatAddress(origin.address), pieces, MODEL, API_KEY)
  const ports = choosePorts()
  context.after(() => {
    for (const role of roles) role.stop()
    for (const server of servers) server.close()
  })

  function parseSettings (text: string): settings.FleetSettings {
    const parsed = settings.parseFleetSettings(text, 'test')
    assert.ok(parsed.ok, parsed.ok ? '' : parsed.error.message)
    return parsed.value
  }

  function formatCommonSettings (role: string, host: string, seeds: readonly string[]): string {
    return `role = "${role}"\nnode = "${role}-${host}"\nzone = "zone-a"\nregion = "region-a"\nhost = "${host}"\ninternal_port = ${ports.internal}\n` +
      `seeds = [${seeds.map((seed) => `"${seed}:1"`).join()}]\n`
  }

  /** Fetches the status of every gateway. */
  async function readStatuses (): Promise<GatewayStatus[]> {
    return await Promise.all([...gateways.keys()].map(async (host) => {
      const { body } = await testing.sendCallerRequest({ host, port: ports.control }, API_KEY, { path: '/status', id: 'status' })
      return JSON.parse(body) as GatewayStatus
    }))
  }

  async function waitForStatus (condition: (status: GatewayStatus) => boolean): Promise<void> {
    await waitWithLimit(async () => (await readStatuses()).every(condition))
  }

  const storeSection = `[store]\naddress = "${testing.formatAddress(store.address)}"\ntimeout_ms = 300\nwatch_ms = 500\n[logs]\nlevel = "silent"\n`
  return {
    store,
    origin,
    ports,
    startEngine: async (options, service = 'llm') => {
      const engine = await testing.createEngineStandIn(options)
      servers.push(engine)
      const model = options.model === undefined ? undefined : { name: options.model, version: options.version ?? 0 }
      store.put(platform.OBJECT_KINDS.backEnds, options.id, testing.describeEngine(engine, service, 'zone-a', model))
      return engine
    },
    startGateway: async (host, seeds = [], clocks = clock.SYSTEM_CLOCKS, { bounds = '', regions = '', waiting = '' } = {}) => {
      const listen = `[listen]\ncallers = "${host}:${ports.callers}"\nreadiness = "${host}:${ports.readiness}"\ncontrol = "${host}:${ports.control}"\n`
      const role = await startGatewayRole.startGatewayRole(parseSettings(formatCommonSettings('gateway', host, seeds) + listen + storeSection + `[bounds]\nversion_ms = 3000\n${bounds}[regions]\n${regions}[waiting]\n${waiting}[limits]\ngrace_seconds = 1\n`), { clocks, writeLine: () => {} })
      roles.push(role)
      gateways.set(host, role)
      return { host, port: ports.callers }
    },
    stopGateway: (host) => {
      const role = gateways.get(host)
      if (role === undefined) return
      gateways.delete(host)
      roles.splice(roles.indexOf(role), 1)
      role.stop()
    },
    waitForKnownEnds: async (count) => { await waitUntil(async () => (await readStatuses()).every(({ endsKnown }) => endsKnown === count)) },
    waitForBlockedCalls: async () => { await waitUntil(async () => (await readStatuses()).every(({ blockedCalls }) => blockedCalls.length > 0)) },
    waitForRateLimits: async (count) => { await waitUntil(async () => (await readStatuses()).every(({ rateLimits }) => rateLimits.length === count)) },
    waitForStatus,
    waitForRevision: async (kind, revision) => { await waitForStatus(({ copies }) => (copies[kind]?.at ?? 0) % REVISIONS_PER_ERA >= revision) },
    waitForEra: async (kind, era) => { await waitForStatus(({ copies }) => Math.floor((copies[kind]?.at ?? 0) / REVISIONS_PER_ERA) >= era) },
    waitForAnswer: async (gateway, path, status) => {
      let attempt = 0
      await waitWithLimit(async () => (await call(gateway, { path, id: `answer-${attempt++}` })).status === status)
    },
    readCounter: async (host, name, label) => {
      const { body } = await testing.sendCallerRequest({ host, port: ports.control }, API_KEY, { path: '/metrics', id: 'metrics' })
      const line = body.split('\n').find((metricLine) => metricLine.includes(`${name}_total{`) && metricLine.includes(`"${label}"`))
      return Number(line?.split(' ').at(-1) ?? 0)
    },
    waitUntilReady: async (host) => {
      await waitUntil(async () => (await testing.sendCallerRequest({ host, port: ports.readiness }, API_KEY, { path: platform.READINESS_PATH, id: 'readiness' })).status === HTTP_OK)
    },
    drainGateway: async (host) => { await gateways.get(host)?.drain() },
    startAgent: async (host, engine, seeds, { waiting = '' } = {}) => {
      const section = `[engine]\naddress = "${testing.formatAddress(engine.address)}"\nservice = "llm"\n`
      const role = await startAgentRole.startAgentRole(parseSettings(formatCommonSettings('agent', host, seeds) + section + storeSection + `[bounds]\nversion_ms = 6000\n[waiting]\n${waiting}`))
      roles.push(role)
      return role
    },
    configure: (change = () => {}) => {
      configuration = structuredClone(configuration)
      configuration.version += 1
      change(configuration)
      store.put(platform.OBJECT_KINDS.configuration, platform.CONFIGURATION_NAME, configuration)
    }
  }
}

/** A service of the test configuration, with a path that calls it and the options of its back ends. */
export interface TestService {
  readonly name: string
  readonly path: string
  readonly engine: Pick<testing.EngineStandInOptions, 'model' | 'version'>
}

export const STREAM_SERVICE: TestService = { name: 'llm', path: '/stream/quote', engine: { model: MODEL, version: 1 } }
export const PLAIN_SERVICE: TestService = { name: 'api', path: '/read/stock', engine: {} }

/** Sends a call of a service. */
export async function callService (gateway: types.Address, { path }: TestService, id: string): Promise<testing.CallerAnswer> {
  return await call(gateway, { method: 'POST', path, id, body: 'quote', headers: testing.formatModelHeaders(MODEL) })
}

/** Ports of the daemons of a test. */
export interface TestPorts {
  readonly internal: number
  readonly callers: number
  readonly readiness: number
  /** Port for metrics and status. */
  readonly control: number
}

/** Below the system's ephemeral ports, so that no server or connection of another test file uses them. */
const FIRST_PORT = 10_000
const PORTS_PER_PROCESS = 4
const PROCESS_SLOTS = 5600

/** Chooses the ports of this test process; programs at the same port need different loopback addresses. */
export function choosePorts (): TestPorts {
  const internal = FIRST_PORT + process.pid % PROCESS_SLOTS * PORTS_PER_PROCESS
  return { internal, callers: internal + 1, readiness: internal + 2, control: internal + 3 }
}

/** Sends a request with the test tenant's API key and reads the complete answer. */
export async function call (address: types.Address, request: testing.CallerRequest): Promise<testing.CallerAnswer> {
  return await testing.sendCallerRequest(address, API_KEY, request)
}

/** Waits until a gateway answers requests to a path with status 200. */
export async function waitUntilServed (address: types.Address, path: string): Promise<void> {
  let attempt = 0
  await waitUntil(async () => {
    attempt += 1
    return (await call(address, { path, id: `probe-${attempt}` })).status === 200
  })
}
