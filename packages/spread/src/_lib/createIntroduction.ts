/** Tells members of others that they may not know. */
import type * as fleetView from './fleetView.js'
import type * as heartbeats from './heartbeat.js'
import * as pickHosts from './pickHosts.js'
import * as wire from './wire.js'

/** Options of {@link createIntroduction}. */
export interface IntroductionOptions {
  readonly ownZone: string
  readonly look: () => fleetView.FleetView
  readonly send: (host: string, text: string) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** The part of an exchange that introduces members to each other. */
export interface Introduction {
  /** Tells a member of some others, other ones each time. */
  readonly sendHosts: (peer: heartbeats.Heartbeat, to: string) => void
  /** The same, but no more often than peers that know others need to be told. */
  readonly tellHosts: (peer: heartbeats.Heartbeat, to: string) => void
}

/** Peers that know others are told so at most so often. */
const HOSTS_INTERVAL_MS = 250

/**
 * Creates the part of an exchange that introduces members.
 *
 * @param options - The fleet's view, socket and clock.
 * @returns The part.
 */
export function createIntroduction ({ ownZone, look, send, now }: IntroductionOptions): Introduction {
  let toldAt = -Infinity
  let turn = 0

  function sendHosts (peer: heartbeats.Heartbeat, to: string): void {
    turn += 1
    const hosts = pickHosts.pickHosts(look(), peer, peer.zone === ownZone, turn)
    if (hosts.length === 0) return
    for (const text of wire.formatHosts(hosts)) send(to, text)
  }

  return {
    sendHosts,
    tellHosts: (peer, to) => {
      if (now() - toldAt < HOSTS_INTERVAL_MS) return
      toldAt = now()
      sendHosts(peer, to)
    }
  }
}
