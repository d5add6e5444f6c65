/** Who is there, and who of them comes first for a key. */
export * from './computeReportTargets/index.js'
export * from './createMemberView/index.js'
export * from './rankByRendezvous/index.js'
