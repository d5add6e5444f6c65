/** Stateful fuzz tests that check results with simple oracles. */
export * from './_lib/fuzzOptions.js'
export * from './fuzzCalls/index.js'
export * from './fuzzEdits/index.js'
export * from './fuzzLease/index.js'
export * from './fuzzSpread/index.js'
export * from './soakFleet/index.js'
export * from './runEndlessPeer/index.js'
export * from './soakGateways/index.js'
