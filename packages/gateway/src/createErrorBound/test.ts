import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as createErrorBound from './index.js'

const CALL_GAP_MS = 100

/** Notes calls with errors in turn, ten a second. */
function playErrors (errors: readonly number[], calls: number): { readonly bound: createErrorBound.ErrorBound, readonly pass: (milliseconds: number) => void } {
  let time = 0
  const bound = createErrorBound.createErrorBound(() => time)
  for (let call = 0; call < calls; call += 1) {
    time += CALL_GAP_MS
    bound.note(100, 100 + (errors[call % errors.length] as number))
  }
  return { bound, pass: (milliseconds) => { time += milliseconds } }
}

nodeTest.test('calls that begin as predicted leave no bound', () => {
  assert.equal(playErrors([0, -20, 0], 60).bound.read(), 0)
})

nodeTest.test('a standing queue of 300 ms is learned within two seconds', () => {
  assert.ok(playErrors([300], 20).bound.read() >= 290)
})

nodeTest.test('the bound lies above most errors and below the rare ones', () => {
  const { bound } = playErrors([0, 40, 80, 120, 160, 200, 240, 280, 320, 900], 400)
  assert.ok(bound.read() >= 240 && bound.read() <= 400, `${bound.read()} ms`)
})

nodeTest.test('a gateway that takes no call any more tries again within seconds', () => {
  const { bound, pass } = playErrors([300], 20)
  const learned = bound.read()
  pass(500)
  assert.equal(bound.read(), learned)
  pass(4000)
  assert.equal(bound.read(), 0)
})

nodeTest.test('a gateway that serves a call every 300 ms learns a standing queue within two seconds, too', () => {
  let time = 0
  const bound = createErrorBound.createErrorBound(() => time)
  for (let call = 0; call < 7; call += 1) {
    time += 300
    bound.note(100, 400)
  }
  assert.ok(bound.read() >= 290, `${bound.read()} ms`)
})
