/** Keeps the rates that back ends name, over all daemons that send to them. */
export * from './chooseCounter/index.js'
export * from './createPermitClient/index.js'
export * from './createPermitCounter/index.js'
export * from './createPermitServer/index.js'
export * from './createRateLimitRecord/index.js'
export * from './types/index.js'
