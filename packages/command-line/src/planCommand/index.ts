/** `switchridge plan`: computes the placement without applying it, with the reason for each assignment. */
import type * as yargs from 'yargs'
import * as types from '@switchridge/types'
import * as placement from '@switchridge/placement'
import * as tables from '@switchridge/table'
import * as connections from '../_lib/connect.js'
import * as report from '../_lib/report.js'

/** Adds the `plan` command. */
export function addPlanCommand (parser: yargs.Argv): yargs.Argv {
  return parser.command('plan', 'explain who holds what, and why', (command) => connections.addConnectionOptions(command), async (options) => {
    await showPlan(options as unknown as connections.ConnectionArguments)
  })
}

async function showPlan (options: connections.ConnectionArguments): Promise<void> {
  const connection = connections.connect(options)
  const status = await connection.readStatus()
  const stored = connection.store === null ? types.fail(new types.UnavailableError('no --platform given')) : await tables.readTable(connection.store)
  connection.close()
  if (!status.ok || !stored.ok) {
    report.reportError(!status.ok ? status.error : (stored as { error: Error }).error)
    return
  }
  const plan = placement.computePlacement(stored.value.table, status.value.members)
  if (options.json) {
    report.print(JSON.stringify(plan))
    return
  }
  report.printColumns(['row', 'version', 'node', 'order', 'why'], plan.assignments.map((each) => [each.row.id, each.row.version, each.node, String(each.order + 1), each.reason]))
  for (const shortfall of plan.shortfalls) report.print(`missing: ${shortfall.row} has ${shortfall.placed} of ${shortfall.wanted} copies: ${shortfall.reason}`)
}
