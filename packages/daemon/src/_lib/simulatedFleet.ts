/** A fleet of hundreds of daemons in one test: the real exchange of each, on a network with narrow links and a store in memory. */
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
import * as createAgentPermits from './createAgentPermits.js'
import * as engineNews from './engineNews.js'

/** Size and links of the fleet. */
export interface SimulatedFleetOptions {
  readonly halls: number
  readonly gatewaysPerHall: number
  readonly agentsPerHall: number
  /** Bytes a millisecond between two regions that other traffic leaves. */
  readonly regionBytesPerMs: number
  /** Part of all datagrams that is lost; none if absent. */
  readonly lostPart?: number
  /** Whether machines tell the time since their start; true if absent. */
  readonly isStartKnown?: boolean
}

/** One daemon of the fleet. */
export interface SimulatedDaemon {
  readonly host: string
  readonly role: 'gateway' | 'agent'
  readonly parts: () => createFleetParts.FleetParts
  /** Keeps the rates that back ends name; null at an agent. */
  readonly limiter: () => createRateLimiter.GatewayRateLimiter | null
  /** When it heard each fact, or told it itself. */
  readonly heard: ReadonlyMap<unknown, number>
  readonly tell: (fact: string) => void
  readonly start: () => Promise<void>
  readonly stop: () => void
  /** Suspends the machine: nothing arrives or leaves, and its steady clock stands still, until it is resumed. */
  readonly suspend: () => void
  readonly resume: () => void
  /** Sets its time of day forward or back by milliseconds. */
  readonly setTimeOfDay: (milliseconds: number) => void
}

/** The fleet. */
export interface SimulatedFleet {
  readonly network: standins.LinkNetwork
  readonly daemons: readonly SimulatedDaemon[]
  readonly gateways: readonly SimulatedDaemon[]
  /** Writes an object as the operator or an engine does; returns the store's revision. */
  readonly put: (kind: string, name: string, value: unknown) => number
  readonly remove: (kind: string, name: string) => void
  /** Writes a configuration with so many routes beyond the few of every one; returns its version. */
  readonly configure: (routes: number) => number
  /** Lets time pass in steps that all daemons see. */
  readonly pass: (milliseconds: number) => Promise<void>
  /** Lets time pass until the condition holds; returns the milliseconds, or Infinity when it never did. */
  readonly passUntil: (condition: () => boolean, maximumMs: number) => Promise<number>
}

interface Machine extends clock.MachineClocks {
  readonly suspend: () => void
  readonly resume: () => void
  readonly set: (milliseconds: number) => void
}

/** A machine that may be suspended: its steady clock leaves that time out, its other ones do not, if the time since its start is told at all. */
function createMachine (now: () => number, isStartKnown: boolean): Machine {
  let suspendedAt: number | null = null
  let lostMs = 0
  let setMs = 0
  const trueTime = (): number => suspendedAt ?? now()
  return {
    timeOfDay: () => trueTime() + setMs,
    sinceStart: () => isStartKnown ? trueTime() : 0,
    steady: () => trueTime() - lostMs,
    set: (milliseconds) => { setMs += milliseconds },
    suspend: () => { suspendedAt = now() },
    resume: () => {
      lostMs += suspendedAt === null ? 0 : now() - suspendedAt
      suspendedAt = null
    }
  }
}

/**
 * Bytes of answers as daemons compress them; formed at once, since the runtime would do it beside the paused clock. Equal parts
 * hold the same values, as the store gave them, so that a size is formed once for a whole fleet.
 */
function createSizes (): (told: store.CopyChanges, part: copyParts.CopyPart) => number {
  const values = new WeakMap<object, number>()
  const sizes = new Map<string, number>()
  let count = 0

  function identify (value: unknown): number | string {
    if (typeof value !== 'object' || value === null) return JSON.stringify(value) ?? ''
    const known = values.get(value)
    if (known !== undefined) return known
    count += 1
    values.set(value, count)
    return count
  }

  return (told, part) => {
    const contents = told.objects.map(({ name, revision, value }) => [name, revision, identify(value)])
    const key = JSON.stringify([told.kind, told.since, told.gone, contents, part])
    const known = sizes.get(key)
    if (known !== undefined) return known
    const size = zlib.gzipSync(JSON.stringify({ ...told, part, objects: copyParts.takePart(told.objects, part) })).length
    sizes.set(key, size)
    return size
  }
}

