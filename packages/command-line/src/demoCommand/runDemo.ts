/** Scenario of the demo: starts a fleet, rolls out a model and then a second version of it, with calls running throughout. */
import * as crypto from 'node:crypto'
import * as path from 'node:path'
import * as url from 'node:url'
import * as fs from 'node:fs'
import * as got from 'got'
import * as types from '@switchridge/types'
import * as launcher from '@switchridge/launcher'
import * as standins from '@switchridge/standins'
import * as callFleet from './callFleet.js'
import * as showProgress from './showProgress.js'

/** Options of the demo. */
export interface DemoOptions {
  readonly deployment: launcher.DeploymentName
  readonly mebibytes: number
  readonly plain: boolean
  readonly json: boolean
  readonly logs?: string | undefined
}

interface VersionResult {
  readonly version: string
  readonly seconds: number
  readonly originBytes: number
  readonly originCopies: number
}

interface Summary {
  readonly deployment: string
  readonly replicas: number
  readonly versions: readonly VersionResult[]
  readonly calls: Omit<callFleet.CallCounts, 'reservations' | 'refusedReservations'>
  readonly reservationsRunTwice: number
  readonly refusedButRun: number
  readonly promisesKept: boolean
}

const ROW = 'asistent'
const API_KEY = 'demo-key-of-a-tiler'
const CHUNK_BYTES = 512 * 1024
/** Period in which the origin's link carries four copies of the weights and a node's link two; sets the rates of both. */
const TRANSFER_SECONDS = 10
const ORIGIN_COPIES_PER_TRANSFER = 4
const LINK_COPIES_PER_TRANSFER = 2
const MAX_ORIGIN_COPIES = 4
const VERSION_TIMEOUT_MS = 45_000
const CALL_INTERVAL_MS = 60
const POLL_MS = 100
const SETTLE_MS = 500
const COMMAND_MODULE = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '../main.js')

/** Runs the demo; returns true if calls were answered, all answers were correct and complete, no reservation ran twice or after a refusal, and the origin sent no more copies than allowed. */
export async function runDemo (options: DemoOptions): Promise<boolean> {
  const processes = launcher.createLauncher(options.logs)
  try {
    const summary = await runScenario(options, processes)
    printSummary(summary, options.json)
    return summary.promisesKept
  } finally {
    await processes.close()
  }
}

async function runScenario (options: DemoOptions, processes: launcher.Launcher): Promise<Summary> {
  const plan = launcher.describeFleet(options.deployment)
  const bytes = options.mebibytes * types.BYTES_IN_MEBIBYTE
  const printLine = (line: string): void => { if (!options.json) process.stdout.write(line + '\n') }
  const fleet = await launcher.startFleet(processes, {
    plan,
    originBytesPerSecond: Math.round(ORIGIN_COPIES_PER_TRANSFER * bytes / TRANSFER_SECONDS),
    linkBytesPerSecond: Math.round(LINK_COPIES_PER_TRANSFER * bytes / TRANSFER_SECONDS),
    tokenMs: 5,
    plainWorkMs: 5,
    enginesPerProcess: 1,
    readsWeights: true,
    chunkMemoryBytes: 4 * bytes,
    engineMemoryBytes: 4 * bytes
  })
  printLine(`${plan.deployment}: ${fleet.entryNodes.length} entry nodes and ${fleet.backends.length} backend servers in ${plan.halls.length} data halls`)
  const partsByVersion = createVersions(bytes)
  const weights = new Map([...partsByVersion].map(([version, each]) => [`${ROW}@${version}`, standins.computeWeights(each)]))
  for (const [version, each] of partsByVersion) await publish(fleet, `weights/${ROW}-${version}`, each)
  const editTable = (args: readonly string[]): Promise<void> => runTableCommand(processes, fleet, plan.deployment, args)
  await editTable(['import', writeInitialTable(processes.folder, plan)])
  await launcher.waitUntil(async () => await areEntryNodesHealthy(fleet), VERSION_TIMEOUT_MS, 'healthy entry nodes')

  const callers = callFleet.startCallers({ fleet, apiKey: API_KEY, row: ROW, weights, intervalMs: CALL_INTERVAL_MS })
  const replicas = fleet.backends.filter((node) => node.kind === 'engine').length
  const results: VersionResult[] = []
  for (const version of partsByVersion.keys()) {
    const versionCells = [`version=${version}`, `source=weights/${ROW}-${version}`]
    const firstVersionCells = version === '1' ? [`service=${plan.services[0]?.name ?? ''}`, `originBytesPerSecond=${Math.round(ORIGIN_COPIES_PER_TRANSFER * bytes / TRANSFER_SECONDS)}`, `originCopies=${MAX_ORIGIN_COPIES}`, `favour=${plan.favour}`, 'minimumServing=4'] : []
    const display = showProgress.createProgressDisplay(`version ${version}`, replicas, options.plain || options.json || !process.stdout.isTTY)
    results.push(await rollOut(fleet, { version, replicas, bytes, display: options.json ? null : display, edit: async () => { await editTable(['set', `model/${ROW}`, ...versionCells, ...firstVersionCells]) } }))
    display.stop()
  }
  await types.delay(SETTLE_MS)
  await callers.stop()
  return await summarise(options, fleet, replicas, results, callers.counts)
}

