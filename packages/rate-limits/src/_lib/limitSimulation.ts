/** Simulates gateways that share one rate limit, with the production code on a simulated network that loses, duplicates and delays datagrams. */
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'
import * as chooseCounter from '../chooseCounter/index.js'
import * as computeColdLimit from '../computeColdLimit/index.js'
import * as createPermitClient from '../createPermitClient/index.js'
import * as createPermitCounter from '../createPermitCounter/index.js'
import * as createPermitServer from '../createPermitServer/index.js'
import * as rateShares from './rateShares.js'
import type * as rateLimits from '../types/index.js'

/** The load, fleet and faults to simulate. */
export interface LimitScenario {
  readonly strategy: 'shares' | 'counter'
  readonly gateways: number
  /** The limit: requests per second from all gateways together. */
  readonly perSecond: number
  /** Simulated time. */
  readonly seconds: number
  /** Rate of arriving calls as a multiple of the limit. */
  readonly demand: number
  /** Whether one tenth of the gateways receives half of the calls. */
  readonly isSkewed?: boolean
  /** Fractions of all datagrams that are lost, delivered twice, and delayed by {@link EXTRA_DELAY_MS}. */
  readonly lossRate?: number
  readonly duplicationRate?: number
  readonly delayRate?: number
  /** Seconds at which the counter fails; {@link REPLACEMENT_DELAY_MS} later a new one without any state takes over. */
  readonly counterReplacedAt?: readonly number[]
  /** Start and end, in seconds, of a pause of the first counter; it answers the datagrams received meanwhile when the pause ends. */
  readonly counterFrozen?: readonly [number, number]
  /** Start and end, in seconds, of a partition in which half of the gateways can't reach the counter and ask a substitute. */
  readonly partitioned?: readonly [number, number]
  /** Fraction of the limit that a substitute grants; the production value if absent. */
  readonly substituteFraction?: number
  /** Injects a fault that the checks have to detect: a permit is used only at the next multiple of these milliseconds. */
  readonly permitHoldMs?: number
  /** Seconds at which every second gateway restarts. */
  readonly gatewaysRestartedAt?: readonly number[]
  /** The limited back ends are cold, with `perSecond` as their rate: the bound of cold back ends applies. */
  readonly isCold?: boolean
  /** Fraction of the calls that have rank 1 instead of 0. */
  readonly lowRankShare?: number
  /** Whether a refused caller returns once, to any gateway, when a permit is expected. */
  readonly doCallersReturn?: boolean
  /** Number of back ends with the same limit, whose permits one daemon counts; 1 if absent. The demand applies to each of them. */
  readonly backEnds?: number
  /** Second at which the back ends turn cold under load. Gateways learn it within {@link LEARNING_MS}, and only arrivals after that are measured; until then they send without permits. */
  readonly turnsColdAt?: number
  /** Fraction of requests whose connection takes up to {@link SLOW_CONNECT_MS}. */
  readonly slowConnectRate?: number
  readonly seed?: number
}

/** The measured result. */
export interface LimitResult {
  /** Requests sent as a fraction of what the limit allows. */
  readonly utilization: number
  /** Requests of rank 1 as a fraction of all. */
  readonly lowRankUtilization: number
  /** Most requests at one back end within any window of four seconds, or of one second if it is cold. */
  readonly peakRequests: number
  /** Upper bound for `peakRequests`. */
  readonly allowed: number
  /** Datagrams per request that was sent, including those of refused permits. */
  readonly datagramsPerRequest: number
}

const WINDOW_MS = 4000
const COLD_WINDOW_MS = 1000
const COLD_TOLERANCE: computeColdLimit.ColdTolerance = { overage: 1.5, slack: 5 }
/** An agent that finds its engine cold announces it to all gateways at once; heartbeats repeat it after lost datagrams. */
const LEARNING_MS = 1000
/** Longest connection that is simulated: a lost first packet is sent again after a second. */
const SLOW_CONNECT_MS = 1000
const STEP_MS = 1
/** Shortest and longest one-way delay: within a data hall and between regions. */
const NETWORK_DELAY_MS = [0.5, 3] as const
const EXTRA_DELAY_MS = 400
const REPLACEMENT_DELAY_MS = 2000
/** Turns of the microtask queue after which the promises of an action have settled. */
const MICROTASK_TURNS = 6
const SEED = 11

interface SimulatedBackEnd {
  readonly life: types.BackEndInstanceId
  /** Times of its requests. */
  readonly arrivals: number[]
}

interface SimulatedCall {
  readonly rank: 0 | 1
  /** Whether its caller returns once after a refusal. */
  readonly mayReturn: boolean
}

interface Gateway {
  /** Time at which it learns that the back ends are cold. */
  readonly learnsAt: number
  permitSource: rateLimits.PermitSource
  receive: (bytes: Buffer, from: string) => boolean
}

