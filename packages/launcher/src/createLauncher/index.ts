/** Starts child processes for the demo and the measurements, and makes sure that all of them end. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as types from '@switchridge/types'

/** A process that the launcher started. */
export interface LaunchedProcess {
  readonly name: string
  readonly pid: number
  /** File that receives the process's standard output and standard error. */
  readonly logFile: string
  /** Resolves to the exit code, or to null if a signal ended the process. */
  readonly exited: Promise<number | null>
  readonly kill: (signal: NodeJS.Signals) => void
}

/** Exit code and output of a finished command. */
export interface CommandResult {
  readonly exitCode: number
  readonly stdout: string
  readonly stderr: string
}

/** Starts and terminates child processes. */
export interface Launcher {
  /** Folder for settings and logs. */
  readonly folder: string
  /** Starts a module as a process; `name` is that of its log file, `environment` is added to this process's own. */
  readonly start: (name: string, module: string, args: readonly string[], environment?: Readonly<Record<string, string>>) => LaunchedProcess
  /** Runs a module as a command and waits until it exits. */
  readonly run: (module: string, args: readonly string[], environment: Readonly<Record<string, string>>) => Promise<CommandResult>
  /** Returns the processes that are still running. */
  readonly processes: () => readonly LaunchedProcess[]
  /** Terminates the processes that are still running and removes the folder, unless it is to be kept. */
  readonly close: () => Promise<void>
}

/** Time for processes to exit after SIGTERM before they get SIGKILL. */
const TERMINATION_TIMEOUT_MS = 1500
const EXIT_INTERRUPTED = 130
const SIGNALS = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const
/** Environment variable with Node.js flags for every launched process, for example `--cpu-prof --cpu-prof-dir=DIR`. */
const FLAGS_VARIABLE = 'SWITCHRIDGE_NODE_FLAGS'

function readFlags (): string[] {
  return (process.env[FLAGS_VARIABLE] ?? '').split(' ').filter((flag) => flag !== '')
}

/**
 * Creates a launcher.
 *
 * @param keptFolder - Folder in which settings and logs are kept; by default they go to a temporary folder that `close` removes.
 * @returns The launcher; its processes are killed when this process exits, also on a failure or a signal.
 */
export function createLauncher (keptFolder?: string): Launcher {
  const folder = keptFolder ?? fs.mkdtempSync(path.join(os.tmpdir(), 'switchridge-'))
  fs.mkdirSync(folder, { recursive: true })
  const running = new Map<number, LaunchedProcess>()
  const killAll = (): void => { for (const launched of running.values()) launched.kill('SIGKILL') }
  const killAndExit = (): void => {
    killAll()
    process.exit(EXIT_INTERRUPTED)
  }
  process.once('exit', killAll)
  for (const signal of SIGNALS) process.once(signal, killAndExit)

  function start (name: string, module: string, args: readonly string[], environment: Readonly<Record<string, string>> = {}): LaunchedProcess {
    const logFile = path.join(folder, `${name}.log`)
    const log = fs.openSync(logFile, 'a')
    const child = childProcess.spawn(process.execPath, [...readFlags(), '--enable-source-maps', module, ...args], { env: { ...process.env, ...environment }, stdio: ['ignore', log, log] })
    fs.closeSync(log)
    const pid = child.pid ?? 0
    const exited = new Promise<number | null>((resolve) => {
      child.once('exit', (code) => {
        running.delete(pid)
        resolve(code)
      })
    })
    const launched = { name, pid, logFile, exited, kill: (signal: NodeJS.Signals) => { child.kill(signal) } }
    running.set(pid, launched)
    return launched
  }

  async function run (module: string, args: readonly string[], environment: Readonly<Record<string, string>>): Promise<CommandResult> {
    return await new Promise((resolve) => {
      childProcess.execFile(process.execPath, [module, ...args], { env: { ...process.env, ...environment } }, (error, stdout, stderr) => {
        resolve({ exitCode: error === null ? 0 : Number(error.code ?? 1), stdout, stderr })
      })
    })
  }

  async function close (): Promise<void> {
    const remaining = [...running.values()]
    for (const launched of remaining) launched.kill('SIGTERM')
    await Promise.race([Promise.all(remaining.map(async (launched) => await launched.exited)), types.delay(TERMINATION_TIMEOUT_MS)])
    const ended = [...running.values()].map(async (launched) => await launched.exited)
    killAll()
    await Promise.all(ended)
    process.off('exit', killAll)
    for (const signal of SIGNALS) process.off(signal, killAndExit)
    if (keptFolder === undefined) fs.rmSync(folder, { recursive: true, force: true })
  }

  return { folder, start, run, processes: () => [...running.values()], close }
}
