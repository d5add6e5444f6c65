/** Simulates a fleet of hundreds of daemons in one test: each runs the real exchange, on a network with limited bandwidth and an in-memory store. */
import * as assert from 'node:assert/strict'
import * as crypto from 'node:crypto'
import * as zlib from 'node:zlib'
import type * as clock from '@switchridge/clock'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import * as settings from '@switchridge/settings'
import * as standins from '@switchridge/standins'
import type * as spread from '@switchridge/spread'
import type * as store from '@switchridge/store'
import * as types from '@switchridge/types'
import * as createFleetExchange from '../createFleetExchange/index.js'
import * as createFleetParts from '../createFleetParts/index.js'
import * as createRateLimiter from '../createRateLimiter/index.js'
import * as copyParts from './copyParts.js'
import * as createAgentPermitServer from './createAgentPermitServer.js'
import * as engineStatus from './engineStatus.js'

/** Size of the fleet and properties of its network. */
export interface SimulatedFleetOptions {
  readonly halls: number
  readonly gatewaysPerHall: number
  readonly agentsPerHall: number
  /** Bandwidth between two regions that other traffic leaves free, in bytes per millisecond. */
  readonly regionBytesPerMs: number
  /** Fraction of datagrams that is lost, from 0 to 1; 0 if absent. */
  readonly datagramLossRate?: number
  /** Whether the time since boot is available on the machines; true if absent. */
  readonly isBootTimeAvailable?: boolean
  /** Bound of evacuations in milliseconds; they are not followed if absent. */
  readonly evacuationMs?: number
}

/** A daemon of the simulated fleet. */
export interface SimulatedDaemon {
  readonly host: string
  readonly role: 'gateway' | 'agent'
  readonly parts: () => createFleetParts.FleetParts
  /** The rate limiter of a gateway; null at an agent. */
  readonly limiter: () => createRateLimiter.GatewayRateLimiter | null
  /** Time at which the daemon received or published each fact. */
  readonly factTimes: ReadonlyMap<unknown, number>
  readonly publishFact: (fact: string) => void
  readonly start: () => Promise<void>
  readonly stop: () => void
  /** Suspends the machine: until it is resumed, it sends and receives nothing and its steady clock stands still. */
  readonly suspend: () => void
  readonly resume: () => void
  /** Moves the time of day of the machine forwards or backwards by milliseconds. */
  readonly adjustTimeOfDay: (milliseconds: number) => void
}

/** A simulated fleet. */
export interface SimulatedFleet {
  readonly network: standins.SimulatedNetwork
  readonly daemons: readonly SimulatedDaemon[]
  readonly gateways: readonly SimulatedDaemon[]
  /** Writes an object to the store, as an operator or an engine does; returns the new revision of the store. */
  readonly put: (kind: string, name: string, value: unknown) => number
  readonly remove: (kind: string, name: string) => void
  /** The connections of all pending watches die silently: each watch gets no answer until its timeout. */
  readonly loseWatches: () => void
  /** Number of lists and watches of a kind that were sent to the store. */
  readonly countStoreCalls: (kind: string) => number
  /** Writes a configuration with `routes` routes in addition to the basic ones, after `change` to the basic one; returns its version. */
  readonly configure: (routes: number, change?: (configuration: testing.Configuration) => void) => number
  /** Advances the time for all daemons in steps of a millisecond. */
  readonly advance: (milliseconds: number) => Promise<void>
  /** Advances the time until the condition holds; returns the elapsed milliseconds, or Infinity if it did not hold within the maximum. */
  readonly advanceUntil: (condition: () => boolean, maximumMs: number) => Promise<number>
}

interface MachineClock extends clock.MachineClocks {
  readonly suspend: () => void
  readonly resume: () => void
  readonly set: (milliseconds: number) => void
}

/** Clocks of a machine that can be suspended. The steady clock excludes the suspended time; the time of day and the time since boot include it. The time since boot is always 0 if it is not available. */
function createMachineClock (now: () => number, isBootTimeAvailable: boolean): MachineClock {
  let suspendedAt: number | null = null
  let suspendedMs = 0
  let adjustedMs = 0
  const trueTime = (): number => suspendedAt ?? now()
  return {
    timeOfDay: () => trueTime() + adjustedMs,
    uptime: () => isBootTimeAvailable ? trueTime() : 0,
    monotonic: () => trueTime() - suspendedMs,
    set: (milliseconds) => { adjustedMs += milliseconds },
    suspend: () => { suspendedAt = now() },
    resume: () => {
      suspendedMs += suspendedAt === null ? 0 : now() - suspendedAt
      suspendedAt = null
    }
  }
}

