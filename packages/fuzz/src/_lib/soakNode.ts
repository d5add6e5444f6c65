/** A daemon of a soak: a process of the bundled program that is started again when it has ended. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'
import type * as launcher from '@switchridge/launcher'
import * as types from '@switchridge/types'
import * as readProcessMemory from './readProcessMemory.js'

/** One start of a daemon until its end. Times are of the monotonic clock in milliseconds. */
export interface Incarnation {
  readonly node: string
  readonly role: 'gateway' | 'agent'
  readonly startedAt: number
  /** Signals in the order in which they were sent. */
  readonly signals: Array<{ readonly signal: NodeJS.Signals, readonly at: number }>
  exitedAt: number | null
  /** Exit code; null while it runs and if a signal ended it. */
  code: number | null
  /** Whether it was killed because it still ran at the end of the grace period. */
  wasOverdue: boolean
  /** Largest resident memory in bytes; 0 for a process without options of Node.js, whose heap isn't limited as in a deployment. */
  peakBytes: number
  readonly logFile: string
}

const STOP_SIGNALS: ReadonlySet<NodeJS.Signals> = new Set(['SIGTERM', 'SIGINT'])

/** When a process got the first signal that stops it; null if it got none. */
export function findStop ({ signals }: Pick<Incarnation, 'signals'>): number | null {
  return signals.find(({ signal }) => STOP_SIGNALS.has(signal))?.at ?? null
}

/** A daemon that is started again when it has ended. */
export interface SoakNode {
  readonly node: string
  readonly role: 'gateway' | 'agent'
  readonly hall: number
  readonly host: string
  readonly incarnations: Incarnation[]
  /** Sends a signal if the process runs. The first signal that stops it is followed by SIGKILL after the grace period. */
  readonly signal: (signal: NodeJS.Signals) => void
  readonly isRunning: () => boolean
  /** How the next start is to be done. */
  next: { downMs: number, reloadsAfterStartMs: readonly number[] }
  /** Writes the settings file; `torn` writes only the first half of it. */
  readonly changeSettings: (torn: boolean) => void
}

/** Options of {@link startSoakNode}. */
export interface SoakNodeOptions {
  readonly processes: launcher.Launcher
  readonly node: string
  readonly role: SoakNode['role']
  readonly hall: number
  readonly host: string
  /** Text of its settings. */
  readonly settings: string
  /** Milliseconds from the first signal that stops it to SIGKILL. */
  readonly graceMs: number
  /** Options of Node.js. */
  readonly nodeOptions?: string
  /** Whether it is started again. */
  readonly mayRestart: () => boolean
}

const PROGRAM = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../../../../target/switchridged.js')
/** The platform passes the path of the settings file in this environment variable. */
const SETTINGS_VARIABLE = 'SWITCHRIDGE_NODE_FILE'
const DOWN_MS = 300
const SAMPLE_INTERVAL_MS = 100

/**
 * Starts a daemon.
 *
 * @param options - What it is, and its settings.
 * @returns The daemon, which may not be ready yet.
 */
export function startSoakNode ({ processes, node: name, role, hall, host, settings, graceMs, nodeOptions, mayRestart }: SoakNodeOptions): SoakNode {
  const settingsFile = path.join(processes.folder, `${name}.toml`)
  const incarnations: Incarnation[] = []
  let running: launcher.LaunchedProcess | null = null
  let settingsTurn = 0

  function changeSettings (torn: boolean): void {
    settingsTurn += 1
    const text = `${settings}# Change ${settingsTurn}\n`
    fs.writeFileSync(settingsFile, torn ? text.slice(0, text.length / 2) : text)
  }

  function start (): void {
    const started = processes.start(`${name}.${incarnations.length}`, PROGRAM, [], { [SETTINGS_VARIABLE]: settingsFile, ...(nodeOptions === undefined ? {} : { NODE_OPTIONS: nodeOptions }) })
    const incarnation: Incarnation = { node: name, role, startedAt: performance.now(), signals: [], exitedAt: null, code: null, wasOverdue: false, peakBytes: 0, logFile: started.logFile }
    incarnations.push(incarnation)
    running = started
    const sampler = nodeOptions === undefined ? undefined : setInterval(() => { incarnation.peakBytes = Math.max(incarnation.peakBytes, readProcessMemory.readProcessMemory(started.pid, 'VmHWM') ?? 0) }, SAMPLE_INTERVAL_MS)
    for (const afterMs of node.next.reloadsAfterStartMs) setTimeout(() => { if (running === started) signal('SIGHUP') }, afterMs)
    void started.exited.then(async (code) => {
      running = null
      clearInterval(sampler)
      incarnation.exitedAt = performance.now()
      incarnation.code = code
      await types.delay(node.next.downMs)
      node.next = { ...node.next, downMs: DOWN_MS }
      if (mayRestart()) start()
    })
    node.next = { downMs: DOWN_MS, reloadsAfterStartMs: [] }
  }

  function signal (sent: NodeJS.Signals): void {
    const incarnation = incarnations.at(-1)
    const target = running
    if (incarnation === undefined || target === null) return
    const isFirstStop = STOP_SIGNALS.has(sent) && findStop(incarnation) === null
    incarnation.signals.push({ signal: sent, at: performance.now() })
    target.kill(sent)
    if (!isFirstStop) return
    setTimeout(() => {
      if (running !== target) return
      incarnation.wasOverdue = true
      target.kill('SIGKILL')
    }, graceMs).unref()
  }

  const node: SoakNode = { node: name, role, hall, host, incarnations, signal, isRunning: () => running !== null, next: { downMs: DOWN_MS, reloadsAfterStartMs: [] }, changeSettings }
  changeSettings(false)
  start()
  return node
}
