/**
 * Distributes small immutable facts to all gateways: by immediate datagrams, and by anti-entropy, in which pairs of gateways compare what they know, for
 * datagrams that were lost and after a restart or a network partition. The facts are stored nowhere but in the memory of the gateways.
 */
import * as factWire from '../_lib/factWire.js'
import * as hashes from '../_lib/hashes.js'

/** Another live gateway. */
export interface FactPeer {
  readonly host: string
  readonly zone: string
}

/** Options of {@link createFactExchange}. */
export interface FactExchangeOptions {
  readonly zone: string
  readonly peers: () => readonly FactPeer[]
  readonly send: (host: string, bytes: Buffer) => void
  /** Called once for each fact of others; `createdAt` is a time of this process's monotonic clock in milliseconds. */
  readonly onFact: (content: unknown, createdAt: number) => void
  /** Called for each malformed datagram. */
  readonly onDrop: () => void
  /** Runs an action after a delay, unless the exchange was stopped. */
  readonly schedule: (delayMs: number, action: () => void) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Random number from 0 to 1. */
  readonly random: () => number
}

/** The fact exchange of one gateway. */
export interface FactExchange {
  /**
   * Sends a fact to all gateways.
   *
   * @param content - A JSON value, some hundred bytes at most.
   * @param ttlMs - Milliseconds from its creation until it expires.
   * @param ageMs - Milliseconds since its creation.
   */
  readonly publish: (content: unknown, ttlMs: number, ageMs?: number) => void
  /** Handles a datagram; returns false if it does not belong to this exchange. */
  readonly receive: (bytes: Buffer, from: string) => boolean
  /** Expires facts and starts comparisons; to be called some times a second. */
  readonly tick: () => void
  /** Number of stored facts. */
  readonly count: () => number
}

interface Fact {
  readonly id: string
  readonly content: unknown
  /** Monotonic time in milliseconds. */
  readonly createdAt: number
  readonly ttlMs: number
  readonly hash: number
}

/** Facts that follow each other closely are sent together, such as those of the calls lost with one back end. */
const BATCH_MS = 10
/** Time between two comparisons that a gateway starts with another one; on average it also answers one in this time. */
const COMPARE_MS = 500
/** A gateway that has just started compares more often, until it knows any fact or for so long. */
const START_COMPARE_MS = 250
const START_MS = 10_000
/** Fraction of the comparisons within the own hall, whose network is less easily cut. */
const OWN_HALL_FRACTION = 0.5
/** Datagrams of facts sent after a comparison: one of those that expire last, among which are the newest, which are missing most often; the others rotate. */
const REPAIR_DATAGRAMS = 2
/** The same for a gateway that knows less than half as many facts, as after a restart or a partition: 10 KB. */
const CATCH_UP_DATAGRAMS = 8
const CATCH_UP_FRACTION = 0.5
/** Facts that expire soon are not compared, since they may have expired on another gateway; nor are facts that may still be in transit. */
const EXPIRING_MS = 3000
const IN_TRANSIT_MS = 250
/** Number of id prefixes, enough to distinguish the incarnations of a few hundred gateways. */
const PREFIX_SIZE = 36 ** 6
/** Facts that are stored, some 300 bytes each; beyond them, the fact that expires first is evicted. */
export const MAXIMUM_FACTS = 1000
/** No fact is stored longer, whatever its datagram states. */
const MAXIMUM_TTL_MS = 7 * 24 * 3_600_000
const EXPIRE_MS = 1000

/**
 * Creates an exchange without facts.
 *
 * @param options - Peers, network and clock.
 * @returns The exchange.
 */