/**
 * Creates a function that returns the compressed size of an answer in bytes. It compresses synchronously, since asynchronous compression
 * would complete independently of the mocked timers. Copies of the same part hold the same value objects from the store, so the size of an
 * answer is computed once for the whole fleet.
 */
function createSizeCache (): (changes: store.MirrorChanges, part: copyParts.CopyPart) => number {
  const valueIds = new WeakMap<object, number>()
  const sizes = new Map<string, number>()
  let count = 0

  function identifyValue (value: unknown): number | string {
    if (typeof value !== 'object' || value === null) return JSON.stringify(value) ?? ''
    const knownId = valueIds.get(value)
    if (knownId !== undefined) return knownId
    count += 1
    valueIds.set(value, count)
    return count
  }

  return (changes, part) => {
    const contents = changes.objects.map(({ name, revision, value }) => [name, revision, identifyValue(value)])
    const key = JSON.stringify([changes.kind, changes.since, changes.gone, contents, part])
    const knownSize = sizes.get(key)
    if (knownSize !== undefined) return knownSize
    const size = zlib.gzipSync(JSON.stringify({ ...changes, part, objects: copyParts.extractPart(changes.objects, part) })).length
    sizes.set(key, size)
    return size
  }
}

/** Creates text that hardly compresses, deterministic for a seed. */
function createIncompressibleText (seed: string, length: number): string {
  let text = ''
  for (let block = 0; text.length < length; block += 1) text += crypto.createHash('sha256').update(`${seed} ${block}`).digest('base64')
  return text.slice(0, length)
}

interface StoreChange {
  readonly kind: string
  readonly event: store.StoreEvent
}

const STORE_HOST = 'store'
const STORE_BYTES_PER_MS = 125_000
const GATEWAY_BYTES_PER_MS = 3500
const AGENT_BYTES_PER_MS = 640
const SAME_REGION_LATENCY_MS = 1.4
const CROSS_REGION_LATENCY_MS = 2.8
const REQUEST_BYTES = 400
const STORE_RESPONSE_MS = 4
/** Idle timeouts for answers of the store and of other daemons, the same as in production. */
const STORE_TIMEOUT_MS = 1200
const STORE_LIMITS: standins.StreamOptions = { idleTimeoutMs: STORE_TIMEOUT_MS }
const PEER_LIMITS: standins.StreamOptions = { idleTimeoutMs: 1000 }
const SEED_COUNT = 3
const FACT_LIFETIME_MS = 600_000
/** Length of the text added to each additional route, so that it is as long as routes of users. */
const ROUTE_PADDING_LENGTH = 120

/** The part of `node:test` mock timers that advances the time. */
export interface MockTimers {
  readonly tick: (milliseconds: number) => void
}

/**
 * Creates a simulated fleet. Its daemons are started by the test.
 *
 * @param options - Size of the fleet and properties of its network.
 * @param timers - Mock timers of the test, with `setTimeout`, `setInterval` and `Date` enabled.
 * @param random - Returns a random number from 0 to 1.
 * @returns The fleet.
 */
