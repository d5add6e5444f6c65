/** Reads the memory of a process, as Linux counts it. */
import * as fs from 'node:fs'
import * as types from '@switchridge/types'

/** Lines of the status of a process: its largest resident memory so far, and its present one. */
export type MemoryLine = 'VmHWM' | 'VmRSS'

/**
 * Reads the memory of a process.
 *
 * @param pid - Id of the process.
 * @param line - What is read.
 * @returns Bytes; null if the process has ended.
 */
export function readProcessMemory (pid: number, line: MemoryLine): number | null {
  try {
    const [, kibibytes] = new RegExp(`^${line}:\\s+(\\d+) kB$`, 'm').exec(fs.readFileSync(`/proc/${pid}/status`, 'utf8')) ?? []
    return kibibytes === undefined ? null : Number(kibibytes) * types.BYTES_IN_KIBIBYTE
  } catch {
    return null
  }
}
