/** Selects the hosts sent to a daemon, so that it learns of its own hall at once, and of the relays of other halls. */
import type * as fleetView from './fleetView.js'
import type * as heartbeats from './heartbeat.js'
import * as relays from './relays.js'

/** Hosts of the hall sent at a time: half a kilobyte. */
const MAXIMUM_HOSTS = 40

/**
 * Picks hosts for a peer.
 *
 * @param view - The fleet as the sender sees it.
 * @param peer - The receiver.
 * @param isNear - Whether the receiver belongs to the sender's hall.
 * @param turn - Any number; in a large hall, different numbers select different hosts.
 * @returns Hosts of the receiver's hall, and of the relays of other halls.
 */
export function pickHosts (view: fleetView.FleetView, peer: heartbeats.Heartbeat, isNear: boolean, turn: number): string[] {
  const hallMembers = isNear ? view.near : view.halls.find((hall) => hall.zone === peer.zone)?.live ?? []
  const hosts = hallMembers.map((member) => member.heartbeat.host).filter((host) => host !== peer.host)
  const otherRelays = view.halls.filter((hall) => hall.zone !== peer.zone).flatMap((hall) => hall.candidates.slice(0, relays.RELAYS_PER_HALL).map(({ host }) => host))
  const start = hosts.length > MAXIMUM_HOSTS ? turn * MAXIMUM_HOSTS % hosts.length : 0
  return [...[...hosts.slice(start), ...hosts.slice(0, start)].slice(0, MAXIMUM_HOSTS), ...otherRelays]
}