export function createSimulatedFleet (options: SimulatedFleetOptions, timers: MockTimers, random: () => number): SimulatedFleet {
  const now = Date.now
  const plan = listHosts(options)
  const network = standins.createSimulatedNetwork({
    hosts: [{ host: STORE_HOST, region: 'region-0', bytesPerMs: STORE_BYTES_PER_MS }, ...plan.map(({ host, hall, role }) => ({ host, region: `region-${hall}`, bytesPerMs: role === 'gateway' ? GATEWAY_BYTES_PER_MS : AGENT_BYTES_PER_MS }))],
    interRegionBytesPerMs: options.regionBytesPerMs,
    intraRegionDelayMs: SAME_REGION_LATENCY_MS,
    interRegionDelayMs: CROSS_REGION_LATENCY_MS,
    now
  })
  const objects = new Map<string, Map<string, store.StoredObject>>()
  const history: StoreChange[] = []
  let revision = 0
  let wakeWatchers: Array<() => void> = []
  let version = 0
  /** Number of times that the connections of watches were lost. */
  let lostWatches = 0
  const storeCalls = new Map<string, number>()
  const sizeOf = createSizeCache()

  function record (kind: string, event: store.StoreEvent): void {
    history.push({ kind, event })
    wakeAll()
  }

  function put (kind: string, name: string, value: unknown): number {
    revision += 1
    const object = { name, revision, value }
    const objectsOfKind = objects.get(kind) ?? new Map<string, store.StoredObject>()
    objects.set(kind, objectsOfKind.set(name, object))
    record(kind, { object, isGone: false })
    return revision
  }

  function remove (kind: string, name: string): void {
    revision += 1
    objects.get(kind)?.delete(name)
    record(kind, { object: { name, revision, value: null }, isGone: true })
  }

  function noteCall (kind: string): void {
    storeCalls.set(kind, (storeCalls.get(kind) ?? 0) + 1)
  }

  function wakeAll (): void {
    const wakeNow = wakeWatchers
    wakeWatchers = []
    for (const each of wakeNow) each()
  }

  function createStoreClient (host: string): store.CollectionStore {
    async function answer<Value> (value: Value): Promise<types.Outcome<Value, types.UnavailableError>> {
      await types.delay(STORE_RESPONSE_MS)
      const isDelivered = await network.sendStream(STORE_HOST, host, JSON.stringify(value).length, STORE_LIMITS)
      return isDelivered ? types.succeed(value) : types.fail(new types.UnavailableError('the answer was not complete in time'))
    }
    return {
      listAll: async (kind) => {
        noteCall(kind)
        await network.sendStream(host, STORE_HOST, REQUEST_BYTES)
        return await answer({ objects: [...objects.get(kind)?.values() ?? []], at: revision })
      },
      watchAll: async (kind, from, waitMs) => {
        noteCall(kind)
        const lostBefore = lostWatches
        const isLost = (): boolean => lostWatches !== lostBefore
        await network.sendStream(host, STORE_HOST, REQUEST_BYTES)
        const endsAt = now() + waitMs
        const list = (): store.StoreEvent[] => history.filter((change) => change.kind === kind && change.event.object.revision > from).map(({ event }) => event)
        while (!isLost() && list().length === 0 && now() < endsAt) {
          await Promise.race([types.delay(endsAt - now()), new Promise<void>((resolve) => { wakeWatchers.push(resolve) })])
        }
        if (isLost()) {
          await types.delay(endsAt - now() + STORE_TIMEOUT_MS)
          return types.fail(new types.UnavailableError('no answer in time'))
        }
        return await answer({ events: list(), at: revision })
      },
      put: async () => types.fail(new types.UnavailableError('the simulated store is read-only')),
      remove: async () => types.fail(new types.UnavailableError('the simulated store is read-only'))
    }
  }

  function createDaemon ({ host, hall, role }: PlannedHost): SimulatedDaemon {
    let parts: createFleetParts.FleetParts | null = null
    let exchange: createFleetExchange.FleetExchange | null = null
    let limiter: createRateLimiter.GatewayRateLimiter | null = null
    const factTimes = new Map<unknown, number>()
    const machine = createMachineClock(now, options.isBootTimeAvailable ?? true)
    const nodeSettings = parseSettings(host, hall, role, plan, options.evacuationMs)

    async function fetchChanges (peer: string, request: spread.CopyRequest, signal: AbortSignal): ReturnType<spread.CopySyncOptions['fetchChanges']> {
      const limits = { ...PEER_LIMITS, signal }
      if (!await network.sendStream(host, peer, REQUEST_BYTES, limits)) return types.fail(new types.UnavailableError('the peer was not reached in time'))
      const other = daemons.find((each) => each.host === peer)
      const mirror = other?.parts()?.mirrors.find((each) => each.kind === request.kind)
      if (other === undefined || mirror === undefined) return types.fail(new types.UnavailableError('the peer has no copy of this kind'))
      const part = copyParts.partForRole(request.kind, role)
      const changes = mirror.changesSince(request.since)
      const bytes = sizeOf(changes, part)
      const isDelivered = await network.sendStream(peer, host, bytes, limits)
      const partialChanges = { ...changes, objects: copyParts.extractPart(changes.objects, part) }
      return isDelivered ? types.succeed({ changes: partialChanges, bytes }) : types.fail(new types.UnavailableError('no byte of the answer arrived in time'))
    }

    return {
      host,
      role,
      parts: () => parts as createFleetParts.FleetParts,
      limiter: () => limiter,
      factTimes,
      publishFact: (content) => {
        factTimes.set(content, now())
        exchange?.facts.publish(content, FACT_LIFETIME_MS)
      },
      start: async () => {
        factTimes.clear()
        const started = createFleetParts.createFleetParts(nodeSettings, { clocks: machine, writeLine: () => {} })
        parts = started
        exchange = null
        const describeSelf = (isStoreLost: boolean): spread.Heartbeat => createFleetParts.describeSelf(started, { isLeaving: false, isStoreLost }, role === 'agent' ? ENGINE_STATUS : null)
        if (role === 'gateway') limiter = createRateLimiter.createRateLimiter({ parts: started, exchange: () => exchange, isLeaving: () => false, random })
        exchange = await createFleetExchange.createFleetExchange({
          parts: started,
          store: role === 'gateway' ? createStoreClient(host) : null,
          openDatagrams: async (onDatagram) => network.openDatagrams(host, (bytes, from) => { if (random() >= (options.datagramLossRate ?? 0)) onDatagram(bytes, from) }),
          fetchChanges,
          describeSelf,
          onHeartbeat: (heartbeat) => { createFleetParts.recordPeerVersions(started, heartbeat) },
          onFact: (content, madeAt) => { if (limiter?.noteFact(content, madeAt) !== true) factTimes.set(content, now()) },
          onDatagram: limiter?.receive ?? createAgentPermitServer.createAgentPermitServer(started, () => exchange).receive,
          random
        })
      },
      stop: () => { exchange?.stop() },
      suspend: () => {
        network.disconnectHost(host)
        machine.suspend()
      },
      resume: () => {
        network.reconnectHost(host)
        machine.resume()
      },
      adjustTimeOfDay: machine.set
    }
  }

  const daemons = plan.map(createDaemon)

  async function advance (milliseconds: number): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 1) {
      timers.tick(1)
      await new Promise((resolve) => { setImmediate(resolve) })
    }
  }

  return {
    network,
    daemons,
    gateways: daemons.filter((each) => each.role === 'gateway'),
    put,
    remove,
    loseWatches: () => {
      lostWatches += 1
      wakeAll()
    },
    countStoreCalls: (kind) => storeCalls.get(kind) ?? 0,
    advance,
    configure: (routes, change = () => {}) => {
      version += 1
      const configuration = testing.createConfiguration('10.0.0.9:80', 96, 'model-a', 'key-of-tenant-one')
      change(configuration)
      const [first] = configuration.routes
      for (let route = 0; route < routes; route += 1) configuration.routes.push({ ...first, name: `r-${route}`, pathPrefix: `/added/${route}/`, note: createIncompressibleText(`${version} ${route}`, ROUTE_PADDING_LENGTH) })
      put(platform.OBJECT_KINDS.configuration, platform.CONFIGURATION_NAME, { ...configuration, version })
      return version
    },
    advanceUntil: async (condition, maximumMs) => {
      for (let elapsed = 0; elapsed <= maximumMs; elapsed += 1) {
        if (condition()) return elapsed
        await advance(1)
      }
      return Infinity
    }
  }
}

