/** Keeps one daemon in sync with its fleet: exchanges heartbeats and facts, and copies the store's objects from the store or from peers. */
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
  /** Null on a daemon that copies everything from peers. */
  readonly store: store.CollectionStore | null
  readonly openDatagrams: spread.OpenDatagrams
  readonly fetchChanges: spread.CopySyncOptions['fetchChanges']
  readonly describeSelf: (isStoreLost: boolean) => spread.Heartbeat
  readonly onHeartbeat: spread.GossipOptions['onHeartbeat']
  /** Handles facts received from other gateways, with the monotonic time in milliseconds at which they were created. */
  readonly onFact: spread.FactExchangeOptions['onFact']
  /** Handles datagrams of other protocols; false for datagrams that it does not recognise. */
  readonly onDatagram: (bytes: Buffer, from: string) => boolean
  /** Random number from 0 to 1. */
  readonly random: () => number
}

/** The exchange of one daemon. */
export interface FleetExchange {
  readonly gossip: spread.Gossip
  /** Facts that gateways share with each other. */
  readonly facts: spread.FactExchange
  /** Sends a datagram of another protocol to the daemon on a host. */
  readonly send: (host: string, bytes: Buffer) => void
  /** Whether this daemon is one of those that query the store on behalf of others. */
  readonly mayAskStore: () => boolean
  /** Whether the store is reachable, by kind of object; empty on a daemon that does not use it. */
  readonly storeState: () => ReadonlyArray<{ readonly kind: string, readonly isReachable: boolean }>
  /** Whether the last call to the store failed for at least one kind. */
  readonly isStoreLost: () => boolean
  readonly reload: (next: settings.FleetSettings) => void
  readonly stop: () => void
}

/** Number of different incarnations, of up to five digits each. */
const INCARNATIONS = 36 ** 5
/** Time for the next watch after a dead connection, and for the other gateways to copy the change. */
const EVACUATION_SPREAD_MS = 600

/**
 * Starts the exchange.
 *
 * @param options - Parts of the daemon, its connections to other daemons and callbacks.
 * @returns The exchange; it runs until it is stopped.
 */