/** Creates the parts of two versions; the second shares the first half of its bytes with the first. */
function createVersions (bytes: number): Map<string, standins.WeightsPart[]> {
  const half = bytes / 2
  return new Map([
    ['1', [{ seed: 'shared', bytes: half }, { seed: 'first', bytes: half }]],
    ['2', [{ seed: 'shared', bytes: half }, { seed: 'second', bytes: half }]]
  ])
}

async function publish (fleet: launcher.Fleet, name: string, parts: readonly standins.WeightsPart[]): Promise<void> {
  await got.got.post(`${fleet.originUrl}/admin/files`, { json: { name, parts, chunkBytes: CHUNK_BYTES } })
}

function writeInitialTable (folder: string, plan: launcher.FleetPlan): string {
  const keyDigest = crypto.createHash('sha256').update(API_KEY).digest('hex')
  const services = plan.services.map((service) => `service,${service.name},${service.kind},${service.kind === 'engine' ? 'all' : 'reads'},`)
  const file = path.join(folder, 'table.csv')
  fs.writeFileSync(file, ['section,id,kind,repeatable,keyDigest', ...services, `account,tiler,,,${keyDigest}`].join('\n') + '\n')
  return file
}

async function runTableCommand (processes: launcher.Launcher, fleet: launcher.Fleet, deployment: string, args: readonly string[]): Promise<void> {
  const entry = fleet.entryNodes[0]?.address
  const result = await processes.run(COMMAND_MODULE, ['table', ...args], {
    SWITCHRIDGE_PLATFORM: fleet.platformUrl,
    SWITCHRIDGE_ORIGIN: fleet.originUrl,
    SWITCHRIDGE_ENTRY: `${entry?.host ?? ''}:${entry?.port ?? 0}`,
    SWITCHRIDGE_DEPLOYMENT: deployment,
    SWITCHRIDGE_SHARED_KEY: fleet.sharedKey,
    SWITCHRIDGE_OPERATOR: 'demo'
  })
  if (result.exitCode !== 0) throw new Error(`switchridge table ${args.join(' ')}: ${result.stderr}`)
}

async function areEntryNodesHealthy (fleet: launcher.Fleet): Promise<boolean> {
  const answers = await Promise.all(fleet.entryNodes.map(async (entry) => await got.got(`http://${entry.address.host}:${entry.callerPort}/health`, { throwHttpErrors: false, retry: { limit: 0 } })))
  return answers.every((answer) => answer.statusCode === 200)
}

