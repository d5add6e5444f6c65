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
  const log = (event: string, fields: unknown): void => { lines.push(`${event} ${JSON.stringify(fields)}`) }
  const logger = { warn: log, info: log } as unknown as createLogger.Logger
  const register = createCallRegister.createCallRegister({ logger, count: (name, labels) => { counted.push(`${name} ${Object.values(labels).join(' ')}`) }, readConfiguration: () => 7, now: () => clock.time })
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
  assert.deepEqual(fixture.lines, ['call-cut {"id":"a","phase":"answering","ageMs":100,"configuration":7,"reason":"grace-over"}', 'call-cut {"id":"b","phase":"delivering","ageMs":60,"configuration":7,"reason":"grace-over"}'])
  assert.deepEqual(fixture.counted, ['calls_cut answering grace-over', 'calls_cut delivering grace-over'])
  assert.deepEqual(fixture.register.totals(), { cut: 2 })
})

nodeTest.test('a call counts by its ending once it is closed, and as cut if it was', () => {
  const { register } = createFixture()
  const [answered, left, cut] = ['a', 'b', 'c'].map((id) => register.open({ id, readPhase: () => 'sent' }))
  answered?.noteEnding('answered')
  answered?.close('delivered')
  left?.close('left')
  assert.equal(register.count(), 1)
  register.noteCut('forced')
  cut?.noteEnding('failed')
  cut?.close('delivered')
  cut?.close('cut')
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

nodeTest.test('a call whose connection ends without a whole response is logged, with the side that closed it', () => {
  const fixture = createFixture()
  const [left, cut, delivered] = ['a', 'b', 'c'].map((id) => fixture.register.open({ id, readPhase: () => 'sent' }))
  cut?.noteEnding('failed')
  fixture.time = 20
  left?.close('left')
  cut?.close('cut')
  delivered?.close('delivered')
  assert.deepEqual(fixture.lines, ['call-left {"id":"a","phase":"sent","ageMs":20,"configuration":7}', 'call-cut {"id":"b","phase":"sent","ageMs":20,"configuration":7,"reason":"aborted"}'])
  assert.deepEqual(fixture.counted, ['calls_left sent', 'calls_cut sent aborted'])
})
