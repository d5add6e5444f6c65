/** Metrics over StatsD, through hot-shots. */
import * as hotShots from 'hot-shots'

/** Counters, gauges and timings of one process. */
export interface Metrics {
  readonly increment: (name: string, amount?: number) => void
  readonly gauge: (name: string, value: number) => void
  /** Records a duration in milliseconds. */
  readonly timing: (name: string, milliseconds: number) => void
  readonly close: () => void
}

/** Where metrics go. */
export interface MetricsOptions {
  readonly host: string
  readonly port: number
  /** Tags on every metric. */
  readonly tags: Readonly<Record<string, string>>
  /** Nothing is sent when false. */
  readonly enabled: boolean
}

const PREFIX = 'switchridge.'

/**
 * Creates the metrics of a process.
 *
 * @param options - Address of the StatsD server and tags.
 * @returns The metrics; sending never fails the caller.
 */
export function createMetrics (options: MetricsOptions): Metrics {
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
