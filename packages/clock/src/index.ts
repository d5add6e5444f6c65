/** A steady clock that counts the time in which its machine was suspended, and deadlines that go by it. */
export * from './createDeadlines/index.js'
export * from './createSteadyClock/index.js'
