import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createMirror from '../createMirror/index.js'
import * as keepMirror from './index.js'

const KIND = 'things'
const WAIT_MS = 1000
const CHANCE_MS = 100

interface Asked {
  readonly calls: string[]
  readonly store: createMirror.CollectionStore
}

/** A store that answers watches when their wait is over, as far as its revision then is. */
function createStore (revision: () => number, isGone: () => boolean = () => false): Asked {
  const calls: string[] = []
  return {
    calls,
    store: {
      listAll: async () => {
        calls.push('list')
        return types.succeed({ at: revision(), objects: [] })
      },
      watchAll: async (_kind, from, waitMs) => {
        calls.push(`watch ${from}`)
        if (isGone()) return types.fail(new createMirror.HistoryGoneError('gone'))
        await types.delay(waitMs)
        return types.succeed({ at: revision(), events: [] })
      },
      put: async () => types.fail(new types.UnavailableError('not here')),
      remove: async () => types.fail(new types.UnavailableError('not here'))
    }
  }
}

async function advance (context: nodeTest.TestContext, milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 10) {
    context.mock.timers.tick(10)
    for (let turn = 0; turn < 10; turn += 1) await Promise.resolve()
  }
}

function keep (mirror: createMirror.Mirror, store: createMirror.CollectionStore, mayWatch: () => boolean): keepMirror.KeptMirror {
  return keepMirror.keepMirror({ mirror, store, waitMs: WAIT_MS, random: () => 0.5, mayWatch, nextChance: async () => { await types.delay(CHANCE_MS) }, onReachable: () => {} })
}

nodeTest.test('a mirror that may not ask the store waits, and then watches on from where peers brought it', async (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const asked = createStore(() => 70)
  const mirror = createMirror.createMirror(KIND)
  let isAllowed = false
  const kept = keep(mirror, asked.store, () => isAllowed)
  await advance(context, 3000)
  assert.deepEqual(asked.calls, [])
  assert.equal(kept.isWatching(), false)
  mirror.applyList({ at: 60, objects: [] })
  isAllowed = true
  await advance(context, 100)
  assert.deepEqual(asked.calls, ['watch 60'])
  assert.equal(kept.isWatching(), true)
  isAllowed = false
  await advance(context, 5000)
  assert.deepEqual(asked.calls, ['watch 60'])
  kept.stop()
})

nodeTest.test('a mirror without a copy lists, and lists again only when the history is gone', async (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  let isGone = false
  const asked = createStore(() => 5, () => isGone)
  const mirror = createMirror.createMirror(KIND)
  const kept = keep(mirror, asked.store, () => true)
  await advance(context, 100)
  assert.deepEqual(asked.calls, ['list', 'watch 5'])
  isGone = true
  await advance(context, WAIT_MS)
  isGone = false
  assert.ok(asked.calls.filter((call) => call === 'list').length > 1)
  kept.stop()
})

nodeTest.test('a watch that is begun anew goes on from where the mirror is, and the old one changes nothing', async (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const asked = createStore(() => 5)
  const mirror = createMirror.createMirror(KIND)
  const kept = keep(mirror, asked.store, () => true)
  await advance(context, 100)
  kept.restart()
  await advance(context, 100)
  assert.deepEqual(asked.calls, ['list', 'watch 5', 'watch 5'])
  await advance(context, WAIT_MS)
  assert.equal(asked.calls.length, 4)
  kept.stop()
})
