/** Measures the rollout of one version to N nodes over rate-limited links, with and without faults, compared with baselines and the theoretical limit. */
import * as path from 'node:path'
import * as got from 'got'
import * as launcher from '@switchridge/launcher'
import * as types from '@switchridge/types'
import * as isolateHall from '../_lib/isolateHall.js'
import * as editRow from '../_lib/editRow.js'
import * as logTimes from '../_lib/logTimes.js'
import type * as output from '../_lib/output.js'
import * as statistics from '../_lib/statistics.js'

/** Options of the experiment. */
export interface BurstOptions {
  readonly sizes: readonly number[]
  readonly policies: readonly string[]
  readonly faults: readonly string[]
  /** Number of nodes with which baselines, faults and weightings are measured. */
  readonly compareAt: number
  readonly mebibytes: number
  readonly chunkKibibytes: number
  /** Period in seconds in which the origin's link carries four copies of the weights and a node's link two. */
  readonly transferSeconds: number
  readonly logs?: string | undefined
  /** Additional lines for the `[limits]` table of the settings. */
  readonly limits: string
}

/** Parameters of one rollout. */
interface Trial {
  readonly nodes: number
  readonly policy: string
  readonly favour: types.TransferPreference
  /** Fraction of the backend daemons that are killed during the rollout. */
  readonly dying: number
  readonly cutsHall: boolean
}

/** Result of one rollout. */
export interface BurstResult extends Trial {
  readonly secondsToHalf: number
  readonly secondsToNinetyPercent: number
  readonly secondsToAll: number
  readonly limitSeconds: number
  readonly ratioToLimit: number
  readonly originCopies: number
  readonly bytesBetweenHalls: number
  readonly controlMessagesPerNode: number
  readonly requestsPerNode: number
  readonly refusedPerNode: number
  readonly cpuSecondsPerNode: number
  readonly cpuSecondsPerGigabyte: number
  readonly peakMebibytesPerNode: number
  readonly serving: number
}

/** Faults and weightings by name; a weighting favours a fast rollout or few bytes from the origin. */
export const FAULTS: Readonly<Record<string, Partial<Trial>>> = {
  'origin-bytes': { favour: 'origin-bytes' },
  'dying-5': { dying: 0.05 },
  'dying-20': { dying: 0.2 },
  'cut-hall': { cutsHall: true },
  'origin-bytes-dying-5': { favour: 'origin-bytes', dying: 0.05 }
}

const HALLS = ['hall-a', 'hall-b', 'hall-c']
const ENTRY_NODES_PER_HALL = 2
const ENGINES_PER_PROCESS = 32
const MAX_ORIGIN_COPIES = 4
const ORIGIN_COPIES_PER_TRANSFER = 4
const LINK_COPIES_PER_TRANSFER = 2
const SETTLE_MS = 2500
/** Timeout of a rollout, as a multiple of the theoretical limit. */
const TIMEOUT_TO_LIMIT_RATIO = 40
/** Time at which faults are injected, as a fraction of the theoretical limit. */
const FAULT_START_FRACTION = 0.4
const ISOLATION_SECONDS = 3
const POLL_MS = 200
const ROW = 'model'

/** Runs all rollouts and reports the result of each. */
export async function runBurst (options: BurstOptions, out: output.Output): Promise<BurstResult[]> {
  const results: BurstResult[] = []
  for (const [index, trial] of listTrials(options).entries()) {
    const result = await runTrial(options, trial, index)
    results.push(result)
    out.add(result)
  }
  return results
}

function listTrials (options: BurstOptions): Trial[] {
  const defaults = { policy: 'swarm', favour: 'time' as const, dying: 0, cutsHall: false }
  const sizes = options.sizes.filter((nodes) => nodes > 0).map((nodes): Trial => ({ ...defaults, nodes }))
  const comparison = { ...defaults, nodes: options.compareAt }
  const faults = options.faults.map((fault): Trial => ({ ...comparison, ...FAULTS[fault] }))
  const baselines = options.policies.map((policy): Trial => ({ ...comparison, policy }))
  return [...sizes, ...(options.compareAt > 0 ? [...faults, ...baselines] : [])]
}

