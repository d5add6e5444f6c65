/** Structured logs and metrics of the daemons. */
export * from './createLogger/index.js'
export * from './createMetrics/index.js'
export * from './createTextMetrics/index.js'
