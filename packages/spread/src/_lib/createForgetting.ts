/** Which members are forgotten, and whom to ask whether a hall that went silent is there again. */
import * as fleetView from './fleetView.js'
import type * as memberTable from './memberTable.js'
import type * as rates from './rates.js'
import * as relays from './relays.js'

/** Options of {@link createForgetting}. */
export interface ForgettingOptions {
  readonly table: memberTable.MemberTable
  readonly ownZone: string
  /** Whether any member of a hall is live. */
  readonly knowsHall: (zone: string) => boolean
  readonly onForgotten: (host: string) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** What becomes of silent members. */
export interface Forgetting {
  /** Forgets members that were silent for long; to be called often, it looks once a second. */
  readonly tick: (intervals: rates.Intervals) => void
  /** Hosts of halls that are silent as a whole, and of forgotten members of the own one: they may be cut off, and some are asked until one answers. */
  readonly listLost: () => string[]
}

/** A peer that was silent for so long is forgotten. */
export const PEER_FORGET_MS = 60_000
/** Where peers count as live for longer, they are forgotten after so many times as long. */
const FORGET_FACTOR = 3
const CHECK_MS = 1000

/**
 * Creates the part of an exchange that forgets.
 *
 * @param options - Members, halls and clock.
 * @returns The part.
 */
export function createForgetting (options: ForgettingOptions): Forgetting {
  const { table, ownZone, now } = options
  /** The last few forgotten hosts of each hall, the newest first. */
  const lost = new Map<string, string[]>()
  let checkedAt = -Infinity

  function forget ({ heartbeat: { host, zone } }: memberTable.Member): void {
    table.remove(host)
    options.onForgotten(host)
    const kept = lost.get(zone) ?? []
    lost.set(zone, [host, ...kept.filter((each) => each !== host)].slice(0, relays.CANDIDATES))
  }

  return {
    tick: (intervals) => {
      if (now() - checkedAt < CHECK_MS) return
      checkedAt = now()
      for (const member of table.all()) {
        const liveMs = fleetView.computeLiveMs(member.heartbeat.zone === ownZone, intervals)
        if (now() - member.heardAt > Math.max(PEER_FORGET_MS, FORGET_FACTOR * liveMs)) forget(member)
      }
    },
    listLost: () => {
      const known = table.all().filter((member) => !options.knowsHall(member.heartbeat.zone)).map((member) => member.heartbeat.host)
      return [...known, ...[...lost].filter(([zone]) => zone === ownZone || !options.knowsHall(zone)).flatMap(([, hosts]) => hosts)]
    }
  }
}
