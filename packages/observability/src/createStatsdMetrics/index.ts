/** Metrics sent to a StatsD server with hot-shots. */
import * as hotShots from 'hot-shots'

/** Counters, gauges and timings of one process. */
export interface StatsdMetrics {
  readonly increment: (name: string, amount?: number) => void
  readonly gauge: (name: string, value: number) => void
  /** Records a duration in milliseconds. */
  readonly timing: (name: string, milliseconds: number) => void
  readonly close: () => void
}

/** Destination and tags of the metrics. */
export interface StatsdOptions {
  readonly host: string
  readonly port: number
  /** Tags added to every metric. */
  readonly tags: Readonly<Record<string, string>>
  /** When false, nothing is sent. */
  readonly enabled: boolean
}

const PREFIX = 'switchridge.'

/**
 * Creates the StatsD client of a process.
 *
 * @param options - Address of the StatsD server and tags.
 * @returns The metrics; errors of sending are ignored.
 */
export function createStatsdMetrics (options: StatsdOptions): StatsdMetrics {
  const client = new hotShots.StatsD({
    host: options.host,
    port: options.port,
    prefix: PREFIX,
    globalTags: options.tags,
    mock: !options.enabled,
    maxBufferSize: 1400,
    errorHandler: () => {}
  })
  return {
    increment: (name, amount = 1) => { client.increment(name, amount) },
    gauge: (name, value) => { client.gauge(name, value) },
    timing: (name, milliseconds) => { client.timing(name, milliseconds) },
    close: () => { client.close(() => {}) }
  }
}
