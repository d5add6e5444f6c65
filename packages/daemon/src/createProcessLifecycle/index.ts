/** Lifecycle of the process: its phases, the signals that change them, and its end. */
import * as clock from '@switchridge/clock'
import type * as observability from '@switchridge/observability'
import * as types from '@switchridge/types'

/** Phases of a process, in their order. */
export type ProcessPhase = 'starting' | 'serving' | 'draining' | 'ended'

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

/** A role that has started. */
export interface StartedRole {
  readonly role: ManagedRole
  /** Reads the settings again; absent for a role that doesn't. */
  readonly reload?: () => void
  /** Longest time for a drain in milliseconds; the role may bound it more closely. */
  readonly maximumDrainMs?: number
}

/** What the lifecycle needs of the operating system; replaceable in tests. */
export interface ProcessEnvironment {
  readonly onSignal: (signal: NodeJS.Signals, handle: () => void) => void
  /** Reports errors that nothing handles, rejections among them; without a handler such an error ends the process. */
  readonly onUncaughtError: (handle: (error: unknown) => void) => void
  /** Reports that the log can't be written, for example since its reader has ended; without a handler such an error ends the process. */
  readonly onLogError: (handle: () => void) => void
  /** Waits until the log has been passed to the operating system, or until a reader that doesn't read has been waited for long enough. */
  readonly flush: () => Promise<void>
  readonly exit: (code: number) => void
  /** Writes a line to the log of a process whose role has none yet. */
  readonly writeLine: (line: string) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** The lifecycle of a process. */
export interface ProcessLifecycle {
  readonly phase: () => ProcessPhase
  /**
   * Starts the role and serves with it. A role whose process is being ended isn't started, and a stop signal during the start drains the role as soon as it is up.
   * Rejects if the start does.
   */
  readonly serve: (start: () => Promise<StartedRole>) => Promise<void>
  /** Logs the exit and ends the process with an exit code, without waiting for work in progress. */
  readonly end: (code: number) => Promise<void>
}

/** Time in milliseconds in which a role that has ended its calls writes their answers. */
const LAST_PART_MS = 200

type StopSignal = 'SIGTERM' | 'SIGINT'

const EXIT_STOPPED = 0
const EXIT_FAILED = 1
const EXIT_FORCED = 4
const DRAIN_POLL_MS = 50
/** A reader of the log that takes nothing for this long loses the last lines; the process ends without waiting for it. */
const FLUSH_TIMEOUT_MS = 200

const PROCESS_ENVIRONMENT: ProcessEnvironment = {
  onSignal: (signal, handle) => { process.on(signal, handle) },
  onUncaughtError: (handle) => { process.on('uncaughtException', handle) },
  onLogError: (handle) => { for (const output of [process.stdout, process.stderr]) output.on('error', handle) },
  flush: flushOutput,
  exit: (code) => { process.exit(code) },
  writeLine: (line) => { process.stderr.write(`${line}\n`) },
  now: () => performance.now()
}

/** What is still queued for a pipe when the process exits is lost. */
async function flushOutput (): Promise<void> {
  const written = [process.stdout, process.stderr].map(async (output) => { await new Promise<void>((resolve) => { output.write('', () => { resolve() }) }) })
  await Promise.race([Promise.all(written), types.delay(FLUSH_TIMEOUT_MS)])
}

/**
 * Creates the lifecycle and installs the handlers of signals, before anything else is loaded, since the default action of a signal ends the process.
 * Every signal, the begin and the end of a drain, each call that is cut and the exit are logged.
 *
 * @param environment - The operating system.
 * @returns The lifecycle of the process, which is starting.
 */
export function createProcessLifecycle (environment: ProcessEnvironment = PROCESS_ENVIRONMENT): ProcessLifecycle {
  const startedAt = environment.now()
  const received = new Map<NodeJS.Signals, number>()
  let phase: ProcessPhase = 'starting'
  let isRoleStarting = false
  let started: StartedRole | null = null
  let exitCode = EXIT_STOPPED
  /** Signals of the start, which wait for the role. */
  const early = { lines: [] as observability.LogFields[], isReload: false, stop: null as StopSignal | null }

  function noteSignal (signal: NodeJS.Signals): void {
    const times = (received.get(signal) ?? 0) + 1
    received.set(signal, times)
    if (started === null) early.lines.push({ signal, times, phase })
    else logSignal(started.role, { signal, times, phase, inProgress: started.role.calls?.count() })
  }

  function logSignal ({ count, logger }: ManagedRole, fields: observability.LogFields): void {
    count('signals', { signal: String(fields['signal']) })
    logger.info('signal', fields)
  }

  async function serve (start: () => Promise<StartedRole>): Promise<void> {
    if (phase !== 'starting') return
    isRoleStarting = true
    const next = await start()
    if (phase !== 'starting') return
    phase = 'serving'
    started = next
    for (const fields of early.lines) logSignal(next.role, fields)
    if (early.isReload) next.reload?.()
    if (early.stop !== null) void drain(next, early.stop)
  }

  /** @param signal - The signal that began it; absent after an error. */
  async function drain ({ role, maximumDrainMs }: StartedRole, signal?: StopSignal): Promise<void> {
    const { logger, calls } = role
    phase = 'draining'
    const beganAt = environment.now()
    const before = calls?.totals() ?? {}
    logger.info('drain-began', { signal, inProgress: calls?.count() })
    await Promise.race([drainInAnyCase(role), ...(maximumDrainMs === undefined ? [] : [waitUntilDrainIsOver(maximumDrainMs)])])
    if (phase !== 'draining') return
    calls?.noteCut('stopped')
    logger.info('drain-ended', { ms: Math.round(environment.now() - beganAt), ...subtractTotals(calls?.totals() ?? {}, before) })
    stopRole(role)
    await end(exitCode)
  }

  /** A role that can't drain goes on until its calls in progress have ended. */
  async function drainInAnyCase (role: ManagedRole): Promise<void> {
    try {
      await role.drain()
      await role.close?.()
    } catch (thrown) {
      noteError(role, 'drain-failed', thrown)
      while ((role.calls?.count() ?? 0) > 0) await types.delay(DRAIN_POLL_MS)
    }
  }

  function stopRole (role: ManagedRole): void {
    try {
      role.stop()
    } catch (thrown) {
      noteError(role, 'stop-failed', thrown)
    }
  }

  function noteError ({ logger }: ManagedRole, event: string, thrown: unknown): void {
    exitCode = EXIT_FAILED
    logger.error(event, { error: types.describeError(thrown), stack: thrown instanceof Error ? thrown.stack : undefined })
  }

  /** The state of the process is unknown after such an error, so that it takes no new work; calls in progress rarely depend on each other and go on. */
  function handleUncaughtError (thrown: unknown): void {
    if (phase === 'ended') return
    if (started === null) {
      environment.writeLine(`switchridged: ${thrown instanceof Error ? thrown.stack : types.describeError(thrown)}`)
      void end(EXIT_FAILED)
      return
    }
    started.role.count('uncaught_errors', {})
    noteError(started.role, 'uncaught-error', thrown)
    if (phase === 'serving') void drain(started)
  }

  async function end (code: number): Promise<void> {
    if (phase === 'ended') return
    phase = 'ended'
    const uptimeMs = Math.round(environment.now() - startedAt)
    if (started === null) environment.writeLine(`level=info event=exit code=${code} uptimeMs=${uptimeMs} signals=${[...received.keys()].join()}`)
    else started.role.logger.info('exit', { code, uptimeMs })
    await environment.flush()
    environment.exit(code)
  }

  function reload (): void {
    if (started === null) early.isReload = true
    else started.reload?.()
  }

  function stop (signal: StopSignal): void {
    if (started !== null) {
      if (phase === 'serving') void drain(started, signal)
    } else if (isRoleStarting) early.stop ??= signal
    else void end(EXIT_STOPPED)
  }

  /** A supervisor may repeat SIGTERM and SIGINT at any time, so that only SIGQUIT ends calls in progress. */
  function forceEnd (): void {
    if (started !== null) {
      started.role.calls?.noteCut('forced')
      stopRole(started.role)
    }
    void end(EXIT_FORCED)
  }

  function handleSignal (signal: NodeJS.Signals, act: () => void): void {
    environment.onSignal(signal, () => {
      // The line of the exit is the last one.
      if (phase === 'ended') return
      noteSignal(signal)
      act()
    })
  }

  environment.onUncaughtError(handleUncaughtError)
  environment.onLogError(() => { started?.role.count('log_errors', {}) })
  handleSignal('SIGTERM', () => { stop('SIGTERM') })
  handleSignal('SIGINT', () => { stop('SIGINT') })
  handleSignal('SIGQUIT', forceEnd)
  handleSignal('SIGHUP', reload)
  return { phase: () => phase, serve, end }
}

/** The last part of a drain is timed from the end of the others, so that a process that stood still until the drain is over can answer its calls. */
async function waitUntilDrainIsOver (maximumDrainMs: number): Promise<void> {
  const lastPartMs = Math.min(LAST_PART_MS, maximumDrainMs)
  await types.delay(maximumDrainMs - lastPartMs)
  await clock.waitAndRead(lastPartMs)
}

/** How many calls ended in each way since `before`. */
function subtractTotals (totals: Readonly<Record<string, number>>, before: Readonly<Record<string, number>>): Record<string, number> {
  return Object.fromEntries(Object.entries(totals).map(([ending, count]) => [ending, count - (before[ending] ?? 0)]))
}
