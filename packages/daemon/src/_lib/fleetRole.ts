/** A running gateway or agent. */
import type * as settings from '@switchridge/settings'
import type * as createProcessLifecycle from '../createProcessLifecycle/index.js'

/** Controls of a running gateway or agent. */
export interface FleetRole extends createProcessLifecycle.ManagedRole {
  /** Applies changed settings, as far as possible without a restart. */
  readonly reload: (next: settings.FleetSettings) => void
  /** Returns the number of other daemons that are currently known as live. */
  readonly countPeers: () => number
}
