/** `switchridge audit`: prints the audit trail of table changes. */
import type * as yargs from 'yargs'
import * as types from '@switchridge/types'
import type * as platform from '@switchridge/store'
import * as tables from '@switchridge/table'
import * as connections from '../_lib/connect.js'
import * as report from '../_lib/report.js'

interface AuditArguments extends connections.ConnectionArguments {
  readonly from: number
  readonly editor?: string | undefined
  readonly row?: string | undefined
  readonly follow: boolean
}

const FOLLOW_INTERVAL_MS = 1000

/** Adds the `audit` command. */
export function addAuditCommand (parser: yargs.Argv): yargs.Argv {
  return parser.command('audit', 'read the audit trail of changes', (command) => connections.addConnectionOptions(command)
    .option('from', { type: 'number', default: 1, describe: 'first revision' })
    .option('editor', { type: 'string', describe: 'only edits of this operator' })
    .option('row', { type: 'string', describe: 'only edits of this row, such as model/asistent' })
    .option('follow', { type: 'boolean', default: false, describe: 'go on with new entries' }), async (options) => { await showAudit(options as unknown as AuditArguments) })
}

async function showAudit (options: AuditArguments): Promise<void> {
  const connection = connections.connect(options)
  if (connection.store === null) report.reportError(new types.UnavailableError('no --platform given'))
  else await printEntries(options, connection.store)
  connection.close()
}

async function printEntries (options: AuditArguments, store: platform.ObjectStore): Promise<void> {
  for (let next = options.from; ;) {
    const entries = await tables.readAudit(store, next)
    if (!entries.ok && !options.follow) {
      report.reportError(entries.error)
      return
    }
    const newEntries = entries.ok ? entries.value : []
    for (const entry of newEntries.filter((each) => matchesFilters(each, options))) printEntry(entry, options.json)
    next = Math.max(next, (newEntries.at(-1)?.revision ?? 0) + 1)
    if (!options.follow) return
    await types.delay(FOLLOW_INTERVAL_MS)
  }
}

function matchesFilters (entry: types.AuditEntry, options: AuditArguments): boolean {
  if (options.editor !== undefined && entry.editor !== options.editor) return false
  if (options.row === undefined) return true
  const place = tables.parseRowReference(options.row)
  return place.ok && entry.changes.some((change) => change.section === place.value.section && change.row === place.value.row)
}

function printEntry (entry: types.AuditEntry, json: boolean): void {
  if (json) {
    report.print(JSON.stringify(entry))
    return
  }
  report.print(`revision ${entry.revision}  ${entry.at}  ${entry.editor}  edit ${entry.editId}`)
  for (const change of entry.changes) report.print(`  ${change.section}/${change.row}.${change.column}: ${JSON.stringify(change.before)} -> ${JSON.stringify(change.after)}`)
}
