/** Digests of a hall: relays send them to other halls and to their own hall, and members forward them within their hall. */
import * as fleetView from './fleetView.js'
import * as hallCopies from './hallCopies.js'
import * as hashes from './hashes.js'
import type * as heartbeats from './heartbeat.js'
import type * as memberTable from './memberTable.js'
import * as rates from './rates.js'
import * as relays from './relays.js'
import * as wire from './wire.js'

/** Options of {@link createHallRelay}. */
export interface HallRelayOptions {
  readonly ownHost: string
  readonly describeSelf: () => heartbeats.Heartbeat
  readonly find: (host: string) => memberTable.Member | undefined
  readonly getView: () => fleetView.FleetView
  readonly send: (host: string, text: string) => void
  /** Runs an action after a delay, unless the gossip was stopped. */
  readonly schedule: (delayMs: number, action: () => void) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** Sends and forwards digests; a daemon that is no relay only forwards them. */
export interface HallRelay {
  /** Forwards a received digest within the hall; `hasNewContent` tells whether it contains anything that was not known. */
  readonly forwardDigest: (header: wire.DigestHeader, delayMs: number, body: string, hasNewContent: boolean) => void
  /** Sends the digests that are due. */
  readonly tick: () => void
  /** Records that the first relay has begun a digest round: the other relay begins its own one half a period later. */
  readonly noteDigestRound: () => void
  /** Records that another relay has sent updates to the own hall: the next round of this one begins half a period later. */
  readonly noteHallRound: () => void
  /** Announces a new member of the own hall to other halls. */
  readonly announceNewMember: (host: string) => void
  /** Announces the state of a member to other halls at once, if this daemon is a relay. */
  readonly announceMember: (host: string, audience: wire.Audience) => void
  /** Broadcasts a change to the own hall, and on the first relay also to other halls. */
  readonly broadcastChange: (digest: wire.HallDigest) => void
  /** The most recent copies that the own hall holds. */
  readonly collectOwnCopies: () => wire.HallCopies
}

/** Urgent changes of several members, such as paused engines and suspected peers, that reach a relay within this time go to other halls together. */
const RELAY_MERGE_MS = 15
/** New members of a hall within this time are announced to other halls together. */
const NEW_MEMBER_MERGE_MS = 100
/** For this time after a new member, agents get the digests of both relays. */
const NEW_MEMBER_MS = 3000
/** A round begins at a tick, late by up to this time, which does not delay the next one. After a longer gap the schedule restarts. */
const ROUND_LATENESS_MS = 25
/** Members whose digest fits into one datagram; both relays send the same members at the same part of a round. */
const MEMBERS_PER_DATAGRAM = 8

/**
 * Creates the relay.
 *
 * @param options - The daemon, its view and its socket.
 * @returns The relay.
 */
export function createHallRelay (options: HallRelayOptions): HallRelay {
  const { ownHost, getView, send, now } = options
  const urgentHosts = new Map<string, wire.Audience>()
  let knownHalls: ReadonlySet<string> = new Set()
  let newMemberAt = -Infinity
  let nextDigestRoundAt = -Infinity
  let nextHallRoundAt = -Infinity
  let lastHallRoundAt = -Infinity
  let lastFullRoundAt = -Infinity
  let turn = 0

  /** Forwards a digest; the member that it reaches first leaves the whole hall to one other member, so that relays send less. */
  function forwardDigest (header: wire.DigestHeader, delayMs: number, body: string, hasNewContent: boolean): void {
    if (header.audience === 'nobody' || (header.range === null && !hasNewContent)) return
    const audienceHosts = listAudienceHosts(header.audience)
    if (header.range === null) forwardTo(rotateStart(audienceHosts), { ...header, ingressHost: ownHost }, delayMs, body, 1)
    else forwardTo(relays.selectRange(audienceHosts, header.range).filter((host) => host !== header.ingressHost), header, delayMs, body)
  }

  /** Starts at a different member each time, so that all take turns in forwarding, whichever parts of a round this relay receives. */
  function rotateStart (sorted: readonly string[]): string[] {
    turn += 1
    const start = Math.floor(hashes.computeEvenFraction(turn) * sorted.length)
    return [...sorted.slice(start), ...sorted.slice(0, start)]
  }

  function forwardTo (hosts: readonly string[], { audience, ingressHost }: Pick<wire.DigestHeader, 'audience' | 'ingressHost'>, delayMs: number, body: string, fanOut?: number): void {
    for (const part of relays.splitAmongForwarders(hosts, getView().relayHosts, fanOut, getView().overdueHosts)) send(part.host, wire.formatDigest({ sentAt: now(), delayMs, audience, range: part.range, ingressHost }, body))
  }

  function listAudienceHosts (audience: wire.Audience): readonly string[] {
    return audience === 'all' ? getView().allHosts : getView().gatewayHosts
  }

  /** Sends a complete digest of the own hall at once to halls that were not known or were silent. */
  function announceToNewHalls (rank: number): void {
    const { halls, allHosts } = getView()
    const newHalls = halls.filter(({ zone }) => !knownHalls.has(zone))
    if (newHalls.length > 0) sendToHalls(newHalls, describeHosts([ownHost, ...allHosts], true), 'all', rank)
    if (newHalls.length > 0 || halls.length !== knownHalls.size) knownHalls = new Set(halls.map(({ zone }) => zone))
  }

  /** Sends one digest to all halls, its datagrams distributed over the interval. The two relays take turns; agents get the digests of the first one. */
  function sendDigestRound (rank: number): void {
    const { intervals, candidates } = getView()
    nextDigestRoundAt = Math.max(nextDigestRoundAt, now() - ROUND_LATENESS_MS) + relays.RELAYS_PER_HALL * intervals.digestMs
    if (rank === 0) for (const { host } of candidates.slice(0, relays.RELAYS_PER_HALL + 1)) send(host, wire.formatKeepalive(true))
    const audience = rank === 0 || now() - newMemberAt < NEW_MEMBER_MS ? 'all' : 'gateways'
    const hosts = [ownHost, ...getView().allHosts].sort()
    const parts = Math.ceil(hosts.length / MEMBERS_PER_DATAGRAM)
    for (let part = 0; part < parts; part += 1) {
      const partHosts = hosts.filter((_, at) => Math.floor(at * parts / hosts.length) === part)
      options.schedule(part * intervals.digestMs / parts, () => { sendToHalls(getView().halls, describeHosts(partHosts, part === 0), audience, rank) })
    }
  }

  /** Sends gateways of the own hall updates of the members heard of since the last round, and in a full round all members updates of all. */
  function sendHallRound (): void {
    const { intervals, near } = getView()
    nextHallRoundAt = Math.max(nextHallRoundAt, now() - ROUND_LATENESS_MS) + relays.RELAYS_PER_HALL * intervals.hallRoundMs
    const isFull = now() - lastFullRoundAt >= relays.RELAYS_PER_HALL * rates.FULL_ROUND_MS
    const updated = near.filter(({ heardAt }) => isFull || heardAt > lastHallRoundAt)
    lastHallRoundAt = now()
    if (isFull) lastFullRoundAt = now()
    const audience = isFull ? 'all' : 'gateways'
    const ownUpdate = { host: ownHost, ageMs: 0, delayMs: 0, engine: options.describeSelf().engine }
    for (const body of wire.formatUpdates(options.describeSelf().zone, [ownUpdate, ...updated.map(createMemberUpdate)])) forwardTo(rotateStart(listAudienceHosts(audience)), { audience, ingressHost: ownHost }, 0, body, 1)
  }

  function createMemberUpdate ({ heartbeat, heardAt, reportedAt, delayMs }: memberTable.Member): wire.MemberUpdate {
    const { host, engine } = heartbeat
    return { host, delayMs, engine, ageMs: now() - (engine === null ? heardAt : reportedAt) }
  }

  function describeHosts (hosts: readonly string[], includesHallState: boolean): wire.HallDigest {
    const self = options.describeSelf()
    const members = hosts.flatMap((host): wire.DigestMember[] => {
      if (host === ownHost) return [{ heartbeat: self, ageMs: 0, delayMs: 0 }]
      const member = options.find(host)
      if (member === undefined) return []
      const { heartbeat, heardAt, reportedAt, delayMs } = member
      return [{ heartbeat, delayMs, ageMs: now() - (heartbeat.engine === null ? heardAt : reportedAt) }]
    })
    return { zone: self.zone, members, copies: includesHallState ? collectOwnCopies() : {}, versions: includesHallState ? self.versions : [] }
  }

  function collectOwnCopies (): wire.HallCopies {
    return hallCopies.collectCopies([options.describeSelf(), ...getView().near.map((member) => member.heartbeat)])
  }

  /** Sends to the relay of the same rank in each hall, so that the two relays use separate paths. */
  function sendToHalls (halls: readonly fleetView.FarHall[], digest: wire.HallDigest, audience: wire.Audience, rank: number): void {
    if (halls.length === 0) return
    const bodies = wire.formatDigestBodies(digest)
    for (const { candidates } of halls) {
      const to = candidates[rank] ?? candidates[0]
      if (to === undefined) continue
      for (const body of bodies) send(to.host, wire.formatDigest({ sentAt: now(), delayMs: 0, audience, range: null, ingressHost: '' }, body))
    }
  }

  function scheduleUrgent (host: string, audience: wire.Audience, mergeMs: number): void {
    if (getView().rank < 0) return
    options.schedule(mergeMs, sendUrgent)
    urgentHosts.set(host, audience === 'all' || urgentHosts.get(host) === 'all' ? 'all' : audience)
  }

  function sendUrgent (): void {
    if (urgentHosts.size === 0) return
    const audience = [...urgentHosts.values()].includes('all') ? 'all' : 'gateways'
    const hosts = [...urgentHosts.keys()]
    urgentHosts.clear()
    sendToHalls(getView().halls, describeHosts(hosts, false), audience, Math.max(0, getView().rank))
  }

  return {
    forwardDigest,
    collectOwnCopies,
    tick: () => {
      const { rank } = getView()
      if (rank < 0) return
      announceToNewHalls(rank)
      if (now() >= nextDigestRoundAt) sendDigestRound(rank)
      if (getView().isRelayed && now() >= nextHallRoundAt) sendHallRound()
    },
    noteHallRound: () => { if (getView().rank > 0) nextHallRoundAt = now() + getView().intervals.hallRoundMs },
    noteDigestRound: () => { if (getView().rank > 0) nextDigestRoundAt = now() + getView().intervals.digestMs },
    announceNewMember: (host) => {
      newMemberAt = now()
      scheduleUrgent(host, 'all', NEW_MEMBER_MERGE_MS)
    },
    announceMember: (host, audience) => { scheduleUrgent(host, audience, RELAY_MERGE_MS) },
    broadcastChange: (digest) => {
      const [body] = wire.formatDigestBodies(digest)
      if (body !== undefined) forwardTo(rotateStart(listAudienceHosts('all')), { audience: 'all', ingressHost: ownHost }, 0, body)
      if (getView().rank === 0) sendToHalls(getView().halls, digest, 'all', 0)
    }
  }
}
