/** Fleet membership, and rendezvous hashing of members. */
export * from './computeReportTargets/index.js'
export * from './createMemberView/index.js'
export * from './rankByRendezvous/index.js'