/** Text that hardly compresses, the same one for the same seed. */
function createNoise (seed: string, length: number): string {
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
const NEAR_MS = 1.4
const FAR_MS = 2.8
const REQUEST_BYTES = 400
const STORE_ANSWER_MS = 4
/** How long daemons wait for an answer of the store, and of each other: as the product's own time-outs. */
const STORE_LIMITS: standins.StreamLimits = { quietMs: 1200 }
const PEER_LIMITS: standins.StreamLimits = { quietMs: 1000 }
const SEEDS = 3
const FACT_KEPT_MS = 600_000
/** Extra routes are this much longer in the store, as those of the users. */
const ROUTE_PADDING = 120

/** The part of the runtime's mocked timers that moves time. */
export interface MockedTime {
  readonly tick: (milliseconds: number) => void
}

/**
 * Prepares a fleet; its daemons are started by the test.
 *
 * @param options - Size and links.
 * @param time - The test's mocked timers, `setTimeout`, `setInterval` and `Date` enabled.
 * @param random - Random number from 0 to 1.
 * @returns The fleet.
 */
export function createSimulatedFleet (options: SimulatedFleetOptions, time: MockedTime, random: () => number): SimulatedFleet {
  const now = Date.now
  const plan = listHosts(options)
  const network = standins.createLinkNetwork({
    hosts: [{ host: STORE_HOST, region: 'region-0', bytesPerMs: STORE_BYTES_PER_MS }, ...plan.map(({ host, hall, role }) => ({ host, region: `region-${hall}`, bytesPerMs: role === 'gateway' ? GATEWAY_BYTES_PER_MS : AGENT_BYTES_PER_MS }))],
    regionBytesPerMs: options.regionBytesPerMs,
    nearMs: NEAR_MS,
    farMs: FAR_MS,
    now
  })
  const objects = new Map<string, Map<string, store.StoredObject>>()
  const history: StoreChange[] = []
  let revision = 0
  let wake: Array<() => void> = []
  let version = 0
  const sizeOf = createSizes()

  function record (kind: string, event: store.StoreEvent): void {
    history.push({ kind, event })
    const waiting = wake
    wake = []
    for (const each of waiting) each()
  }

  function put (kind: string, name: string, value: unknown): number {
    revision += 1
    const object = { name, revision, value }
    const named = objects.get(kind) ?? new Map<string, store.StoredObject>()
    objects.set(kind, named.set(name, object))
    record(kind, { object, isGone: false })
    return revision
  }

  function remove (kind: string, name: string): void {
    revision += 1
    objects.get(kind)?.delete(name)
    record(kind, { object: { name, revision, value: null }, isGone: true })
  }

  function createStoreOf (host: string): store.CollectionStore {
    async function answer<Value> (value: Value): Promise<types.Outcome<Value, types.UnavailableError>> {
      await types.delay(STORE_ANSWER_MS)
      const isWhole = await network.carry(STORE_HOST, host, JSON.stringify(value).length, STORE_LIMITS)
      return isWhole ? types.succeed(value) : types.fail(new types.UnavailableError('no whole answer in time'))
    }
    return {
      listAll: async (kind) => {
        await network.carry(host, STORE_HOST, REQUEST_BYTES)
        return await answer({ objects: [...objects.get(kind)?.values() ?? []], at: revision })
      },
      watchAll: async (kind, from, waitMs) => {
        await network.carry(host, STORE_HOST, REQUEST_BYTES)
        const endsAt = now() + waitMs
        const list = (): store.StoreEvent[] => history.filter((change) => change.kind === kind && change.event.object.revision > from).map(({ event }) => event)
        while (list().length === 0 && now() < endsAt) {
          await Promise.race([types.delay(endsAt - now()), new Promise<void>((resolve) => { wake.push(resolve) })])
        }
        return await answer({ events: list(), at: revision })
      },
      put: async () => types.fail(new types.UnavailableError('this store is only read')),
      remove: async () => types.fail(new types.UnavailableError('this store is only read'))
    }
  }

  function createDaemon ({ host, hall, role }: PlannedHost): SimulatedDaemon {
    let parts: createFleetParts.FleetParts | null = null
    let exchange: createFleetExchange.FleetExchange | null = null
    let limiter: createRateLimiter.GatewayRateLimiter | null = null
    const heard = new Map<unknown, number>()
    const machine = createMachine(now, options.isStartKnown ?? true)
    const checked = parseSettings(host, hall, role, plan)

    async function fetchChanges (peer: string, request: spread.CopyRequest, signal: AbortSignal): ReturnType<spread.CopySyncOptions['fetchChanges']> {
      const limits = { ...PEER_LIMITS, signal }
      if (!await network.carry(host, peer, REQUEST_BYTES, limits)) return types.fail(new types.UnavailableError('the peer was not reached in time'))
      const other = daemons.find((each) => each.host === peer)
      const mirror = other?.parts()?.mirrors.find((each) => each.kind === request.kind)
      if (other === undefined || mirror === undefined) return types.fail(new types.UnavailableError('no such copy'))
      const part = copyParts.partOf(request.kind, role)
      const changes = mirror.changesSince(request.since)
      const bytes = sizeOf(changes, part)
      const isWhole = await network.carry(peer, host, bytes, limits)
      const told = { ...changes, objects: copyParts.takePart(changes.objects, part) }
      return isWhole ? types.succeed({ changes: told, bytes }) : types.fail(new types.UnavailableError('no byte of the answer in time'))
    }

    return {
      host,
      role,
      parts: () => parts as createFleetParts.FleetParts,
      limiter: () => limiter,
      heard,
      tell: (content) => {
        heard.set(content, now())
        exchange?.facts.tell(content, FACT_KEPT_MS)
      },
      start: async () => {
        heard.clear()
        const started = createFleetParts.createFleetParts(checked, { clocks: machine, writeLine: () => {} })
        parts = started
        exchange = null
        const describeSelf = (isStoreLost: boolean): spread.Heartbeat => createFleetParts.describeSelf(started, { isLeaving: false, isStoreLost }, role === 'agent' ? ENGINE_NEWS : null)
        if (role === 'gateway') limiter = createRateLimiter.createRateLimiter({ parts: started, exchange: () => exchange, isLeaving: () => false, random })
        exchange = await createFleetExchange.createFleetExchange({
          parts: started,
          store: role === 'gateway' ? createStoreOf(host) : null,
          openDatagrams: async (onDatagram) => network.openDatagrams(host, (bytes, from) => { if (random() >= (options.lostPart ?? 0)) onDatagram(bytes, from) }),
          fetchChanges,
          describeSelf,
          onHeartbeat: (heartbeat) => { createFleetParts.noteVersions(started, heartbeat) },
          onFact: (content, madeAt) => { if (limiter?.noteFact(content, madeAt) !== true) heard.set(content, now()) },
          onDatagram: limiter?.receive ?? createAgentPermits.createAgentPermits(started, () => exchange).receive,
          random
        })
      },
      stop: () => { exchange?.stop() },
      suspend: () => {
        network.cut(host)
        machine.suspend()
      },
      resume: () => {
        network.join(host)
        machine.resume()
      },
      setTimeOfDay: machine.set
    }
  }

  const daemons = plan.map(createDaemon)

  async function pass (milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 1) {
      time.tick(1)
      await new Promise((resolve) => { setImmediate(resolve) })
    }
  }

  return {
    network,
    daemons,
    gateways: daemons.filter((each) => each.role === 'gateway'),
    put,
    remove,
    pass,
    configure: (routes) => {
      version += 1
      const configuration = testing.createConfiguration('10.0.0.9:80', 96, 'model-a', 'key-of-tenant-one')
      const [first] = configuration.routes
      for (let route = 0; route < routes; route += 1) configuration.routes.push({ ...first, name: `r-${route}`, pathPrefix: `/added/${route}/`, note: createNoise(`${version} ${route}`, ROUTE_PADDING) })
      put(platform.KINDS.configuration, platform.CONFIGURATION_NAME, { ...configuration, version })
      return version
    },
    passUntil: async (condition, maximumMs) => {
      for (let passed = 0; passed <= maximumMs; passed += 1) {
        if (condition()) return passed
        await pass(1)
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
    for (let place = 0; place < options.gatewaysPerHall; place += 1) hosts.push({ host: `10.${hall}.0.${place + 1}`, hall, role: 'gateway' })
    for (let place = 0; place < options.agentsPerHall; place += 1) hosts.push({ host: `10.${hall}.1.${place + 1}`, hall, role: 'agent' })
  }
  return hosts
}

/** What an agent under load tells of its engine. */
const ENGINE_NEWS = engineNews.formatEngineNews({
  address: '10.0.1.1:8585',
  isPaused: false,
  changesInMs: null,
  report: { bornAt: 1_790_000_000_000, running: 7, waiting: 2, isBusy: false, sequence: 3, pace: 1.02, limitPerSecond: null, models: new Map([['model-a', 3]]) }
}, { host: '10.0.1.1', soleModel: () => 'model-a' })

function parseSettings (host: string, hall: number, role: 'gateway' | 'agent', plan: readonly PlannedHost[]): settings.FleetSettings {
  const seeds = plan.filter((each) => each.role === 'gateway' && each.host.endsWith('.1')).slice(0, SEEDS).map((each) => `"${each.host}:1"`)
  const text = [
    `role = "${role}"`, `node = "${role}-${host}"`, `zone = "hall-${hall}"`, `region = "region-${hall}"`, `host = "${host}"`, 'internal_port = 7700', `seeds = [${seeds.join()}]`,
    '[listen]', `callers = "${host}:80"`, '[engine]', `address = "${host}:8585"`, '[store]', 'address = "10.9.9.9:80"', '[logs]', 'level = "silent"'
  ].join('\n')
  const parsed = settings.parseFleetSettings(text, host)
  assert.ok(parsed.ok, parsed.ok ? '' : parsed.error.message)
  return parsed.value
}
