/** `switchridge status`: prints the condition of each daemon, what it serves and what it waits for. */
import type * as yargs from 'yargs'
import * as connections from '../_lib/connect.js'
import * as report from '../_lib/report.js'

/** Adds the `status` command. */
export function addStatusCommand (parser: yargs.Argv): yargs.Argv {
  return parser.command('status', 'show every daemon as an entry node sees it', (command) => connections.addConnectionOptions(command)
    .example('$0 status --entry 10.0.0.5:7000', 'ask one entry node'), async (options) => { await showStatus(options as unknown as connections.ConnectionArguments) })
}

async function showStatus (options: connections.ConnectionArguments): Promise<void> {
  const connection = connections.connect(options)
  const status = await connection.readStatus()
  connection.close()
  if (!status.ok) {
    report.reportError(status.error)
    return
  }
  if (options.json) {
    report.print(JSON.stringify(status.value))
    return
  }
  const newestRevision = Math.max(...status.value.members.map((member) => member.facts.revision))
  const rows = [...status.value.members]
    .sort((left, right) => left.facts.node < right.facts.node ? -1 : 1)
    .map(({ facts, condition, leaving }) => [
      facts.node,
      facts.dataHall,
      facts.role,
      leaving ? 'leaving' : condition,
      `${facts.revision}${facts.revision < newestRevision ? ` (${newestRevision - facts.revision} behind)` : ''}`,
      facts.serving.map((served) => `${served.row}@${served.version}`).join(' ') || '-',
      facts.waitingFor || '-'
    ])
  report.printColumns(['node', 'data hall', 'role', 'condition', 'revision', 'serving', 'waiting for'], rows)
}
