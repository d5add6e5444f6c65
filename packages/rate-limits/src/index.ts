/** Enforces the rate limits that back ends advertise, across all gateways that send requests to them. */
export * from './chooseCounter/index.js'
export * from './createPermitClient/index.js'
export * from './createPermitCounter/index.js'
export * from './createPermitServer/index.js'
export * from './createRateLimitRecord/index.js'
export * from './types/index.js'
