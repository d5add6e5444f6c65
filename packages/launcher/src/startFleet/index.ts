/** Starts a complete fleet on the loopback interface: stand-ins, entry nodes and backend daemons. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'
import * as got from 'got'
import * as types from '@switchridge/types'
import type * as createLauncher from '../createLauncher/index.js'
import type * as describeFleet from '../describeFleet/index.js'
import * as findPorts from '../findPorts/index.js'
import * as waitUntil from '../waitUntil/index.js'

/** One daemon of the fleet. */
export interface FleetNode {
  readonly node: string
  readonly hall: string
  readonly role: 'entry' | 'backend'
  readonly service: string
  readonly kind: 'engine' | 'plain' | ''
  readonly address: types.Address
  /** Port on which an entry node accepts calls. */
  readonly callerPort: number
  /** URL of the back end that a backend daemon serves. */
  readonly backEndUrl: string
  readonly settingsFile: string
  process: createLauncher.LaunchedProcess
}

/** Options of {@link startFleet}. */
export interface FleetOptions {
  readonly plan: describeFleet.FleetPlan
  /** Bandwidth of the origin's link; 0 for no limit. */
  readonly originBytesPerSecond: number
  /** Bandwidth of each daemon's link; 0 for no limit. */
  readonly linkBytesPerSecond: number
  /** Time per token of the engine stand-ins in milliseconds. */
  readonly tokenMs: number
  /** Processing time of a request at the plain service stand-ins in milliseconds. */
  readonly plainWorkMs: number
  /** Number of engine stand-ins in one process. */
  readonly enginesPerProcess: number
  /** Whether the engine stand-ins read the weights on load. */
  readonly readsWeights: boolean
  readonly chunkMemoryBytes: number
  readonly engineMemoryBytes: number
  /** Additional TOML appended to the settings of every daemon. */
  readonly extraSettings?: string
  /** Additional lines for the `[limits]` table of the settings. */
  readonly limits?: string
}

/** A running fleet. */
export interface Fleet {
  readonly deployment: string
  readonly platformUrl: string
  readonly originUrl: string
  readonly nodes: readonly FleetNode[]
  readonly entryNodes: readonly FleetNode[]
  readonly backends: readonly FleetNode[]
  readonly sharedKey: string
  /** Starts the daemon of a node again and replaces its `process`. */
  readonly startNode: (node: FleetNode) => void
}

export const SHARED_KEY = 'a-shared-key-for-demonstrations'
const START_TIMEOUT_MS = 30_000

const resolveModule = (name: string): string => url.fileURLToPath(import.meta.resolve(name))
const STAND_INS_MODULE = path.join(path.dirname(resolveModule('@switchridge/standins')), 'main.js')
const DAEMON_MODULE = path.join(path.dirname(resolveModule('@switchridge/standins')), '../../daemon/dist/main.js')

interface NodePlan extends Omit<FleetNode, 'process' | 'settingsFile'> {
  readonly region: string
}

/**
 * Starts a fleet.
 *
 * @param launcher - Launcher for the processes.
 * @param options - Plan of the fleet, rates and settings.
 * @returns The fleet, as soon as the stand-ins for the platform and the origin and all daemons answer.
 */
export async function startFleet (launcher: createLauncher.Launcher, options: FleetOptions): Promise<Fleet> {
  const nodePlans = await planNodes(options.plan)
  const [platformPort = 0, originPort = 0] = await findPorts.findPorts(2)
  launcher.start('platform', STAND_INS_MODULE, ['platform', '--port', String(platformPort)])
  launcher.start('origin', STAND_INS_MODULE, ['origin', '--port', String(originPort), '--rate', String(options.originBytesPerSecond)])
  startBackEnds(launcher, nodePlans, options)
  const platformUrl = `http://${types.LOOPBACK_HOST}:${platformPort}`
  const originUrl = `http://${types.LOOPBACK_HOST}:${originPort}`
  const seeds = nodePlans.filter((nodePlan) => nodePlan.role === 'entry')
  const startNode = (node: Pick<FleetNode, 'node' | 'settingsFile'>): createLauncher.LaunchedProcess => launcher.start(node.node, DAEMON_MODULE, ['--settings', node.settingsFile])
  const nodes = nodePlans.map((nodePlan): FleetNode => {
    const settingsFile = path.join(launcher.folder, `${nodePlan.node}.toml`)
    const entryNodes = seeds.filter((seed) => nodePlan.role === 'entry' || seed.hall === nodePlan.hall)
    fs.writeFileSync(settingsFile, formatSettings(nodePlan, options, platformUrl, originUrl, entryNodes))
    return { ...nodePlan, settingsFile, process: startNode({ node: nodePlan.node, settingsFile }) }
  })
  await waitUntil.waitUntil(async () => await allAnswer([platformUrl, originUrl]), START_TIMEOUT_MS, 'the stand-ins')
  await waitUntil.waitUntil(async () => await allAnswer(nodes.map(({ address }) => `http://${address.host}:${address.port}`)), START_TIMEOUT_MS, 'the daemons')
  return {
    deployment: options.plan.deployment,
    platformUrl,
    originUrl,
    nodes,
    entryNodes: nodes.filter((node) => node.role === 'entry'),
    backends: nodes.filter((node) => node.role === 'backend'),
    sharedKey: SHARED_KEY,
    startNode: (node) => { node.process = startNode(node) }
  }
}

