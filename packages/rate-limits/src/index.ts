/** Keeps the rates that back ends name, over all daemons that send to them. */
export * from './createRateLimitRecord/index.js'
export * from './types/index.js'
