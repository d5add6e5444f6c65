/** Lifecycle of the process: its phases, the signals that change them, and its end. */
import type * as observability from '@switchridge/observability'
import * as types from '@switchridge/types'
import * as drainAndLogErrors from '../_lib/drainAndLogErrors.js'

/** Phases of a process, in their order. */
export type ProcessPhase = 'serving' | 'draining' | 'ended'

/** A role whose process is managed. */
export interface ManagedRole {
  /** Stops accepting new work; resolves when the work in progress has ended. */
  readonly drain: () => Promise<void>
  /** Closes the servers after a drain; resolves when what they had begun to answer is delivered and their connections are closed. */
  readonly close?: () => Promise<void>
  /** Stops immediately, without waiting for work in progress. */
  readonly stop: () => void
  /** Calls in progress; null for a role that takes no calls. */
  readonly calls: observability.CallRegister | null
  readonly logger: observability.Logger
  /** Adds one to a counter. */
  readonly count: (name: string, labels: Readonly<Record<string, string>>) => void
}

/** What the lifecycle needs of the operating system; replaceable in tests. */
export interface ProcessEnvironment {
  readonly onSignal: (signal: NodeJS.Signals, handle: () => void) => void
  /** Waits until the log has been passed to the operating system, or until a reader that doesn't read has been waited for long enough. */
  readonly flush: () => Promise<void>
  readonly exit: (code: number) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** Options of {@link createProcessLifecycle}. */
export interface ProcessLifecycleOptions {
  readonly role: ManagedRole
  /** Reads the settings again; absent for a role that doesn't. */
  readonly reload?: () => void
  /** Longest time for a drain in milliseconds, for a role that doesn't bound it itself. */
  readonly maximumDrainMs?: number
  readonly environment?: ProcessEnvironment
}

/** The lifecycle of a process. */
export interface ProcessLifecycle {
  readonly phase: () => ProcessPhase
}

const EXIT_DRAINED = 0
const EXIT_FORCED = 4
/** A reader of the log that takes nothing for this long loses the last lines; the process ends without waiting for it. */
const FLUSH_TIMEOUT_MS = 200

const PROCESS_ENVIRONMENT: ProcessEnvironment = {
  onSignal: (signal, handle) => { process.on(signal, handle) },
  flush: flushOutput,
  exit: (code) => { process.exit(code) },
  now: () => performance.now()
}

/** What is still queued for a pipe when the process exits is lost. */
async function flushOutput (): Promise<void> {
  const written = [process.stdout, process.stderr].map(async (output) => { await new Promise<void>((resolve) => { output.write('', () => { resolve() }) }) })
  await Promise.race([Promise.all(written), types.delay(FLUSH_TIMEOUT_MS)])
}

/**
 * Creates the lifecycle and installs the handlers of signals. Every signal, the begin and the end of a drain, each call that is cut and the exit are logged.
 *
 * @param options - The role and its limits.
 * @returns The lifecycle of the process, which serves.
 */
export function createProcessLifecycle ({ role, reload, maximumDrainMs = Infinity, environment = PROCESS_ENVIRONMENT }: ProcessLifecycleOptions): ProcessLifecycle {
  const { logger, count, calls } = role
  const startedAt = environment.now()
  const received = new Map<NodeJS.Signals, number>()
  let phase: ProcessPhase = 'serving'

  function noteSignal (signal: NodeJS.Signals): void {
    const times = (received.get(signal) ?? 0) + 1
    received.set(signal, times)
    count('signals', { signal })
    logger.info('signal', { signal, times, phase, inProgress: calls?.count() })
  }

  async function drain (signal: NodeJS.Signals): Promise<void> {
    phase = 'draining'
    const beganAt = environment.now()
    const before = calls?.totals() ?? {}
    logger.info('drain-began', { signal, inProgress: calls?.count() })
    await Promise.race([drainAndLogErrors.drainAndLogErrors(role), ...(maximumDrainMs === Infinity ? [] : [types.delay(maximumDrainMs)])])
    calls?.noteCut('stopped')
    logger.info('drain-ended', { ms: Math.round(environment.now() - beganAt), ...subtractTotals(calls?.totals() ?? {}, before) })
    role.stop()
    await end(EXIT_DRAINED)
  }

  async function end (code: number): Promise<void> {
    phase = 'ended'
    logger.info('exit', { code, uptimeMs: Math.round(environment.now() - startedAt) })
    await environment.flush()
    environment.exit(code)
  }

  function handleStopSignal (signal: NodeJS.Signals): void {
    noteSignal(signal)
    if (phase === 'serving') void drain(signal)
    else if (phase === 'draining') {
      calls?.noteCut('forced')
      void end(EXIT_FORCED)
    }
  }

  environment.onSignal('SIGTERM', () => { handleStopSignal('SIGTERM') })
  environment.onSignal('SIGINT', () => { handleStopSignal('SIGINT') })
  if (reload !== undefined) {
    environment.onSignal('SIGHUP', () => {
      noteSignal('SIGHUP')
      reload()
    })
  }
  return { phase: () => phase }
}

/** How many calls ended in each way since `before`. */
function subtractTotals (totals: Readonly<Record<string, number>>, before: Readonly<Record<string, number>>): Record<string, number> {
  return Object.fromEntries(Object.entries(totals).map(([ending, count]) => [ending, count - (before[ending] ?? 0)]))
}
