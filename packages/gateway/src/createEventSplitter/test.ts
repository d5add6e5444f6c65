import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as createEventSplitter from './index.js'

nodeTest.test('bytes are passed on in complete events, wherever the input is split', () => {
  const text = [1, 2, 3].map((id) => `id: ${id}\ndata: ä${id}\n\n`).join('')
  const bytes = Buffer.from(text)
  fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.integer({ min: 1, max: bytes.length - 1 })), (cuts) => {
    const splitter = createEventSplitter.createEventSplitter(null)
    const places = [0, ...[...new Set(cuts)].sort((left, right) => left - right), bytes.length]
    let passed = ''
    for (let index = 0; index + 1 < places.length; index += 1) {
      const whole = splitter.push(bytes.subarray(places[index], places[index + 1]))
      if (whole === null) continue
      passed += whole.toString()
      assert.ok(passed.endsWith('\n\n'))
    }
    assert.equal(passed, text)
    assert.equal(splitter.lastEventId(), '3')
    assert.equal(splitter.hasPartial(), false)
  }), { seed: 7 })
})

nodeTest.test('an incomplete event is not passed on, and a resumed stream ignores it and its id', () => {
  const splitter = createEventSplitter.createEventSplitter('4')
  splitter.push(Buffer.from('id: 5\r\ndata: a\r\n\r\nid: 6\nda'))
  assert.equal(splitter.hasPartial(), true)
  assert.equal(splitter.lastEventId(), '5')
  const resumed = createEventSplitter.createEventSplitter(splitter.lastEventId())
  assert.equal(resumed.hasPartial(), false)
  assert.equal(resumed.lastEventId(), '5')
  assert.equal(resumed.push(Buffer.from('id: 6\ndata: b\n\n'))?.toString(), 'id: 6\ndata: b\n\n')
})

/** Guards against events that are missing or come twice because a stream was resumed after another event than its last one. */
nodeTest.test('the last event has an id only if it names one itself', () => {
  const ids = ['id: 1\ndata: a\n\n', 'data: b\n\n', 'id: 2\ndata: c\n\n: comment\n\n', 'retry: 5\n\n', 'id: 3\r\ndata: d\r\n\r\n', 'event: e\ndata\n\n', 'id:4\n\n', 'id:\ndata: f\n\n']
  const splitter = createEventSplitter.createEventSplitter(null)
  assert.deepEqual(ids.map((text) => {
    splitter.push(Buffer.from(text))
    return splitter.lastEventId()
  }), ['1', null, '2', '2', '3', null, '4', null])
})

nodeTest.test('the size of an event that is not complete is known', () => {
  const splitter = createEventSplitter.createEventSplitter(null)
  splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\n'))
  assert.equal(splitter.partialBytes(), 6)
  splitter.push(Buffer.from('\n'))
  assert.equal(splitter.partialBytes(), 0)
})

/** A splitter that keeps all text since the last complete event and reads it again with each push. */
function createSimpleSplitter (lastSeenEventId: string | null): Pick<createEventSplitter.EventSplitter, 'push' | 'partialBytes' | 'lastEventId'> {
  let partial = ''
  let lastId = lastSeenEventId
  return {
    push: (bytes) => {
      const all = partial + bytes.toString('latin1')
      const end = [...all.matchAll(/(?<=\n)\r?\n/g)].map((match) => match.index + match[0].length).at(-1) ?? 0
      partial = all.slice(end)
      for (const event of all.slice(0, end).split(/\r?\n\r?\n/)) {
        const id = [...event.matchAll(/^id:[ ]?(.*?)\r?$/gm)].at(-1)?.[1]
        if (id !== undefined) lastId = id === '' ? null : id
        else if (/^data(:|\r?$)/m.test(event)) lastId = null
      }
      return end === 0 ? null : Buffer.from(all.slice(0, end), 'latin1')
    },
    partialBytes: () => partial.length,
    lastEventId: () => lastId
  }
}

nodeTest.test('it splits any bytes as a splitter does that reads all text again', () => {
  const piece = fastCheck.oneof(
    fastCheck.constantFrom('\n', '\r', '\r\n', '\n\n', '\r\n\r\n', 'id:', 'id: ', 'id', 'i', 'data', 'data:', 'data: ', 'dat', ': ', ' ', 'x', 'event: e', '\u00e4'),
    fastCheck.nat({ max: 9 }).map(String)
  )
  const pushes = fastCheck.array(fastCheck.array(piece, { maxLength: 12 }).map((pieces) => pieces.join('')), { maxLength: 12 })
  fastCheck.assert(fastCheck.property(pushes, fastCheck.constantFrom(null, '7'), (texts, lastSeenEventId) => {
    const splitter = createEventSplitter.createEventSplitter(lastSeenEventId)
    const simple = createSimpleSplitter(lastSeenEventId)
    for (const text of texts) {
      const bytes = Buffer.from(text, 'latin1')
      const whole = splitter.push(bytes)
      assert.deepEqual(whole === null ? null : Buffer.from(whole), simple.push(bytes))
      assert.equal(splitter.partialBytes(), simple.partialBytes())
      assert.equal(splitter.hasPartial(), simple.partialBytes() > 0)
      assert.equal(splitter.lastEventId(), simple.lastEventId())
      assert.ok(splitter.heldBytes() >= splitter.partialBytes())
    }
  }), { seed: 88, numRuns: 5000 })
})

/** Guards against a splitter whose work grows with the square of an event's size, or that keeps whole reads for the sake of a few bytes. */
nodeTest.test('a partial event is read once and held in storage of its own size', { timeout: 60_000 }, () => {
  const splitter = createEventSplitter.createEventSplitter(null)
  const read = Buffer.alloc(65_536, 'x')
  assert.equal(splitter.push(read.subarray(0, 1)), null)
  assert.ok(splitter.heldBytes() <= 1024)
  for (let index = 0; index < 1_000_000; index += 1) splitter.push(read.subarray(0, 1))
  assert.equal(splitter.partialBytes(), 1_000_001)
  assert.ok(splitter.heldBytes() <= 2 * splitter.partialBytes())
  read.fill('\n')
  assert.equal(splitter.push(read.subarray(0, 2))?.length, 1_000_003)
  assert.ok(splitter.heldBytes() <= 1024)
})