interface PlannedHost {
  readonly host: string
  readonly hall: number
  readonly role: 'gateway' | 'agent'
}

function listHosts (options: SimulatedFleetOptions): PlannedHost[] {
  const hosts: PlannedHost[] = []
  for (let hall = 0; hall < options.halls; hall += 1) {
    for (let index = 0; index < options.gatewaysPerHall; index += 1) hosts.push({ host: `10.${hall}.0.${index + 1}`, hall, role: 'gateway' })
    for (let index = 0; index < options.agentsPerHall; index += 1) hosts.push({ host: `10.${hall}.1.${index + 1}`, hall, role: 'agent' })
  }
  return hosts
}

/** Engine status that an agent under load sends. */
const ENGINE_STATUS = engineStatus.encodeEngineStatus({
  address: '10.0.1.1:8585',
  isPaused: false,
  changesInMs: null,
  report: { bornAt: 1_790_000_000_000, running: 7, waiting: 2, isBusy: false, sequence: 3, pace: 1.02, limitPerSecond: null, isLeaving: false, models: new Map([['model-a', 3]]) }
}, { host: '10.0.1.1', soleModel: () => 'model-a' })

function parseSettings (host: string, hall: number, role: 'gateway' | 'agent', plan: readonly PlannedHost[], evacuationMs?: number): settings.FleetSettings {
  const seeds = plan.filter((each) => each.role === 'gateway' && each.host.endsWith('.1')).slice(0, SEED_COUNT).map((each) => `"${each.host}:1"`)
  const text = [
    `role = "${role}"`, `node = "${role}-${host}"`, `zone = "hall-${hall}"`, `region = "region-${hall}"`, `host = "${host}"`, 'internal_port = 7700', `seeds = [${seeds.join()}]`,
    '[listen]', `callers = "${host}:80"`, '[engine]', `address = "${host}:8585"`, '[store]', 'address = "10.9.9.9:80"', '[logs]', 'level = "silent"',
    ...(evacuationMs === undefined ? [] : ['[bounds]', `evacuation_ms = ${evacuationMs}`, 'contact_ms = 4000'])
  ].join('\n')
  const parsed = settings.parseFleetSettings(text, host)
  assert.ok(parsed.ok, parsed.ok ? '' : parsed.error.message)
  return parsed.value
}
