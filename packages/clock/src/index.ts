/** A monotonic clock that includes the time during which the machine was suspended, timers based on it, and timeouts of paused processes. */
export * from './createDeadlineScheduler/index.js'
export * from './createLivenessClock/index.js'
export * from './createPauseMonitor/index.js'
export * from './createStallGuard/index.js'
export * from './createSteadyClock/index.js'
export * from './runAfterReads/index.js'
export * from './waitAndRead/index.js'
