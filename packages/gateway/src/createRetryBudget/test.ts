import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as createRetryBudget from './index.js'

const LIMITS = { ratio: 0.2, slack: 100, windowMs: 10_000 }
const GATEWAYS = 5

nodeTest.test('all gateways together stay within the shared limits in every window', () => {
  let now = 0
  const budgets = Array.from({ length: GATEWAYS }, () => createRetryBudget.createRetryBudget(LIMITS, () => GATEWAYS, () => now))
  const calls: number[] = []
  const extras: number[] = []
  for (; now < 60_000; now += 50) {
    for (const budget of budgets) {
      budget.noteCall()
      calls.push(now)
      while (budget.trySpend()) extras.push(now)
    }
  }
  for (let from = 0; from <= 50_000; from += 250) {
    const inWindow = (times: readonly number[]): number => times.filter((time) => time >= from && time < from + LIMITS.windowMs).length
    assert.ok(inWindow(extras) <= LIMITS.ratio * inWindow(calls) + LIMITS.slack)
  }
  assert.ok(extras.length > 0)
})

nodeTest.test('a restarted gateway has no slack in its first window, because the previous process may have spent it', () => {
  let now = 0
  const budget = createRetryBudget.createRetryBudget(LIMITS, () => 1, () => now)
  assert.equal(budget.trySpend(), false)
  now = 10_001
  assert.equal(budget.trySpend(), true)
})
