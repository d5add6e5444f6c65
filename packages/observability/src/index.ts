/** Structured logs and metrics of the daemons. */
export * from './createCallRegister/index.js'
export * from './createIdleCloseLog/index.js'
export * from './createLineWriter/index.js'
export * from './createLogger/index.js'
export * from './createStatsdMetrics/index.js'
export * from './createPrometheusMetrics/index.js'
export * from './createProcessUsage/index.js'
