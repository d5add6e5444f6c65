import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createBackEndTracker from '../createBackEndTracker/index.js'
import type * as gateway from '../types/index.js'
import * as waitingCalls from './waitingCalls.js'

const NOW = 10_000
const FIGURES: gateway.EngineFigures = { slots: 12, models: ['m'], layers: 1, chunks: 96, chunkBytes: 24_576, stepMs: 10, stepMsPerSequence: 0, prefillTokensPerMs: 20, usualPromptTokens: 900, usualAnswerTokens: 100 }
const ORIGIN: gateway.Service = { name: types.brandId('weights'), engine: null, originAddress: { host: '127.0.0.1', port: 1 }, linkMbps: 4.38 }

function configure (engine: gateway.EngineFigures | null, origin: gateway.Service = ORIGIN): { readonly configuration: gateway.Configuration, readonly service: gateway.Service } {
  const service: gateway.Service = { name: types.brandId('llm'), engine, originAddress: null, linkMbps: null }
  return { service, configuration: { version: 1, routes: [], services: [service, origin], limits: { maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }, tenants: [] } }
}

function mayWait (timeoutMs: number, engine: gateway.EngineFigures | null = FIGURES, origin: gateway.Service = ORIGIN): boolean {
  const { configuration, service } = configure(engine, origin)
  return waitingCalls.mayWait(configuration, { timeoutMs }, service)
}

/** Guards against other decisions than before in deployments whose weights arrive soon, or whose figures are incomplete: one copy takes 4.3 s here. */
nodeTest.test('calls wait only where a copy of the weights takes longer than half of the timeout, and all figures are known', () => {
  assert.equal(mayWait(6000), true)
  assert.equal(mayWait(9000), false)
  assert.equal(mayWait(6000, FIGURES, { ...ORIGIN, linkMbps: null }), false)
  assert.equal(mayWait(6000, FIGURES, { ...ORIGIN, originAddress: null }), false)
  assert.equal(mayWait(6000, null), false)
  assert.equal(mayWait(6000, { ...FIGURES, chunks: 0 }), false)
  assert.equal(mayWait(6000, { ...FIGURES, models: ['m', 'n'] }), false)
  for (const missing of ['stepMs', 'prefillTokensPerMs', 'usualPromptTokens', 'usualAnswerTokens'] as const) assert.equal(mayWait(6000, { ...FIGURES, [missing]: null }), false, missing)
})

nodeTest.test('the services whose calls may wait on some route are listed', () => {
  const { configuration, service } = configure(FIGURES)
  const route = { timeoutMs: 6000, splits: [{ service: service.name, weight: 1 }] } as unknown as gateway.Route
  assert.deepEqual([...waitingCalls.listWaitingServices({ ...configuration, routes: [route] })], [service.name])
  assert.deepEqual([...waitingCalls.listWaitingServices({ ...configuration, routes: [{ ...route, timeoutMs: 9000 }] })], [])
})

/** Guards against calls that wait for engines that take none: those that are gone, hold an old version, or have not reported. */
nodeTest.test('the forecast counts engines that serve, and those whose return is stated', () => {
  const tracker = createBackEndTracker.createBackEndTracker(() => NOW)
  const engine = (id: string): gateway.BackEnd => ({ id: types.brandId(id), bornAt: null, service: types.brandId('llm'), address: { host: '127.0.0.1', port: 1 }, zone: 'a', slots: 12, isDraining: false, models: new Map([['m', 2]]) })
  const report = (models: ReadonlyMap<string, number>, running = 0): gateway.EngineReport => ({ bornAt: null, running, waiting: 0, isBusy: false, sequence: 0, pace: 1, limitPerSecond: null, isLeaving: false, models })
  const note = (id: string, models: ReadonlyMap<string, number>, readyInMs?: number): void => { tracker.noteReport(types.brandId(id), { report: report(models, 5), isPaused: false, changesInMs: null, ...(readyInMs === undefined ? {} : { readyInMs }) }, NOW - 100, 0) }
  note('serving', new Map([['m', 2]]))
  note('old', new Map([['m', 1]]))
  note('old-returning', new Map([['m', 1]]), 1500)
  note('empty', new Map())
  note('returning', new Map(), 1100)
  note('gone', new Map([['m', 2]]))
  tracker.noteProcessEnded(types.brandId('gone'))
  const backEnds = ['serving', 'old', 'old-returning', 'empty', 'returning', 'gone', 'listed-only'].map(engine)
  assert.deepEqual(waitingCalls.listForecastEngines(backEnds, tracker, 'm', (version) => version >= 2, NOW), [
    { slots: 12, freeSlots: 7, readyInMs: 0 },
    { slots: 12, freeSlots: 12, readyInMs: 1400 },
    { slots: 12, freeSlots: 12, readyInMs: 1000 }
  ])
})
