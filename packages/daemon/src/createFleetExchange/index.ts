/** How one daemon keeps up with its fleet: heartbeats, and copies of the store's objects from the store or from peers. */
import * as platform from '@switchridge/platform'
import type * as settings from '@switchridge/settings'
import * as spread from '@switchridge/spread'
import * as store from '@switchridge/store'
import * as types from '@switchridge/types'
import * as createFleetParts from '../createFleetParts/index.js'
import * as createWatchDuty from '../createWatchDuty/index.js'
import * as copyParts from '../_lib/copyParts.js'

/** Options of {@link createFleetExchange}. */
export interface FleetExchangeOptions {
  readonly parts: createFleetParts.FleetParts
  /** Null on a daemon that takes everything from peers. */
  readonly store: store.CollectionStore | null
  readonly openDatagrams: spread.OpenDatagrams
  readonly fetchChanges: spread.CopySyncOptions['fetchChanges']
  readonly describeSelf: (isStoreLost: boolean) => spread.Heartbeat
  readonly onHeartbeat: spread.GossipOptions['onHeartbeat']
  /** Takes facts that other gateways tell. */
  readonly onFact: spread.FactExchangeOptions['onFact']
  /** Takes datagrams of another exchange; false for those that are none of it. */
  readonly onDatagram: (bytes: Buffer, from: string) => boolean
  /** Random number from 0 to 1. */
  readonly random: () => number
}

/** The exchange of one daemon. */
export interface FleetExchange {
  readonly gossip: spread.Gossip
  /** Facts that gateways tell each other. */
  readonly facts: spread.FactExchange
  /** Sends a datagram of another exchange to the daemon on a host. */
  readonly send: (host: string, bytes: Buffer) => void
  /** Whether this daemon asks the store for others, too. */
  readonly mayAskStore: () => boolean
  /** Whether the store answers, by kind; empty on a daemon that does not ask it. */
  readonly storeState: () => ReadonlyArray<{ readonly kind: string, readonly isReachable: boolean }>
  /** Whether the store did not answer the last call for some kind. */
  readonly isStoreLost: () => boolean
  readonly reload: (next: settings.FleetSettings) => void
  readonly stop: () => void
}

/**
 * Starts the exchange.
 *
 * @param options - Parts of the daemon and its ways to others.
 * @returns The exchange; it runs until it is stopped.
 */
