/** Starts a daemon in the role that its settings name. */
import type * as types from '@switchridge/types'
import type * as settings from '@switchridge/settings'
import type * as createProcessLifecycle from '../createProcessLifecycle/index.js'
import * as createCommonParts from '../createCommonParts/index.js'
import * as startBackendRole from '../startBackendRole/index.js'
import * as startEntryRole from '../startEntryRole/index.js'

/** A running role. */
export interface RunningRole extends createProcessLifecycle.ManagedRole {
  /** Address for other daemons. */
  readonly address: types.Address
  /** Address for callers; null for a backend daemon. */
  readonly callerAddress: types.Address | null
}

/**
 * Starts a daemon.
 *
 * @param checked - The validated settings.
 * @returns The running role. Rejects if an address cannot be bound or a TLS file cannot be read.
 */
export async function startDaemon (checked: settings.Settings): Promise<RunningRole> {
  const parts = createCommonParts.createCommonParts(checked)
  const role = checked.role === 'backend' && checked.back_end !== undefined
    ? await startBackendRole.startBackendRole(parts, checked.back_end)
    : await startEntryRole.startEntryRole(parts)
  parts.logger.info('started', { role: checked.role, port: role.address.port, callerPort: role.callerAddress?.port, incarnation: parts.incarnation })
  return role
}
