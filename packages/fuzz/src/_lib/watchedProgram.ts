/** A daemon as a process of the bundled program with the heap of its deployment, whose memory is sampled. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'
import type * as launcher from '@switchridge/launcher'
import * as types from '@switchridge/types'
import * as readProcessMemory from './readProcessMemory.js'

/** The running program. */
export interface WatchedProgram {
  readonly isAlive: () => boolean
  /** Largest resident memory in bytes, as the system counts it, up to now or the end of the process. */
  readonly readPeakBytes: () => number
  /** What it has written so far. */
  readonly readLog: () => string
  /** Waits until the log matches; rejects if the process ends, or doesn't write it in {@link LOG_WAIT_MS}. */
  readonly waitForLog: (pattern: RegExp) => Promise<RegExpExecArray>
  /** Kills the process and stops sampling. */
  readonly stop: () => void
}

/** The bundled program of this workspace. */
export const PROGRAM = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../../../../target/switchridged.js')
const HEAP_OPTION = '--max-old-space-size=160'
const SETTINGS_VARIABLE = 'SWITCHRIDGE_NODE_FILE'
const SAMPLE_INTERVAL_MS = 10
const LOG_WAIT_MS = 20_000

/**
 * Starts a program.
 *
 * @param processes - Starts the process and keeps its settings and log.
 * @param name - Name of its files.
 * @param program - The bundled program.
 * @param settings - Text of its settings.
 * @returns The program, which may not be ready yet.
 */
export function startWatchedProgram (processes: launcher.Launcher, name: string, program: string, settings: string): WatchedProgram {
  const settingsFile = path.join(processes.folder, `${name}.toml`)
  fs.writeFileSync(settingsFile, settings)
  const started = processes.start(name, program, [], { [SETTINGS_VARIABLE]: settingsFile, NODE_OPTIONS: HEAP_OPTION })
  let isAlive = true
  let peakBytes = 0
  void started.exited.then(() => { isAlive = false })

  function sample (): number {
    peakBytes = Math.max(peakBytes, readProcessMemory.readProcessMemory(started.pid, 'VmHWM') ?? 0)
    return peakBytes
  }

  function readLog (): string {
    return fs.readFileSync(started.logFile, 'utf8')
  }

  const sampler = setInterval(sample, SAMPLE_INTERVAL_MS)
  return {
    isAlive: () => isAlive,
    readPeakBytes: sample,
    readLog,
    waitForLog: async (pattern) => {
      const deadline = performance.now() + LOG_WAIT_MS
      for (;;) {
        const match = pattern.exec(readLog())
        if (match !== null) return match
        if (!isAlive || performance.now() > deadline) throw new Error(`no ${String(pattern)} in the log of ${name}: ${readLog()}`)
        await types.delay(SAMPLE_INTERVAL_MS)
      }
    },
    stop: () => {
      clearInterval(sampler)
      started.kill('SIGKILL')
    }
  }
}
