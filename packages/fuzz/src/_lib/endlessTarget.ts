/** What endless peers send to, and what is judged beside them. */
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import type * as endlessShapes from './endlessShapes.js'
import type * as watchedProgram from './watchedProgram.js'

/** The engines of the services. */
export interface EndlessEngines {
  readonly sound: types.Address
  readonly faulty: readonly types.Address[]
}

/** Options of a target. */
export interface EndlessTargetOptions {
  /** The bundled program. */
  readonly program: string
  readonly engines: EndlessEngines
  readonly shape: endlessShapes.EndlessShape
}

/** The running target. */
export interface EndlessTarget {
  /** Where sound calls go. */
  readonly sound: { readonly address: types.Address, readonly path: string }
  /** Where the callers of a faulty engine, and faulty callers, send. */
  readonly faulty: {
    readonly address: types.Address
    readonly path: string
    readonly headers: Readonly<Record<string, string>>
    /** Headers with the id of a request. */
    readonly idHeaders: readonly string[]
    /** Size of a body in bytes that the interface allows. */
    readonly bodyBytes: number
  }
  /** The judged processes. */
  readonly programs: readonly watchedProgram.WatchedProgram[]
  /** Longest turn of the event loop in milliseconds since the last read; NaN if the target doesn't tell. */
  readonly readLongestTurnMs: () => Promise<number>
  readonly close: () => Promise<void>
}

export const API_KEY = 'key-of-tenant-one'
export const UNKNOWN_KEY = 'no-key'
/** Time-out of all calls in milliseconds. */
export const TIMEOUT_MS = 2000
/** Largest body of a caller, that of the interface. */
export const BODY_BYTES = 4 * types.BYTES_IN_MEBIBYTE
/** Memory of a gateway's machine. */
export const CLASS_MEGABYTES = 350
const OK = 200
const START_WAIT_MS = 20_000
const POLL_MS = 10

/** Waits until sound calls are answered; rejects if they are not in {@link START_WAIT_MS}. */
export async function waitUntilServed ({ sound: { address, path }, programs }: Pick<EndlessTarget, 'sound' | 'programs'>): Promise<void> {
  const deadline = performance.now() + START_WAIT_MS
  for (let turn = 0; ; turn += 1) {
    const { status } = await testing.sendCallerRequest(address, API_KEY, { path, id: `start-${turn}` })
    if (status === OK) return
    if (!programs.every(({ isAlive }) => isAlive()) || performance.now() > deadline) throw new Error(`sound calls get ${status}: ${programs.map(({ readLog }) => readLog()).join('')}`)
    await types.delay(POLL_MS)
  }
}
