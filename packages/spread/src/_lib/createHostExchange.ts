/** Sends members the hosts of others that they may not know. */
import type * as fleetView from './fleetView.js'
import type * as heartbeats from './heartbeat.js'
import * as pickHosts from './pickHosts.js'
import * as wire from './wire.js'

/** Options of {@link createHostExchange}. */
export interface HostExchangeOptions {
  readonly ownZone: string
  readonly getView: () => fleetView.FleetView
  readonly send: (host: string, text: string) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** Sends hosts to members. */
export interface HostExchange {
  /** Sends a member some hosts, different ones each time. */
  readonly sendHosts: (peer: heartbeats.Heartbeat, to: string) => void
  /** The same, at a limited rate, for peers that already know some members. */
  readonly sendHostsThrottled: (peer: heartbeats.Heartbeat, to: string) => void
}

/** Shortest time between two throttled sends, whichever peers they go to. */
const THROTTLE_MS = 250

/**
 * Creates the host exchange.
 *
 * @param options - The fleet's view, socket and clock.
 * @returns The host exchange.
 */
export function createHostExchange ({ ownZone, getView, send, now }: HostExchangeOptions): HostExchange {
  let lastThrottledAt = -Infinity
  let turn = 0

  function sendHosts (peer: heartbeats.Heartbeat, to: string): void {
    turn += 1
    const hosts = pickHosts.pickHosts(getView(), peer, peer.zone === ownZone, turn)
    if (hosts.length === 0) return
    for (const text of wire.formatHosts(hosts)) send(to, text)
  }

  return {
    sendHosts,
    sendHostsThrottled: (peer, to) => {
      if (now() - lastThrottledAt < THROTTLE_MS) return
      lastThrottledAt = now()
      sendHosts(peer, to)
    }
  }
}
