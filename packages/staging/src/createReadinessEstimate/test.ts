import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as createReadinessEstimate from './index.js'

const PIECES = 96
const STAGE_AND_LOAD_MS = 1400

interface Estimated {
  readonly estimate: createReadinessEstimate.ReadinessEstimate
  /** Lets time pass, with pieces arriving at a constant rate. */
  readonly fetch: (fromMissing: number, toMissing: number, durationMs: number) => void
  readonly advance: (milliseconds: number) => void
  readonly now: () => number
}

function createEstimate (): Estimated {
  let time = 10_000
  const estimate = createReadinessEstimate.createReadinessEstimate(() => time)
  return {
    estimate,
    fetch: (from, to, durationMs) => {
      const steps = durationMs / 200
      for (let step = 0; step <= steps; step += 1) {
        if (step > 0) time += 200
        estimate.note({ kind: 'fetching', version: 1, pieces: PIECES, missing: from + (to - from) * step / steps })
      }
    },
    advance: (milliseconds) => { time += milliseconds },
    now: () => time
  }
}

/** Guards against an estimate that assumes the link's full rate while the origin is the bottleneck. */
nodeTest.test('the missing pieces are expected at the rate at which pieces arrived lately', () => {
  const { estimate, fetch } = createEstimate()
  fetch(96, 72, 1000)
  assert.equal(estimate.read(), 3000 + STAGE_AND_LOAD_MS)
  fetch(72, 24, 1000)
  assert.equal(estimate.read(), 500 + STAGE_AND_LOAD_MS)
})

/** Guards against an invented time: while nothing arrives, when the engine serves is unknown. */
nodeTest.test('the time is unknown while no piece arrives, and while no version is fetched', () => {
  const { estimate, fetch } = createEstimate()
  assert.equal(estimate.read(), null)
  fetch(96, 72, 1000)
  fetch(72, 72, 2000)
  assert.equal(estimate.read(), null)
  fetch(72, 48, 1000)
  assert.notEqual(estimate.read(), null)
  estimate.note({ kind: 'none' })
  assert.equal(estimate.read(), null)
})

nodeTest.test('a complete version is staged and loaded, which takes as long as it took before', () => {
  const { estimate, advance, now } = createEstimate()
  estimate.note({ kind: 'staging' })
  assert.equal(estimate.read(), STAGE_AND_LOAD_MS)
  estimate.noteTook('stage', 100)
  estimate.noteTook('load', 700)
  assert.equal(estimate.read(), 800)
  estimate.note({ kind: 'staged' })
  assert.equal(estimate.read(), 700)
  estimate.note({ kind: 'loading', since: now() })
  advance(600)
  assert.equal(estimate.read(), 100)
  advance(600)
  assert.equal(estimate.read(), 1)
})