interface Rollout {
  readonly version: string
  readonly replicas: number
  readonly bytes: number
  readonly display: showProgress.ProgressDisplay | null
  readonly edit: () => Promise<void>
}

async function rollOut (fleet: launcher.Fleet, rollout: Rollout): Promise<VersionResult> {
  const before = await readOriginBytes(fleet)
  await rollout.edit()
  const startedAt = performance.now()
  const measure = async (): Promise<VersionResult> => {
    const originBytes = await readOriginBytes(fleet) - before
    const seconds = (performance.now() - startedAt) / types.MILLISECONDS_IN_SECOND
    return { version: rollout.version, seconds, originBytes, originCopies: originBytes / rollout.bytes }
  }
  for (;;) {
    const serving = await countServing(fleet, rollout.version)
    const result = await measure()
    rollout.display?.update(serving, `${result.originCopies.toFixed(2)} copies from the origin`)
    if (serving === rollout.replicas) return result
    if (result.seconds * types.MILLISECONDS_IN_SECOND > VERSION_TIMEOUT_MS) throw new Error(`version ${rollout.version} serves on ${serving} of ${rollout.replicas} replicas only`)
    await types.delay(POLL_MS)
  }
}

async function readOriginBytes (fleet: launcher.Fleet): Promise<number> {
  return (await got.got(`${fleet.originUrl}/admin/counts`).json<{ bytes: number }>()).bytes
}

async function countServing (fleet: launcher.Fleet, version: string): Promise<number> {
  const members = await launcher.readMembers(fleet)
  return members.filter((member) => member.facts.serving.some((served) => served.version === version)).length
}

async function summarise (options: DemoOptions, fleet: launcher.Fleet, replicas: number, versions: readonly VersionResult[], counts: callFleet.CallCounts): Promise<Summary> {
  const runs = new Map<string, number>()
  for (const node of fleet.backends.filter((each) => each.kind === 'plain')) {
    const serviceCounts = await got.got(`${node.backEndUrl}/admin/counts`).json<{ runs: Record<string, number> }>()
    for (const [id, count] of Object.entries(serviceCounts.runs)) runs.set(id, (runs.get(id) ?? 0) + count)
  }
  const reservationsRunTwice = counts.reservations.filter((id) => (runs.get(id) ?? 0) > 1).length
  const refusedButRun = counts.refusedReservations.filter((id) => runs.has(id)).length
  const isWithinOriginLimit = versions.every((version) => version.originCopies <= MAX_ORIGIN_COPIES)
  const { reservations: _reservations, refusedReservations: _refusedReservations, ...calls } = counts
  const promisesKept = counts.wrong === 0 && counts.broken === 0 && reservationsRunTwice === 0 && refusedButRun === 0 && isWithinOriginLimit && counts.answered > 0
  return { deployment: options.deployment, replicas, versions, calls, reservationsRunTwice, refusedButRun, promisesKept }
}

function printSummary (summary: Summary, json: boolean): void {
  if (json) {
    process.stdout.write(JSON.stringify(summary) + '\n')
    return
  }
  const lines = [
    '',
    ...summary.versions.map((each) => `version ${each.version}: ${each.seconds.toFixed(1)} s until ${summary.replicas} replicas serve, ${each.originBytes} bytes from the origin (${each.originCopies.toFixed(2)} copies, ${MAX_ORIGIN_COPIES} allowed)`),
    `calls: ${summary.calls.answered} answered, ${summary.calls.notRun} refused as not run, ${summary.calls.unknown} unknown, ${summary.calls.broken} cut, ${summary.calls.wrong} wrong`,
    `versions seen: ${Object.entries(summary.calls.versions).map(([version, count]) => `${version} in ${count} answers`).join(', ')}`,
    `reservations run twice: ${summary.reservationsRunTwice}; refused as not run and run all the same: ${summary.refusedButRun}`,
    summary.promisesKept ? 'every promise was kept' : 'A PROMISE WAS BROKEN'
  ]
  process.stdout.write(lines.join('\n') + '\n')
}
