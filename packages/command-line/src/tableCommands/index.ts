/** `switchridge table`: shows, edits, imports, exports and checks the table. */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as got from 'got'
import type * as yargs from 'yargs'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import type * as platform from '@switchridge/store'
import * as tables from '@switchridge/table'
import * as transfer from '@switchridge/transfer'
import * as connections from '../_lib/connect.js'
import * as onInterrupt from '../_lib/onInterrupt.js'
import * as prepareEdit from '../_lib/prepareEdit.js'
import * as report from '../_lib/report.js'

interface EditArguments extends connections.ConnectionArguments {
  readonly dryRun: boolean
  readonly force: boolean
  readonly editId?: string | undefined
  readonly auditKeep: number
}

/** Computes the changes of an edit from the current table. */
type MakeChanges = (table: types.Table) => Promise<types.Outcome<readonly types.CellChange[], Error>> | types.Outcome<readonly types.CellChange[], Error>

/** Adds the `table` command. */
export function addTableCommands (parser: yargs.Argv): yargs.Argv {
  return parser.command('table', 'show and edit the table', (command) => connections.addConnectionOptions(command)
    .command('show', 'print the table', {}, async (options) => { await showTable(options as unknown as connections.ConnectionArguments) })
    .command('export', 'print the table as CSV', {}, async (options) => { await exportTable(options as unknown as connections.ConnectionArguments) })
    .command('set <row> <cells..>', 'set cells of a row, adding the row if it is new', (sub) => addEditOptions(sub)
      .positional('row', { type: 'string', describe: 'model/ID, service/ID, account/ID or node/ID' })
      .positional('cells', { type: 'string', array: true, describe: 'column=value' })
      .example('$0 table set model/asistent version=2 source=weights/asistent-2', 'change a version'),
    async (options) => {
      const { row, cells } = options as unknown as { row: string, cells: string[] }
      await editTable(options as unknown as EditArguments, async (table) => await makeCellChanges(table, row, cells, options['origin'] as string | undefined))
    })
    .command('unset <row>', 'remove a row', (sub) => addEditOptions(sub).positional('row', { type: 'string' }), async (options) => {
      await editTable(options as unknown as EditArguments, () => makeRemoval((options as unknown as { row: string }).row))
    })
    .command('import <file>', 'make the table like a CSV file', (sub) => addEditOptions(sub).positional('file', { type: 'string' }), async (options) => {
      const { file } = options as unknown as { file: string }
      await editTable(options as unknown as EditArguments, (table) => tables.parseCsv(fs.readFileSync(file, 'utf8'), table))
    })
    .command('check <file>', 'check a CSV file without changing anything', (sub) => sub.positional('file', { type: 'string' }), (options) => {
      checkFile((options as unknown as { file: string }).file)
    })
    .demandCommand(1))
}

function addEditOptions (command: yargs.Argv<object>): yargs.Argv<object> {
  return command
    .option('dry-run', { type: 'boolean', default: false, describe: 'show what would move and what it costs' })
    .option('force', { type: 'boolean', default: false, describe: 'accept targets above what the fleet holds now' })
    .option('edit-id', { type: 'string', describe: 'repeat an earlier edit whose outcome is unknown' })
    .option('audit-keep', { type: 'number', default: 100_000, describe: 'audit entries to keep' })
}

async function withTable (options: connections.ConnectionArguments, callback: (table: types.Table, connection: connections.Connections, store: platform.ObjectStore) => Promise<void>): Promise<void> {
  const connection = connections.connect(options)
  if (connection.store === null) {
    report.reportError(new types.InvalidInputError('arguments', [{ place: '--platform', given: 'nothing', allowed: 'the URL of the platform' }]))
    return
  }
  const stored = await tables.readTable(connection.store)
  if (stored.ok) await callback(stored.value.table, connection, connection.store)
  else report.reportError(stored.error)
  connection.close()
}

async function showTable (options: connections.ConnectionArguments): Promise<void> {
  await withTable(options, async (table) => {
    if (options.json) {
      report.print(JSON.stringify(table))
      return
    }
    report.print(`revision ${table.revision}`)
    for (const section of ['services', 'accounts', 'models', 'nodes'] as const) {
      const rows = table[section].map((row) => Object.values(row).map((cell) => cell === null ? '' : truncateCell(String(cell))))
      if (rows.length === 0) continue
      report.print(`\n${section}`)
      report.printColumns(Object.keys(table[section][0] ?? {}), rows)
    }
  })
}

const MAX_CELL_LENGTH = 24
const MANIFEST_TIMEOUT_MS = 60_000

function truncateCell (cell: string): string {
  return cell.length <= MAX_CELL_LENGTH ? cell : `${cell.slice(0, MAX_CELL_LENGTH - 1)}~`
}

