/** The status report of a daemon for `switchridge status`. */
import type * as types from '@switchridge/types'
import type * as membership from '@switchridge/membership'
import type * as rpc from '@switchridge/rpc'
import type * as routing from '@switchridge/routing'
import type * as transfer from '@switchridge/transfer'
import type * as createCommonParts from '../createCommonParts/index.js'

/** The status report of a daemon. */
export interface Status {
  readonly self: types.MemberFacts
  readonly members: readonly membership.Member[]
  readonly transfers: readonly transfer.TransferProgress[]
  readonly load: routing.Load | null
  readonly counts: Readonly<Record<string, number>>
  readonly platformCalls: Readonly<Record<string, number>>
  readonly traffic: rpc.TrafficCounters
  readonly process: ProcessUse
}

/** Resource usage of the process since its start. */
export interface ProcessUse {
  readonly cpuSeconds: number
  readonly residentBytes: number
  readonly peakResidentBytes: number
  readonly uptimeSeconds: number
}

const MICROSECONDS_IN_SECOND = 1_000_000
const BYTES_IN_KIBIBYTE = 1024

/**
 * Collects the status of a daemon.
 *
 * @param parts - The daemon's common parts.
 * @param self - The daemon's own facts.
 * @param roleFields - The fields that depend on the daemon's role.
 * @returns The report, JSON-serializable.
 */
export function describeStatus (parts: createCommonParts.CommonParts, self: types.MemberFacts, roleFields: Pick<Status, 'transfers' | 'load' | 'counts'>): Status {
  const usage = process.resourceUsage()
  return {
    self,
    members: parts.view.members(),
    ...roleFields,
    platformCalls: parts.platformCalls,
    traffic: parts.traffic,
    process: {
      cpuSeconds: (usage.userCPUTime + usage.systemCPUTime) / MICROSECONDS_IN_SECOND,
      residentBytes: process.memoryUsage.rss(),
      peakResidentBytes: usage.maxRSS * BYTES_IN_KIBIBYTE,
      uptimeSeconds: process.uptime()
    }
  }
}
