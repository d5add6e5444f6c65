/** A running gateway or agent. */
import type * as settings from '@switchridge/settings'

/** What the process does with its role. */
export interface FleetRole {
  /** Takes no new work and resolves when what is under way has ended. */
  readonly drain: () => Promise<void>
  /** Puts changed settings in force, as far as a running process can. */
  readonly reload: (next: settings.FleetSettings) => void
  readonly stop: () => void
  /** Daemons heard of lately, this one not included. */
  readonly countPeers: () => number
}