export async function createFleetExchange (options: FleetExchangeOptions): Promise<FleetExchange> {
  const { parts } = options
  const kept = new Map<string, store.KeptMirror>()
  /** Nobody is heard of until the socket is open. */
  let opened: spread.Gossip | null = null
  const { role, zone } = parts.settings
  /** Mirrors that wait for their turn at the store; they look at it when the daemon is awake anyway. */
  let waiting: Array<() => void> = []
  const duty = createWatchDuty.createWatchDuty({
    node: types.brandId<types.NodeId>(parts.settings.node),
    role,
    zone,
    peers: () => opened?.peers() ?? [],
    isLive: (peer) => opened?.isLive(peer) ?? false,
    isStoreLost,
    now: parts.now
  })
  const sync = spread.createCopySync({
    mirrors: parts.mirrors,
    zone,
    canServe: (peer, kind) => copyParts.holds(copyParts.partOf(kind, peer.role), copyParts.partOf(kind, role)),
    isWatching: (kind) => kept.get(kind)?.isWatching() ?? false,
    farGraceMs: duty.farGraceMs,
    fetchChanges: options.fetchChanges,
    onAsked: (kind, isOwnHall) => { parts.metrics.count('copies_asked', { kind, hall: nameHall(isOwnHall) }) },
    onAdopted: noteAdopted,
    onConfirmed: (kind, isOwnHall) => { parts.metrics.count('copies_confirmed', { kind, hall: nameHall(isOwnHall) }) },
    onFailed: (kind, host, reason, isInvalid) => { parts.logger.warn(isInvalid ? 'copy-dropped' : 'copy-failed', { kind, host, reason }) },
    now: parts.now,
    random: options.random
  })
  let isStopped = false
  let socket: spread.DatagramSocket | null = null
  const facts = spread.createFactExchange({
    zone,
    peers: () => (opened?.peers() ?? []).filter((peer) => peer.heartbeat.role === 'gateway' && opened?.isLive(peer) === true).map(({ heartbeat }) => heartbeat),
    send,
    onFact: options.onFact,
    onDrop: () => { parts.metrics.count('datagrams_dropped', { reason: 'bad-fact' }) },
    later: (delayMs, action) => { setTimeout(() => { if (!isStopped) action() }, delayMs) },
    now: parts.now,
    random: options.random
  })

  function send (host: string, bytes: Buffer): void {
    if (!isStopped) socket?.send(host, bytes)
  }

  /** All exchanges share the socket. */
  async function openDatagrams (onDatagram: (bytes: Buffer, from: string) => void): Promise<spread.DatagramSocket> {
    socket = await options.openDatagrams((bytes, from) => { if (!facts.receive(bytes, from) && !options.onDatagram(bytes, from)) onDatagram(bytes, from) })
    return socket
  }

  const gossip = await spread.createGossip({
    host: parts.settings.host,
    openDatagrams,
    seeds: createFleetParts.readSeedHosts(parts.settings),
    describeSelf: () => options.describeSelf(isStoreLost()),
    onHeartbeat: (heartbeat, delayMs, ageMs) => {
      sync.noteHeartbeat(heartbeat)
      options.onHeartbeat(heartbeat, delayMs, ageMs)
    },
    onTick: () => {
      const due = waiting
      waiting = []
      for (const wake of due) wake()
      if (role === 'gateway') facts.tick()
    },
    onDrop: (reason) => { parts.metrics.count('datagrams_dropped', { reason }) },
    clock: parts.clock,
    now: parts.now
  })
  opened = gossip
  parts.clock.onSuspension(() => { for (const mirror of kept.values()) mirror.restart() })

  function noteAdopted (kind: string, { host, changes, bytes, isOwnHall }: spread.AdoptedCopy): void {
    parts.metrics.count('copies_bytes', { kind, hall: nameHall(isOwnHall) }, bytes)
    parts.logger.info('adopted-from-peer', { kind, host, revision: changes.at, bytes, objects: changes.objects.length, isWhole: changes.since === 0 })
  }

  function isStoreLost (): boolean {
    return [...kept.values()].some((mirror) => !mirror.isReachable())
  }

  function keep (mirror: store.Mirror, collections: store.CollectionStore): void {
    kept.set(mirror.kind, store.keepMirror({
      mirror,
      store: collections,
      waitMs: computeWatchMs(parts.settings),
      random: options.random,
      mayWatch: () => duty.mayWatch(mirror.isKnown(), kept.get(mirror.kind)?.isReachable() ?? true, mirror.kind === platform.KINDS.configuration ? 'each-hall' : 'few-halls'),
      nextChance: async () => { await new Promise<void>((resolve) => { waiting.push(resolve) }) },
      onReachable: (isReachable, reason) => { parts.logger.warn(isReachable ? 'store-regained' : 'store-lost', { kind: mirror.kind, reason }) }
    }))
    mirror.onChange(() => { gossip.sendNow() })
  }

  if (options.store !== null) for (const mirror of parts.mirrors) keep(mirror, options.store)
  return {
    gossip,
    facts,
    send,
    mayAskStore: () => options.store !== null && duty.mayWatch(true, !isStoreLost(), 'few-halls'),
    storeState: () => [...kept.entries()].map(([kind, mirror]) => ({ kind, isReachable: mirror.isReachable() })),
    isStoreLost,
    reload: (next) => { gossip.addHosts(createFleetParts.readSeedHosts(next)) },
    stop: () => {
      isStopped = true
      for (const mirror of kept.values()) mirror.stop()
      sync.stop()
      gossip.stop()
    }
  }
}

/**
 * How long a watch waits when nothing happens. A connection that has gone silent for good is found when the wait and the time for an answer are
 * over, and a change must then still be in force in time: it may take as long as a daemon has after trouble, and for the change itself.
 */
function computeWatchMs ({ store: { watch_ms: set, timeout_ms: timeout }, bounds }: settings.FleetSettings): number {
  return set ?? Math.max(timeout, bounds.contact_ms + bounds.configuration_ms - timeout)
}

function nameHall (isOwnHall: boolean): string {
  return isOwnHall ? 'own' : 'other'
}
