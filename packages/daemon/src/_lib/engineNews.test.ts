import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as engineNews from './engineNews.js'

const HOST = '10.0.1.1'
const NEWS: engineNews.EngineNews = {
  address: `${HOST}:8585`,
  isPaused: true,
  changesInMs: 120,
  report: { bornAt: 1_790_000_000_123, running: 3, waiting: 1, isBusy: true, sequence: 4, pace: 1.5, models: new Map([['m', 2]]) }
}

function pass (news: engineNews.EngineNews, host: string): engineNews.EngineNews | null {
  return engineNews.parseEngineNews(JSON.parse(JSON.stringify(engineNews.formatEngineNews(news, host))), host)
}

nodeTest.test('news of an engine come back as they were told, with its life, wherever it runs', () => {
  assert.deepEqual(pass(NEWS, HOST), NEWS)
  assert.deepEqual(pass(NEWS, '10.0.1.2'), NEWS)
  const silent = { ...NEWS, report: { ...NEWS.report, bornAt: null } }
  assert.deepEqual(pass(silent, HOST), silent)
})

nodeTest.test('news that are malformed are none', () => {
  for (const value of [null, undefined, {}, [], [1], [8585, 2, null, 0, 0, 0, 0, 1, [], null]]) assert.equal(engineNews.parseEngineNews(value, HOST), null)
})
