/** `switchridge demo`: runs a complete fleet as processes on the loopback interface, with real transfers and calls. */
import type * as yargs from 'yargs'
import * as launcher from '@switchridge/launcher'
import * as exitCodes from '../_lib/exitCodes.js'
import * as runDemo from './runDemo.js'

/** Adds the `demo` command. */
export function addDemoCommand (parser: yargs.Argv): yargs.Argv {
  return parser.command('demo', 'run a whole fleet on this machine for a minute', (command) => command
    .option('deployment', { choices: launcher.DEPLOYMENTS, default: 'depozit' as const, describe: 'whose fleet' })
    .option('mebibytes', { type: 'number', default: 64, describe: 'size of the weights' })
    .option('plain', { type: 'boolean', default: false, describe: 'plain lines instead of progress bars' })
    .option('logs', { type: 'string', describe: 'folder in which settings and logs of all processes are kept' })
    .option('json', { type: 'boolean', default: false, describe: 'print the summary as JSON' }), async (options) => {
    const hasPassed = await runDemo.runDemo(options)
    process.exit(hasPassed ? exitCodes.EXIT_OK : exitCodes.EXIT_FAILED)
  })
}
