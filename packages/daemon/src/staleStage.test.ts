/**
 * Guards against engines that load pieces which turned bad after they were checked: the agent stands still, its engine answers slowly, or either of them ends, between
 * the check of a piece and the moment at which the engine takes the order.
 */
import * as nodeTest from 'node:test'
import * as staleStageScene from './_lib/staleStageScene.js'

interface Case extends Pick<staleStageScene.StaleStageOptions, 'delays' | 'delayedMs' | 'mustStrike'> {
  readonly name: string
  readonly strikes: ReadonlyArray<Partial<staleStageScene.Strike> & Pick<staleStageScene.Strike, 'moment'>>
}

const CONCURRENCY = 5
const TEST_TIMEOUT_MS = 90_000
const VERSION_MS = 8000
/** Too short for a rolling change, so that the first waves abort running calls. */
const SHORT_VERSION_MS = 5400
const TROUBLE_MS = 4000
const DOWN_MS = 300
/** The first, a middle and the last piece of those that were read. */
const SEVERAL = [0, 0.5, 1]
const FIRST = [0]
/** All pieces take this long at 150 ms each, four at a time. */
const SLOW_READ_BACK_MS = 3600

const FREEZES: readonly Case[] = [
  { name: 'an agent that stands still amid the check of a stage', strikes: [{ moment: 'amid-read-back' }] },
  { name: 'an agent that stands still after the check of a stage', strikes: [{ moment: 'after-check' }] },
  { name: 'an agent that stands still while calls are paused', strikes: [{ moment: 'amid-pause' }] },
  { name: 'an agent that stands still right after an order', strikes: [{ moment: 'at-order' }] },
  { name: 'an agent that stands still after the check and right after the next order', strikes: [{ moment: 'after-check' }, { moment: 'at-order' }] },
  { name: 'an agent that stands still after the check that follows an order', strikes: [{ moment: 'after-check', afterOrders: 1 }], mustStrike: false },
  { name: 'an agent that stands still right after its second order', strikes: [{ moment: 'at-order', afterOrders: 1 }], mustStrike: false }
]

const SLOW_ENGINES: readonly Case[] = [
  { name: 'an engine that answers each read of its stage after 150 ms', strikes: [{ moment: 'early-read-back', kind: 'none', spoil: FIRST }], delays: { stageReadMs: 150 }, delayedMs: 2 * SLOW_READ_BACK_MS },
  { name: 'an engine that answers each read of its stage after 60 ms', strikes: [{ moment: 'early-read-back', kind: 'none', spoil: FIRST }], delays: { stageReadMs: 60 }, delayedMs: SLOW_READ_BACK_MS },
  { name: 'an engine that answers reports after 950 ms', strikes: [{ moment: 'after-check', kind: 'none' }], delays: { reportMs: 950 }, delayedMs: TROUBLE_MS },
  { name: 'an engine that takes an order after 4 s', strikes: [{ moment: 'at-order', kind: 'none' }], delays: { orderMs: TROUBLE_MS }, delayedMs: 3 * TROUBLE_MS },
  { name: 'an engine that takes an order after 4 s from an agent that stands still meanwhile', strikes: [{ moment: 'at-order' }], delays: { orderMs: TROUBLE_MS }, delayedMs: 3 * TROUBLE_MS },
  { name: 'an engine that takes an order after 4 s from an agent that was killed', strikes: [{ moment: 'at-order', kind: 'kill-agent' }], delays: { orderMs: TROUBLE_MS }, delayedMs: 3 * TROUBLE_MS }
]

const MOMENTS: ReadonlyArray<{ readonly moment: staleStageScene.Moment, readonly text: string }> = [
  { moment: 'amid-read-back', text: 'amid the check of its stage' },
  { moment: 'after-check', text: 'after the check of its stage' },
  { moment: 'amid-pause', text: 'while calls are paused' },
  { moment: 'at-order', text: 'at an order' }
]

const ENDS: readonly Case[] = MOMENTS.flatMap(({ moment, text }) => [
  { name: `an engine that crashes ${text}`, strikes: [{ moment, kind: 'crash-engine', forMs: DOWN_MS }] },
  { name: `an engine that loses its stage ${text}`, strikes: [{ moment, kind: 'power-loss', forMs: DOWN_MS }] },
  { name: `an agent that is killed and started again ${text}`, strikes: [{ moment, kind: 'kill-agent', forMs: DOWN_MS }] }
] satisfies Case[])

const LONG_ENDS: readonly Case[] = [
  { name: 'an engine that is away for 4 s after a crash at an order', strikes: [{ moment: 'at-order', kind: 'crash-engine' }] },
  { name: 'an agent that is killed at an order and started again 4 s later', strikes: [{ moment: 'at-order', kind: 'kill-agent' }] }
]

const CASES = [...FREEZES, ...SLOW_ENGINES, ...ENDS, ...LONG_ENDS]
/** An engine without a version is ordered right after the check, without a pause. */
const FIRST_VERSION_CASES = CASES
  .filter(({ strikes }) => strikes.every(({ moment }) => moment !== 'amid-pause'))
  .map((each) => ({ ...each, strikes: each.strikes.map((strike) => ({ ...strike, moment: strike.moment === 'after-check' ? 'last-reads' : strike.moment } as const)) }))
const WAVE_CASES = [...FREEZES.slice(0, 4), ...SLOW_ENGINES.slice(-3)]

function createStrike ({ moment, afterOrders = 0, kind = 'freeze', forMs = TROUBLE_MS, spoil = SEVERAL }: Case['strikes'][number]): staleStageScene.Strike {
  return { moment, afterOrders, afterRequests: 0, afterMs: 0, kind, forMs: kind === 'none' ? 0 : forMs, spoil }
}

let network = 0

async function play (context: nodeTest.TestContext, { strikes, delays = {}, delayedMs = 0, mustStrike = true }: Case, change: Pick<staleStageScene.StaleStageOptions, 'held' | 'engines' | 'versionMs'>): Promise<void> {
  const report = await staleStageScene.playStaleStage(context, { network: network++, ...change, delays, delayedMs, mustStrike, strikes: strikes.map(createStrike) })
  context.diagnostic(`${report.strikes} strikes, orders: ${report.methods.join()}`)
  staleStageScene.assertNoProblems(report)
}

void nodeTest.describe('no answer is made with stale pieces, and the new version is served', { concurrency: CONCURRENCY, timeout: 20 * TEST_TIMEOUT_MS }, () => {
  for (const each of CASES) {
    nodeTest.test(`no answer from stale pieces: ${each.name} (later version)`, { timeout: TEST_TIMEOUT_MS }, async (context) => {
      await play(context, each, { held: 1, engines: 1, versionMs: VERSION_MS })
    })
  }

  for (const each of FIRST_VERSION_CASES) {
    nodeTest.test(`no answer from stale pieces: ${each.name} (first version)`, { timeout: TEST_TIMEOUT_MS }, async (context) => {
      await play(context, each, { held: 0, engines: 1, versionMs: VERSION_MS })
    })
  }

  for (const each of WAVE_CASES) {
    nodeTest.test(`no answer from stale pieces: ${each.name} (two engines in waves)`, { timeout: TEST_TIMEOUT_MS }, async (context) => {
      await play(context, each, { held: 1, engines: 2, versionMs: SHORT_VERSION_MS })
    })
  }
})
