/**
 * Guards against one part of prompts that crashes engine after engine, and against refusing the harmless calls that share its other parts. Seven gateways, 15 engines,
 * 110 harmless calls per second, and five calls per second with the part for 20 s, no two of them alike. Without a quarantine about 80 engines end.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as crashSimulation from '../_lib/crashSimulation.js'

const PROMPTS: crashSimulation.PromptScenario = { parts: 100, newPartsPerSecond: 0.5, crashingParts: 1, callsPerSecond: 5, from: 15, until: 35 }
const SCENARIO: crashSimulation.CrashScenario = {
  gateways: 7, engines: 15, slots: 16, seconds: 60, callsPerSecond: 110, pollsPerSecond: 0, crashingCalls: 0, waves: [], copies: 0, otherEndsPerSecond: 0, ends: 3, propagationMs: 40, lossRate: 0.01, prompts: PROMPTS
}
const SEEDS = [1, 2, 3, 4, 5]
/** Required by the users: calls with the part that are still sent to engines once it has ended five of them and all gateways had time to learn of it. */
const MAXIMUM_LATE_SENDS = 3
/** Of the harmless calls, in all cases below; the users allow that half of them are refused. */
const MAXIMUM_REFUSED_FRACTION = 0.002

interface Case {
  readonly name: string
  readonly change: Partial<crashSimulation.CrashScenario>
}

const CASES: readonly Case[] = [
  { name: 'one part', change: {} },
  { name: 'one part, while an engine a second ends for other reasons', change: { otherEndsPerSecond: 1 } },
  { name: 'three parts at once', change: { prompts: { ...PROMPTS, crashingParts: 3 } } },
  { name: 'five parts at once', change: { prompts: { ...PROMPTS, crashingParts: 5 } } },
  { name: 'one part from the first second on', change: { prompts: { ...PROMPTS, from: 0.5, until: 20 } } },
  { name: 'one part, while ten new parts a second come into use', change: { prompts: { ...PROMPTS, newPartsPerSecond: 10 } } },
  { name: 'one part that was harmless before', change: { prompts: { ...PROMPTS, wereHarmless: true } } },
  { name: 'one part beside many parts that are rare', change: { prompts: { ...PROMPTS, parts: 2000 } } },
  { name: 'one part, while gateways restart', change: { restarts: [15.2, 15.6, 16, 16.4, 16.8, 17.2, 17.6, 18, 18.4] } },
  { name: 'one part, while all gateways restart', change: { restarts: [15.5, 15.5, 15.5, 15.5, 15.5, 15.5, 15.5] } },
  { name: 'one part, while one gateway is cut off', change: { isolation: [14, 25] } },
  { name: 'one part, while every fifth report is lost', change: { lossRate: 0.2 } },
  { name: 'one part, while half of the engines end at the same moment, five times', change: { jointEnds: { at: [15, 16, 17, 25, 30], fraction: 0.5 } } }
]

function simulate (context: nodeTest.TestContext, change: Partial<crashSimulation.CrashScenario>): crashSimulation.CrashResult[] {
  const results = SEEDS.map((seed) => crashSimulation.simulateCrashes({ ...SCENARIO, ...change }, seed))
  for (const result of results) context.diagnostic(JSON.stringify(result))
  return results
}

function sum (results: readonly crashSimulation.CrashResult[], figure: keyof crashSimulation.CrashResult): number {
  return results.reduce((total, result) => total + result[figure], 0)
}

for (const { name, change } of CASES) {
  nodeTest.test(`parts that crash engines are blocked in time, and hardly any harmless call is refused (${name})`, (context) => {
    const results = simulate(context, change)
    assert.ok(results.every(({ lateSends }) => lateSends <= MAXIMUM_LATE_SENDS))
    assert.ok(sum(results, 'refused') <= MAXIMUM_REFUSED_FRACTION * sum(results, 'calls'))
  })
}

nodeTest.test('without parts that crash engines none is blocked, though engines end one by one or together', (context) => {
  const prompts = { ...PROMPTS, crashingParts: 0 }
  for (const change of [{ otherEndsPerSecond: 1 }, { jointEnds: { at: [15, 16, 17, 25, 30], fraction: 0.8 } }]) {
    assert.equal(sum(simulate(context, { ...change, prompts }), 'blockedHarmlessParts'), 0)
  }
})

nodeTest.test('98 gateways with 143 engines block a part in time, too', (context) => {
  const results = simulate(context, { gateways: 98, engines: 143, slots: 8, callsPerSecond: 300, propagationMs: 150, seconds: 40 })
  assert.ok(results.every(({ lateSends }) => lateSends <= MAXIMUM_LATE_SENDS))
  assert.ok(sum(results, 'refused') <= MAXIMUM_REFUSED_FRACTION * sum(results, 'calls'))
})
