/** Detects calls, and parts of prompts that calls share, that crash the back ends that run them, and blocks them before they crash others. */
export * from './createQuarantine/index.js'
export * from './computeFingerprint/index.js'
export * from './classifyLostAttempt/index.js'
export * from './matchesSuspect/index.js'
export * from './selectCallsToBlock/index.js'
export * from './types/index.js'
export type * from './types/suspects.js'
