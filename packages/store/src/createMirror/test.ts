import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as createMirror from './index.js'

interface Change { readonly name: string, readonly isGone: boolean }

const changes = fastCheck.array(fastCheck.record({ name: fastCheck.constantFrom('a', 'b', 'c'), isGone: fastCheck.boolean() }), { minLength: 1, maxLength: 30 })

/** The objects after the first changes; the store's revision counts changes. */
function replay (history: readonly Change[], count: number): Map<string, number> {
  const objects = new Map<string, number>()
  history.slice(0, count).forEach(({ name, isGone }, index) => {
    if (isGone) objects.delete(name)
    else objects.set(name, index + 1)
  })
  return objects
}

function listAt (history: readonly Change[], count: number): createMirror.ListedObjects {
  return { at: count, objects: [...replay(history, count)].map(([name, revision]) => ({ name, revision, value: null })) }
}

function watchFrom (history: readonly Change[], from: number, to: number): createMirror.WatchedEvents {
  const events = history.slice(from, to).map(({ name, isGone }, index) => ({ isGone, object: { name, revision: from + index + 1, value: null } }))
  return { at: to, events }
}

function read (mirror: createMirror.Mirror): Map<string, number> {
  return new Map([...mirror.objects()].map(([name, object]) => [name, object.revision]))
}

nodeTest.test('lists, watches and copies from peers in any order end at the newest state, and nothing goes back', () => {
  fastCheck.assert(fastCheck.property(changes, fastCheck.array(fastCheck.tuple(fastCheck.constantFrom('list', 'watch', 'peer'), fastCheck.nat(30))), (history, steps) => {
    const mirror = createMirror.createMirror('things')
    let watchedTo = 0
    mirror.applyList(listAt(history, 0))
    for (const [step, raw] of steps) {
      const to = Math.min(raw, history.length)
      const before = mirror.changedAt()
      if (step === 'watch' && to > watchedTo) {
        mirror.applyEvents(watchFrom(history, watchedTo, to))
        watchedTo = to
      } else if (step === 'list' && to >= watchedTo) {
        mirror.applyList(listAt(history, to))
        watchedTo = to
      } else if (step === 'peer') {
        mirror.applySnapshot({ kind: 'things', changedAt: to, objects: listAt(history, to).objects })
      }
      assert.ok(mirror.changedAt() >= before)
    }
    mirror.applyEvents(watchFrom(history, watchedTo, history.length))
    assert.deepEqual([...read(mirror)].sort(), [...replay(history, history.length)].sort())
  }), { seed: 11, numRuns: 500 })
})

nodeTest.test('a kind without objects is known, so that peers can tell of it', () => {
  const mirror = createMirror.createMirror('things')
  mirror.applyList({ objects: [], at: 40 })
  const other = createMirror.createMirror('things')
  assert.equal(other.applySnapshot(mirror.snapshot()), true)
  assert.equal(other.isKnown(), true)
})
