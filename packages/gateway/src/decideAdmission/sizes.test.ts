/** Guards against admission that serves large calls at less than half the rate of all calls of their class, because their own prompts take long to read. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as loadSimulation from '../_lib/loadSimulation.js'
import * as sizeResults from '../_lib/sizeResults.js'

const FLEET = { halls: 3, gateways: 6, engines: 8, seconds: 60, doCallersRetry: true, doAnswersVary: true }
const ALL_ENGINES = { count: FLEET.engines, pace: 3 }
const LOADS: Readonly<Record<string, Pick<loadSimulation.LoadScenario, 'callsPerSecond' | 'slow' | 'doGatewaysConfirm' | 'doCallersRetry'>>> = {
  'ample engines': { callsPerSecond: 60 },
  'too few engines': { callsPerSecond: 100 },
  'twice as many calls as engines serve': { callsPerSecond: 180 },
  'three times as many calls as engines serve': { callsPerSecond: 300 },
  'calls confirmed by agents': { callsPerSecond: 180, doGatewaysConfirm: true },
  'half of the engines slow': { callsPerSecond: 150, slow: { count: 4, pace: 3 } },
  'all engines slow': { callsPerSecond: 60, slow: ALL_ENGINES },
  'all engines slow and few calls': { callsPerSecond: 30, slow: ALL_ENGINES },
  'too few engines, without retries': { callsPerSecond: 100, doCallersRetry: false },
  'all engines slow, without retries': { callsPerSecond: 60, slow: ALL_ENGINES, doCallersRetry: false },
  'all engines slow and few calls, without retries': { callsPerSecond: 30, slow: ALL_ENGINES, doCallersRetry: false }
}
const SEEDS = [7, 11, 23]
const MINIMUM_RATIO = 0.5

for (const [name, load] of Object.entries(LOADS)) {
  nodeTest.test(`large calls are served at half the rate of their class or more (${name})`, (context) => {
    for (const seed of SEEDS) {
      const { outcomes } = loadSimulation.simulateLoad({ ...FLEET, ...load, seed })
      outcomes.forEach((ofClass, at) => {
        for (const sizeOf of [sizeResults.promptSize, sizeResults.wholeSize]) {
          const { fifth, tenth } = sizeResults.computeSizeRatios(ofClass, sizeOf)
          const found = `seed ${seed}, class ${at}, by ${sizeOf === sizeResults.promptSize ? 'prompt' : 'all tokens'}: fifth ${fifth.toFixed(2)}, tenth ${tenth.toFixed(2)}`
          context.diagnostic(found)
          assert.ok(fifth >= MINIMUM_RATIO && tenth >= MINIMUM_RATIO, found)
        }
      })
    }
  })
}
