/** Computes send intervals that keep the control traffic of a daemon within a bound, however large its hall and the fleet are. */

/** Numbers of members that a daemon knows. */
export interface FleetSize {
  /** Members of the own hall, this daemon included. */
  readonly gateways: number
  readonly agents: number
  /** Members of all other halls. */
  readonly farGateways: number
  readonly farAgents: number
}

/** Milliseconds between two datagrams of a kind. */
export interface Intervals {
  /** Heartbeats within the hall. */
  readonly heartbeatMs: number
  /** Keepalives within the hall: the longest time between two datagrams to a member. */
  readonly keepaliveMs: number
  /** Engine reports of an agent to the gateways of its hall, or to its relays. */
  readonly engineReportMs: number
  /** Rounds in which the relays of a relayed hall send updates of its members to the hall itself, both relays together. */
  readonly hallRoundMs: number
  /** Digests of a hall to another one, both relays together. */
  readonly digestMs: number
}

/** Bytes per second that control traffic may take in each direction of one daemon, headers included: the platform's bound is 16 KB. */
export const CONTROL_BYTES_PER_SECOND = 16_384
/** Part of the budget reserved for immediate messages: changes, pauses, suspicions, and answers to new members. */
export const IMMEDIATE_BYTES_PER_SECOND = 2400
/** Share of the periodic traffic that each kind gets when all need more; what one kind leaves unused goes to the others. */
const BUDGET_SHARES = { heartbeat: 0.19, engineReport: 0.512, digest: 0.298 }
/** Shortest intervals, used while the budget allows: engine reports arrive within 500 ms in the hall, and within 1 s (350 + 640 ms with 73 members) in other halls. */
const HEARTBEAT_MS = 1000
const ENGINE_REPORT_MS = 350
/** The same in a relayed hall, where a report is at most 500 ms old too: 290 ms until it is sent to a relay, and 190 ms until the next round of a relay. */
const RELAYED_ENGINE_REPORT_MS = 290
const HALL_ROUND_MS = 190
const DIGEST_MS = 600
/**
 * Time between keepalives: 60 ms for each member, from 500 to 1500 ms. In a small hall keepalives are sent between heartbeats, so that lost heartbeats
 * matter less; in a large hall they are sent only where heartbeats are rare.
 */
const KEEPALIVE_MINIMUM_MS = 500
const KEEPALIVE_MEMBER_MS = 60
const KEEPALIVE_MS = 1500
/** Keepalives to all members take two kilobytes a second at most; in a hall of more than 85 they become rarer. */
const KEEPALIVES_PER_SECOND = 57
/** Sizes in bytes with IP and UDP headers, for names and addresses of 15 characters. */
const GATEWAY_HEARTBEAT_BYTES = 240
const AGENT_HEARTBEAT_BYTES = 262
const ENGINE_REPORT_BYTES = 88
/** Update about a member that a relay sends to its own hall, with its share of the datagram's header. */
const AGENT_UPDATE_BYTES = 70
const GATEWAY_UPDATE_BYTES = 24
const KEEPALIVE_BYTES = 35
/** A member in a digest to other halls, with its share of the datagram's header. */
const FAR_AGENT_BYTES = 114
const FAR_GATEWAY_BYTES = 55
/** Budget shares of a relay, which sends no engine reports. */
const RELAY_SHARES = { heartbeat: 0.3, engineReport: 0, digest: 0.7 }
/** Budget shares of a relay of a relayed hall, which receives the engine reports of the hall and forwards them. */
const RELAYED_RELAY_SHARES = { heartbeat: 0.1, engineReport: 0.55, digest: 0.35 }
/** Each of the two relays receives every second round of the other one. */
const OTHER_RELAY_ROUNDS_FRACTION = 0.5
/** Agents get every second digest. */
const AGENT_DIGEST_FACTOR = 0.5
/** A relay forwards every second digest that reaches its hall, and sends every second digest of its own hall to all others; the extra tenth covers its keepalives. */
const RELAY_DIGEST_FACTOR = 1.1
/** Longer heartbeat intervals require more engine reports and keepalives, so the intervals are computed repeatedly; the third pass changes little. */
const PASSES = 3
const MS_IN_SECOND = 1000

interface Demand {
  readonly bytesPerSecond: number
  /** Relative share of the kind while the bytes do not suffice for all. */
  readonly part: number
}

