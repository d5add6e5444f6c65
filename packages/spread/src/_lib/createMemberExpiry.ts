/** Removes members that were silent for long, and lists hosts to contact in case a silent hall is back. */
import * as fleetView from './fleetView.js'
import type * as memberTable from './memberTable.js'
import type * as rates from './rates.js'
import * as relays from './relays.js'

/** Options of {@link createMemberExpiry}. */
export interface MemberExpiryOptions {
  readonly table: memberTable.MemberTable
  readonly ownZone: string
  /** Tells whether a hall is this daemon's own or has a live member. */
  readonly isHallKnown: (zone: string) => boolean
  readonly onExpired: (host: string) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** Expiry of silent members. */
export interface MemberExpiry {
  /** Removes members that were silent for long; may be called often, since it checks once a second. */
  readonly tick: (intervals: rates.Intervals) => void
  /** Hosts of halls that are silent as a whole, and of expired members of the own hall: they may only be cut off, so some are contacted until one answers. */
  readonly listHostsToRetry: () => string[]
}

/** Silence in milliseconds after which a peer is removed. */
export const PEER_EXPIRY_MS = 60_000
/** Where this many times the silence limit of live peers is longer, it replaces {@link PEER_EXPIRY_MS}. */
const EXPIRY_FACTOR = 3
const CHECK_MS = 1000

/**
 * Creates the expiry.
 *
 * @param options - Members, halls and clock.
 * @returns The expiry.
 */
export function createMemberExpiry (options: MemberExpiryOptions): MemberExpiry {
  const { table, ownZone, now } = options
  /** The last few expired hosts of each hall, the newest first. */
  const expiredHosts = new Map<string, string[]>()
  let checkedAt = -Infinity

  function expire ({ heartbeat: { host, zone } }: memberTable.Member): void {
    table.remove(host)
    options.onExpired(host)
    const previousHosts = expiredHosts.get(zone) ?? []
    expiredHosts.set(zone, [host, ...previousHosts.filter((each) => each !== host)].slice(0, relays.RELAY_CANDIDATES))
  }

  return {
    tick: (intervals) => {
      if (now() - checkedAt < CHECK_MS) return
      checkedAt = now()
      for (const member of table.all()) {
        const liveMs = fleetView.computeLiveMs(member.heartbeat.zone === ownZone, intervals)
        if (now() - member.heardAt > Math.max(PEER_EXPIRY_MS, EXPIRY_FACTOR * liveMs)) expire(member)
      }
    },
    listHostsToRetry: () => {
      const silentHallHosts = table.all().filter((member) => !options.isHallKnown(member.heartbeat.zone)).map((member) => member.heartbeat.host)
      return [...silentHallHosts, ...[...expiredHosts].filter(([zone]) => zone === ownZone || !options.isHallKnown(zone)).flatMap(([, hosts]) => hosts)]
    }
  }
}
