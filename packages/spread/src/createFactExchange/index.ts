/**
 * Spreads small facts that never change to all gateways: at once where datagrams arrive, and by comparing what two gateways know where they don't, also after
 * a restart or a cut network. Nobody keeps them but the gateways themselves.
 */
import * as factWire from '../_lib/factWire.js'
import * as hashes from '../_lib/hashes.js'

/** Another gateway that lives. */
export interface FactPeer {
  readonly host: string
  readonly zone: string
}

/** Options of {@link createFactExchange}. */
export interface FactExchangeOptions {
  readonly zone: string
  readonly peers: () => readonly FactPeer[]
  readonly send: (host: string, bytes: Buffer) => void
  /** Told once of each fact of others; `madeAt` by this process's clock. */
  readonly onFact: (content: unknown, madeAt: number) => void
  /** Counts a datagram that can't be read. */
  readonly onDrop: () => void
  /** Calls later, unless the exchange was stopped. */
  readonly later: (delayMs: number, action: () => void) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Random number from 0 to 1. */
  readonly random: () => number
}

/** The exchange of one gateway. */
export interface FactExchange {
  /**
   * Tells all gateways a fact.
   *
   * @param content - What JSON can hold, some hundred bytes at most.
   * @param keptMs - Milliseconds for which it is remembered.
   * @param ageMs - Milliseconds since it was made.
   */
  readonly tell: (content: unknown, keptMs: number, ageMs?: number) => void
  /** Takes a datagram; false if it is none of this exchange. */
  readonly receive: (bytes: Buffer, from: string) => boolean
  /** To be called some times a second. */
  readonly tick: () => void
  readonly count: () => number
}

interface Fact {
  readonly id: string
  readonly content: unknown
  readonly madeAt: number
  readonly keptMs: number
  readonly hash: number
}

