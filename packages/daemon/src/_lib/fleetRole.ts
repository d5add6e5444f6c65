/** A running gateway or agent. */
import type * as settings from '@switchridge/settings'

/** Controls of a running gateway or agent. */
export interface FleetRole {
  /** Stops accepting new work; resolves when the work in progress has ended, at the latest at the end of the grace period. An agent doesn't wait. */
  readonly drain: () => Promise<void>
  /** Applies changed settings, as far as possible without a restart. */
  readonly reload: (next: settings.FleetSettings) => void
  /** Stops immediately, without waiting for work in progress. */
  readonly stop: () => void
  /** Returns the number of other daemons that are currently known as live. */
  readonly countPeers: () => number
}
