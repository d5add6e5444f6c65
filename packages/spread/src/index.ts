/** Communication between daemons: heartbeats, synchronization of store copies, and facts that all gateways learn. */
export * from './createGossip/index.js'
export * from './chooseWatchers/index.js'
export * from './createCopySync/index.js'
export * from './createFactExchange/index.js'
export * from './openDatagrams/index.js'
export * from './rankGateways/index.js'
