/** Memory of this process, and how long its event loop stands still. */
import * as perfHooks from 'node:perf_hooks'

/** Durations of the turns of an event loop, in nanoseconds. */
export type TurnDurations = Pick<perfHooks.IntervalHistogram, 'max' | 'reset' | 'disable'>

/** What a process uses. */
export interface ProcessUsage {
  /** Milliseconds of the longest turn of the event loop since the last read or the start; 0 if none was measured. A suspension counts as a turn. */
  readonly readLongestTurnMs: () => number
  /** Bytes of memory of the process that are in use, as the operating system counts them. */
  readonly readResidentBytes: () => number
  /** Bytes of the JavaScript heap in use; `--max-old-space-size` bounds most of them. */
  readonly readHeapBytes: () => number
  /** Bytes of buffers, which lie outside the heap. */
  readonly readBufferBytes: () => number
  /** Stops measuring turns. */
  readonly stop: () => void
}

/** Turns are measured at this interval; shorter ones are not told apart. */
const RESOLUTION_MS = 50
const NANOSECONDS_IN_MILLISECOND = 1e6

/** Starts measuring the turns of this process. */
function measureTurns (): TurnDurations {
  const turns = perfHooks.monitorEventLoopDelay({ resolution: RESOLUTION_MS })
  turns.enable()
  return turns
}

/**
 * Creates the readings.
 *
 * @param turns - Durations of turns; those of this process by default.
 * @returns The readings.
 */
export function createProcessUsage (turns: TurnDurations = measureTurns()): ProcessUsage {
  return {
    readLongestTurnMs: () => {
      const longestMs = turns.max / NANOSECONDS_IN_MILLISECOND
      turns.reset()
      return longestMs
    },
    readResidentBytes: () => process.memoryUsage.rss(),
    readHeapBytes: () => process.memoryUsage().heapUsed,
    readBufferBytes: () => process.memoryUsage().arrayBuffers,
    stop: () => { turns.disable() }
  }
}

/**
 * Registers the gauges of a process.
 *
 * @param usage - What the process uses.
 * @param gauge - Registers a gauge; `read` is called at each scrape.
 */
export function gaugeProcessUsage (usage: ProcessUsage, gauge: (name: string, read: () => number) => void): void {
  gauge('resident_memory_bytes', usage.readResidentBytes)
  gauge('heap_used_bytes', usage.readHeapBytes)
  gauge('buffer_bytes', usage.readBufferBytes)
  gauge('longest_turn_ms', usage.readLongestTurnMs)
}
