/**
 * Guards against engines that load stale pieces at moments which nobody thought of: moment, kind and length of the trouble are drawn from a seed.
 * More seeds by hand: `node packages/daemon/dist/staleStageSeeds.test.js --seed 1 --runs 100`.
 */
import * as nodeTest from 'node:test'
import * as util from 'node:util'
import * as membership from '@switchridge/membership'
import * as standins from '@switchridge/standins'
import * as staleStageScene from './_lib/staleStageScene.js'

const CONCURRENCY = 4
const TEST_TIMEOUT_MS = 120_000
const VERSION_MS = 8000
/** Too short for a rolling change, so that engines change in waves. */
const SHORT_VERSION_MS = 5400
const MAXIMUM_STAGE_READ_MS = 150
const MAXIMUM_REPORT_MS = 950
const MAXIMUM_ORDER_MS = 4500
const MAXIMUM_STRIKES = 3
const MAXIMUM_TROUBLE_MS = 5000
const MINIMUM_TROUBLE_MS = 300
const MAXIMUM_AFTER_MS = 150
/** About as many as a change takes that is checked twice. */
const MAXIMUM_REQUESTS = 500
/** Reads of all pieces one after the other, when four run at a time and the stage is checked a few times. */
const READS_IN_SEQUENCE = 120
const ORDERS_IN_SEQUENCE = 4
const REPORTS_IN_SEQUENCE = 8
const MAXIMUM_SEED = 2_147_483_640
/** Distinguish these scenes from those of other test files of the same process. */
const FIRST_NETWORK = 400
const NETWORKS = 400
/** Freezes at the first, half and last reads of a check, for the first and a later version, and an agent that is killed twice within seconds. */
const CI_SEEDS = [5, 23, 28, 36, 93]

const MOMENTS: readonly staleStageScene.Moment[] = ['at-request', 'at-request', 'at-request', 'early-read-back', 'amid-read-back', 'last-reads', 'after-check', 'amid-pause', 'at-order', 'at-order']
const KINDS: ReadonlyArray<staleStageScene.Strike['kind']> = ['freeze', 'freeze', 'freeze', 'freeze', 'kill-agent', 'kill-agent', 'crash-engine', 'power-loss', 'none']

function pick<Item> (items: readonly Item[], random: () => number): Item {
  return items[Math.floor(random() * items.length)] as Item
}

function drawDelay (maximumMs: number, random: () => number): number {
  const isDelayed = random() < 0.3
  const delayMs = Math.round(random() * maximumMs)
  return isDelayed ? delayMs : 0
}

function drawStrike (index: number, random: () => number): staleStageScene.Strike {
  const moment = pick(MOMENTS, random)
  const kind = pick(KINDS, random)
  const forMs = Math.round(MINIMUM_TROUBLE_MS + random() * (MAXIMUM_TROUBLE_MS - MINIMUM_TROUBLE_MS))
  return {
    moment,
    kind,
    afterOrders: index > 0 && random() < 0.5 ? 1 : 0,
    afterRequests: moment === 'at-request' ? Math.ceil(random() * MAXIMUM_REQUESTS / (index + 1)) : 0,
    afterMs: random() < 0.5 ? 0 : Math.round(random() * MAXIMUM_AFTER_MS),
    forMs: kind === 'none' ? 0 : forMs,
    spoil: Array.from({ length: Math.ceil(random() * 6) }, random)
  }
}

/** Draws a scene; moments that don't come about are left out of it. */
function drawScene (seed: number): staleStageScene.StaleStageOptions {
  const random = standins.createSeededRandom(1 + membership.scoreByRendezvous('stale-stage', String(seed)) % MAXIMUM_SEED)
  const held = random() < 0.65 ? 1 : 0
  const engines = random() < 0.2 ? 2 : 1
  const delays = { stageReadMs: drawDelay(MAXIMUM_STAGE_READ_MS, random), reportMs: drawDelay(MAXIMUM_REPORT_MS, random), orderMs: drawDelay(MAXIMUM_ORDER_MS, random) }
  const strikes = Array.from({ length: Math.ceil(random() * MAXIMUM_STRIKES) }, (_, index) => drawStrike(index, random))
  return {
    network: FIRST_NETWORK + seed % NETWORKS,
    held,
    engines,
    versionMs: engines === 1 ? VERSION_MS : SHORT_VERSION_MS,
    delays,
    delayedMs: READS_IN_SEQUENCE * delays.stageReadMs + ORDERS_IN_SEQUENCE * delays.orderMs + REPORTS_IN_SEQUENCE * delays.reportMs,
    strikes,
    mustStrike: false
  }
}

function readSeeds (): readonly number[] {
  const { values } = util.parseArgs({ options: { seed: { type: 'string', default: '1' }, runs: { type: 'string' } }, strict: false })
  return values.runs === undefined ? CI_SEEDS : Array.from({ length: Number(values.runs) }, (_, index) => Number(values.seed) + index)
}

void nodeTest.describe('no answer is made with stale pieces, whatever strikes', { concurrency: CONCURRENCY }, () => {
  for (const seed of readSeeds()) {
    nodeTest.test(`no answer from stale pieces and the new version in time, whatever strikes when, seed ${seed}`, { timeout: TEST_TIMEOUT_MS }, async (context) => {
      const scene = drawScene(seed)
      const report = await staleStageScene.playStaleStage(context, scene)
      context.diagnostic(`seed ${seed}: ${report.strikes} of ${scene.strikes.length} strikes, orders ${report.methods.join()}`)
      staleStageScene.assertNoProblems({ ...report, trace: `${JSON.stringify(scene)}\n${report.trace}` })
    })
  }
})
