/** Functions of the operators' command, exported for tests. */
export * as exitCodes from './_lib/exitCodes.js'
export * as prepareEdit from './_lib/prepareEdit.js'
