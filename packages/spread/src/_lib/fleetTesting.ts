/** Test fleets of gossiping daemons on a simulated network, with the traffic of each daemon. */
import type * as nodeTest from 'node:test'
import * as standins from '@switchridge/standins'
import type * as store from '@switchridge/store'
import * as types from '@switchridge/types'
import * as createGossip from '../createGossip/index.js'
import * as wire from './wire.js'

/** A fleet to start. */
export interface FleetPlan {
  readonly gateways: number
  readonly agents: number
  readonly halls: number
  /** Fraction of all datagrams that is lost. */
  readonly loss?: number
  /** Seeds of a daemon; the first three daemons by default, which are gateways of different halls where there are that many. */
  readonly seedsOf?: (daemon: PlannedDaemon, all: readonly PlannedDaemon[]) => string[]
}

/** A daemon before its start. */
export interface PlannedDaemon {
  readonly host: string
  readonly role: 'gateway' | 'agent'
  readonly zone: string
  readonly region: string
}

/** A running daemon. */
export interface TestDaemon extends PlannedDaemon {
  readonly gossip: createGossip.Gossip
  readonly traffic: Traffic
  /** Time of the mock clock at which the newest received report of each engine was created, by host. */
  readonly reports: Map<string, number>
  /** Reasons of dropped datagrams. */
  readonly dropped: string[]
  /** `watchedAt`: advances with each answer of the store, also if nothing changed. */
  readonly state: { revision: number, watchedAt: number, isLeaving: boolean, isStoreLost: boolean, isPaused: boolean, suspects: string[] }
  /** Hosts of paused engines that it heard of, with the time. */
  readonly pauses: Map<string, number>
  /** Newest revision that it heard of, with the host that announced it. */
  readonly newestRevision: { revision: number, host: string }
  /** Ages of versions as last received, in milliseconds by version. */
  readonly versionAges: Map<number, number>
  /** Transit time of the last state of each daemon beyond that of the fastest datagrams, in milliseconds by host. */
  readonly delays: Map<string, number>
  /** Received heartbeats, with their times. */
  readonly heartbeats: Array<{ readonly host: string, readonly at: number }>
}

/** Bytes including headers, and datagrams. */
export interface Traffic {
  bytesIn: number
  bytesOut: number
  datagramsIn: number
  datagramsOut: number
  /** Ticks of the daemon; each one is a wake-up, as is each received datagram. */
  ticks: number
  /** Part of the received bytes: digests that only announce changed copies. */
  changeBytesIn: number
}

/** A running fleet. */
export interface TestFleet {
  readonly daemons: readonly TestDaemon[]
  readonly network: standins.SimulatedNetwork
  /** Advances the time; `each` is called after each millisecond. */
  readonly advance: (milliseconds: number, each?: (at: number) => void) => void
  /** Drops from now on all datagrams between two hosts for which the function returns true. */
  readonly block: (isLinkBlocked: (from: string, to: string) => boolean) => void
  /** Delivers a datagram to a daemon as if it came from a host. */
  readonly inject: (from: string, to: string, bytes: Buffer) => void
  /** Stops a daemon without an announcement and starts one with its host and name, whose clock begins at zero. */
  readonly restart: (daemon: TestDaemon) => Promise<TestDaemon>
  /** Resets all counts. */
  readonly resetTraffic: () => void
}

/** Links of the users' platform: 5.11 Mbit/s at engines, 20 Mbit/s between regions; gateways have 100 Mbit/s. */
const AGENT_BYTES_PER_MS = 640
const GATEWAY_BYTES_PER_MS = 12_500
const REGION_BYTES_PER_MS = 2500
/** Latencies within a region and between regions. */
const NEAR_MS = 0.5
const FAR_MS = 3
const REGIONS = 3
/** All daemons start within this time. */
const START_MS = 300
/** IP and UDP headers of a datagram. */
const HEADER_BYTES = 28
const SEEDS = 3
const HOSTS_IN_NET = 250
const RANDOM_SEED = 7
const MODULUS = 2_147_483_647
const MULTIPLIER = 48_271

/** Creates a generator of numbers from 0 to 1 that returns the same sequence in each run. */
export function createRandom (seed = RANDOM_SEED): () => number {
  let state = seed
  return () => {
    state = state * MULTIPLIER % MODULUS
    return state / MODULUS
  }
}