/** Computes the factor by which the interval of each kind has to grow; what a kind leaves of its share is divided among the others. */
function computeStretchFactors (demands: readonly Demand[], bytesPerSecond: number): number[] {
  const factors = demands.map(() => 1)
  let unsatisfied = demands.map((demand, at) => ({ ...demand, at })).filter((demand) => demand.bytesPerSecond > 0)
  let remaining = bytesPerSecond
  while (unsatisfied.length > 0) {
    const shares = unsatisfied.reduce((sum, demand) => sum + demand.part, 0)
    const computeAllowance = (demand: Demand): number => remaining * demand.part / shares
    const satisfied = unsatisfied.filter((demand) => demand.bytesPerSecond <= computeAllowance(demand))
    if (satisfied.length === 0) {
      for (const demand of unsatisfied) factors[demand.at] = demand.bytesPerSecond / computeAllowance(demand)
      break
    }
    remaining -= satisfied.reduce((sum, demand) => sum + demand.bytesPerSecond, 0)
    unsatisfied = unsatisfied.filter((demand) => !satisfied.includes(demand))
  }
  return factors
}

/**
 * Maximum number of gateways of a hall whose members exchange datagrams directly. In a hall with more, members reach each other through relays,
 * since a wake-up costs more than the bytes of its datagram. With direct datagrams among 183 daemons in five halls, a gateway received 80 datagrams
 * a second, and an agent received 37 and sent 78, on a simulated network; with relays these figures are 31, 10 and 16.
 */
export const DIRECT_GATEWAYS = 14
/** Time between two keepalives to the relays of a relayed hall. */
export const RELAYED_KEEPALIVE_MS = 1000
/** Members take turns in forwarding rounds, so some send well over the mean: the mean may use only this fraction, so that the busiest member stays within the bound too. */
const FORWARDING_FRACTION = 0.78
/** Time between two rounds that inform all members of a relayed hall of all others. */
export const FULL_ROUND_MS = 1000

/**
 * Tells whether members of a hall learn of each other through its relays.
 *
 * @param gateways - Live gateways of the hall, this daemon included if it is one.
 * @returns True in large halls.
 */
export function isRelayed (gateways: number): boolean {
  return gateways > DIRECT_GATEWAYS
}

/**
 * Computes the send intervals.
 *
 * @param size - Members of the hall and of the others.
 * @returns The intervals in milliseconds, equal on daemons of a hall that know the same members.
 */
export function computeIntervals (size: FleetSize): Intervals {
  const periodicBytes = CONTROL_BYTES_PER_SECOND - IMMEDIATE_BYTES_PER_SECOND
  const members = size.gateways + size.agents
  if (isRelayed(size.gateways)) return computeRelayedIntervals(size, periodicBytes * FORWARDING_FRACTION)
  const keepaliveMs = Math.max(KEEPALIVE_MINIMUM_MS, Math.min(KEEPALIVE_MS, members * KEEPALIVE_MEMBER_MS), members * MS_IN_SECOND / KEEPALIVES_PER_SECOND)
  let intervals = computeDirectIntervals(size, keepaliveMs, periodicBytes, HEARTBEAT_MS)
  for (let pass = 0; pass < PASSES; pass += 1) {
    const keepalives = intervals.heartbeatMs <= keepaliveMs ? 0 : members * KEEPALIVE_BYTES * MS_IN_SECOND / keepaliveMs
    intervals = computeDirectIntervals(size, keepaliveMs, periodicBytes - keepalives, intervals.heartbeatMs)
  }
  return intervals
}

