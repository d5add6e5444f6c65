/** Keeps calls that crash back ends away from the other back ends. A gateway probes back ends whose connections broke, and combines the results with the facts that all gateways share. */
import * as gateway from '@switchridge/gateway'
import * as quarantine from '@switchridge/quarantine'
import * as types from '@switchridge/types'
import * as createSharedQuarantine from '../createSharedQuarantine/index.js'
import * as findByInstanceId from '../_lib/findByInstanceId.js'

/** Options of {@link createCallQuarantine}. */
export interface CallQuarantineOptions extends Omit<createSharedQuarantine.SharedQuarantineOptions, 'onReportedEnd'> {
  readonly backEnds: () => readonly gateway.BackEnd[]
  /** Whether a listed back end is about to end, so that the loss of its connections is expected. */
  readonly isLeaving: (backEnd: gateway.BackEnd) => boolean
  readonly tracker: Pick<gateway.BackEndTracker, 'noteProcessEnded' | 'noteFailure'>
  readonly probe: (address: types.Address, timeoutMs: number) => Promise<quarantine.ProbeResult>
}

/** The call quarantine of a gateway. */
export type CallQuarantine = gateway.CallGuard & Omit<createSharedQuarantine.SharedQuarantine, 'noteEnd'>

/** Longest time a call waits for the probe of its back end; round trips within a region take less than a tenth of it. */
const PROBE_TIMEOUT_MS = 100
/** Calls lost with the same back end share one probe: they fail within milliseconds of each other, and a connection attempt takes as long. */
const PROBE_CACHE_MS = 50
/** A process that still listened may have ended since, so a probe that it answered is shared for a shorter time. */
const ANSWERED_PROBE_CACHE_MS = 10
/** Connections that are tried at the end of a response without framing until one gets a response. */
const END_PROBES = 3
const END_BY_PROBE: Readonly<Record<quarantine.ProbeResult, gateway.ResponseEnd>> = { refused: 'truncated', taken: 'whole', silent: 'uncertain' }
/** A peer's report that a back end terminated counts as a failure of that back end only up to this age. */
const RECENT_END_MS = 3000

interface CachedProbe {
  readonly result: Promise<quarantine.ProbeResult>
  readonly at: number
}

/**
 * Creates the quarantine of a gateway.
 *
 * @param options - Limits, connections to peers and back ends, and clocks.
 * @returns The quarantine.
 */
export function createCallQuarantine (options: CallQuarantineOptions): CallQuarantine {
  const { tracker, count, now } = options
  const probes = new Map<types.BackEndInstanceId, CachedProbe>()
  const shared = createSharedQuarantine.createSharedQuarantine({ ...options, onReportedEnd: handleReportedEnd })

  /** Opens a connection, unless an earlier one was refused, or is younger than the time for which others may be shared. */
  async function probe ({ id, bornAt, address }: gateway.BackEnd, sharedMs: number): Promise<quarantine.ProbeResult> {
    const instanceId = types.formatBackEndInstanceId(id, bornAt)
    const askedAt = now()
    const cached = probes.get(instanceId)
    if (cached !== undefined && askedAt - cached.at < PROBE_CACHE_MS) {
      const result = await cached.result
      if (result === 'refused' || askedAt - cached.at < sharedMs) return result
    }
    for (const [other, { at }] of probes) if (now() - at >= PROBE_CACHE_MS) probes.delete(other)
    const result = options.probe(address, PROBE_TIMEOUT_MS)
    probes.set(instanceId, { result, at: now() })
    return await result
  }

  function isLeaving ({ id }: gateway.BackEnd): boolean {
    const listed = options.backEnds().find((backEnd) => backEnd.id === id)
    return listed === undefined || options.isLeaving(listed)
  }

  /** A packet of a single connection may be lost, and a process that ended refuses the next one. */
  async function checkEnd (backEnd: gateway.BackEnd): Promise<gateway.ResponseEnd> {
    let result: quarantine.ProbeResult = 'silent'
    for (let attempt = 0; attempt < END_PROBES && result === 'silent'; attempt += 1) result = await probe(backEnd, 0)
    count('unframed_ends', { probe: result })
    return END_BY_PROBE[result]
  }

  async function noteConnectionLost (backEnd: gateway.BackEnd, call: quarantine.CallFeatures): Promise<void> {
    if (!options.settings.enabled) return
    const wasLeaving = isLeaving(backEnd)
    const verdict = quarantine.classifyLostAttempt({ isClosedByPeer: true, isLeaving: wasLeaving, probe: await probe(backEnd, ANSWERED_PROBE_CACHE_MS) })
    count('calls_lost', { verdict })
    if (verdict !== 'ended') return
    tracker.noteProcessEnded(backEnd.id)
    shared.noteEnd({ life: types.formatBackEndInstanceId(backEnd.id, backEnd.bornAt), name: backEnd.id, service: backEnd.service }, call)
  }

  /** A peer's report makes a back end a worse choice; only this gateway's own probe excludes it. */
  function handleReportedEnd (instanceId: types.BackEndInstanceId, at: number): void {
    if (now() - at > RECENT_END_MS) return
    const ended = findByInstanceId.findByInstanceId(options.backEnds(), instanceId)
    if (ended !== undefined) tracker.noteFailure(ended.id)
  }

  return { ...shared, checkEnd, noteConnectionLost }
}
