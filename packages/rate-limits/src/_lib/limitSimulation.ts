/** Plays gateways that keep one limit together, with the real decisions, on a network that loses, doubles and delays datagrams. */
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'
import * as chooseCounter from '../chooseCounter/index.js'
import * as createPermitClient from '../createPermitClient/index.js'
import * as createPermitCounter from '../createPermitCounter/index.js'
import * as createPermitServer from '../createPermitServer/index.js'
import * as rateShares from './rateShares.js'
import type * as rateLimits from '../types/index.js'

/** What is played. */
export interface LimitPlan {
  readonly way: 'shares' | 'counter'
  readonly gateways: number
  readonly perSecond: number
  readonly seconds: number
  /** Calls that come, in parts of the limit. */
  readonly demand: number
  /** Whether a tenth of the gateways gets half of the calls. */
  readonly isSkewed?: boolean
  /** Part of all datagrams that is lost, comes twice, or comes {@link LATE_MS} later. */
  readonly lostPart?: number
  readonly doubledPart?: number
  readonly latePart?: number
  /** Seconds at which the counter ends; another one counts from {@link REPLACED_MS} later on, knowing nothing. */
  readonly replacedAt?: readonly number[]
  /** From and to which second the counter stands still; what comes meanwhile is answered afterwards. */
  readonly frozen?: readonly [number, number]
  /** From and to which second half of the gateways ask a substitute, since they have lost the counter. */
  readonly divided?: readonly [number, number]
  /** Part of the limit that a substitute gives; that of the product if absent. */
  readonly substitutePart?: number
  /** Permits are not used at once, but at the next multiple of these milliseconds: a mistake that a check has to find. */
  readonly heldMs?: number
  /** Seconds at which every second gateway starts again. */
  readonly restartedAt?: readonly number[]
  readonly seed?: number
}

/** What came of it. */
export interface LimitResult {
  /** Part of the limit that was used. */
  readonly used: number
  /** Most requests in some four seconds. */
  readonly most: number
  readonly allowed: number
  /** Datagrams for each request that was sent, refusals included. */
  readonly datagramsEach: number
}

const LIFE = types.brandId<types.BackEndLife>('back-end')
const WINDOW_MS = 4000
const STEP_MS = 1
/** Within a hall and between regions. */
const WAY_MS = [0.5, 3] as const
const LATE_MS = 400
const REPLACED_MS = 2000
const MICROTASKS = 6
const SEED = 11

interface Gateway {
  way: rateLimits.PermitWay
  receive: (bytes: Buffer, from: string) => boolean
}

/** What four seconds may bring at the most. */
export function computeAllowed (perSecond: number): number {
  return 6 * perSecond + 5
}

/**
 * Plays a plan.
 *
 * @param plan - What is played.
 * @returns What came of it.
 */