function computeDirectIntervals (size: FleetSize, keepaliveMs: number, bytesPerSecond: number, heartbeatMs: number): Intervals {
  const heartbeats = (size.gateways * GATEWAY_HEARTBEAT_BYTES + size.agents * AGENT_HEARTBEAT_BYTES) * MS_IN_SECOND / HEARTBEAT_MS
  const digests = (size.farAgents * FAR_AGENT_BYTES + size.farGateways * FAR_GATEWAY_BYTES) * MS_IN_SECOND / DIGEST_MS
  // One entry each for a gateway, an agent and a relay: the role that needs the longest interval of a kind decides.
  const computeRoleFactors = (reports: number, digestFactor: number, shares: typeof BUDGET_SHARES): number[] => computeStretchFactors([
    { bytesPerSecond: heartbeats, part: shares.heartbeat },
    { bytesPerSecond: reports, part: shares.engineReport },
    { bytesPerSecond: digests * digestFactor, part: shares.digest }
  ], bytesPerSecond)
  const roleFactors = [
    computeRoleFactors(computeReportBytes(size.agents, heartbeatMs), 1, BUDGET_SHARES),
    computeRoleFactors(computeReportBytes(size.gateways, heartbeatMs), AGENT_DIGEST_FACTOR, BUDGET_SHARES),
    computeRoleFactors(0, RELAY_DIGEST_FACTOR, RELAY_SHARES)
  ]
  const findLargestFactor = (at: number): number => Math.max(...roleFactors.map((factors) => factors[at] ?? 1))
  return { heartbeatMs: HEARTBEAT_MS * findLargestFactor(0), keepaliveMs, engineReportMs: ENGINE_REPORT_MS * findLargestFactor(1), hallRoundMs: Infinity, digestMs: DIGEST_MS * findLargestFactor(2) }
}

/** In a relayed hall, rare heartbeats go to all members; keepalives and engine reports go to the relays, which forward them in rounds. */
function computeRelayedIntervals (size: FleetSize, bytesPerSecond: number): Intervals {
  const heartbeats = (size.gateways * GATEWAY_HEARTBEAT_BYTES + size.agents * AGENT_HEARTBEAT_BYTES) * MS_IN_SECOND / HEARTBEAT_MS
  const digests = (size.farAgents * FAR_AGENT_BYTES + size.farGateways * FAR_GATEWAY_BYTES) * MS_IN_SECOND / DIGEST_MS
  const fullRounds = (size.agents * AGENT_UPDATE_BYTES + size.gateways * GATEWAY_UPDATE_BYTES) * MS_IN_SECOND / FULL_ROUND_MS
  const gatewayUpdates = size.gateways * GATEWAY_UPDATE_BYTES * MS_IN_SECOND / RELAYED_KEEPALIVE_MS
  const rounds = size.agents * AGENT_UPDATE_BYTES * MS_IN_SECOND / HALL_ROUND_MS
  const engineReports = size.agents * ENGINE_REPORT_BYTES * MS_IN_SECOND / RELAYED_ENGINE_REPORT_MS
  // One entry each for a gateway, an agent and a relay, as for direct datagrams; `fixed` bytes are not stretched.
  const computeRoleFactors = (reports: number, fixed: number, digestFactor: number, shares: typeof BUDGET_SHARES): number[] => computeStretchFactors([
    { bytesPerSecond: heartbeats, part: shares.heartbeat },
    { bytesPerSecond: reports, part: shares.engineReport },
    { bytesPerSecond: digests * digestFactor, part: shares.digest }
  ], bytesPerSecond - fixed)
  const roleFactors = [
    computeRoleFactors(rounds, gatewayUpdates, 1, BUDGET_SHARES),
    computeRoleFactors(0, fullRounds, AGENT_DIGEST_FACTOR, RELAY_SHARES),
    computeRoleFactors(engineReports + rounds * OTHER_RELAY_ROUNDS_FRACTION, gatewayUpdates * OTHER_RELAY_ROUNDS_FRACTION + size.gateways * KEEPALIVE_BYTES * MS_IN_SECOND / RELAYED_KEEPALIVE_MS, RELAY_DIGEST_FACTOR, RELAYED_RELAY_SHARES)
  ]
  const findLargestFactor = (at: number): number => Math.max(...roleFactors.map((factors) => factors[at] ?? 1))
  return { heartbeatMs: HEARTBEAT_MS * findLargestFactor(0), keepaliveMs: KEEPALIVE_MS, engineReportMs: RELAYED_ENGINE_REPORT_MS * findLargestFactor(1), hallRoundMs: HALL_ROUND_MS * findLargestFactor(1), digestMs: DIGEST_MS * findLargestFactor(2) }
}

/** Computes the bytes per second of engine reports that a gateway gets from so many agents, or an agent sends to so many gateways, beyond those in heartbeats. */
function computeReportBytes (members: number, heartbeatMs: number): number {
  return members * ENGINE_REPORT_BYTES * (MS_IN_SECOND / ENGINE_REPORT_MS - MS_IN_SECOND / Math.max(heartbeatMs, ENGINE_REPORT_MS))
}