async function planNodes (plan: describeFleet.FleetPlan): Promise<NodePlan[]> {
  const wanted = plan.halls.flatMap((hall, index) => [
    ...Array.from({ length: hall.entryNodes }, (_, number) => ({ hall, role: 'entry' as const, service: '', kind: '' as const, name: `entry-${number + 1}` })),
    ...plan.services.flatMap((service) => Array.from({ length: service.perHall[index] ?? 0 }, (_, number) => ({
      hall, role: 'backend' as const, service: service.name, kind: service.kind, name: `${service.name}-${number + 1}`
    })))
  ])
  const ports = await findPorts.findPorts(wanted.length * 3)
  return wanted.map(({ hall, role, service, kind, name }, index) => ({
    node: `${hall.id}-${name}`,
    hall: hall.id,
    region: hall.region,
    role,
    service,
    kind,
    address: { host: types.LOOPBACK_HOST, port: ports[index * 3] ?? 0 },
    callerPort: ports[index * 3 + 1] ?? 0,
    backEndUrl: `http://${types.LOOPBACK_HOST}:${ports[index * 3 + 2] ?? 0}`
  }))
}

function startBackEnds (launcher: createLauncher.Launcher, nodePlans: readonly NodePlan[], options: FleetOptions): void {
  const getPort = (nodePlan: NodePlan): string => new URL(nodePlan.backEndUrl).port
  for (const nodePlan of nodePlans.filter((each) => each.kind === 'plain')) {
    launcher.start(`${nodePlan.node}-back-end`, STAND_INS_MODULE, ['plain', '--port', getPort(nodePlan), '--work-ms', String(options.plainWorkMs)])
  }
  const engines = nodePlans.filter((each) => each.kind === 'engine')
  for (let first = 0; first < engines.length; first += options.enginesPerProcess) {
    const batch = engines.slice(first, first + options.enginesPerProcess)
    launcher.start(`${batch[0]?.node ?? ''}-back-end`, STAND_INS_MODULE, [
      'engine', '--port', ...batch.map(getPort), '--token-ms', String(options.tokenMs), options.readsWeights ? '--reads-weights' : '--no-reads-weights'
    ])
  }
}

function formatSettings (nodePlan: NodePlan, options: FleetOptions, platformUrl: string, originUrl: string, entryNodes: readonly NodePlan[]): string {
  const backEnd = nodePlan.role === 'entry'
    ? ''
    : `[back_end]\nservice = "${nodePlan.service}"\nkind = "${nodePlan.kind}"\nurl = "${nodePlan.backEndUrl}"\nmemory_bytes = ${options.engineMemoryBytes}\n`
  return `role = "${nodePlan.role}"
deployment = "${options.plan.deployment}"
node = "${nodePlan.node}"
data_hall = "${nodePlan.hall}"
region = "${nodePlan.region}"
entry_nodes = [${entryNodes.map(({ address }) => `"${address.host}:${address.port}"`).join(', ')}]
[listen]
host = "${nodePlan.address.host}"
port = ${nodePlan.address.port}
caller_port = ${nodePlan.callerPort}
[platform]
url = "${platformUrl}"
[origin]
url = "${originUrl}"
${backEnd}[limits]
link_bytes_per_second = ${options.linkBytesPerSecond}
chunk_memory_bytes = ${options.chunkMemoryBytes}
${options.limits ?? ''}
[security]
shared_key = "${SHARED_KEY}"
${options.extraSettings ?? ''}`
}

async function allAnswer (urls: readonly string[]): Promise<boolean> {
  const answers = await Promise.all(urls.map(async (each) => await got.got(each, { throwHttpErrors: false, retry: { limit: 0 }, timeout: { request: 1000 } })))
  return answers.length === urls.length
}
