/** Access to the platform: objects, watches, leases and the node list. */
export * from './createLease/index.js'
export * from './createMemoryObjectStore/index.js'
export * from './createObjectStore/index.js'
export * from './readNodeList/index.js'
export * from './types/index.js'
export * from './createMirror/index.js'
export * from './syncMirror/index.js'