/** Facts that follow each other closely are told together, as calls that were lost with one back end are noticed. */
const MERGE_MS = 10
/** Two gateways compare what they know so often: each one asks another one, and is asked once on the mean. */
const COMPARE_MS = 500
/** A gateway that has just started asks more often, until it hears anything or so long. */
const START_COMPARE_MS = 250
const START_MS = 10_000
/** Part of the comparisons within the own hall, whose network is not cut as easily. */
const NEAR_PART = 0.5
/** Datagrams of facts that follow a comparison: those that are kept longest, of which the newest are missing most often, and some of the others by turns. */
const REPAIR_DATAGRAMS = 2
/** The same for a gateway that knows less than half as much, as after a restart or a cut: 10 KB. */
const CATCH_UP_DATAGRAMS = 8
const CATCH_UP_PART = 0.5
/** Facts that are nearly forgotten are not compared: another gateway may have forgotten them already. Nor are those that may still be under way. */
const FORGETTING_MS = 3000
const UNDER_WAY_MS = 250
/** Tells the lives of a few hundred gateways apart. */
const PREFIX_SIZE = 36 ** 6
/** Facts that are remembered, some 300 bytes each; those that would be forgotten first give way. */
export const MAXIMUM_FACTS = 1000
/** No fact is kept longer, whatever its datagram says. */
const MAXIMUM_KEPT_MS = 7 * 24 * 3_600_000
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
  /** Ids of this life's facts begin with it; another life counts from one again. */
  const idPrefix = Math.floor(random() * PREFIX_SIZE).toString(36)
  let made = 0
  let comparedAt = -Infinity
  let expiredAt = now()
  let repairFrom = 0
  let toTell: Fact[] = []
  let toForward: Fact[] = []

  function isKept ({ madeAt, keptMs }: Fact): boolean {
    return now() - madeAt < keptMs
  }

  function add (fact: Fact): boolean {
    if (facts.has(fact.id) || !isKept(fact)) return false
    facts.set(fact.id, fact)
    if (facts.size > MAXIMUM_FACTS) dropFirst()
    return true
  }

  function endOf ({ madeAt, keptMs }: Fact): number {
    return madeAt + keptMs
  }

  function dropFirst (): void {
    let first: Fact | null = null
    for (const fact of facts.values()) if (first === null || endOf(fact) < endOf(first)) first = fact
    if (first !== null) facts.delete(first.id)
  }

  function expire (): void {
    if (now() - expiredAt < EXPIRE_MS) return
    expiredAt = now()
    for (const fact of facts.values()) if (!isKept(fact)) facts.delete(fact.id)
  }

  function isCompared (fact: Fact): boolean {
    return now() - fact.madeAt > UNDER_WAY_MS && endOf(fact) - now() > FORGETTING_MS
  }

  function computeDigest (): number {
    let hash = 0
    for (const fact of facts.values()) if (isCompared(fact)) hash = (hash ^ fact.hash) >>> 0
    return hash
  }

  function format (told: readonly Fact[]): Buffer[] {
    return factWire.formatFacts(told.map(({ id, madeAt, keptMs, content }) => ({ id, keptMs, content, ageMs: now() - madeAt }))).map((text) => Buffer.from(text))
  }

  function sendAll (hosts: readonly string[], told: readonly Fact[]): void {
    const datagrams = format(told)
    for (const host of hosts) for (const datagram of datagrams) options.send(host, datagram)
  }

  function listNear (): string[] {
    return options.peers().filter(({ zone }) => zone === options.zone).map(({ host }) => host)
  }

  /** One of each other hall, another one each time, which tells its hall; where its datagram is lost, comparisons make up for it. */
  function listHearers (): string[] {
    const halls = new Map<string, string[]>()
    for (const { host, zone } of options.peers()) if (zone !== options.zone) halls.set(zone, [...halls.get(zone) ?? [], host])
    return [...halls.values()].map((hosts) => hosts[Math.floor(random() * hosts.length)] as string)
  }

  function flushTold (): void {
    const told = toTell
    toTell = []
    sendAll([...listNear(), ...listHearers()], told)
  }

  function flushForwarded (): void {
    const told = toForward
    toForward = []
    sendAll(listNear(), told)
  }

  function noteFacts (told: readonly factWire.FactTold[], from: string): void {
    const isNear = options.peers().some(({ host, zone }) => host === from && zone === options.zone)
    for (const { id, ageMs, keptMs, content } of told) {
      const fact = { id, content, madeAt: now() - ageMs, keptMs: Math.min(keptMs, MAXIMUM_KEPT_MS), hash: hashes.hashMixed(id) }
      if (!add(fact)) continue
      if (!isNear) forward(fact)
      options.onFact(content, fact.madeAt)
    }
  }

  /** What comes from another hall, others of the own one may not have heard. */
  function forward (fact: Fact): void {
    if (toForward.length === 0) options.later(MERGE_MS, flushForwarded)
    toForward.push(fact)
  }

  /** Those facts that are kept longest, and some of all others; the next comparison goes on where this one ends. */
  function repair (host: string, count: number): void {
    const [first, ...others] = format([...facts.values()].sort((left, right) => endOf(right) - endOf(left)))
    if (first === undefined) return
    const most = (count < facts.size * CATCH_UP_PART ? CATCH_UP_DATAGRAMS : REPAIR_DATAGRAMS) - 1
    const start = others.length <= most ? 0 : repairFrom % others.length
    repairFrom = start + most
    for (const datagram of [first, ...[...others.slice(start), ...others.slice(0, start)].slice(0, most)]) options.send(host, datagram)
  }

  function noteDigest ({ hash, count, isAsking }: factWire.FactMessage & { type: 'digest' }, from: string): void {
    if (hash === computeDigest()) return
    repair(from, count)
    if (isAsking) sendDigest(from, false)
  }

  function sendDigest (host: string, isAsking: boolean): void {
    options.send(host, Buffer.from(factWire.formatDigest(computeDigest(), facts.size, isAsking)))
  }

  function compare (): void {
    const isStarting = facts.size === 0 && now() - startedAt < START_MS
    if (facts.size === 0 && !isStarting) return
    if (now() - comparedAt < (isStarting ? START_COMPARE_MS : COMPARE_MS)) return
    const peers = options.peers()
    const near = peers.filter(({ zone }) => zone === options.zone)
    const among = near.length > 0 && random() < NEAR_PART ? near : peers
    const peer = among[Math.floor(random() * among.length)]
    if (peer === undefined) return
    comparedAt = now()
    sendDigest(peer.host, true)
  }

  return {
    tell: (content, keptMs, ageMs = 0) => {
      made += 1
      const id = `${idPrefix}/${made}`
      const fact = { id, content, madeAt: now() - ageMs, keptMs, hash: hashes.hashMixed(id) }
      if (!add(fact)) return
      if (toTell.length === 0) options.later(MERGE_MS, flushTold)
      toTell.push(fact)
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
