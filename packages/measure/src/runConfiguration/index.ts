/** Measures the time from an accepted edit until every daemon has adopted it: with the platform up, slow or after an outage, and with an isolated hall. */
import * as got from 'got'
import * as launcher from '@switchridge/launcher'
import type * as platform from '@switchridge/store'
import * as types from '@switchridge/types'
import * as controlFleet from '../_lib/controlFleet.js'
import * as isolateHall from '../_lib/isolateHall.js'
import * as editRow from '../_lib/editRow.js'
import * as logTimes from '../_lib/logTimes.js'
import type * as output from '../_lib/output.js'
import * as statistics from '../_lib/statistics.js'

/** Options of the experiment. */
export interface ConfigurationOptions {
  readonly shapes: readonly controlFleet.FleetShape[]
  readonly edits: number
  readonly logs?: string | undefined
}

/** Delays of the edits in one scenario, in seconds until the last daemon adopts them. */
export interface ConfigurationResult {
  readonly scenario: string
  readonly daemons: number
  readonly edits: number
  readonly p50: number
  readonly p99: number
  readonly max: number
}

const SETTLE_MS = 4000
const BETWEEN_EDITS_MS = 400
const TIMEOUT_MS = 60_000
const SLOW_ANSWER_MS = 1000
const OUTAGE_MS = 10_000
const ISOLATION_MS = 4000
const SLOW_PLATFORM_EDITS = 3

/** Runs all scenarios. */
export async function runConfiguration (options: ConfigurationOptions, out: output.Output): Promise<ConfigurationResult[]> {
  const results: ConfigurationResult[] = []
  for (const shape of options.shapes) {
    const processes = launcher.createLauncher(options.logs)
    try {
      const fleet = await controlFleet.startControlFleet(processes, shape)
      const store = editRow.openStore(fleet)
      await types.delay(SETTLE_MS)
      for (const [scenario, run] of listScenarios(options.edits)) {
        const delays = await run(fleet, store)
        const result = { scenario, daemons: fleet.nodes.length, edits: delays.length, p50: statistics.round(statistics.quantile(delays, 0.5)), p99: statistics.round(statistics.quantile(delays, 0.99)), max: statistics.round(Math.max(...delays)) }
        results.push(result)
        out.add(result)
      }
    } finally {
      await processes.close()
    }
  }
  return results
}

type Scenario = (fleet: launcher.Fleet, store: platform.ObjectStore) => Promise<number[]>

function listScenarios (edits: number): Array<[string, Scenario]> {
  return [
    ['platform-up', async (fleet, store) => await measureEdits(fleet, store, edits)],
    ['platform-slow', async (fleet, store) => await withFault(fleet, { delayMs: SLOW_ANSWER_MS }, { delayMs: 0 }, async () => await measureEdits(fleet, store, SLOW_PLATFORM_EDITS))],
    ['after-platform-down', measureEditAfterOutage],
    ['after-hall-cut', measureEditDuringIsolation]
  ]
}

async function setFaults (fleet: launcher.Fleet, faults: object): Promise<void> {
  await got.got.put(`${fleet.platformUrl}/admin/faults`, { json: faults })
}

async function withFault<Result> (fleet: launcher.Fleet, faults: object, clearedFaults: object, run: () => Promise<Result>): Promise<Result> {
  await setFaults(fleet, faults)
  const result = await run()
  await setFaults(fleet, clearedFaults)
  return result
}

async function measureEdits (fleet: launcher.Fleet, store: platform.ObjectStore, edits: number): Promise<number[]> {
  const delays: number[] = []
  for (let edit = 0; edit < edits; edit += 1) {
    delays.push(await measureEdit(fleet, store))
    await types.delay(BETWEEN_EDITS_MS)
  }
  return delays
}

let editCount = 0

async function editQueueLength (store: platform.ObjectStore): Promise<number> {
  editCount += 1
  return await editRow.editRow(store, 'services', 'llm', { kind: 'engine', queue: editCount })
}

async function measureEdit (fleet: launcher.Fleet, store: platform.ObjectStore): Promise<number> {
  const revision = await editQueueLength(store)
  return await waitForAdoption(fleet, revision, Date.now())
}

/** Waits until every daemon's log shows that it adopted the revision; returns the seconds from `since` to the last of them. */
async function waitForAdoption (fleet: launcher.Fleet, revision: number, since: number): Promise<number> {
  const readAdoptionTimes = (node: launcher.FleetNode): number[] => logTimes.readEventTimes(node.process.logFile, 'table-adopted', `revision=${revision} `)
  await launcher.waitUntil(() => fleet.nodes.every((node) => readAdoptionTimes(node).length > 0), TIMEOUT_MS, `revision ${revision} everywhere`)
  return (Math.max(...fleet.nodes.map((node) => readAdoptionTimes(node)[0] ?? 0)) - since) / types.MILLISECONDS_IN_SECOND
}

/** Measures an edit right after an outage of the platform. */
async function measureEditAfterOutage (fleet: launcher.Fleet, store: platform.ObjectStore): Promise<number[]> {
  await setFaults(fleet, { isDown: true })
  await types.delay(OUTAGE_MS)
  await setFaults(fleet, { isDown: false })
  return [await measureEdit(fleet, store)]
}

/** Measures an edit made while a hall is isolated from the other halls and the platform, from the time the hall is reconnected. */
async function measureEditDuringIsolation (fleet: launcher.Fleet, store: platform.ObjectStore): Promise<number[]> {
  const hall = fleet.nodes.at(-1)?.hall ?? ''
  const platformEndpoint = fleet.platformUrl.replace('http://', '')
  await isolateHall.isolateHall(fleet, hall, [platformEndpoint])
  const revision = await editQueueLength(store)
  await types.delay(ISOLATION_MS)
  const reconnectedAt = Date.now()
  await isolateHall.reconnectHall(fleet)
  return [await waitForAdoption(fleet, revision, reconnectedAt)]
}
