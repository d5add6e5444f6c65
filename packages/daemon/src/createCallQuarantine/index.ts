/** Keeps calls that end back ends from the others: a gateway's looks at back ends whose connections were cut, beside what all gateways know together. */
import * as gateway from '@switchridge/gateway'
import * as quarantine from '@switchridge/quarantine'
import * as types from '@switchridge/types'
import * as createSharedQuarantine from '../createSharedQuarantine/index.js'
import * as findByLife from '../_lib/findByLife.js'

/** Options of {@link createCallQuarantine}. */
export interface CallQuarantineOptions extends Omit<createSharedQuarantine.SharedQuarantineOptions, 'onToldEnd'> {
  readonly backEnds: () => readonly gateway.BackEnd[]
  readonly book: Pick<gateway.BackEndBook, 'noteProcessEnded' | 'noteFailure'>
  readonly probe: (address: types.Address, timeoutMs: number) => Promise<quarantine.ProbeResult>
}

/** The quarantine of a gateway. */
export type CallQuarantine = gateway.CallGuard & Omit<createSharedQuarantine.SharedQuarantine, 'noteEnd'>

/** A call waits no longer for the answer whether its back end lives; regions are within a tenth of it. */
const PROBE_MS = 100
/** Calls that are lost together ask once: they notice within milliseconds of each other, and a connection takes as long. */
const PROBE_KEPT_MS = 50
/** Another gateway's word that a back end ended makes it a bad choice if it is not older. */
const FRESH_END_MS = 3000

interface Probe {
  readonly result: Promise<quarantine.ProbeResult>
  readonly at: number
}

/**
 * Creates the quarantine of a gateway.
 *
 * @param options - Limits, ways to others and to back ends, and clocks.
 * @returns The quarantine.
 */
export function createCallQuarantine (options: CallQuarantineOptions): CallQuarantine {
  const { book, count, now } = options
  const probes = new Map<types.BackEndLife, Probe>()
  const shared = createSharedQuarantine.createSharedQuarantine({ ...options, onToldEnd: noteToldEnd })

  /** One connection for all calls that are lost with one back end. */
  async function probe (life: types.BackEndLife, address: types.Address): Promise<quarantine.ProbeResult> {
    const known = probes.get(life)
    if (known !== undefined && now() - known.at < PROBE_KEPT_MS) return await known.result
    for (const [other, { at }] of probes) if (now() - at >= PROBE_KEPT_MS) probes.delete(other)
    const result = options.probe(address, PROBE_MS)
    probes.set(life, { result, at: now() })
    return await result
  }

  function isLeaving ({ id }: gateway.BackEnd): boolean {
    const listed = options.backEnds().find((backEnd) => backEnd.id === id)
    return listed === undefined || listed.isDraining
  }

  async function noteCut (backEnd: gateway.BackEnd, call: quarantine.CallFingerprint): Promise<void> {
    if (!options.settings.enabled) return
    const life = types.formatLife(backEnd.id, backEnd.bornAt)
    const wasLeaving = isLeaving(backEnd)
    const verdict = quarantine.judgeEnd({ isCutByPeer: true, isLeaving: wasLeaving, probe: await probe(life, backEnd.address) })
    count('calls_lost', { verdict })
    if (verdict !== 'ended') return
    book.noteProcessEnded(backEnd.id)
    shared.noteEnd({ life, name: backEnd.id, service: backEnd.service }, call)
  }

  /** Others are believed that a back end is a bad choice; that it may not be chosen at all takes an own look. */
  function noteToldEnd (life: types.BackEndLife, at: number): void {
    if (now() - at > FRESH_END_MS) return
    const ended = findByLife.findByLife(options.backEnds(), life)
    if (ended !== undefined) book.noteFailure(ended.id)
  }

  return { ...shared, noteCut }
}