export function createFactExchange (options: FactExchangeOptions): FactExchange {
  const { now, random } = options
  const facts = new Map<string, Fact>()
  const startedAt = now()
  /** Prefix of the ids of this incarnation's facts, since each incarnation counts from one. */
  const idPrefix = Math.floor(random() * PREFIX_SIZE).toString(36)
  let createdCount = 0
  let comparedAt = -Infinity
  let expiredAt = now()
  let repairFrom = 0
  let pendingOwn: Fact[] = []
  let pendingForwarded: Fact[] = []

  function isUnexpired ({ createdAt, ttlMs }: Fact): boolean {
    return now() - createdAt < ttlMs
  }

  function add (fact: Fact): boolean {
    if (facts.has(fact.id) || !isUnexpired(fact)) return false
    facts.set(fact.id, fact)
    return true
  }

  function computeExpiry ({ createdAt, ttlMs }: Fact): number {
    return createdAt + ttlMs
  }

  /** Evicts what is beyond the maximum after all facts of a datagram were added, so that the work is not that of their product. */
  function evictEarliestExpiries (): void {
    if (facts.size <= MAXIMUM_FACTS) return
    const byExpiry = [...facts.values()].sort((left, right) => computeExpiry(left) - computeExpiry(right))
    for (const { id } of byExpiry.slice(0, facts.size - MAXIMUM_FACTS)) facts.delete(id)
  }

  function expire (): void {
    if (now() - expiredAt < EXPIRE_MS) return
    expiredAt = now()
    for (const fact of facts.values()) if (!isUnexpired(fact)) facts.delete(fact.id)
  }

  function isCompared (fact: Fact): boolean {
    return now() - fact.createdAt > IN_TRANSIT_MS && computeExpiry(fact) - now() > EXPIRING_MS
  }

  function computeDigest (): number {
    let hash = 0
    for (const fact of facts.values()) if (isCompared(fact)) hash = (hash ^ fact.hash) >>> 0
    return hash
  }

  function format (sent: readonly Fact[]): Buffer[] {
    return factWire.formatFacts(sent.map(({ id, createdAt, ttlMs, content }) => ({ id, ttlMs, content, ageMs: now() - createdAt }))).map((text) => Buffer.from(text))
  }

  function sendAll (hosts: readonly string[], sent: readonly Fact[]): void {
    const datagrams = format(sent)
    for (const host of hosts) for (const datagram of datagrams) options.send(host, datagram)
  }

  function listOwnHallHosts (): string[] {
    return options.peers().filter(({ zone }) => zone === options.zone).map(({ host }) => host)
  }

  /** Picks a random gateway of each other hall, which forwards to its hall; comparisons make up for a lost datagram. */
  function pickOtherHallHosts (): string[] {
    const halls = new Map<string, string[]>()
    for (const { host, zone } of options.peers()) if (zone !== options.zone) halls.set(zone, [...halls.get(zone) ?? [], host])
    return [...halls.values()].map((hosts) => hosts[Math.floor(random() * hosts.length)] as string)
  }

  function sendOwn (): void {
    const sent = pendingOwn
    pendingOwn = []
    sendAll([...listOwnHallHosts(), ...pickOtherHallHosts()], sent)
  }

  function sendForwarded (): void {
    const sent = pendingForwarded
    pendingForwarded = []
    sendAll(listOwnHallHosts(), sent)
  }

  function noteFacts (received: readonly factWire.WireFact[], from: string): void {
    const isNear = options.peers().some(({ host, zone }) => host === from && zone === options.zone)
    for (const { id, ageMs, ttlMs, content } of received) {
      const fact = { id, content, createdAt: now() - ageMs, ttlMs: Math.min(ttlMs, MAXIMUM_TTL_MS), hash: hashes.hash32(id) }
      if (!add(fact)) continue
      if (!isNear) forward(fact)
      options.onFact(content, fact.createdAt)
    }
    evictEarliestExpiries()
  }

  /** Forwards a fact from another hall to the own hall, where other gateways may not have received it. */
  function forward (fact: Fact): void {
    if (pendingForwarded.length === 0) options.schedule(BATCH_MS, sendForwarded)
    pendingForwarded.push(fact)
  }

  /** Sends the facts that expire last, and some of the others; the next repair continues where this one ends. */
  function repair (host: string, count: number): void {
    const [first, ...others] = format([...facts.values()].sort((left, right) => computeExpiry(right) - computeExpiry(left)))
    if (first === undefined) return
    const maximumMore = (count < facts.size * CATCH_UP_FRACTION ? CATCH_UP_DATAGRAMS : REPAIR_DATAGRAMS) - 1
    const start = others.length <= maximumMore ? 0 : repairFrom % others.length
    repairFrom = start + maximumMore
    for (const datagram of [first, ...[...others.slice(start), ...others.slice(0, start)].slice(0, maximumMore)]) options.send(host, datagram)
  }

  function noteDigest ({ hash, count, expectsReply }: factWire.FactMessage & { type: 'digest' }, from: string): void {
    if (hash === computeDigest()) return
    repair(from, count)
    if (expectsReply) sendDigest(from, false)
  }

  function sendDigest (host: string, expectsReply: boolean): void {
    options.send(host, Buffer.from(factWire.formatFactDigest(computeDigest(), facts.size, expectsReply)))
  }

  function compare (): void {
    const isStarting = facts.size === 0 && now() - startedAt < START_MS
    if (facts.size === 0 && !isStarting) return
    if (now() - comparedAt < (isStarting ? START_COMPARE_MS : COMPARE_MS)) return
    const peers = options.peers()
    const near = peers.filter(({ zone }) => zone === options.zone)
    const among = near.length > 0 && random() < OWN_HALL_FRACTION ? near : peers
    const peer = among[Math.floor(random() * among.length)]
    if (peer === undefined) return
    comparedAt = now()
    sendDigest(peer.host, true)
  }

  return {
    publish: (content, ttlMs, ageMs = 0) => {
      createdCount += 1
      const id = `${idPrefix}/${createdCount}`
      const fact = { id, content, createdAt: now() - ageMs, ttlMs, hash: hashes.hash32(id) }
      if (!add(fact)) return
      evictEarliestExpiries()
      if (pendingOwn.length === 0) options.schedule(BATCH_MS, sendOwn)
      pendingOwn.push(fact)
    },
    receive: (bytes, from) => {
      if (!factWire.isFactDatagram(bytes)) return false
      const message = factWire.decodeFacts(bytes)
      if (message === null) options.onDrop()
      else if (message.type === 'facts') noteFacts(message.facts, from)
      else noteDigest(message, from)
      return true
    },
    tick: () => {
      expire()
      compare()
    },
    count: () => facts.size
  }
}
