/** Discovery of other daemons: contacts seeds, hosts learned from peers, and members of halls that became silent. */

/** Options of {@link createDiscovery}. */
export interface DiscoveryOptions {
  readonly ownHost: string
  readonly seeds: readonly string[]
  readonly isLive: (host: string) => boolean
  /** Sends a heartbeat to a host, which answers with its own and with hosts of others. */
  readonly contact: (host: string) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** Discovers other daemons. */
export interface Discovery {
  readonly addHosts: (hosts: readonly string[]) => void
  /** Contacts the hosts that are due. `isAlone`: no daemon is known; `listLost`: returns hosts of halls that became silent. */
  readonly tick: (isAlone: boolean, listLost: () => readonly string[]) => void
}

/** Time between two rounds of contacts of a daemon that knows no other one; such a daemon can do nothing yet, so they are frequent. */
const ALONE_CONTACT_MS = 125
/** Hosts contacted in a round by a daemon that knows no other one; seeds are only a few. */
const ALONE_CONTACTS = 16
/** Time between two rounds of contacts otherwise. */
const CONTACT_MS = 1000
/** Hosts contacted in a round otherwise: half a kilobyte a second, however many hosts are silent. */
const CONTACTS = 2
/** A host that a peer names again is not contacted again within this time. */
const REPEAT_CONTACT_MS = 500
/** A host that a peer named is dropped if it does not answer within this time; seeds are never dropped. */
const GIVE_UP_MS = 60_000

/** Creates the discovery. */
export function createDiscovery (options: DiscoveryOptions): Discovery {
  const seeds = options.seeds.filter((host) => host !== options.ownHost)
  const learnedAt = new Map<string, number>()
  const contactedAt = new Map<string, number>()
  let lastTickAt = -Infinity
  let nextContact = 0

  function contactHost (host: string): void {
    contactedAt.set(host, options.now())
    options.contact(host)
  }

  function listUnanswered (lost: readonly string[]): string[] {
    const now = options.now()
    for (const [host, since] of learnedAt) if (options.isLive(host) || now - since > GIVE_UP_MS) learnedAt.delete(host)
    for (const [host, at] of contactedAt) if (now - at > GIVE_UP_MS) contactedAt.delete(host)
    return [...new Set([...seeds, ...learnedAt.keys(), ...lost])].filter((host) => !options.isLive(host))
  }

  return {
    addHosts: (hosts) => {
      for (const host of hosts) {
        if (host === options.ownHost || options.isLive(host)) continue
        if (!learnedAt.has(host)) learnedAt.set(host, options.now())
        if (options.now() - (contactedAt.get(host) ?? -Infinity) >= REPEAT_CONTACT_MS) contactHost(host)
      }
    },
    tick: (isAlone, listLost) => {
      if (options.now() - lastTickAt < (isAlone ? ALONE_CONTACT_MS : CONTACT_MS)) return
      lastTickAt = options.now()
      const unanswered = listUnanswered(listLost())
      const count = Math.min(unanswered.length, isAlone ? ALONE_CONTACTS : CONTACTS)
      for (let at = 0; at < count; at += 1) contactHost(unanswered[(nextContact + at) % unanswered.length] as string)
      nextContact += count
    }
  }
}
