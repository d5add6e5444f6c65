/** How often a daemon tells what, so that its bytes stay within a bound however large its hall and the fleet are. */

/** Members that a daemon knows. */
export interface FleetSize {
  /** Of the own hall, this daemon included. */
  readonly gateways: number
  readonly agents: number
  /** Of all other halls. */
  readonly farGateways: number
  readonly farAgents: number
}

/** Milliseconds between two tellings. */
export interface Intervals {
  /** Whole heartbeats within the hall. */
  readonly heartbeatMs: number
  /** Signs of life within the hall: the longest time between two datagrams to a member. */
  readonly signMs: number
  /** News of an engine to gateways of its hall, or to those that speak for it. */
  readonly newsMs: number
  /** Rounds in which those that speak for a relayed hall tell its own members of each other, by both relays together. */
  readonly roundMs: number
  /** Digests of a hall to another one, by both relays together. */
  readonly digestMs: number
}

/** Bytes a second in, and out, of one daemon for control, headers included: the platform's bound is 16 KB. */
export const CONTROL_BYTES_PER_SECOND = 16_384
/** Kept for what is told at once: changes, pauses, suspicions, and answers to newcomers. */
export const AT_ONCE_BYTES_PER_SECOND = 2400
/** Parts of the regular bytes that each kind keeps when all want more; what one kind leaves goes to the others. */
const PARTS = { heartbeat: 0.19, news: 0.512, digest: 0.298 }
/** Intervals while the bytes allow them: reports within 500 ms in the hall, within 1 s (350 + 640 ms at a site of 73) between halls. */
const HEARTBEAT_MS = 1000
const NEWS_MS = 350
/** In a relayed hall, so that a report is no older than 500 ms there either: 290 to a relay and 190 until its next round. */
const RELAYED_NEWS_MS = 290
const ROUND_MS = 190
const DIGEST_MS = 600
/** In a small hall signs come between heartbeats, so that lost ones matter less; in a large one only where heartbeats are rare. */
const SIGN_SHORTEST_MS = 500
const SIGN_MEMBER_MS = 60
const SIGN_MS = 1500
/** Two kilobytes a second of signs; in a hall of more than 85 they become rarer. */
const SIGN_MEMBERS_PER_SECOND = 57
/** Bytes with headers of IP and UDP, with names and addresses of 15 characters. */
const GATEWAY_HEARTBEAT_BYTES = 240
const AGENT_HEARTBEAT_BYTES = 262
const NEWS_BYTES = 88
/** A member as its own hall is told of it, with its part of the datagram's head. */
const TOLD_AGENT_BYTES = 70
const TOLD_GATEWAY_BYTES = 24
/** A sign of life. */
const SIGN_BYTES = 35
const FAR_AGENT_BYTES = 114
const FAR_GATEWAY_BYTES = 55
/** The same of a relay, which tells no news. */
const RELAY_PARTS = { heartbeat: 0.3, news: 0, digest: 0.7 }
/** The same of a relay that hears the news of its hall and passes them on. */
const RELAYED_RELAY_PARTS = { heartbeat: 0.1, news: 0.55, digest: 0.35 }
/** Each of two relays hears every second round of the other one. */
const OTHER_ROUNDS_PART = 0.5
/** Agents get every second digest. */
const AGENT_DIGEST_FACTOR = 0.5
/** A relay passes on every second digest that comes to its hall, and sends every second one of its own hall to all others; a tenth for its signs of life. */
const RELAY_DIGEST_FACTOR = 1.1
/** Heartbeats that are further apart carry less news, and signs come between them: the third pass changes little. */
const PASSES = 3
const MS_IN_SECOND = 1000

interface Wish {
  readonly bytesPerSecond: number
  readonly part: number
}

/** By how much each kind has to be told less often: what a kind does not need of its part is shared by the others. */
function stretch (wishes: readonly Wish[], bytesPerSecond: number): number[] {
  const factors = wishes.map(() => 1)
  let open = wishes.map((wish, at) => ({ ...wish, at })).filter((wish) => wish.bytesPerSecond > 0)
  let left = bytesPerSecond
  while (open.length > 0) {
    const parts = open.reduce((sum, wish) => sum + wish.part, 0)
    const shareOf = (wish: Wish): number => left * wish.part / parts
    const met = open.filter((wish) => wish.bytesPerSecond <= shareOf(wish))
    if (met.length === 0) {
      for (const wish of open) factors[wish.at] = wish.bytesPerSecond / shareOf(wish)
      break
    }
    left -= met.reduce((sum, wish) => sum + wish.bytesPerSecond, 0)
    open = open.filter((wish) => !met.includes(wish))
  }
  return factors
}

/**
 * Agents of a hall with more gateways tell them by relays, since every wake-up costs more than its bytes. With everybody telling everybody, a
 * gateway of 183 daemons in five halls took in 80 datagrams a second and an agent 37 and sent 78, in memory; by relays it is 31, 10 and 16.
 */
export const DIRECT_GATEWAYS = 14
/** Signs of life to those that speak for a relayed hall. */
export const RELAYED_SIGN_MS = 1000
/** Members take turns in passing rounds on; the busiest one, which sends well over the mean, stays within its bytes too. */
const PASSED_ON_PART = 0.78
/** So often everybody of a relayed hall hears of everybody. */
export const WHOLE_ROUND_MS = 1000

/**
 * Whether members of a hall hear of each other by its relays.
 *
 * @param gateways - Live gateways of the hall, this daemon included if it is one.
 * @returns True in large halls.
 */
