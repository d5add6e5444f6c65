/** What a daemon reports to `switchridge status`. */
import type * as types from '@switchridge/types'
import type * as membership from '@switchridge/membership'
import type * as rpc from '@switchridge/rpc'
import type * as routing from '@switchridge/routing'
import type * as transfer from '@switchridge/transfer'
import type * as createCommonParts from '../createCommonParts/index.js'

/** A daemon's report. */
export interface Status {
  readonly self: types.MemberFacts
  readonly members: readonly membership.Member[]
  readonly transfers: readonly transfer.TransferProgress[]
  readonly load: routing.Load | null
  readonly counts: Readonly<Record<string, number>>
  readonly platformCalls: Readonly<Record<string, number>>
  readonly traffic: rpc.Traffic
  readonly process: ProcessUse
}

/** What the process has used since it began. */
export interface ProcessUse {
  readonly cpuSeconds: number
  readonly residentBytes: number
  readonly peakResidentBytes: number
  readonly uptimeSeconds: number
}

const MICROSECONDS_IN_SECOND = 1_000_000
const BYTES_IN_KIBIBYTE = 1024

/**
 * Describes a daemon.
 *
 * @param parts - Its parts.
 * @param self - Its facts.
 * @param rest - What only its role has.
 * @returns The report, plain JSON.
 */
export function describeStatus (parts: createCommonParts.CommonParts, self: types.MemberFacts, rest: Pick<Status, 'transfers' | 'load' | 'counts'>): Status {
  const usage = process.resourceUsage()
  return {
    self,
    members: parts.view.members(),
    ...rest,
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
