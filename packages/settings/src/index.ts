/** Parses and validates the TOML settings files of the daemons. */
export * from './parseSettings/index.js'
export * from './parseFleetSettings/index.js'
export type { QuarantineSettings } from './_lib/quarantine.js'
