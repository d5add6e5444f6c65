/** Finds calls that end the back ends that run them, and keeps them from the others. */
export * from './createQuarantine/index.js'
export * from './identifyCall/index.js'
export * from './judgeEnd/index.js'
export * from './selectBlocked/index.js'
export * from './types/index.js'
