import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as createErrorBound from './index.js'

const CALL_GAP_MS = 100

/** Records calls with the given prediction errors in turn, ten per second. */
function recordErrors (errors: readonly number[], calls: number): { readonly bound: createErrorBound.ErrorBound, readonly advance: (milliseconds: number) => void } {
  let time = 0
  const bound = createErrorBound.createErrorBound(() => time)
  for (let call = 0; call < calls; call += 1) {
    time += CALL_GAP_MS
    bound.note(100, 100 + (errors[call % errors.length] as number))
  }
  return { bound, advance: (milliseconds) => { time += milliseconds } }
}

nodeTest.test('calls that begin as predicted keep the bound at zero', () => {
  assert.equal(recordErrors([0, -20, 0], 60).bound.read(), 0)
})

nodeTest.test('a standing queue of 300 ms is learned within two seconds', () => {
  assert.ok(recordErrors([300], 20).bound.read() >= 290)
})

nodeTest.test('the bound lies above most errors and below the rare ones', () => {
  const { bound } = recordErrors([0, 40, 80, 120, 160, 200, 240, 280, 320, 900], 400)
  assert.ok(bound.read() >= 240 && bound.read() <= 400, `${bound.read()} ms`)
})

nodeTest.test('the bound of a gateway without calls decays within seconds', () => {
  const { bound, advance } = recordErrors([300], 20)
  const learned = bound.read()
  advance(500)
  assert.equal(bound.read(), learned)
  advance(4000)
  assert.equal(bound.read(), 0)
})

nodeTest.test('a gateway with a call every 300 ms also learns a standing queue within two seconds', () => {
  let time = 0
  const bound = createErrorBound.createErrorBound(() => time)
  for (let call = 0; call < 7; call += 1) {
    time += 300
    bound.note(100, 400)
  }
  assert.ok(bound.read() >= 290, `${bound.read()} ms`)
})