export async function createFleetExchange (options: FleetExchangeOptions): Promise<FleetExchange> {
  const { parts } = options
  const mirrorSyncs = new Map<string, store.MirrorSync>()
  /** Null until the socket is open; no peers are known before that. */
  let openedGossip: spread.Gossip | null = null
  const { role, zone } = parts.settings
  /** Wakes mirrors that may not watch the store yet; they check again at the gossip's next tick, so that they need no timers of their own. */
  let pendingWakes: Array<() => void> = []
  const watchDuty = createWatchDuty.createWatchDuty({
    node: types.brandId<types.NodeId>(parts.settings.node),
    role,
    zone,
    peers: () => openedGossip?.peers() ?? [],
    isLive: (peer) => openedGossip?.isLive(peer) ?? false,
    isStoreLost,
    now: parts.now
  })
  const sync = spread.createCopySync({
    mirrors: parts.mirrors,
    zone,
    canServe: (peer, kind) => copyParts.includesPart(copyParts.partForRole(kind, peer.role), copyParts.partForRole(kind, role)),
    isWatching: (kind) => mirrorSyncs.get(kind)?.isWatching() ?? false,
    otherHallGraceMs: watchDuty.otherHallGraceMs,
    fetchChanges: options.fetchChanges,
    onRequest: (kind, isOwnHall) => { parts.metrics.count('copies_asked', { kind, hall: formatHallLabel(isOwnHall) }) },
    onAdopted: recordAdoptedCopy,
    onConfirmed: (kind, isOwnHall) => { parts.metrics.count('copies_confirmed', { kind, hall: formatHallLabel(isOwnHall) }) },
    onFailed: (kind, host, reason, isInvalid) => { parts.logger.warn(isInvalid ? 'copy-dropped' : 'copy-failed', { kind, host, reason }) },
    now: parts.now,
    random: options.random
  })
  let isStopped = false
  let socket: spread.DatagramSocket | null = null
  const facts = spread.createFactExchange({
    zone,
    peers: () => (openedGossip?.peers() ?? []).filter((peer) => peer.heartbeat.role === 'gateway' && openedGossip?.isLive(peer) === true).map(({ heartbeat }) => heartbeat),
    send,
    onFact: options.onFact,
    onDrop: () => { parts.metrics.count('datagrams_dropped', { reason: 'bad-fact' }) },
    schedule: (delayMs, action) => { setTimeout(() => { if (!isStopped) action() }, delayMs) },
    now: parts.now,
    random: options.random
  })

  function send (host: string, bytes: Buffer): void {
    if (!isStopped) socket?.send(host, bytes)
  }

  /** Heartbeats, facts and other protocols share one socket. */
  async function openDatagrams (onDatagram: (bytes: Buffer, from: string) => void): Promise<spread.DatagramSocket> {
    socket = await options.openDatagrams((bytes, from) => { if (!facts.receive(bytes, from) && !options.onDatagram(bytes, from)) onDatagram(bytes, from) })
    return socket
  }

  const gossip = await spread.createGossip({
    host: parts.settings.host,
    incarnation: createIncarnation(options.random),
    openDatagrams,
    seeds: createFleetParts.readSeedHosts(parts.settings),
    describeSelf: () => options.describeSelf(isStoreLost()),
    onHeartbeat: (heartbeat, delayMs, ageMs) => {
      sync.noteHeartbeat(heartbeat)
      options.onHeartbeat(heartbeat, delayMs, ageMs)
    },
    onTick: () => {
      const due = pendingWakes
      pendingWakes = []
      for (const wake of due) wake()
      if (role === 'gateway') facts.tick()
    },
    onDrop: (reason) => { parts.metrics.count('datagrams_dropped', { reason }) },
    clock: parts.clock,
    now: parts.now
  })
  openedGossip = gossip
  parts.clock.onSuspension(() => { for (const mirror of mirrorSyncs.values()) mirror.restartWatch() })

  function recordAdoptedCopy (kind: string, { host, changes, bytes, isOwnHall }: spread.AdoptedCopy): void {
    parts.metrics.count('copies_bytes', { kind, hall: formatHallLabel(isOwnHall) }, bytes)
    parts.logger.info('adopted-from-peer', { kind, host, revision: changes.at, bytes, objects: changes.objects.length, isWhole: changes.since === 0 })
  }

  function isStoreLost (): boolean {
    return [...mirrorSyncs.values()].some((mirror) => !mirror.isReachable())
  }

  function startMirrorSync (mirror: store.Mirror, collections: store.CollectionStore): void {
    mirrorSyncs.set(mirror.kind, store.syncMirror({
      mirror,
      store: collections,
      waitMs: computeWatchTimeoutMs(parts.settings, mirror.kind),
      random: options.random,
      mayWatch: () => watchDuty.mayWatch(mirror.isInitialized(), mirrorSyncs.get(mirror.kind)?.isReachable() ?? true, mirror.kind === platform.OBJECT_KINDS.configuration ? 'each-hall' : 'few-halls'),
      mayWatchChanged: async () => { await new Promise<void>((resolve) => { pendingWakes.push(resolve) }) },
      onReachabilityChange: (isReachable, reason) => { parts.logger.warn(isReachable ? 'store-regained' : 'store-lost', { kind: mirror.kind, reason }) },
      onError: (thrown) => { parts.logger.error('store-sync-failed', { kind: mirror.kind, error: types.describeError(thrown) }) }
    }))
    mirror.onChange(() => { gossip.sendNow() })
  }

  if (options.store !== null) for (const mirror of parts.mirrors) startMirrorSync(mirror, options.store)
  return {
    gossip,
    facts,
    send,
    mayAskStore: () => options.store !== null && watchDuty.mayWatch(true, !isStoreLost(), 'few-halls'),
    storeState: () => [...mirrorSyncs.entries()].map(([kind, mirror]) => ({ kind, isReachable: mirror.isReachable() })),
    isStoreLost,
    reload: (next) => { gossip.addHosts(createFleetParts.readSeedHosts(next)) },
    stop: () => {
      isStopped = true
      for (const mirror of mirrorSyncs.values()) mirror.stop()
      sync.stop()
      gossip.stop()
    }
  }
}

/**
 * Computes how long a watch request stays open without events. A dead connection is detected only after this wait plus the response timeout, and a change must
 * still take effect in time after that: within the bounds for regaining contact and for applying a configuration together. An evacuation has a bound of its own.
 */
function computeWatchTimeoutMs ({ store: { watch_ms: configured, timeout_ms: timeout }, bounds }: settings.FleetSettings, kind: string): number {
  if (configured !== undefined) return configured
  const usualMs = Math.max(timeout, bounds.contact_ms + bounds.configuration_ms - timeout)
  if (kind !== platform.OBJECT_KINDS.evacuations || bounds.evacuation_ms === undefined) return usualMs
  return Math.max(timeout, Math.min(usualMs, bounds.evacuation_ms - EVACUATION_SPREAD_MS - timeout))
}

/** Short, since it is part of each heartbeat and engine report; it only has to differ from those of earlier runs on the same host. */
function createIncarnation (random: () => number): types.IncarnationId {
  return types.brandId(Math.floor(random() * INCARNATIONS).toString(36))
}

function formatHallLabel (isOwnHall: boolean): string {
  return isOwnHall ? 'own' : 'other'
}
