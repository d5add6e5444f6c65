/** Estimates when an engine that may serve no call now will serve, from the pieces that its agent still lacks and the rate at which they arrive. */

/** How far an engine is from serving. */
export type ReadinessState =
  /** It serves, or nothing is being done that would make it serve. */
  | { readonly kind: 'none' }
  | { readonly kind: 'fetching', readonly version: number, readonly pieces: number, readonly missing: number }
  /** All pieces have arrived; they are written to the engine's stage. */
  | { readonly kind: 'staging' }
  | { readonly kind: 'staged' }
  /** `since`: monotonic time in milliseconds at which the engine was ordered to load the version. */
  | { readonly kind: 'loading', readonly since: number }

/** The estimate of one engine. */
export interface ReadinessEstimate {
  /** Records the state; call it regularly while pieces arrive. */
  readonly note: (state: ReadinessState) => void
  /** Records how long writing and verifying a stage, or a load, took. */
  readonly noteTook: (step: 'stage' | 'load', milliseconds: number) => void
  /** Milliseconds until the engine serves; null if it does or if the time is unknown. */
  readonly read: () => number | null
}

interface Sample {
  readonly at: number
  readonly missing: number
}

/** Time over which the rate of arriving pieces is measured: pieces arrive in groups, from the origin and from peers. */
const RATE_WINDOW_MS = 1000
/** Shortest time from which a rate is derived. */
const MINIMUM_WINDOW_MS = 300
/** Assumed until measured: writing and verifying the stage over the loopback, and the time from the order to load a version until the engine serves. */
const ASSUMED_STAGE_MS = 200
const ASSUMED_LOAD_MS = 1200
/** Until this fraction of the pieces has arrived, the rate says nothing: pieces arrive ever faster while agents begin to provide them to each other. */
const MINIMUM_ARRIVED_FRACTION = 0.2
/** An estimate that has passed is stated as this. */
const MINIMUM_MS = 1

/**
 * Creates the estimate of one engine.
 *
 * @param now - Monotonic clock in milliseconds.
 * @returns The estimate; unknown at first.
 */
export function createReadinessEstimate (now: () => number): ReadinessEstimate {
  let state: ReadinessState = { kind: 'none' }
  let samples: Sample[] = []
  let stageMs = ASSUMED_STAGE_MS
  let loadMs = ASSUMED_LOAD_MS

  /** Milliseconds until the missing pieces have arrived, at the rate at which pieces arrive; null while none do. */
  function computeFetchMs (missing: number, pieces: number): number | null {
    if (pieces - missing < pieces * MINIMUM_ARRIVED_FRACTION) return null
    const first = samples[0]
    if (first === undefined || now() - first.at < MINIMUM_WINDOW_MS || first.missing <= missing) return null
    return missing * (now() - first.at) / (first.missing - missing)
  }

  function compute (): number | null {
    if (state.kind === 'none') return null
    if (state.kind === 'loading') return loadMs - (now() - state.since)
    if (state.kind === 'staged') return loadMs
    if (state.kind === 'staging') return stageMs + loadMs
    const fetchMs = computeFetchMs(state.missing, state.pieces)
    return fetchMs === null ? null : fetchMs + stageMs + loadMs
  }

  return {
    note: (next) => {
      const isSameFetch = state.kind === 'fetching' && next.kind === 'fetching' && state.version === next.version && state.pieces === next.pieces
      if (!isSameFetch) samples = []
      state = next
      if (next.kind !== 'fetching') return
      samples.push({ at: now(), missing: next.missing })
      while (samples.length > 2 && now() - (samples[1]?.at ?? 0) >= RATE_WINDOW_MS) samples.shift()
    },
    noteTook: (step, milliseconds) => {
      if (step === 'stage') stageMs = milliseconds
      else loadMs = milliseconds
    },
    read: () => {
      const readyInMs = compute()
      return readyInMs === null ? null : Math.max(MINIMUM_MS, Math.round(readyInMs))
    }
  }
}