function planDaemons ({ gateways, agents, halls }: FleetPlan): PlannedDaemon[] {
  const all: PlannedDaemon[] = []
  for (let at = 0; at < gateways + agents; at += 1) {
    const role = at < gateways ? 'gateway' : 'agent'
    const hall = (role === 'gateway' ? at : at - gateways) % halls
    all.push({ host: `10.40.${Math.floor(at / HOSTS_IN_NET)}.${at % HOSTS_IN_NET + 1}`, role, zone: `hall-${hall + 1}`, region: `region-${hall % REGIONS + 1}` })
  }
  return all
}

function seedsOf (_daemon: PlannedDaemon, all: readonly PlannedDaemon[]): string[] {
  return all.slice(0, SEEDS).map((each) => each.host)
}

/** An engine report of realistic length: port, flags, next change, the engine's counts, its version and its incarnation. */
function formatEngine (isPaused: boolean): unknown {
  return [9000, isPaused ? 1 : 0, null, 3, 1, 123, 1.234, 3, String(Date.now()).padStart(8, '0')]
}

function parseEngine (engine: unknown): { madeAt: number, isPaused: boolean } {
  const [, isPaused, , , , , , , madeAt] = engine as [number, number, null, number, number, number, number, number, string]
  return { madeAt: Number(madeAt), isPaused: isPaused === 1 }
}

function formatNodeId ({ host, role }: Pick<PlannedDaemon, 'host' | 'role'>): types.NodeId {
  return types.brandId(`${role}-${host.split('.').slice(2).join('-')}`)
}

/** Describes a daemon with the fields that its rank depends on. */
export function describeForRank ({ host, role, zone }: PlannedDaemon): createGossip.Heartbeat {
  return { node: formatNodeId({ host, role }), role, zone, host, isLeaving: false, isStoreLost: false, copies: {}, versions: [], suspects: [], engine: null }
}

/** The state of a copy, of realistic length; `at` may be later than the last change. */
function describeCopy (changedAt: number, at = changedAt): store.MirrorState {
  return { at, digest: `d${changedAt}`.padEnd(8, 'x') }
}

function describe (planned: PlannedDaemon, state: TestDaemon['state']): createGossip.Heartbeat {
  const { host, role, zone } = planned
  const versions = [1, 2, 3].map((version) => ({ model: 'base', version, ageMs: 60_000.25 - version * 1000 }))
  const copies = { configuration: describeCopy(100), versions: describeCopy(1000 + state.revision), ...(role === 'gateway' ? { servers: describeCopy(10_000, 10_000 + state.watchedAt) } : {}) }
  const engine = role === 'agent' ? formatEngine(state.isPaused) : null
  return { node: formatNodeId(planned), role, zone, host, isLeaving: state.isLeaving, isStoreLost: state.isStoreLost, copies, versions, suspects: state.suspects, engine }
}

function isHeartbeat (bytes: Buffer): boolean {
  const decoded = wire.decode(bytes)
  return decoded.ok && decoded.message.type === 'heartbeat'
}

/** Tells whether a datagram is a digest without members. */
function isChangeDigest (bytes: Buffer): boolean {
  const decoded = wire.decode(bytes)
  return decoded.ok && decoded.message.type === 'digest' && decoded.message.digest.members.length === 0
}

