/** JSON-RPC 2.0 between daemons, authentication headers, and HTTP client and server utilities. */
export * from './createHttpAgents/index.js'
export * from './createIdentity/index.js'
export * from './createRpcClient/index.js'
export * from './createRpcServer/index.js'
export * from './handleInTurn/index.js'
export * from './listenHttp/index.js'
export * from './openRequest/index.js'
export * from './trackConnections/index.js'
