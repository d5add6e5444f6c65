/** `switchridge settings check`: validates a settings file and reports all its errors at once. */
import * as fs from 'node:fs'
import type * as yargs from 'yargs'
import * as settings from '@switchridge/settings'
import * as report from '../_lib/report.js'

/** Adds the `settings` command. */
export function addSettingsCommand (parser: yargs.Argv): yargs.Argv {
  return parser.command('settings', 'check settings files', (command) => command
    .command('check <file>', 'check a settings file of a daemon', (sub) => sub.positional('file', { type: 'string', demandOption: true })
      .example('$0 settings check examples/entry.toml', 'check an example'), ({ file }) => {
      const text = fs.readFileSync(file, 'utf8')
      const parsed = settings.isFleetSettings(text) ? settings.parseFleetSettings(text, file) : settings.parseSettings(text, file)
      if (parsed.ok) report.print(`${file}: ok, role ${parsed.value.role}`)
      else report.reportError(parsed.error)
    })
    .demandCommand(1))
}
