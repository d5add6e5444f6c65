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