export async function playLimit (plan: LimitPlan): Promise<LimitResult> {
  const timeline = standins.createTimeline()
  const random = standins.createRandom(plan.seed ?? SEED)
  const { now } = timeline
  const substitutePart = plan.substitutePart ?? chooseCounter.SUBSTITUTE_PART
  const arrivals: number[] = []
  let datagrams = 0
  const counters = new Map<string, createPermitServer.PermitServer>()
  const gateways: Gateway[] = []
  let serving = 'counter-0'
  /** Whether anything was done whose promises are to be kept before time goes on. */
  let hasActed = false

  function at (time: number, action: () => void): void {
    timeline.at(time, () => {
      hasActed = true
      action()
    })
  }

  function isBetween (span: readonly [number, number] | undefined): boolean {
    const seconds = now() / types.MILLISECONDS_IN_SECOND
    return span !== undefined && seconds >= span[0] && seconds < span[1]
  }

  function deliver (bytes: Buffer, from: string, to: string): void {
    const [kind, index] = to.split('-')
    if (kind === 'gateway') gateways[Number(index)]?.receive(bytes, from)
    else if (to === 'counter-0' && isBetween(plan.frozen)) at((plan.frozen?.[1] ?? 0) * types.MILLISECONDS_IN_SECOND, () => { deliver(bytes, from, to) })
    else counters.get(to)?.receive(bytes, from)
  }

  function sendFrom (from: string): (to: string, bytes: Buffer) => void {
    return (to, bytes) => {
      datagrams += 1
      if (random() < (plan.lostPart ?? 0)) return
      const copies = random() < (plan.doubledPart ?? 0) ? 2 : 1
      for (let copy = 0; copy < copies; copy += 1) {
        const delayMs = WAY_MS[0] + (WAY_MS[1] - WAY_MS[0]) * random() + (random() < (plan.latePart ?? 0) ? LATE_MS : 0)
        at(now() + delayMs, () => { deliver(bytes, from, to) })
      }
    }
  }

  function startCounter (host: string, part: number): void {
    counters.set(host, createPermitServer.createPermitServer({ counter: createPermitCounter.createPermitCounter(now), partOf: () => part, send: sendFrom(host), count: () => {}, now }))
  }

  function startGateway (index: number): void {
    if (plan.way === 'shares') {
      gateways[index] = { way: rateShares.createRateShares(() => plan.gateways, now), receive: () => false }
      return
    }
    const host = `gateway-${index}`
    const isApart = (): boolean => index % 2 === 1 && isBetween(plan.divided)
    const client = createPermitClient.createPermitClient({
      ownHost: host,
      counter: createPermitCounter.createPermitCounter(now),
      findCounter: () => isApart() ? { host: 'substitute', part: substitutePart } : { host: serving, part: 1 },
      send: sendFrom(host),
      count: () => {},
      at: schedule,
      now,
      random
    })
    gateways[index] = { way: client, receive: client.receive }
  }

  function schedule (time: number, action: () => void): () => void {
    let isCancelled = false
    at(time, () => { if (!isCancelled) action() })
    return () => { isCancelled = true }
  }

  function pickGateway (): Gateway {
    const few = Math.max(1, Math.round(plan.gateways / 10))
    const among = plan.isSkewed === true && random() < 0.5 ? few : plan.gateways
    return gateways[Math.floor(random() * among)] as Gateway
  }

  async function call ({ way }: Gateway): Promise<void> {
    if (way.waitMs(LIFE, false) > 0) return
    const answer = await way.acquire({ life: LIFE, perSecond: plan.perSecond, heardAt: 0 }, false)
    if (answer.isGranted) at(computeSendTime(), () => { arrivals.push(now()) })
  }

  function computeSendTime (): number {
    return plan.heldMs === undefined ? now() : Math.ceil(now() / plan.heldMs) * plan.heldMs
  }

  function scheduleCall (): void {
    const gapMs = -Math.log(1 - random()) * types.MILLISECONDS_IN_SECOND / (plan.perSecond * plan.demand)
    at(now() + gapMs, () => {
      void call(pickGateway())
      scheduleCall()
    })
  }

  startCounter(serving, 1)
  startCounter('substitute', substitutePart)
  for (let index = 0; index < plan.gateways; index += 1) startGateway(index)
  for (const [index, second] of (plan.replacedAt ?? []).entries()) {
    at(second * types.MILLISECONDS_IN_SECOND, () => { counters.delete(serving) })
    at(second * types.MILLISECONDS_IN_SECOND + REPLACED_MS, () => {
      serving = `counter-${index + 1}`
      startCounter(serving, 1)
    })
  }
  for (const second of plan.restartedAt ?? []) at(second * types.MILLISECONDS_IN_SECOND, () => { for (let index = 0; index < plan.gateways; index += 2) startGateway(index) })
  scheduleCall()
  for (let time = 0; time <= plan.seconds * types.MILLISECONDS_IN_SECOND; time += STEP_MS) {
    timeline.run(time)
    if (!hasActed) continue
    hasActed = false
    for (let turn = 0; turn < MICROTASKS; turn += 1) await Promise.resolve()
  }
  return {
    used: arrivals.length / (plan.perSecond * plan.seconds),
    most: countMost(arrivals),
    allowed: computeAllowed(plan.perSecond),
    datagramsEach: datagrams / Math.max(1, arrivals.length)
  }
}

function countMost (times: readonly number[]): number {
  let most = 0
  let first = 0
  for (const [index, time] of times.entries()) {
    while (time - (times[first] as number) >= WINDOW_MS) first += 1
    most = Math.max(most, index - first + 1)
  }
  return most
}
