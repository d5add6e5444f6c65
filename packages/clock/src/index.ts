/** A monotonic clock that includes the time during which the machine was suspended, and timers based on it. */
export * from './createDeadlineScheduler/index.js'
export * from './createLivenessClock/index.js'
export * from './createSteadyClock/index.js'
