#!/usr/bin/env node
/** Entry point of the `switchridge` command for operators. */
import yargs from 'yargs'
import type * as yargsTypes from 'yargs'
import * as types from '@switchridge/types'
import * as auditCommand from './auditCommand/index.js'
import * as demoCommand from './demoCommand/index.js'
import * as manifestCommand from './manifestCommand/index.js'
import * as planCommand from './planCommand/index.js'
import * as settingsCommand from './settingsCommand/index.js'
import * as statusCommand from './statusCommand/index.js'
import * as tableCommands from './tableCommands/index.js'
import * as exitCodes from './_lib/exitCodes.js'
import * as report from './_lib/report.js'

const ADD_COMMANDS = [
  tableCommands.addTableCommands,
  statusCommand.addStatusCommand,
  planCommand.addPlanCommand,
  auditCommand.addAuditCommand,
  settingsCommand.addSettingsCommand,
  manifestCommand.addManifestCommand,
  demoCommand.addDemoCommand
]

const parser = yargs(process.argv.slice(2))
  .scriptName('switchridge')
  .usage('$0 COMMAND\n\nEdits the table from which switchridge places weights and routes calls.\nEvery option can be set as SWITCHRIDGE_OPTION in the environment.')
  .env('SWITCHRIDGE')
  .version('0.1.0')
  .demandCommand(1)
  .strict()
  .epilogue('Exit codes: 0 done, 1 failed, 2 usage, 3 invalid input, 4 conflict, 5 unavailable or unknown.')
  .fail((message, error) => {
    if (error !== undefined) {
      report.reportError(error)
      process.exit(process.exitCode ?? exitCodes.EXIT_FAILED)
    }
    process.stderr.write(`switchridge: ${message}\nTry --help.\n`)
    process.exit(exitCodes.EXIT_USAGE)
  })

try {
  await ADD_COMMANDS.reduce((current, add) => add(current), parser as yargsTypes.Argv).parseAsync()
} catch (thrown) {
  report.reportError(thrown instanceof Error ? thrown : new Error(types.describeError(thrown)))
}
