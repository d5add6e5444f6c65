/** Runs the daemon that the command line names: finds, reads and checks its settings, and starts its role. */
import * as fs from 'node:fs'
import * as types from '@switchridge/types'
import * as settings from '@switchridge/settings'
import * as drainPeriod from './drainPeriod.js'
import type * as createProcessLifecycle from '../createProcessLifecycle/index.js'

/** Exit codes, documented in docs/OPERATIONS.md. */
const EXIT_FAILED = 1
const EXIT_USAGE = 2
const EXIT_SETTINGS = 3
/** Environment variable with the path of the settings file, used if there are no arguments. */
const SETTINGS_VARIABLE = 'SWITCHRIDGE_NODE_FILE'

/** Parses the command line. Loads yargs only here: the users' platform starts the daemon without arguments, and loading fewer modules shortens the start. */
async function parseArguments (): Promise<string> {
  const { default: yargs } = await import('yargs')
  const options = await yargs(process.argv.slice(2))
    .scriptName('switchridged')
    .usage('$0 --settings FILE\n\nRuns an entry node or the daemon beside a backend server; on the users\' platform, a gateway or an agent.')
    .option('settings', { type: 'string', demandOption: true, default: process.env[SETTINGS_VARIABLE], describe: 'settings file in TOML' })
    .example('$0 --settings examples/entry.toml', 'run an entry node')
    .version('0.1.0')
    .fail((message, error) => {
      process.stderr.write(`switchridged: ${message ?? types.describeError(error)}\n`)
      process.exit(EXIT_USAGE)
    })
    .strict()
    .parseAsync()
  return options.settings
}

async function findSettingsFile (): Promise<string> {
  const fileFromEnvironment = process.env[SETTINGS_VARIABLE]
  return process.argv.length > 2 || fileFromEnvironment === undefined ? await parseArguments() : fileFromEnvironment
}

/** The settings can't be used; the message has a line for each problem. */
class SettingsFailure extends Error {}

function readFile (file: string): string {
  try {
    return fs.readFileSync(file, 'utf8')
  } catch (thrown) {
    throw new SettingsFailure(`switchridged: ${types.describeError(thrown)}`)
  }
}

/** Returns the parsed settings; throws a failure that names every problem with its place. */
function unwrap<Value> (parsed: types.Outcome<Value, types.InvalidInputError>, file: string): Value {
  if (parsed.ok) return parsed.value
  throw new SettingsFailure(parsed.error.problems.map((problem) => `${file}: ${types.formatProblem(problem)}`).join('\n'))
}

/** Starts the role that the settings name. Only the modules of that kind of role are loaded, which shortens the start. */
async function startRole (lifecycle: createProcessLifecycle.ProcessLifecycle, file: string): Promise<void> {
  const text = readFile(file)
  if (settings.isFleetSettings(text)) {
    const checked = unwrap(settings.parseFleetSettings(text, file), file)
    const { startFleetRole } = await import('./startFleetRole.js')
    await lifecycle.serve(async () => await startFleetRole(checked, { file, text }))
    return
  }
  const checked = unwrap(settings.parseSettings(text, file), file)
  const { startDaemon } = await import('../startDaemon/index.js')
  await lifecycle.serve(async () => ({ role: await startDaemon(checked), maximumDrainMs: drainPeriod.computeDrainMs(checked.limits) }))
}

/**
 * Runs the daemon. Prints what is wrong and ends the process if it can't start.
 *
 * @param lifecycle - The lifecycle of the process.
 */
export async function runDaemon (lifecycle: createProcessLifecycle.ProcessLifecycle): Promise<void> {
  try {
    await startRole(lifecycle, await findSettingsFile())
  } catch (thrown) {
    const isSettings = thrown instanceof SettingsFailure
    process.stderr.write(`${isSettings ? thrown.message : `switchridged: ${types.describeError(thrown)}`}\n`)
    await lifecycle.end(isSettings ? EXIT_SETTINGS : EXIT_FAILED)
  }
}
