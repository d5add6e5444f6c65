/** Starts complete fleets on the loopback interface, for the demo and the measurements. */
export * from './createLauncher/index.js'
export * from './describeFleet/index.js'
export * from './findPorts/index.js'
export * from './readMembers/index.js'
export * from './startFleet/index.js'
export * from './waitUntil/index.js'
