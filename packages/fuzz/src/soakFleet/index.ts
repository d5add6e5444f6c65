/** Soaks a fleet of real processes: signals, restarts and changes of the table come in series and overlap while callers use open connections. */
import * as got from 'got'
import * as launcher from '@switchridge/launcher'
import * as rpc from '@switchridge/rpc'
import * as standins from '@switchridge/standins'
import * as store from '@switchridge/store'
import * as tables from '@switchridge/table'
import * as types from '@switchridge/types'
import * as judgeSoak from '../_lib/judgeSoak.js'
import * as soakCallers from '../_lib/soakCallers.js'
import * as soakPlan from '../_lib/soakPlan.js'

/** Options of {@link soakFleet}. */
export interface SoakOptions {
  readonly seed: number
  /** Time in milliseconds in which disturbances begin. */
  readonly durationMs: number
  /** Folder in which settings and logs are kept; a temporary one by default. */
  readonly keptFolder?: string
}

/** Result of a soak. */
export interface SoakReport {
  readonly calls: Readonly<Record<string, number>>
  readonly disturbances: number
  /** A line for each broken promise. */
  readonly problems: readonly string[]
}

const ENGINE_SERVICE = 'llm'
const PLAIN_SERVICE = 'stock'
const ROW = 'm'
const PLAN: launcher.FleetPlan = {
  deployment: 'soak',
  halls: [{ id: 'hall', region: 'region', entryNodes: 2 }],
  services: [{ name: ENGINE_SERVICE, kind: 'engine', perHall: [3] }, { name: PLAIN_SERVICE, kind: 'plain', perHall: [2] }],
  favour: 'time'
}
const WEIGHTS_BYTES = 64 * 1024
const CHUNK_BYTES = 4096
const MEMORY_BYTES = 64 * 1024 * 1024
const START_TIMEOUT_MS = 30_000
const SETTLE_MS = 2000
const FIRST_VERSION = 1

/**
 * Runs one soak.
 *
 * @param options - Seed and length.
 * @returns Counts of calls by outcome, and the broken promises. Rejects if the fleet does not start.
 */
export async function soakFleet (options: SoakOptions): Promise<SoakReport> {
  const processes = launcher.createLauncher(options.keptFolder)
  try {
    return await runSoak(options, processes)
  } finally {
    await processes.close()
  }
}

async function runSoak (options: SoakOptions, processes: launcher.Launcher): Promise<SoakReport> {
  const fleet = await launcher.startFleet(processes, {
    plan: PLAN, originBytesPerSecond: 0, linkBytesPerSecond: 0, tokenMs: 10, plainWorkMs: 20, enginesPerProcess: 1, readsWeights: true, chunkMemoryBytes: MEMORY_BYTES, engineMemoryBytes: MEMORY_BYTES
  })
  const plan = soakPlan.planDisturbances(options.seed, options.durationMs, { entryNodes: fleet.entryNodes.length, backends: listDisturbable(fleet).length - fleet.entryNodes.length })
  const versions = Array.from({ length: FIRST_VERSION + plan.filter(({ kind }) => kind === 'version').length }, (_, index) => String(FIRST_VERSION + index))
  const weights = new Map(versions.map((version) => [`${ROW}@${version}`, standins.computeWeights(describeWeights(version))]))
  const table = openTable(fleet)
  await table.edit('services', ENGINE_SERVICE, { kind: 'engine', repeatable: 'all' })
  await table.edit('services', PLAIN_SERVICE, { kind: 'plain', repeatable: 'reads' })
  await table.nameVersion(versions[0] ?? '')
  await waitUntilServing(fleet)

  const callers = soakCallers.startSoakCallers({ fleet, engineService: ENGINE_SERVICE, plainService: PLAIN_SERVICE, row: ROW, weights })
  const disturbances = await carryOut(plan, fleet, table, versions.slice(FIRST_VERSION))
  await types.delay(SETTLE_MS)
  await callers.stop()
  const problems = judgeSoak.judgeSoak({ records: callers.records, disturbances, runs: await readRuns(fleet) })
  const calls: Record<string, number> = {}
  for (const { kind, outcome, reason } of callers.records) {
    const key = outcome === 'answered' ? `${kind} answered` : `${kind} ${outcome} ${reason}`
    calls[key] = (calls[key] ?? 0) + 1
  }
  return { calls, disturbances: disturbances.length, problems }
}

/** All entry nodes, and the backend servers of each service but its first one. */
function listDisturbable (fleet: launcher.Fleet): launcher.FleetNode[] {
  const untouched = PLAN.services.map(({ name }) => fleet.backends.find((node) => node.service === name))
  return [...fleet.entryNodes, ...fleet.backends.filter((node) => !untouched.includes(node))]
}

