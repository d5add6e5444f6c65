/** Announces changes of copies to the own hall; changes that follow each other closely are merged. */
import type * as fleetView from './fleetView.js'
import * as hallCopies from './hallCopies.js'
import type * as heartbeats from './heartbeat.js'
import * as rates from './rates.js'
import * as relays from './relays.js'
import type * as wire from './wire.js'

/** Options of {@link createChangeBroadcaster}. */
export interface ChangeBroadcasterOptions {
  readonly describeSelf: () => heartbeats.Heartbeat
  readonly getView: () => fleetView.FleetView
  readonly broadcast: (digest: wire.HallDigest) => void
  /** Runs an action after a delay, unless the gossip was stopped. */
  readonly schedule: (delayMs: number, action: () => void) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** Minimum time within which changes of copies are announced together; a relay needs longer to stay within the bytes for immediate messages. */
const CHANGE_MERGE_MS = 100
/** Bytes of a datagram that announces a change. */
const CHANGE_BYTES = 175
/** A change is sent with the versions that were announced within this time; older ones came with heartbeats. */
const RECENT_VERSION_MS = 2500
/** A gateway that is no relay waits for so long beyond the relays' merge time, in case others announce the same change. */
const CHANGE_WAIT_MS = 150
/** Members of a hall that announce a change before a gateway that is no relay omits its own announcement. */
const CHANGE_BROADCASTERS = 2
const MS_IN_SECOND = 1000

/**
 * Creates the broadcaster.
 *
 * @param options - State of the daemon, its view and the broadcast of a change.
 * @returns A function to call after each change.
 */
export function createChangeBroadcaster (options: ChangeBroadcasterOptions): () => void {
  const { getView, now } = options
  let lastBroadcastAt = -Infinity
  let lastBroadcastCopies: heartbeats.CopyStates = {}
  let previousCopies: heartbeats.CopyStates = {}
  let isWaiting = false

  function announceChange (): void {
    if (isWaiting) return
    const { halls, rank } = getView()
    const mergeMs = Math.max(CHANGE_MERGE_MS, (relays.FAN_OUT + 1 + halls.length) * CHANGE_BYTES * MS_IN_SECOND / rates.IMMEDIATE_BYTES_PER_SECOND)
    const waitMs = rank >= 0 ? lastBroadcastAt + mergeMs - now() : mergeMs + CHANGE_WAIT_MS
    const { copies } = options.describeSelf()
    const changed = hallCopies.selectChanged(previousCopies, copies)
    previousCopies = copies
    isWaiting = waitMs > 0
    if (isWaiting) options.schedule(waitMs, () => { broadcastChange(changed) })
    else broadcastChange(changed)
  }

  /** Relays always broadcast; others only if too few members have announced what had changed when the wait began. */
  function broadcastChange (pendingCopies: heartbeats.CopyStates): void {
    isWaiting = false
    const { rank, near } = getView()
    const self = options.describeSelf()
    const pendingChange = hallCopies.collectCopies([{ ...self, copies: pendingCopies }])
    const broadcasters = near.filter(({ heartbeat }) => !hallCopies.hasNewerCopies(pendingChange, hallCopies.collectCopies([heartbeat]))).length
    if (rank < 0 && broadcasters >= CHANGE_BROADCASTERS) return
    lastBroadcastAt = now()
    const copies = hallCopies.selectChanged(lastBroadcastCopies, self.copies)
    lastBroadcastCopies = self.copies
    options.broadcast({
      zone: self.zone,
      copies: hallCopies.collectCopies([{ ...self, copies }]),
      versions: self.versions.filter((version) => version.ageMs <= RECENT_VERSION_MS),
      members: []
    })
  }

  return announceChange
}