export function isRelayed (gateways: number): boolean {
  return gateways > DIRECT_GATEWAYS
}

/**
 * Works out the intervals.
 *
 * @param size - Members of the hall and of the others.
 * @returns The intervals in milliseconds; daemons of a hall that know the same members get the same ones.
 */
export function computeIntervals (size: FleetSize): Intervals {
  const regular = CONTROL_BYTES_PER_SECOND - AT_ONCE_BYTES_PER_SECOND
  const members = size.gateways + size.agents
  if (isRelayed(size.gateways)) return divideRelayedBytes(size, regular * PASSED_ON_PART)
  const signMs = Math.max(SIGN_SHORTEST_MS, Math.min(SIGN_MS, members * SIGN_MEMBER_MS), members * MS_IN_SECOND / SIGN_MEMBERS_PER_SECOND)
  let intervals = divideBytes(size, signMs, regular, HEARTBEAT_MS)
  for (let pass = 0; pass < PASSES; pass += 1) {
    const signs = intervals.heartbeatMs <= signMs ? 0 : members * SIGN_BYTES * MS_IN_SECOND / signMs
    intervals = divideBytes(size, signMs, regular - signs, intervals.heartbeatMs)
  }
  return intervals
}

function divideBytes (size: FleetSize, signMs: number, bytesPerSecond: number, heartbeatMs: number): Intervals {
  const heartbeats = (size.gateways * GATEWAY_HEARTBEAT_BYTES + size.agents * AGENT_HEARTBEAT_BYTES) * MS_IN_SECOND / HEARTBEAT_MS
  const digests = (size.farAgents * FAR_AGENT_BYTES + size.farGateways * FAR_GATEWAY_BYTES) * MS_IN_SECOND / DIGEST_MS
  const stretchAll = (news: number, digestFactor: number, parts: typeof PARTS): number[] => stretch([
    { bytesPerSecond: heartbeats, part: parts.heartbeat },
    { bytesPerSecond: news, part: parts.news },
    { bytesPerSecond: digests * digestFactor, part: parts.digest }
  ], bytesPerSecond)
  const profiles = [
    stretchAll(newsOf(size.agents, heartbeatMs), 1, PARTS),
    stretchAll(newsOf(size.gateways, heartbeatMs), AGENT_DIGEST_FACTOR, PARTS),
    stretchAll(0, RELAY_DIGEST_FACTOR, RELAY_PARTS)
  ]
  const factor = (at: number): number => Math.max(...profiles.map((factors) => factors[at] ?? 1))
  return { heartbeatMs: HEARTBEAT_MS * factor(0), signMs, newsMs: NEWS_MS * factor(1), roundMs: Infinity, digestMs: DIGEST_MS * factor(2) }
}

/** Whole heartbeats go to everybody, and seldom; signs and news go to those that speak for the hall, and in rounds from them. */
function divideRelayedBytes (size: FleetSize, bytesPerSecond: number): Intervals {
  const heartbeats = (size.gateways * GATEWAY_HEARTBEAT_BYTES + size.agents * AGENT_HEARTBEAT_BYTES) * MS_IN_SECOND / HEARTBEAT_MS
  const digests = (size.farAgents * FAR_AGENT_BYTES + size.farGateways * FAR_GATEWAY_BYTES) * MS_IN_SECOND / DIGEST_MS
  const whole = (size.agents * TOLD_AGENT_BYTES + size.gateways * TOLD_GATEWAY_BYTES) * MS_IN_SECOND / WHOLE_ROUND_MS
  const lives = size.gateways * TOLD_GATEWAY_BYTES * MS_IN_SECOND / RELAYED_SIGN_MS
  const rounds = size.agents * TOLD_AGENT_BYTES * MS_IN_SECOND / ROUND_MS
  const news = size.agents * NEWS_BYTES * MS_IN_SECOND / RELAYED_NEWS_MS
  const stretchAll = (told: number, fixed: number, digestFactor: number, parts: typeof PARTS): number[] => stretch([
    { bytesPerSecond: heartbeats, part: parts.heartbeat },
    { bytesPerSecond: told, part: parts.news },
    { bytesPerSecond: digests * digestFactor, part: parts.digest }
  ], bytesPerSecond - fixed)
  const profiles = [
    stretchAll(rounds, lives, 1, PARTS),
    stretchAll(0, whole, AGENT_DIGEST_FACTOR, RELAY_PARTS),
    stretchAll(news + rounds * OTHER_ROUNDS_PART, lives * OTHER_ROUNDS_PART + size.gateways * SIGN_BYTES * MS_IN_SECOND / RELAYED_SIGN_MS, RELAY_DIGEST_FACTOR, RELAYED_RELAY_PARTS)
  ]
  const factor = (at: number): number => Math.max(...profiles.map((factors) => factors[at] ?? 1))
  return { heartbeatMs: HEARTBEAT_MS * factor(0), signMs: SIGN_MS, newsMs: RELAYED_NEWS_MS * factor(1), roundMs: ROUND_MS * factor(1), digestMs: DIGEST_MS * factor(2) }
}

/** News that a gateway hears of so many agents, or an agent tells so many gateways; heartbeats carry some of it. */
function newsOf (members: number, heartbeatMs: number): number {
  return members * NEWS_BYTES * (MS_IN_SECOND / NEWS_MS - MS_IN_SECOND / Math.max(heartbeatMs, NEWS_MS))
}