function describeWeights (version: string): standins.WeightsPart[] {
  return [{ seed: `version ${version}`, bytes: WEIGHTS_BYTES }]
}

interface SoakTable {
  readonly edit: (section: types.SectionName, row: string, cells: Readonly<Record<string, types.CellValue>>) => Promise<void>
  readonly nameVersion: (version: string) => Promise<void>
}

function openTable (fleet: launcher.Fleet): SoakTable {
  const objectStore = store.createObjectStore({ url: fleet.platformUrl, timeoutMs: 5000, agents: rpc.createHttpAgents() })
  const rows = new Map<string, Record<string, types.CellValue>>()
  let edits = 0

  const edit: SoakTable['edit'] = async (section, row, cells) => {
    const known = rows.get(`${section}/${row}`) ?? {}
    const changes = Object.entries({ id: row, ...cells })
      .filter(([column, after]) => known[column] !== after)
      .map(([column, after]): types.CellChange => ({ section, row, column, before: known[column] ?? null, after }))
    edits += 1
    const edited = await tables.editTable(objectStore, { editId: types.brandId(`soak-${edits}`), editor: 'soak', changes })
    if (!edited.ok) throw edited.error
    rows.set(`${section}/${row}`, { ...known, id: row, ...cells })
  }

  return {
    edit,
    nameVersion: async (version) => {
      const source = `weights-${version}`
      const { manifest } = await got.got.post(`${fleet.originUrl}/admin/files`, { json: { name: source, parts: describeWeights(version), chunkBytes: CHUNK_BYTES } }).json<{ manifest: string }>()
      await edit('models', ROW, { service: ENGINE_SERVICE, version, source, manifest, bytes: WEIGHTS_BYTES, originBytesPerSecond: 100_000_000, minimumServing: 1 })
    }
  }
}

async function waitUntilServing (fleet: launcher.Fleet): Promise<void> {
  const engines = fleet.backends.filter((node) => node.kind === 'engine').length
  await launcher.waitUntil(async () => {
    const statuses = await launcher.readStatuses(fleet, fleet.entryNodes)
    return statuses.length === fleet.entryNodes.length && statuses.every(({ members }) => {
      const live = members.filter((member) => member.facts.role === 'backend' && member.condition === 'live')
      return live.length === fleet.backends.length && live.filter((member) => member.facts.serving.length > 0).length === engines
    })
  }, START_TIMEOUT_MS, 'a fleet that serves')
}

async function carryOut (plan: readonly soakPlan.Disturbance[], fleet: launcher.Fleet, table: SoakTable, versions: readonly string[]): Promise<judgeSoak.CarriedOut[]> {
  const nodes = listDisturbable(fleet)
  const startedAt = performance.now()
  const remainingVersions = [...versions]
  let rows = 0
  /** Changes of the table are made one after the other, since each depends on the cells that the previous one left. */
  let lastChange: Promise<void> = Promise.resolve()
  return await Promise.all(plan.map(async ({ atMs, kind, node: index, forMs }): Promise<judgeSoak.CarriedOut> => {
    await types.delay(Math.max(0, startedAt + atMs - performance.now()))
    const beganAt = performance.now()
    if (kind === 'edit' || kind === 'version') {
      lastChange = lastChange.then(async () => {
        if (kind === 'version') await table.nameVersion(remainingVersions.shift() ?? '')
        else await table.edit('services', `other-${rows++}`, { kind: 'plain' })
      })
      await lastChange
      return { kind, node: '', role: '', beganAt, endedAt: performance.now() }
    }
    const node = nodes[index] as launcher.FleetNode
    await (kind === 'pause' ? pauseNode(node, forMs) : restartNode(fleet, node, kind === 'kill' ? 'SIGKILL' : 'SIGTERM', forMs))
    return { kind, node: node.node, role: node.role, beganAt, endedAt: performance.now() }
  }))
}

async function pauseNode (node: launcher.FleetNode, forMs: number): Promise<void> {
  node.process.kill('SIGSTOP')
  await types.delay(forMs)
  node.process.kill('SIGCONT')
}

async function restartNode (fleet: launcher.Fleet, node: launcher.FleetNode, signal: NodeJS.Signals, downMs: number): Promise<void> {
  node.process.kill(signal)
  await node.process.exited
  await types.delay(downMs)
  fleet.startNode(node)
}

async function readRuns (fleet: launcher.Fleet): Promise<Map<string, number>> {
  const runs = new Map<string, number>()
  for (const node of fleet.backends.filter(({ kind }) => kind === 'plain')) {
    const counts = await got.got(`${node.backEndUrl}/admin/counts`).json<{ runs: Record<string, number> }>()
    for (const [id, count] of Object.entries(counts.runs)) runs.set(id, (runs.get(id) ?? 0) + count)
  }
  return runs
}
