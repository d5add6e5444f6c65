import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as engineNews from './engineNews.js'

const HOST = '10.0.1.1'
const NEWS: engineNews.EngineNews = {
  address: `${HOST}:8585`,
  isPaused: true,
  changesInMs: 120,
  report: { bornAt: 1_790_000_000_123, running: 3, waiting: 1, isBusy: true, sequence: 4, pace: 1.5, limitPerSecond: null, models: new Map([['m', 2]]) }
}

function pass (news: engineNews.EngineNews, host: string, soleModel: string | null = 'm'): engineNews.EngineNews | null {
  const context = { host, soleModel: () => soleModel }
  return engineNews.parseEngineNews(JSON.parse(JSON.stringify(engineNews.formatEngineNews(news, context))), context)
}

nodeTest.test('news of an engine come back as they were told, with its life, wherever it runs', () => {
  assert.deepEqual(pass(NEWS, HOST), NEWS)
  assert.deepEqual(pass(NEWS, '10.0.1.2'), NEWS)
  const silent = { ...NEWS, report: { ...NEWS.report, bornAt: null } }
  assert.deepEqual(pass(silent, HOST), silent)
  assert.deepEqual(pass(NEWS, HOST, null), NEWS)
  const limited = { ...NEWS, report: { ...NEWS.report, limitPerSecond: 0.5 } }
  assert.deepEqual(pass(limited, HOST), limited)
  for (const models of [new Map(), new Map([['other', 3]]), new Map([['m', 2], ['n', 1]])]) {
    const several = { ...NEWS, report: { ...NEWS.report, models } }
    assert.deepEqual(pass(several, HOST), several)
  }
})

nodeTest.test('a version of which it is not known here whose it is tells nothing', () => {
  const told = engineNews.formatEngineNews(NEWS, { host: HOST, soleModel: () => 'm' })
  assert.equal(engineNews.parseEngineNews(told, { host: HOST, soleModel: () => null }), null)
})

nodeTest.test('news that are malformed are none', () => {
  for (const value of [null, undefined, {}, [], [1], [8585, 4, null, 0, 0, 0, 1, 0, null], [8585, 0, null, 0, 0, 0, 1, 0, '!'], [8585, 0, null, 0, 0, 0, 1, 0, null, 0], [8585, 0, null, 0, 0, 0, 1, 0, null, 'x']]) assert.equal(engineNews.parseEngineNews(value, { host: HOST, soleModel: () => 'm' }), null)
})
