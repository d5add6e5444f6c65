import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as createMirror from './index.js'

interface Change { readonly name: string, readonly isGone: boolean }

const changes = fastCheck.array(fastCheck.record({ name: fastCheck.constantFrom('a', 'b', 'c'), isGone: fastCheck.boolean() }), { minLength: 1, maxLength: 30 })

/** Names and revisions of the objects after the first `count` changes; each change increments the store's revision by one. */
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

interface SimulatedDaemon {
  readonly mirror: createMirror.Mirror
  watchedTo: number
}

/** Random steps of two daemons that list, watch, compare states and exchange changes. */
const steps = fastCheck.array(fastCheck.record({
  who: fastCheck.nat(1),
  step: fastCheck.constantFrom('list', 'watch', 'changes', 'whole', 'confirm'),
  to: fastCheck.nat(30),
  since: fastCheck.nat(30)
}))

function applyStep (daemon: SimulatedDaemon, history: readonly Change[], step: string, to: number): void {
  if (step === 'watch' && to > daemon.watchedTo) {
    daemon.mirror.applyEvents(watchFrom(history, daemon.watchedTo, to))
    daemon.watchedTo = to
  } else if (step === 'list' && to >= daemon.watchedTo) {
    daemon.mirror.applyList(listAt(history, to))
    daemon.watchedTo = to
  }
}

nodeTest.test('lists, watches, changes and full copies from peers in any order give the content of the store at that revision, and revisions never decrease', () => {
  let applied = 0
  fastCheck.assert(fastCheck.property(changes, steps, (history, sequence) => {
    const daemons = [0, 1].map((): SimulatedDaemon => ({ mirror: createMirror.createMirror('things'), watchedTo: 0 }))
    for (const { mirror } of daemons) mirror.applyList(listAt(history, 0))
    for (const { who, step, to, since } of sequence) {
      const [own, peer] = [daemons[who], daemons[1 - who]] as [SimulatedDaemon, SimulatedDaemon]
      const before = own.mirror.state()
      const state = peer.mirror.state()
      if (step === 'confirm') own.mirror.advanceIfEqual(state)
      else if (step === 'whole') own.mirror.applyChanges(peer.mirror.changesSince(0))
      else if (step === 'changes') {
        const result = own.mirror.applyChanges(peer.mirror.changesSince(Math.min(since, before.at)))
        if (result === 'applied') applied += 1
      } else applyStep(own, history, step, Math.min(to, history.length))
      const after = own.mirror.state()
      assert.ok(after.at >= before.at)
      assert.deepEqual([...read(own.mirror)].sort(), [...replay(history, Math.floor(after.at))].sort())
    }
    for (const { mirror, watchedTo } of daemons) {
      mirror.applyEvents(watchFrom(history, watchedTo, history.length))
      assert.deepEqual([...read(mirror)].sort(), [...replay(history, history.length)].sort())
    }
    const [first, second] = daemons as [SimulatedDaemon, SimulatedDaemon]
    assert.equal(first.mirror.state().digest, second.mirror.state().digest)
  }), { seed: 11, numRuns: 500 })
  assert.ok(applied > 0)
})

function countChanges (mirror: createMirror.Mirror): () => number {
  let count = 0
  mirror.onChange(() => { count += 1 })
  return () => count
}

function listed (at: number, ...objects: Array<[string, number]>): createMirror.ListedObjects {
  return { at, objects: objects.map(([name, revision]) => ({ name, revision, value: name })) }
}

nodeTest.test('an empty list initializes the mirror, so that peers can copy it', () => {
  const mirror = createMirror.createMirror('things')
  mirror.applyList({ objects: [], at: 40 })
  const other = createMirror.createMirror('things')
  assert.equal(other.applyChanges(mirror.changesSince(0)), 'applied')
  assert.equal(other.isInitialized(), true)
})

nodeTest.test('advances to a later revision of equal content without a copy and without calling listeners', () => {
  const mirror = createMirror.createMirror('things')
  const count = countChanges(mirror)
  mirror.applyList(listed(5, ['a', 2], ['b', 4]))
  const other = createMirror.createMirror('things')
  other.applyList(listed(90, ['b', 4], ['a', 2]))
  assert.equal(mirror.advanceIfEqual(other.state()), true)
  assert.equal(mirror.state().at, 90)
  assert.equal(mirror.advanceIfEqual({ ...other.state(), at: 80 }), false)
  mirror.applyList(listed(95, ['a', 2], ['b', 4]))
  mirror.applyEvents({ events: [], at: 99 })
  assert.equal(mirror.state().at, 99)
  assert.equal(count(), 1)
})

nodeTest.test('changes hold only the differences, and an object that was removed and created again is kept', () => {
  const mirror = createMirror.createMirror('things')
  mirror.applyList(listed(5, ['a', 1], ['b', 2], ['c', 3]))
  const other = createMirror.createMirror('things')
  other.applyChanges(mirror.changesSince(0))
  const event = (name: string, revision: number, isGone: boolean): createMirror.StoreEvent => ({ isGone, object: { name, revision, value: name } })
  mirror.applyEvents({ at: 9, events: [event('a', 6, true), event('b', 7, true), event('a', 8, false)] })
  const sent = mirror.changesSince(5)
  assert.deepEqual(sent.objects.map(({ name }) => name), ['a'])
  assert.deepEqual(sent.gone, ['b'])
  assert.equal(other.applyChanges(sent), 'applied')
  assert.deepEqual(read(other), new Map([['c', 3], ['a', 8]]))
  assert.deepEqual(mirror.changesSince(9).objects, [])
})

nodeTest.test('changes since two revisions without a change between them are identical', () => {
  const mirror = createMirror.createMirror('things')
  mirror.applyList(listed(5, ['a', 1]))
  mirror.applyEvents({ at: 30, events: [{ isGone: false, object: { name: 'b', revision: 30, value: null } }] })
  assert.deepEqual(mirror.changesSince(9), mirror.changesSince(25))
})

nodeTest.test('a peer that is older than the known removals gets a full copy', () => {
  const mirror = createMirror.createMirror('things')
  mirror.applyList(listed(50, ['a', 1]))
  assert.equal(mirror.changesSince(49).since, 0)
  assert.notEqual(mirror.changesSince(50).since, 0)
})

nodeTest.test('changes that do not continue from the current revision or do not match their digest are rejected', () => {
  const mirror = createMirror.createMirror('things')
  mirror.applyList(listed(5, ['a', 1]))
  const { digest } = mirror.state()
  const change = { kind: 'things', since: 5, at: 9, digest: 'wrong', objects: [], gone: ['a'] }
  assert.equal(mirror.applyChanges(change), 'unfit')
  assert.equal(mirror.applyChanges({ ...change, since: 7 }), 'unfit')
  assert.equal(mirror.applyChanges({ ...change, since: 0 }), 'false-digest')
  assert.equal(mirror.applyChanges({ ...change, at: 5 }), 'older')
  assert.equal(mirror.applyChanges({ ...change, kind: 'others' }), 'older')
  assert.deepEqual(mirror.state(), { at: 5, digest })
})
