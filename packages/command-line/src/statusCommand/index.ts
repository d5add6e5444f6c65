/** `switchridge status`: prints the condition of each daemon, what it serves and what it waits for, or the evacuated data halls as a gateway knows them. */
import * as got from 'got'
import type * as yargs from 'yargs'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import * as connections from '../_lib/connect.js'
import * as report from '../_lib/report.js'

interface StatusArguments extends connections.ConnectionArguments {
  readonly gateway?: string | undefined
}

/** The part of a gateway's status that is printed. */
interface GatewayStatus {
  readonly evacuations?: ReadonlyArray<{ readonly hall: string, readonly revision: number, readonly ageMs: number | null }>
}

/** A status lists the daemons and the engines, with a few hundred bytes for each. */
const MAXIMUM_STATUS_BYTES = 16 * types.BYTES_IN_MEBIBYTE
const STATUS_TIMEOUT_MS = 5000

/** Adds the `status` command. */
export function addStatusCommand (parser: yargs.Argv): yargs.Argv {
  return parser.command('status', 'show every daemon as an entry node sees it, or the evacuated data halls as a gateway knows them', (command) => connections.addConnectionOptions(command)
    .option('gateway', { type: 'string', describe: 'HOST:PORT of the control address of a gateway', conflicts: 'entry' })
    .example('$0 status --entry 10.0.0.5:7000', 'ask one entry node')
    .example('$0 status --gateway 10.2.0.37:8000', 'ask one gateway'), async (options) => {
    const args = options as unknown as StatusArguments
    await (args.gateway === undefined ? showStatus(args) : showGatewayStatus(args.gateway, args.json))
  })
}

async function showGatewayStatus (gateway: string, isJson: boolean): Promise<void> {
  const status = await readGatewayStatus(gateway)
  if (!status.ok) {
    report.reportError(status.error)
    return
  }
  const evacuations = status.value.evacuations ?? []
  if (isJson) report.print(JSON.stringify(status.value))
  else if (evacuations.length === 0) report.print('no data hall is evacuated')
  else report.printColumns(['evacuated data hall', 'revision', 'for at most'], evacuations.map(({ hall, revision, ageMs }) => [hall, String(revision), ageMs === null ? 'unknown' : `${Math.round(ageMs / types.MILLISECONDS_IN_SECOND)} s`]))
}

async function readGatewayStatus (gateway: string): Promise<types.Outcome<GatewayStatus, types.UnavailableError>> {
  try {
    const request = got.got<GatewayStatus>(`http://${gateway}/status`, { retry: { limit: 0 }, timeout: { request: STATUS_TIMEOUT_MS }, responseType: 'json', resolveBodyOnly: true })
    return types.succeed(await rpc.limitDownload(request, MAXIMUM_STATUS_BYTES))
  } catch (thrown) {
    return types.fail(new types.UnavailableError(`${gateway}: ${types.describeError(thrown)}`))
  }
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
