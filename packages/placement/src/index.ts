/** Placement decisions, as pure functions of the table and the cluster members. */
export * from './computeOriginGroup/index.js'
export * from './computePlacement/index.js'
export * from './mayStopServing/index.js'
export * from './parseTargets/index.js'
