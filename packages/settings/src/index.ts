/** Settings of the daemons: TOML in, checked values out. */
export * from './parseSettings/index.js'
