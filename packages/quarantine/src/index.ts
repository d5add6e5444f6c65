/** Finds calls that end the back ends that run them, and keeps them from the others. */
export * from './identifyCall/index.js'