async function runTrial (options: BurstOptions, trial: Trial, index: number): Promise<BurstResult> {
  const processes = launcher.createLauncher(options.logs === undefined ? undefined : path.join(options.logs, `trial-${index}`))
  try {
    const fleet = await startTrialFleet(processes, options, trial)
    return await measureTrial(options, trial, fleet)
  } finally {
    await processes.close()
  }
}

/** Size of the weights in bytes; bandwidths of the origin's link and of a node's link in bytes per second. */
interface Rates {
  readonly bytes: number
  readonly origin: number
  readonly link: number
}

function computeRates (options: BurstOptions): Rates {
  const bytes = options.mebibytes * types.BYTES_IN_MEBIBYTE
  return {
    bytes,
    origin: Math.round(ORIGIN_COPIES_PER_TRANSFER * bytes / options.transferSeconds),
    link: Math.round(LINK_COPIES_PER_TRANSFER * bytes / options.transferSeconds)
  }
}

async function startTrialFleet (processes: launcher.Launcher, options: BurstOptions, trial: Trial): Promise<launcher.Fleet> {
  const rates = computeRates(options)
  const perHall = HALLS.map((_, index) => Math.floor((trial.nodes + HALLS.length - 1 - index) / HALLS.length))
  return await launcher.startFleet(processes, {
    plan: {
      deployment: 'burst',
      halls: HALLS.map((id) => ({ id, region: 'region', entryNodes: ENTRY_NODES_PER_HALL })),
      services: [{ name: 'llm', kind: 'engine', perHall }],
      favour: trial.favour
    },
    originBytesPerSecond: rates.origin,
    linkBytesPerSecond: rates.link,
    tokenMs: 0,
    plainWorkMs: 0,
    enginesPerProcess: ENGINES_PER_PROCESS,
    readsWeights: false,
    chunkMemoryBytes: 2 * rates.bytes,
    engineMemoryBytes: 4 * rates.bytes,
    limits: options.limits,
    extraSettings: `[experiments]\ndrills = true\ntransfer_policy = "${trial.policy}"\n`
  })
}

async function measureTrial (options: BurstOptions, trial: Trial, fleet: launcher.Fleet): Promise<BurstResult> {
  const rates = computeRates(options)
  const store = editRow.openStore(fleet)
  const published = await got.got.post(`${fleet.originUrl}/admin/files`, {
    json: { name: 'model-1', parts: [{ seed: 'burst', bytes: rates.bytes }], chunkBytes: options.chunkKibibytes * types.BYTES_IN_KIBIBYTE }
  }).json<{ manifest: string }>()
  await editRow.editRow(store, 'services', 'llm', { kind: 'engine', repeatable: 'all' })
  await launcher.waitUntil(async () => (await launcher.readMembers(fleet)).filter((member) => member.facts.revision === 1).length === fleet.nodes.length, 60_000, 'the first revision')
  await types.delay(SETTLE_MS)
  const before = await launcher.readStatuses(fleet, fleet.backends)
  await editRow.editRow(store, 'models', ROW, {
    service: 'llm', version: '1', source: 'model-1', manifest: published.manifest, bytes: rates.bytes, originCopies: MAX_ORIGIN_COPIES, originBytesPerSecond: rates.origin, favour: trial.favour
  })
  const startedAt = Date.now()
  const limitSeconds = computeLimit(rates, trial.nodes)
  const killedNodes = await injectFaults(fleet, trial, limitSeconds)
  const alive = fleet.backends.filter((node) => !killedNodes.has(node.node))
  await waitForServing(fleet, alive.length, killedNodes, limitSeconds * TIMEOUT_TO_LIMIT_RATIO)
  const after = await launcher.readStatuses(fleet, fleet.backends)
  const times = alive.flatMap((node) => logTimes.readEventTimes(node.process.logFile, 'serving').slice(0, 1)).map((time) => (time - startedAt) / types.MILLISECONDS_IN_SECOND).sort((left, right) => left - right)
  const origin = await got.got(`${fleet.originUrl}/admin/counts`).json<{ bytes: number }>()
  return describeTrial(trial, rates, { times, limitSeconds, originBytes: origin.bytes, before, after })
}

