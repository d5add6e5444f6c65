/** Small stand-ins of the systems that switchridge meets, for the demo, tests and measurements. */
export * from './computeAnswer/index.js'
export * from './computeWeights/index.js'
export * from './createEngineStandIn/index.js'
export * from './createLinkNetwork/index.js'
export * from './createOriginStandIn/index.js'
export * from './createPlainStandIn/index.js'
export * from './createPlatformStandIn/index.js'
