import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as createLogger from '../createLogger/index.js'
import * as createCallRegister from './index.js'

interface Fixture {
  time: number
  readonly register: createCallRegister.CallRegister
  readonly lines: string[]
  readonly counted: string[]
}

function createFixture (): Fixture {
  const lines: string[] = []
  const counted: string[] = []
  const clock = { time: 0 }
  const logger = { warn: (event: string, fields: unknown) => { lines.push(`${event} ${JSON.stringify(fields)}`) } } as unknown as createLogger.Logger
  const register = createCallRegister.createCallRegister({ logger, count: (name, labels) => { counted.push(`${name} ${Object.values(labels).join(' ')}`) }, now: () => clock.time })
  return Object.assign(clock, { register, lines, counted })
}

nodeTest.test('calls that a process cuts are logged once, with id, phase, age and reason', () => {
  const fixture = createFixture()
  fixture.register.open({ id: 'a', readPhase: () => 'answering' })
  fixture.time = 40
  fixture.register.open({ id: 'b', readPhase: () => 'delivering' }).noteEnding('answered')
  fixture.time = 100
  assert.equal(fixture.register.noteCut('grace-over'), 2)
  assert.equal(fixture.register.noteCut('stopped'), 0)
  assert.deepEqual(fixture.lines, ['call-cut {"id":"a","phase":"answering","ageMs":100,"reason":"grace-over"}', 'call-cut {"id":"b","phase":"delivering","ageMs":60,"reason":"grace-over"}'])
  assert.deepEqual(fixture.counted, ['calls_cut answering grace-over', 'calls_cut delivering grace-over'])
  assert.deepEqual(fixture.register.totals(), { cut: 2 })
})

nodeTest.test('a call counts by its ending once it is closed, and as cut if it was', () => {
  const { register } = createFixture()
  const [answered, left, cut] = ['a', 'b', 'c'].map((id) => register.open({ id, readPhase: () => 'sent' }))
  answered?.noteEnding('answered')
  answered?.close()
  left?.close()
  assert.equal(register.count(), 1)
  register.noteCut('forced')
  cut?.noteEnding('failed')
  cut?.close()
  cut?.close()
  assert.equal(register.count(), 0)
  assert.deepEqual(register.totals(), { answered: 1, left: 1, cut: 1 })
})

nodeTest.test('the lines of cut calls are bounded, and one line tells how many there are', () => {
  const { register, lines } = createFixture()
  for (let index = 0; index < 300; index += 1) register.open({ id: String(index), readPhase: () => 'waiting' })
  assert.equal(register.noteCut('forced'), 300)
  assert.equal(lines.length, 201)
  assert.equal(lines.at(-1), 'calls-cut {"count":300,"logged":200,"reason":"forced"}')
})
