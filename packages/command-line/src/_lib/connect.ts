/** Connects the command line to the platform and to an entry node. */
import * as os from 'node:os'
import type * as yargs from 'yargs'
import * as types from '@switchridge/types'
import type * as membership from '@switchridge/membership'
import * as platform from '@switchridge/store'
import * as rpc from '@switchridge/rpc'
import type * as transfer from '@switchridge/transfer'

/** Options of every command that connects to the platform or an entry node. */
export interface ConnectionArguments {
  readonly platform?: string | undefined
  readonly entry?: string | undefined
  readonly origin?: string | undefined
  readonly deployment: string
  readonly sharedKey?: string | undefined
  readonly platformKey?: string | undefined
  readonly operator: string
  readonly json: boolean
}

/** The parts of a daemon's status that the command line reads. */
export interface StatusReport {
  readonly self: types.MemberFacts
  readonly members: readonly membership.Member[]
  readonly transfers: readonly transfer.TransferProgress[]
}

/** Open connections to the platform and to an entry node. */
export interface Connections {
  readonly store: platform.ObjectStore | null
  readonly readStatus: () => Promise<types.Outcome<StatusReport, types.SwitchridgeError>>
  readonly close: () => void
}

const PLATFORM_TIMEOUT_MS = 10_000
const STATUS_TIMEOUT_MS = 5000

/** Adds the connection options to a command. */
export function addConnectionOptions<Arguments> (command: yargs.Argv<Arguments>): yargs.Argv<Arguments & ConnectionArguments> {
  return command
    .option('platform', { type: 'string', describe: 'URL of the platform' })
    .option('entry', { type: 'string', describe: 'HOST:PORT of an entry node' })
    .option('origin', { type: 'string', describe: 'URL of the origin of weights, to pin manifests from' })
    .option('deployment', { type: 'string', default: 'default', describe: 'name of the deployment' })
    .option('shared-key', { type: 'string', describe: 'shared key of the deployment; better in SWITCHRIDGE_SHARED_KEY' })
    .option('platform-key', { type: 'string', describe: 'key at the platform; better in SWITCHRIDGE_PLATFORM_KEY' })
    .option('operator', { type: 'string', default: os.userInfo().username, describe: 'who edits, for the audit trail' })
    .option('json', { type: 'boolean', default: false, describe: 'print JSON' }) as unknown as yargs.Argv<Arguments & ConnectionArguments>
}

/** Opens the connections that the options specify. */
export function connect (options: ConnectionArguments): Connections {
  const agents = rpc.createHttpAgents()
  const client = rpc.createRpcClient({ deployment: options.deployment, sharedKey: options.sharedKey ?? '' }, agents)
  const store = options.platform === undefined
    ? null
    : platform.createObjectStore({ url: options.platform, timeoutMs: PLATFORM_TIMEOUT_MS, agents, ...(options.platformKey === undefined ? {} : { key: options.platformKey }) })
  return {
    store,
    readStatus: async () => {
      if (options.entry === undefined) return types.fail(new types.UnavailableError('no --entry given'))
      const [host = '', port = ''] = options.entry.split(/:(?=\d+$)/)
      return await client.call<StatusReport>({ host, port: Number(port) }, 'status', {}, STATUS_TIMEOUT_MS)
    },
    close: () => { agents.destroy() }
  }
}
