import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as engineStatus from './engineStatus.js'

const HOST = '10.0.1.1'
const STATUS: engineStatus.EngineStatus = {
  address: `${HOST}:8585`,
  isPaused: true,
  changesInMs: 120,
  report: { bornAt: 1_790_000_000_123, running: 3, waiting: 1, isBusy: true, sequence: 4, pace: 1.5, limitPerSecond: null, isLeaving: false, models: new Map([['m', 2]]) }
}

function roundTrip (status: engineStatus.EngineStatus, host: string, soleModel: string | null = 'm'): engineStatus.EngineStatus | null {
  const context = { host, soleModel: () => soleModel }
  return engineStatus.decodeEngineStatus(JSON.parse(JSON.stringify(engineStatus.encodeEngineStatus(status, context))), context)
}

nodeTest.test('an engine status is decoded as it was encoded, including the start time, on any host', () => {
  assert.deepEqual(roundTrip(STATUS, HOST), STATUS)
  assert.deepEqual(roundTrip(STATUS, '10.0.1.2'), STATUS)
  const withoutStartTime = { ...STATUS, report: { ...STATUS.report, bornAt: null } }
  assert.deepEqual(roundTrip(withoutStartTime, HOST), withoutStartTime)
  assert.deepEqual(roundTrip(STATUS, HOST, null), STATUS)
  const limited = { ...STATUS, report: { ...STATUS.report, limitPerSecond: 0.5 } }
  assert.deepEqual(roundTrip(limited, HOST), limited)
  for (const models of [new Map(), new Map([['other', 3]]), new Map([['m', 2], ['n', 1]])]) {
    const several = { ...STATUS, report: { ...STATUS.report, models } }
    assert.deepEqual(roundTrip(several, HOST), several)
  }
})

nodeTest.test('a cold engine is decoded as such, with and without a rate limit', () => {
  for (const limitPerSecond of [null, 0.5]) {
    const cold = { ...STATUS, report: { ...STATUS.report, limitPerSecond }, coldMs: 2500 }
    assert.deepEqual(roundTrip(cold, HOST), cold)
  }
})

/** Guards against gateways of older builds that lose the status of all engines: they drop one with a field that they don't know. */
nodeTest.test('the status of a warm engine has no fields beyond those of older builds', () => {
  const encoded = engineStatus.encodeEngineStatus(STATUS, { host: HOST, soleModel: () => 'm' }) as unknown[]
  assert.equal(encoded.length, 9)
})

/** Guards against a status that builds without the field would drop although it holds nothing. */
nodeTest.test('the time until an engine serves is encoded behind the other optional fields, and left out where it is unknown', () => {
  for (const limitPerSecond of [null, 5]) {
    const returning = { ...STATUS, readyInMs: 1234, report: { ...STATUS.report, limitPerSecond, models: new Map() } }
    assert.deepEqual(roundTrip(returning, HOST), returning)
  }
  const context = { host: HOST, soleModel: () => 'm' }
  const known = engineStatus.encodeEngineStatus({ ...STATUS, readyInMs: 1234.4 }, context) as unknown[]
  assert.deepEqual(known.slice(-3), [null, null, 1234])
  assert.equal((engineStatus.encodeEngineStatus(STATUS, context) as unknown[]).length, known.length - 3)
})

nodeTest.test('an engine that is about to end is decoded as such', () => {
  const leaving = { ...STATUS, isPaused: true, report: { ...STATUS.report, isLeaving: true } }
  assert.deepEqual(roundTrip(leaving, HOST), leaving)
})

nodeTest.test('a version without a model name is ignored while the receiver does not know the model', () => {
  const encoded = engineStatus.encodeEngineStatus(STATUS, { host: HOST, soleModel: () => 'm' })
  assert.equal(engineStatus.decodeEngineStatus(encoded, { host: HOST, soleModel: () => null }), null)
})

nodeTest.test('a malformed status decodes to null', () => {
  for (const value of [null, undefined, {}, [], [1], [8585, 8, null, 0, 0, 0, 1, 0, null], [8585, 0, null, 0, 0, 0, 1, 0, '!'], [8585, 0, null, 0, 0, 0, 1, 0, null, 0], [8585, 0, null, 0, 0, 0, 1, 0, null, 'x'], [8585, 0, null, 0, 0, 0, 1, 0, null, null, 0], [8585, 0, null, 0, 0, 0, 1, 0, null, null, 'x']]) assert.equal(engineStatus.decodeEngineStatus(value, { host: HOST, soleModel: () => 'm' }), null)
})