/** Computes the minimum time in seconds until the last replica has the weights, in the fluid model: bounded by the origin's link, a node's link and all upload capacity. */
function computeLimit (rates: Rates, nodes: number): number {
  return Math.max(rates.bytes / rates.origin, rates.bytes / rates.link, nodes * rates.bytes / (rates.origin + nodes * rates.link))
}

async function injectFaults (fleet: launcher.Fleet, trial: Trial, limitSeconds: number): Promise<Set<string>> {
  const killedNodes = new Set<string>()
  if (trial.dying === 0 && !trial.cutsHall) return killedNodes
  await types.delay(FAULT_START_FRACTION * limitSeconds * types.MILLISECONDS_IN_SECOND)
  const count = Math.ceil(trial.dying * fleet.backends.length)
  const step = Math.max(1, Math.floor(fleet.backends.length / Math.max(1, count)))
  for (let index = 0; index < count; index += 1) {
    const node = fleet.backends[index * step]
    if (node === undefined) continue
    node.process.kill('SIGKILL')
    killedNodes.add(node.node)
  }
  if (trial.cutsHall) await isolateHallTemporarily(fleet, HALLS[2] ?? '')
  return killedNodes
}

/** Isolates a hall from the other halls; it can still reach the origin and the platform. */
async function isolateHallTemporarily (fleet: launcher.Fleet, hall: string): Promise<void> {
  await isolateHall.isolateHall(fleet, hall)
  await types.delay(ISOLATION_SECONDS * types.MILLISECONDS_IN_SECOND)
  await isolateHall.reconnectHall(fleet)
}

async function waitForServing (fleet: launcher.Fleet, wanted: number, killedNodes: ReadonlySet<string>, timeoutSeconds: number): Promise<void> {
  await launcher.waitUntil(async () => {
    await types.delay(POLL_MS)
    const members = await launcher.readMembers(fleet)
    return members.filter((member) => !killedNodes.has(member.facts.node) && member.facts.serving.length > 0).length >= wanted
  }, timeoutSeconds * types.MILLISECONDS_IN_SECOND, `${wanted} serving replicas`)
}

interface TrialObservations {
  /** Seconds from the edit until each replica serves, in ascending order. */
  readonly times: readonly number[]
  readonly limitSeconds: number
  readonly originBytes: number
  readonly before: readonly launcher.NodeStatus[]
  readonly after: readonly launcher.NodeStatus[]
}

function describeTrial (trial: Trial, rates: Rates, observed: TrialObservations): BurstResult {
  const { times, limitSeconds, before, after } = observed
  const sumTransferCount = (status: launcher.NodeStatus, key: string): number => status.transfers.reduce((sum, each) => sum + (each.counts?.[key] ?? 0), 0)
  const averagePerNode = (read: (status: launcher.NodeStatus) => number): number => statistics.round(statistics.mean(after.map(read)))
  const cpuBefore = new Map(before.map((status) => [status.self.node, status.process.cpuSeconds]))
  const cpu = statistics.mean(after.map((status) => status.process.cpuSeconds - (cpuBefore.get(status.self.node) ?? 0)))
  const all = times.at(-1) ?? 0
  return {
    ...trial,
    secondsToHalf: statistics.round(statistics.quantile(times, 0.5)),
    secondsToNinetyPercent: statistics.round(statistics.quantile(times, 0.9)),
    secondsToAll: statistics.round(all),
    limitSeconds: statistics.round(limitSeconds),
    ratioToLimit: statistics.round(all / limitSeconds),
    originCopies: statistics.round(observed.originBytes / rates.bytes),
    bytesBetweenHalls: after.reduce((sum, status) => sum + sumTransferCount(status, 'otherHallBytes'), 0),
    controlMessagesPerNode: averagePerNode((status) => sumTransferCount(status, 'announcements')),
    requestsPerNode: averagePerNode((status) => sumTransferCount(status, 'requests')),
    refusedPerNode: averagePerNode((status) => sumTransferCount(status, 'refused')),
    cpuSecondsPerNode: statistics.round(cpu),
    cpuSecondsPerGigabyte: statistics.round(cpu * 1e9 / rates.bytes),
    peakMebibytesPerNode: averagePerNode((status) => status.process.peakResidentBytes / types.BYTES_IN_MEBIBYTE),
    serving: times.length
  }
}