/** Starts the daemons of a fleet within {@link START_MS}, in an order that is the same in each run. */
export async function startFleet (context: nodeTest.TestContext, plan: FleetPlan): Promise<TestFleet> {
  context.mock.timers.enable({ apis: ['setInterval', 'setTimeout', 'Date'], now: 1_000_000 })
  const random = createRandom()
  const planned = planDaemons(plan)
  const hosts = planned.map(({ host, region, role }) => ({ host, region, bytesPerMs: role === 'agent' ? AGENT_BYTES_PER_MS : GATEWAY_BYTES_PER_MS }))
  const network = standins.createSimulatedNetwork({ hosts, interRegionBytesPerMs: REGION_BYTES_PER_MS, intraRegionDelayMs: NEAR_MS, interRegionDelayMs: FAR_MS, now: Date.now })
  let isLinkBlocked = (_from: string, _to: string): boolean => false
  const daemons: TestDaemon[] = []
  const receivers = new Map<string, (bytes: Buffer, from: string) => void>()

  function advance (milliseconds: number, each?: (at: number) => void): void {
    for (let at = 0; at < milliseconds; at += 1) {
      context.mock.timers.tick(1)
      each?.(at)
    }
  }

  function open (host: string, traffic: Traffic, heartbeats: TestDaemon['heartbeats']): Parameters<typeof createGossip.createGossip>[0]['openDatagrams'] {
    return async (onDatagram) => {
      receivers.set(host, onDatagram)
      const socket = network.openDatagrams(host, (bytes, from) => {
        if (isLinkBlocked(from, host)) return
        traffic.bytesIn += bytes.length + HEADER_BYTES
        traffic.datagramsIn += 1
        if (isHeartbeat(bytes)) heartbeats.push({ host: from, at: Date.now() })
        if (isChangeDigest(bytes)) traffic.changeBytesIn += bytes.length + HEADER_BYTES
        onDatagram(bytes, from)
      })
      const send = (to: string, bytes: Buffer): void => {
        traffic.bytesOut += bytes.length + HEADER_BYTES
        traffic.datagramsOut += 1
        if (random() >= (plan.loss ?? 0)) socket.send(to, bytes)
      }
      return { send, close: socket.close }
    }
  }

  async function start (each: PlannedDaemon, clockOrigin = 0): Promise<TestDaemon> {
    const traffic = { bytesIn: 0, bytesOut: 0, datagramsIn: 0, datagramsOut: 0, ticks: 0, changeBytesIn: 0 }
    const state = { revision: 0, watchedAt: 0, isLeaving: false, isStoreLost: false, isPaused: false, suspects: [] }
    const reports = new Map<string, number>()
    const pauses = new Map<string, number>()
    const newestRevision = { revision: 0, host: '' }
    const dropped: string[] = []
    const versionAges = new Map<number, number>()
    const delays = new Map<string, number>()
    const heartbeats: TestDaemon['heartbeats'] = []
    const gossip = await createGossip.createGossip({
      clock: { isUncertain: () => false, recordPeerOffset: () => {} },
      host: each.host,
      incarnation: types.brandId(`run-${clockOrigin}`),
      openDatagrams: open(each.host, traffic, heartbeats),
      seeds: (plan.seedsOf ?? seedsOf)(each, planned),
      describeSelf: () => describe(each, state),
      onHeartbeat: (heartbeat, delayMs) => {
        delays.set(heartbeat.host, delayMs)
        const revision = heartbeat.copies['versions']?.at ?? 0
        if (revision > newestRevision.revision) Object.assign(newestRevision, { revision, host: heartbeat.host })
        for (const { version, ageMs } of heartbeat.versions) versionAges.set(version, ageMs)
        if (heartbeat.engine === null) return
        const { madeAt, isPaused } = parseEngine(heartbeat.engine)
        reports.set(heartbeat.host, Math.max(madeAt, reports.get(heartbeat.host) ?? 0))
        if (isPaused && !pauses.has(heartbeat.host)) pauses.set(heartbeat.host, Date.now())
      },
      onDrop: (reason) => { dropped.push(reason) },
      onTick: () => { traffic.ticks += 1 },
      now: () => Date.now() - clockOrigin
    })
    context.after(gossip.stop)
    return { ...each, gossip, traffic, reports, dropped, state, pauses, newestRevision, heartbeats, versionAges, delays }
  }

  const order = planned.map((each) => ({ each, at: random() * START_MS })).sort((left, right) => left.at - right.at)
  let elapsedMs = 0
  for (const { each, at } of order) {
    while (elapsedMs < at) {
      advance(1)
      elapsedMs += 1
    }
    daemons.push(await start(each))
  }
  return {
    daemons,
    network,
    advance,
    inject: (from, to, bytes) => { receivers.get(to)?.(bytes, from) },
    restart: async (daemon) => {
      daemon.gossip.stop()
      return await start(daemon, Date.now())
    },
    block: (next) => { isLinkBlocked = next },
    resetTraffic: () => {
      for (const { traffic } of daemons) Object.assign(traffic, { bytesIn: 0, bytesOut: 0, datagramsIn: 0, datagramsOut: 0, ticks: 0, changeBytesIn: 0 })
      network.counts.interRegionBytes = 0
    }
  }
}

/** Counts the other members of its hall, and those of other halls, that a daemon considers live. */
export function countLive (daemon: TestDaemon): { near: number, far: number } {
  const live = daemon.gossip.peers().filter(daemon.gossip.isLive)
  const near = live.filter((peer) => peer.heartbeat.zone === daemon.zone).length
  return { near, far: live.length - near }
}
