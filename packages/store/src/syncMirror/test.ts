import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createMirror from '../createMirror/index.js'
import * as syncMirror from './index.js'

const KIND = 'things'
const WAIT_MS = 1000
const MAY_WATCH_POLL_MS = 100

interface RecordingStore {
  readonly calls: string[]
  readonly store: createMirror.CollectionStore
}

/** Creates a store that records calls and whose watches end after their wait, without events and at the revision at that time. */
function createRecordingStore (revision: () => number, isGone: () => boolean = () => false): RecordingStore {
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

function startSync (mirror: createMirror.Mirror, store: createMirror.CollectionStore, mayWatch: () => boolean, onError: (thrown: unknown) => void = () => {}): syncMirror.MirrorSync {
  return syncMirror.syncMirror({ mirror, store, waitMs: WAIT_MS, random: () => 0.5, mayWatch, mayWatchChanged: async () => { await types.delay(MAY_WATCH_POLL_MS) }, onReachabilityChange: () => {}, onError })
}

nodeTest.test('sends no requests while it may not watch, and then watches from the revision that peers advanced the mirror to', async (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const recording = createRecordingStore(() => 70)
  const mirror = createMirror.createMirror(KIND)
  let isAllowed = false
  const sync = startSync(mirror, recording.store, () => isAllowed)
  await advance(context, 3000)
  assert.deepEqual(recording.calls, [])
  assert.equal(sync.isWatching(), false)
  mirror.applyList({ at: 60, objects: [] })
  isAllowed = true
  await advance(context, 100)
  assert.deepEqual(recording.calls, ['watch 60'])
  assert.equal(sync.isWatching(), true)
  isAllowed = false
  await advance(context, 5000)
  assert.deepEqual(recording.calls, ['watch 60'])
  sync.stop()
})

nodeTest.test('lists an empty mirror, and lists again only when the store no longer has the history', async (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  let isGone = false
  const recording = createRecordingStore(() => 5, () => isGone)
  const mirror = createMirror.createMirror(KIND)
  const sync = startSync(mirror, recording.store, () => true)
  await advance(context, 100)
  assert.deepEqual(recording.calls, ['list', 'watch 5'])
  isGone = true
  await advance(context, WAIT_MS)
  isGone = false
  assert.ok(recording.calls.filter((call) => call === 'list').length > 1)
  sync.stop()
})

nodeTest.test('a restarted watch continues from the revision of the mirror, and the result of the abandoned one is ignored', async (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const recording = createRecordingStore(() => 5)
  const mirror = createMirror.createMirror(KIND)
  const sync = startSync(mirror, recording.store, () => true)
  await advance(context, 100)
  sync.restartWatch()
  await advance(context, 100)
  assert.deepEqual(recording.calls, ['list', 'watch 5', 'watch 5'])
  await advance(context, WAIT_MS)
  assert.equal(recording.calls.length, 4)
  sync.stop()
})

nodeTest.test('goes on after a listener of the mirror or the store threw', async (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  let revision = 60
  const recording = createRecordingStore(() => ++revision)
  const mirror = createMirror.createMirror(KIND)
  const errors: unknown[] = []
  const listed: number[] = []
  mirror.onChange(() => {
    listed.push(mirror.objects().size)
    if (listed.length === 1) throw new Error('listener')
  })
  const store: createMirror.CollectionStore = {
    ...recording.store,
    watchAll: async (kind, from, waitMs) => {
      const watched = await recording.store.watchAll(kind, from, waitMs)
      if (recording.calls.length === 3) throw new Error('store')
      return watched.ok ? types.succeed({ at: revision, events: [{ isGone: false, object: { name: 'a', revision, value: {} } }] }) : watched
    }
  }
  const sync = startSync(mirror, store, () => true, (thrown) => { errors.push((thrown as Error).message) })
  await advance(context, 8000)
  sync.stop()
  assert.deepEqual(errors, ['listener', 'store'])
  assert.deepEqual(listed.slice(0, 2), [0, 1])
  assert.equal(mirror.state().at, revision)
})
