/** Register of the calls in progress of a process, which says at a planned end what becomes of each of them. */
import type * as createLogger from '../createLogger/index.js'

/**
 * How far a call has come. `reading`: its request arrives, `waiting`: it is whole and was not sent to a back end, `sent`: a back end may run it, `answering`: its
 * response has begun, `delivering`: its response is complete, and not all of it has been handed to the operating system.
 */
export type CallPhase = 'reading' | 'waiting' | 'sent' | 'answering' | 'delivering'

/**
 * Why a process ended a call before its response was delivered: its grace period was over, it was told to end at once, it stopped, or it closed the connection of
 * this call alone, `aborted`.
 */
export type CutReason = 'grace-over' | 'forced' | 'stopped' | 'aborted'

/** How a call ended for its caller: with the whole response, because the caller closed the connection, or because this process did. */
export type CallClosing = 'delivered' | 'left' | 'cut'

/** A call to register. */
export interface RegisteredCall {
  /** Request id; empty if unknown. */
  readonly id: string
  readonly readPhase: () => CallPhase
}

/** A call in progress. */
export interface CallInProgress {
  readonly id: string
  readonly phase: CallPhase
  /** Milliseconds since the call was registered. */
  readonly ageMs: number
}

/** A registered call. */
export interface OpenCall {
  /** Records how the call ended; its response may not be delivered yet. */
  readonly noteEnding: (ending: string) => void
  /** Removes the call, counts its ending, and logs it unless its response was delivered. */
  readonly close: (closing: CallClosing) => void
}

/** The calls of a process. */
export interface CallRegister {
  readonly open: (call: RegisteredCall) => OpenCall
  /** Number of calls in progress. */
  readonly count: () => number
  /** The calls in progress, the oldest first. */
  readonly list: () => CallInProgress[]
  /** Logs and counts each call in progress that was not recorded as cut before, and returns their number. */
  readonly noteCut: (reason: CutReason) => number
  /** Number of calls by ending since the process started; calls that were recorded as cut count as `cut`, those that were removed without an ending as `left`. */
  readonly totals: () => Readonly<Record<string, number>>
}

/** Options of {@link createCallRegister}. */
export interface CallRegisterOptions {
  readonly logger: createLogger.Logger
  /** Adds one to a counter. */
  readonly count: (name: string, labels: Readonly<Record<string, string>>) => void
  /** Version of the configuration or revision of the table in force; null before the first one. */
  readonly readConfiguration: () => number | null
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** At most so many calls get a line of their own when a process ends, so that writing them doesn't delay the end. */
const MAXIMUM_LOGGED_CUTS = 200
const CUT = 'cut'
const LEFT = 'left'

interface Entry extends RegisteredCall {
  readonly openedAt: number
  ending: string
  isCut: boolean
}

/**
 * Creates the register.
 *
 * @param options - Log, counters and clock.
 * @returns The register, without calls.
 */
export function createCallRegister ({ logger, count, readConfiguration, now }: CallRegisterOptions): CallRegister {
  const entries = new Set<Entry>()
  const totals = new Map<string, number>()

  function add (ending: string): void {
    totals.set(ending, (totals.get(ending) ?? 0) + 1)
  }

  function describe ({ id, readPhase, openedAt }: Entry): CallInProgress {
    return { id, phase: readPhase(), ageMs: Math.round(now() - openedAt) }
  }

  function noteCutEntry (entry: Entry, reason: CutReason, isLogged: boolean): void {
    const { id, phase, ageMs } = describe(entry)
    entry.isCut = true
    add(CUT)
    count('calls_cut', { phase, reason })
    if (isLogged) logger.warn('call-cut', { id, phase, ageMs, configuration: readConfiguration(), reason })
  }

  function noteLeft (entry: Entry): void {
    const { id, phase, ageMs } = describe(entry)
    entry.ending = LEFT
    count('calls_left', { phase })
    logger.info('call-left', { id, phase, ageMs, configuration: readConfiguration() })
  }

  function noteCut (reason: CutReason): number {
    const cut = [...entries].filter(({ isCut }) => !isCut)
    for (const [index, entry] of cut.entries()) noteCutEntry(entry, reason, index < MAXIMUM_LOGGED_CUTS)
    if (cut.length > MAXIMUM_LOGGED_CUTS) logger.warn('calls-cut', { count: cut.length, logged: MAXIMUM_LOGGED_CUTS, reason })
    return cut.length
  }

  return {
    open: (call) => {
      const entry: Entry = { ...call, openedAt: now(), ending: LEFT, isCut: false }
      entries.add(entry)
      return {
        noteEnding: (ending) => { entry.ending = ending },
        close: (closing) => {
          if (!entries.delete(entry) || entry.isCut) return
          if (closing === 'cut') return noteCutEntry(entry, 'aborted', true)
          if (closing === 'left') noteLeft(entry)
          add(entry.ending)
        }
      }
    },
    count: () => entries.size,
    list: () => [...entries].map(describe),
    noteCut,
    totals: () => Object.fromEntries(totals)
  }
}
