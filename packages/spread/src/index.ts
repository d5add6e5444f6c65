/** What daemons tell each other: heartbeats, how far copies are, and changes of copies. */
export * from './createGossip/index.js'
export * from './chooseWatchers/index.js'
export * from './createCopySync/index.js'
export * from './createFactExchange/index.js'
export * from './openDatagrams/index.js'
export * from './rankGateways/index.js'