async function exportTable (options: connections.ConnectionArguments): Promise<void> {
  await withTable(options, async (table) => { process.stdout.write(tables.formatCsv(table)) })
}

function checkFile (file: string): void {
  const changes = tables.parseCsv(fs.readFileSync(file, 'utf8'), types.EMPTY_TABLE)
  if (changes.ok) report.print(`${file}: ok`)
  else report.reportError(changes.error)
}

async function makeCellChanges (table: types.Table, rowText: string, cells: readonly string[], origin: string | undefined): Promise<types.Outcome<readonly types.CellChange[], Error>> {
  const place = tables.parseRowReference(rowText)
  if (!place.ok) return place
  const pinned = await pinManifest(place.value.section, cells, origin)
  if (!pinned.ok) return pinned
  return tables.parseAssignments(table, place.value, pinned.value)
}

/** Adds the digest and size from the manifest at the origin when a source is set without a manifest and the origin is known. */
async function pinManifest (section: types.SectionName, cells: readonly string[], origin: string | undefined): Promise<types.Outcome<readonly string[], types.UnavailableError>> {
  const source = cells.find((cell) => cell.startsWith('source='))?.slice('source='.length)
  const isPinned = cells.some((cell) => cell.startsWith('manifest='))
  if (section !== 'models' || source === undefined || isPinned || origin === undefined) return types.succeed(cells)
  try {
    const url = `${origin}/${source}.manifest.json`
    const request = got.got(url, { retry: { limit: 0 }, timeout: { request: MANIFEST_TIMEOUT_MS }, responseType: 'buffer', resolveBodyOnly: true })
    const bytes = await rpc.limitDownload(request, transfer.MAXIMUM_MANIFEST_BYTES)
    const digest = transfer.computeDigest(bytes)
    const manifest = transfer.parseManifest(bytes, digest)
    if (!manifest.ok) return types.fail(new types.UnavailableError(manifest.error.message))
    return types.succeed([...cells, `manifest=${digest}`, `bytes=${manifest.value.bytes}`])
  } catch (thrown) {
    return types.fail(new types.UnavailableError(`origin: ${types.describeError(thrown)}`))
  }
}

function makeRemoval (rowText: string): types.Outcome<readonly types.CellChange[], Error> {
  const place = tables.parseRowReference(rowText)
  return place.ok ? types.succeed([tables.removeRow(place.value)]) : place
}

async function editTable (options: EditArguments, makeChanges: MakeChanges): Promise<void> {
  await withTable(options, async (table, connection, store) => {
    const changes = await makeChanges(table)
    if (!changes.ok) {
      report.reportError(changes.error)
      return
    }
    if (changes.value.length === 0 && options.editId === undefined) {
      report.print('nothing to change')
      return
    }
    const status = await connection.readStatus()
    const members = status.ok ? status.value.members : null
    if (options.dryRun) await showCost(table, changes.value, members ?? [])
    else await writeEdit(options, store, changes.value, status)
  })
}

async function showCost (table: types.Table, changes: readonly types.CellChange[], members: connections.StatusReport['members']): Promise<void> {
  const applied = tables.applyChanges(table, changes)
  if (!applied.ok) {
    report.reportError(applied.error)
    return
  }
  const cost = prepareEdit.computeEditCost(applied.value, members)
  report.print(`${changes.length} cells would change; ${cost.copies} copies and ${cost.bytes} bytes would move, ${cost.originCopies} copies of them from the origin`)
  for (const move of cost.moves) report.print(`  ${move.row} -> ${move.node}: ${move.reason}`)
}

async function writeEdit (options: EditArguments, store: platform.ObjectStore, changes: readonly types.CellChange[], status: types.Outcome<connections.StatusReport, Error>): Promise<void> {
  const editId = types.brandId<types.EditId>(options.editId ?? crypto.randomUUID())
  const stopListening = onInterrupt.onInterrupt(() => {
    reportFailure(new tables.EditUnknownError(`interrupted before the platform confirmed edit ${editId}`), editId)
    process.exit()
  })
  const written = await tables.editTable(store, { editId, editor: options.operator, changes }, {
    auditKeep: options.auditKeep,
    revisionFloor: status.ok ? status.value.self.revision : 0,
    check: (table) => status.ok && !options.force ? prepareEdit.checkCapacity(table, status.value.members) : types.succeed(null)
  })
  stopListening()
  if (written.ok) report.print(options.json ? JSON.stringify({ revision: written.value.revision, editId }) : `accepted as revision ${written.value.revision}`)
  else reportFailure(written.error, editId)
}

function reportFailure (error: Error, editId: string): void {
  report.reportError(error)
  if (error instanceof tables.EditUnknownError) process.stderr.write(`switchridge: repeat the command with --edit-id ${editId}; it takes effect once\n`)
}