/** Most requests that a limit tolerates within any window of four seconds: one and a half times those of its rate, and five more. */
export function computeAllowed (perSecond: number): number {
  return 6 * perSecond + 5
}

/** Most requests that a cold back end tolerates within any second. */
export function computeColdAllowed (perSecond: number): number {
  return COLD_TOLERANCE.overage * perSecond + COLD_TOLERANCE.slack
}

/**
 * Simulates a scenario.
 *
 * @param scenario - The load, fleet and faults.
 * @returns The measured result.
 */
export async function simulateLimit (scenario: LimitScenario): Promise<LimitResult> {
  const clock = standins.createVirtualClock()
  const random = standins.createSeededRandom(scenario.seed ?? SEED)
  const { now } = clock
  const substituteFraction = scenario.substituteFraction ?? chooseCounter.SUBSTITUTE_FRACTION
  const isCold = scenario.isCold ?? false
  const backEnds = Array.from({ length: scenario.backEnds ?? 1 }, (_, index) => ({ life: types.brandId<types.BackEndInstanceId>(`back-end-${index}`), arrivals: [] as number[] }))
  const measuredFrom = scenario.turnsColdAt === undefined ? 0 : scenario.turnsColdAt * types.MILLISECONDS_IN_SECOND + LEARNING_MS
  let datagrams = 0
  let lowRankRequests = 0
  const counters = new Map<string, createPermitServer.PermitServer>()
  const gateways: Gateway[] = []
  let activeCounter = 'counter-0'
  /** Whether an action ran whose promises have to settle before the simulated time advances. */
  let hasPendingPromises = false

  function scheduleAt (time: number, action: () => void): void {
    clock.at(time, () => {
      hasPendingPromises = true
      action()
    })
  }

  function isWithin (span: readonly [number, number] | undefined): boolean {
    const seconds = now() / types.MILLISECONDS_IN_SECOND
    return span !== undefined && seconds >= span[0] && seconds < span[1]
  }

  function deliver (bytes: Buffer, from: string, to: string): void {
    const [kind, index] = to.split('-')
    if (kind === 'gateway') gateways[Number(index)]?.receive(bytes, from)
    else if (to === 'counter-0' && isWithin(scenario.counterFrozen)) scheduleAt((scenario.counterFrozen?.[1] ?? 0) * types.MILLISECONDS_IN_SECOND, () => { deliver(bytes, from, to) })
    else counters.get(to)?.receive(bytes, from)
  }

  function createSender (from: string): (to: string, bytes: Buffer) => void {
    return (to, bytes) => {
      datagrams += 1
      if (random() < (scenario.lossRate ?? 0)) return
      const copies = random() < (scenario.duplicationRate ?? 0) ? 2 : 1
      for (let copy = 0; copy < copies; copy += 1) {
        const delayMs = pickNetworkDelay() + (random() < (scenario.delayRate ?? 0) ? EXTRA_DELAY_MS : 0)
        scheduleAt(now() + delayMs, () => { deliver(bytes, from, to) })
      }
    }
  }

  function pickNetworkDelay (): number {
    return NETWORK_DELAY_MS[0] + (NETWORK_DELAY_MS[1] - NETWORK_DELAY_MS[0]) * random()
  }

  function startCounter (host: string, fraction: number): void {
    counters.set(host, createPermitServer.createPermitServer({ counter: createPermitCounter.createPermitCounter(now), grantableFraction: () => fraction, send: createSender(host), count: () => {}, now }))
  }

  function startGateway (index: number): void {
    if (scenario.strategy === 'shares') {
      gateways[index] = { learnsAt: 0, permitSource: rateShares.createRateShares(() => scenario.gateways, now), receive: () => false }
      return
    }
    const host = `gateway-${index}`
    const isPartitioned = (): boolean => index % 2 === 1 && isWithin(scenario.partitioned)
    const client = createPermitClient.createPermitClient({
      ownHost: host,
      counter: createPermitCounter.createPermitCounter(now),
      findCounter: () => isPartitioned() ? { host: 'substitute', part: substituteFraction } : { host: activeCounter, part: 1 },
      send: createSender(host),
      count: () => {},
      at: scheduleCancellable,
      now,
      random
    })
    const learnsAt = scenario.turnsColdAt === undefined ? 0 : scenario.turnsColdAt * types.MILLISECONDS_IN_SECOND + LEARNING_MS * random()
    gateways[index] = { learnsAt, permitSource: client, receive: client.receive }
  }

  function scheduleCancellable (time: number, action: () => void): () => void {
    let isCancelled = false
    scheduleAt(time, () => { if (!isCancelled) action() })
    return () => { isCancelled = true }
  }

  function pickGateway (): Gateway {
    const busyCount = Math.max(1, Math.round(scenario.gateways / 10))
    const candidateCount = scenario.isSkewed === true && random() < 0.5 ? busyCount : scenario.gateways
    return gateways[Math.floor(random() * candidateCount)] as Gateway
  }

  function pickBackEnd (): SimulatedBackEnd {
    return backEnds[backEnds.length === 1 ? 0 : Math.floor(random() * backEnds.length)] as SimulatedBackEnd
  }

  async function sendCall ({ permitSource, learnsAt }: Gateway, backEnd: SimulatedBackEnd, { rank, mayReturn }: SimulatedCall): Promise<void> {
    const { life, arrivals } = backEnd
    if (now() < learnsAt) {
      arrivals.push(now())
      return
    }
    const waitMs = permitSource.waitMs(life, false, rank)
    if (waitMs > 0) {
      if (mayReturn) scheduleAt(now() + waitMs, () => { void sendCall(pickGateway(), backEnd, { rank, mayReturn: false }) })
      return
    }
    const { perSecond } = scenario
    const limit = isCold ? { life, perSecond: null, receivedAt: now(), cold: computeColdLimit.computeColdLimit(perSecond, COLD_TOLERANCE), rank } : { life, perSecond, receivedAt: 0 }
    const decision = await permitSource.acquire(limit, false)
    if (!decision.isGranted) {
      if (mayReturn) scheduleAt(now() + decision.waitMs, () => { void sendCall(pickGateway(), backEnd, { rank, mayReturn: false }) })
      return
    }
    const expiresAt = decision.expiresAt ?? Infinity
    const connectedAt = computeSendTime() + (isCold ? pickConnectMs() : 0)
    if (connectedAt <= expiresAt || scenario.permitHoldMs !== undefined) {
      scheduleAt(connectedAt + (isCold ? pickNetworkDelay() : 0), () => {
        arrivals.push(now())
        lowRankRequests += rank
      })
    }
  }

  /** A connection takes one round trip. */
  function pickConnectMs (): number {
    return 2 * pickNetworkDelay() + (random() < (scenario.slowConnectRate ?? 0) ? SLOW_CONNECT_MS * random() : 0)
  }

  function computeSendTime (): number {
    return scenario.permitHoldMs === undefined ? now() : Math.ceil(now() / scenario.permitHoldMs) * scenario.permitHoldMs
  }

  function scheduleCall (): void {
    const gapMs = -Math.log(1 - random()) * types.MILLISECONDS_IN_SECOND / (scenario.perSecond * scenario.demand * backEnds.length)
    scheduleAt(now() + gapMs, () => {
      const rank = scenario.lowRankShare !== undefined && random() < scenario.lowRankShare ? 1 : 0
      void sendCall(pickGateway(), pickBackEnd(), { rank, mayReturn: scenario.doCallersReturn ?? false })
      scheduleCall()
    })
  }

  startCounter(activeCounter, 1)
  startCounter('substitute', substituteFraction)
  for (let index = 0; index < scenario.gateways; index += 1) startGateway(index)
  for (const [index, second] of (scenario.counterReplacedAt ?? []).entries()) {
    scheduleAt(second * types.MILLISECONDS_IN_SECOND, () => { counters.delete(activeCounter) })
    scheduleAt(second * types.MILLISECONDS_IN_SECOND + REPLACEMENT_DELAY_MS, () => {
      activeCounter = `counter-${index + 1}`
      startCounter(activeCounter, 1)
    })
  }
  for (const second of scenario.gatewaysRestartedAt ?? []) scheduleAt(second * types.MILLISECONDS_IN_SECOND, () => { for (let index = 0; index < scenario.gateways; index += 2) startGateway(index) })
  scheduleCall()
  for (let time = 0; time <= scenario.seconds * types.MILLISECONDS_IN_SECOND; time += STEP_MS) {
    clock.run(time)
    if (!hasPendingPromises) continue
    hasPendingPromises = false
    for (let turn = 0; turn < MICROTASK_TURNS; turn += 1) await Promise.resolve()
  }
  const measured = backEnds.map(({ arrivals }) => arrivals.filter((time) => time >= measuredFrom).sort((left, right) => left - right))
  const requests = measured.reduce((sum, arrivals) => sum + arrivals.length, 0)
  const measuredSeconds = scenario.seconds - measuredFrom / types.MILLISECONDS_IN_SECOND
  return {
    utilization: requests / (scenario.perSecond * measuredSeconds * backEnds.length),
    lowRankUtilization: lowRankRequests / Math.max(1, requests),
    peakRequests: Math.max(...measured.map((arrivals) => countPeak(arrivals, isCold ? COLD_WINDOW_MS : WINDOW_MS))),
    allowed: isCold ? computeColdAllowed(scenario.perSecond) : computeAllowed(scenario.perSecond),
    datagramsPerRequest: datagrams / Math.max(1, requests)
  }
}

function countPeak (times: readonly number[], windowMs: number): number {
  let peak = 0
  let first = 0
  for (const [index, time] of times.entries()) {
    while (time - (times[first] as number) >= windowMs) first += 1
    peak = Math.max(peak, index - first + 1)
  }
  return peak
}
