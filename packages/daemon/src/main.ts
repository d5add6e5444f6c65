#!/usr/bin/env node
/** The daemon: `switchridged --settings FILE`. */
import * as fs from 'node:fs'
import yargs from 'yargs'
import * as types from '@switchridge/types'
import * as settings from '@switchridge/settings'
import * as startDaemon from './startDaemon/index.js'

/** Exit codes, as docs/OPERATING.md lists them. */
const EXIT_FAILED = 1
const EXIT_USAGE = 2
const EXIT_SETTINGS = 3
const EXIT_FORCED = 4

const options = await yargs(process.argv.slice(2))
  .scriptName('switchridged')
  .usage('$0 --settings FILE\n\nRuns an entry node or the daemon beside a backend server.')
  .option('settings', { type: 'string', demandOption: true, describe: 'settings file in TOML' })
  .example('$0 --settings examples/entry.toml', 'run an entry node')
  .version('0.1.0')
  .fail((message, error) => {
    process.stderr.write(`switchridged: ${message ?? types.describeError(error)}\n`)
    process.exit(EXIT_USAGE)
  })
  .strict()
  .parseAsync()

function readSettings (file: string): settings.Settings {
  try {
    const parsed = settings.parseSettings(fs.readFileSync(file, 'utf8'), file)
    if (parsed.ok) return parsed.value
    for (const problem of parsed.error.problems) process.stderr.write(`${file}: ${types.formatProblem(problem)}\n`)
  } catch (thrown) {
    process.stderr.write(`switchridged: ${types.describeError(thrown)}\n`)
  }
  process.exit(EXIT_SETTINGS)
}

const checked = readSettings(options.settings)
let isStopping = false

async function stop (role: startDaemon.RunningRole): Promise<void> {
  if (isStopping) process.exit(EXIT_FORCED)
  isStopping = true
  const limit = types.delay(checked.limits.drain_seconds * types.MILLISECONDS_IN_SECOND)
  await Promise.race([role.drain(), limit])
  role.stop()
  process.exit(0)
}

try {
  const role = await startDaemon.startDaemon(checked)
  process.on('SIGTERM', () => { void stop(role) })
  process.on('SIGINT', () => { void stop(role) })
} catch (thrown) {
  process.stderr.write(`switchridged: ${types.describeError(thrown)}\n`)
  process.exit(EXIT_FAILED)
}
