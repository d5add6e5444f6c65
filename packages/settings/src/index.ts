/** Settings of the daemons: TOML in, checked values out. */
export * from './parseSettings/index.js'
export * from './parseFleetSettings/index.js'
export type { QuarantineSettings } from './_lib/quarantine.js'
