/** Whether the back end beside a daemon has ended, as the daemon itself can see. */
import * as quarantine from '@switchridge/quarantine'
import * as types from '@switchridge/types'

/** Options of {@link createBackEndState}. */
export interface BackEndStateOptions {
  /** Where the back end listens: scheme, host and port. */
  readonly url: string
  /** Unique over the daemon's restarts; lives of the back end are counted within it. */
  readonly name: string
  readonly probe: (address: types.Address, timeoutMs: number) => Promise<quarantine.ProbeResult>
}

/** The state. */
export interface BackEndState {
  /** The life that has ended, or null while the back end lives or nothing is known of it. */
  readonly readEndedLife: () => Promise<types.BackEndLife | null>
  /** Notes that the back end answered: an end after it is that of another life. */
  readonly noteAnswer: () => void
}

/** The back end runs on the daemon's own machine, or next to it. */
const PROBE_MS = 100
const DEFAULT_PORTS: Readonly<Record<string, number>> = { 'http:': 80, 'https:': 443 }

/**
 * Creates the state of a back end that is taken to live.
 *
 * @param options - Where it listens.
 * @returns The state.
 */
export function createBackEndState (options: BackEndStateOptions): BackEndState {
  const { hostname, port, protocol } = new URL(options.url)
  const address = { host: hostname, port: port === '' ? DEFAULT_PORTS[protocol] ?? 0 : Number(port) }
  let ends = 0
  let hasEnded = false
  return {
    noteAnswer: () => { hasEnded = false },
    readEndedLife: async () => {
      const probe = await options.probe(address, PROBE_MS)
      if (quarantine.judgeEnd({ isCutByPeer: true, isLeaving: false, probe }) !== 'ended') return null
      if (!hasEnded) ends += 1
      hasEnded = true
      return types.brandId<types.BackEndLife>(`${options.name}/${ends}`)
    }
  }
}
