/** Detects whether the back end beside a daemon has terminated. */
import * as quarantine from '@switchridge/quarantine'
import * as types from '@switchridge/types'

/** Options of {@link createBackEndState}. */
export interface BackEndStateOptions {
  /** Base URL of the back end: scheme, host and port. */
  readonly url: string
  /** Unique across restarts of the daemon; prefixes the identifiers of the back end's process instances. */
  readonly name: string
  readonly probe: (address: types.Address, timeoutMs: number) => Promise<quarantine.ProbeResult>
}

/** Tracks the process instances of the back end beside one daemon. */
export interface BackEndState {
  /** Probes the back end; resolves to the process instance that terminated, or null while the back end runs or its state is unknown. */
  readonly findTerminatedInstance: () => Promise<types.BackEndInstanceId | null>
  /** Records an answer of the back end: a later termination is that of another process instance. */
  readonly noteAnswer: () => void
}

/** Short, because the back end runs on the daemon's own machine or next to it. */
const PROBE_TIMEOUT_MS = 100
const DEFAULT_PORTS: Readonly<Record<string, number>> = { 'http:': 80, 'https:': 443 }

/**
 * Creates the state of a back end that is assumed to be running.
 *
 * @param options - The back end's URL, the prefix for instance identifiers and the probe.
 * @returns The state.
 */
export function createBackEndState (options: BackEndStateOptions): BackEndState {
  const { hostname, port, protocol } = new URL(options.url)
  const address = { host: hostname, port: port === '' ? DEFAULT_PORTS[protocol] ?? 0 : Number(port) }
  let terminations = 0
  let hasTerminated = false
  return {
    noteAnswer: () => { hasTerminated = false },
    findTerminatedInstance: async () => {
      const probe = await options.probe(address, PROBE_TIMEOUT_MS)
      if (quarantine.classifyLostAttempt({ isClosedByPeer: true, isLeaving: false, probe }) !== 'ended') return null
      if (!hasTerminated) terminations += 1
      hasTerminated = true
      return types.brandId<types.BackEndInstanceId>(`${options.name}/${terminations}`)
    }
  }
}
