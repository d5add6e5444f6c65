import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as gateway from '../types/index.js'
import * as createStreamRateBound from './createStreamRateBound.js'

const STEP_MS = 20
const FIGURES: gateway.EngineFigures = { slots: 4, models: [], layers: 1, chunks: 1, chunkBytes: 1, stepMs: STEP_MS, stepMsPerSequence: 0, prefillTokensPerMs: null, usualPromptTokens: null, usualAnswerTokens: null }

/** Lets chunks arrive, some in each step of the engine; returns the step in which they were too fast, or null. */
function receive (figures: gateway.EngineFigures | null, steps: number, chunksPerStep: number, chunkBytes: number): number | null {
  let time = 0
  const bound = createStreamRateBound.createStreamRateBound(figures, () => time)
  for (let step = 0; step < steps; step += 1) {
    time += STEP_MS
    for (let chunk = 0; chunk < chunksPerStep; chunk += 1) if (!bound.accept(chunkBytes)) return step
  }
  return null
}

nodeTest.test('a stream of an engine passes for ever, also at several times its speed and with large tokens', () => {
  assert.equal(receive(FIGURES, 200_000, 1, 60), null)
  assert.equal(receive(FIGURES, 200_000, 5, 60), null)
  assert.equal(receive(FIGURES, 200_000, 1, 8000), null)
})

nodeTest.test('a whole answer may come at once', () => {
  assert.equal(receive(FIGURES, 1, 16_000, 60), null)
})

nodeTest.test('a stream that is many times faster than its engine is given up after a while', () => {
  assert.ok(receive(FIGURES, 1000, 100, 60) !== null)
  assert.ok(receive(FIGURES, 1000, 10, 16_000) !== null)
  assert.equal(receive(FIGURES, 1, 100_000, 1), 0)
})

nodeTest.test('a stream is not bounded where the speed of its engine is unknown', () => {
  assert.equal(receive(null, 1, 100_000, 60), null)
  assert.equal(receive({ ...FIGURES, stepMs: null }, 1, 100_000, 60), null)
})
