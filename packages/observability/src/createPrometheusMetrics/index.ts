/** Metrics in the Prometheus text format, with prom-client. */
import * as promClient from 'prom-client'

export type MetricLabels = Readonly<Record<string, string>>

/** Counters, gauges and histograms of one process. */
export interface PrometheusMetrics {
  /** Adds to the counter `switchridge_NAME_total`. All calls with the same name must use the same label names. */
  readonly count: (name: string, labels?: MetricLabels, amount?: number) => void
  /** Registers the gauge `switchridge_NAME`; `read` is called at each scrape. */
  readonly gauge: (name: string, read: () => number) => void
  /** Records a duration in the histogram `switchridge_NAME_milliseconds`. */
  readonly observe: (name: string, milliseconds: number) => void
  /** Formats all metrics in the Prometheus text format. */
  readonly format: () => Promise<string>
}

const PREFIX = 'switchridge_'
const BUCKETS_MS = [5, 10, 25, 50, 100, 200, 400, 800, 1600, 3200, 6400]

/**
 * Creates the Prometheus metrics of a process.
 *
 * @param labels - Labels added to every metric.
 * @returns The metrics.
 */
export function createPrometheusMetrics (labels: MetricLabels): PrometheusMetrics {
  const registry = new promClient.Registry()
  registry.setDefaultLabels(labels)
  const counters = new Map<string, promClient.Counter>()
  const histograms = new Map<string, promClient.Histogram>()

  function getOrCreateCounter (name: string, labelNames: string[]): promClient.Counter {
    const existing = counters.get(name)
    if (existing !== undefined) return existing
    const counter = new promClient.Counter({ name: `${PREFIX}${name}_total`, help: name, labelNames, registers: [registry] })
    counters.set(name, counter)
    return counter
  }

  function getOrCreateHistogram (name: string): promClient.Histogram {
    const existing = histograms.get(name)
    if (existing !== undefined) return existing
    const histogram = new promClient.Histogram({ name: `${PREFIX}${name}_milliseconds`, help: name, buckets: BUCKETS_MS, registers: [registry] })
    histograms.set(name, histogram)
    return histogram
  }

  return {
    count: (name, countLabels = {}, amount = 1) => { getOrCreateCounter(name, Object.keys(countLabels)).inc(countLabels, amount) },
    gauge: (name, read) => {
      const gauge: promClient.Gauge = new promClient.Gauge({ name: `${PREFIX}${name}`, help: name, registers: [registry], collect: () => { gauge.set(read()) } })
    },
    observe: (name, milliseconds) => { getOrCreateHistogram(name).observe(milliseconds) },
    format: async () => await registry.metrics()
  }
}
