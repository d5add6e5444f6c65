/** Balancer of a soak: asks each gateway every second whether it is ready, and gives new connections to those that are. */
import * as got from 'got'
import * as platform from '@switchridge/platform'
import * as types from '@switchridge/types'
import type * as gatewaySoakFleet from './gatewaySoakFleet.js'
import type * as soakNode from './soakNode.js'

/** When a gateway was put in or out. */
export interface BalancerChange {
  readonly node: string
  /** Monotonic clock in milliseconds. */
  readonly at: number
  readonly isIn: boolean
}

/** A running balancer. */
export interface SoakBalancer {
  /** Chooses a gateway for a new connection of a caller in a hall. */
  readonly choose: (hall: number, random: () => number) => soakNode.SoakNode
  readonly isIn: (node: soakNode.SoakNode) => boolean
  readonly changes: readonly BalancerChange[]
  readonly stop: () => void
}

const POLL_MS = 1000
const WAIT_POLL_MS = 50
const MISSES = 2
const OK = 200

/**
 * Starts the balancer.
 *
 * @param fleet - The fleet.
 * @returns The balancer, to which no gateway is in yet.
 */
export function startSoakBalancer (fleet: gatewaySoakFleet.GatewaySoakFleet): SoakBalancer {
  const gateways = fleet.nodes.filter(({ role }) => role === 'gateway')
  const misses = new Map(gateways.map(({ node }) => [node, MISSES]))
  const changes: BalancerChange[] = []
  const isIn = ({ node }: soakNode.SoakNode): boolean => (misses.get(node) ?? MISSES) < MISSES

  async function ask (node: soakNode.SoakNode): Promise<void> {
    const { host, port } = fleet.readinessAddressOf(node)
    let isReady = false
    try {
      const { statusCode } = await got.got(`http://${host}:${port}${platform.READINESS_PATH}`, { throwHttpErrors: false, retry: { limit: 0 }, timeout: { request: POLL_MS } })
      isReady = statusCode === OK
    } catch {
      // No answer counts as a miss.
    }
    const wasIn = isIn(node)
    misses.set(node.node, isReady ? 0 : (misses.get(node.node) ?? 0) + 1)
    if (isIn(node) !== wasIn) changes.push({ node: node.node, at: performance.now(), isIn: isIn(node) })
  }

  const timers = gateways.map((node) => setInterval(() => { void ask(node) }, POLL_MS))
  return {
    choose: (hall, random) => {
      const ofHall = gateways.filter((node) => node.hall === hall)
      const inOfHall = ofHall.filter(isIn)
      const inAnywhere = gateways.filter(isIn)
      const candidates = inOfHall.length * 2 >= ofHall.length ? inOfHall : inOfHall.length > 0 || inAnywhere.length === 0 ? ofHall : inAnywhere
      return candidates[Math.floor(random() * candidates.length)] as soakNode.SoakNode
    },
    isIn,
    changes,
    stop: () => { for (const timer of timers) clearInterval(timer) }
  }
}

/** Whether a gateway was in at a time. */
export function wasIn (changes: readonly BalancerChange[], node: string, at: number): boolean {
  return changes.filter((change) => change.node === node && change.at <= at).at(-1)?.isIn ?? false
}

/** Waits until a gateway is in, or until a time limit is over; tells whether it is. */
export async function waitUntilIn (balancer: SoakBalancer, node: soakNode.SoakNode, timeoutMs: number): Promise<boolean> {
  const endsAt = performance.now() + timeoutMs
  while (!balancer.isIn(node) && performance.now() < endsAt) await types.delay(WAIT_POLL_MS)
  return balancer.isIn(node)
}
