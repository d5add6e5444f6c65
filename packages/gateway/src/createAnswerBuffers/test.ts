import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as createAnswerBuffers from './index.js'

const MAXIMUM_BYTES = 100

nodeTest.test('an answer that exceeds the bound alone is given up', () => {
  const buffers = createAnswerBuffers.createAnswerBuffers(MAXIMUM_BYTES)
  const answer = buffers.open(() => { assert.fail('told by the return value') })
  assert.equal(answer.note(MAXIMUM_BYTES), true)
  assert.equal(answer.note(MAXIMUM_BYTES + 1), false)
  assert.equal(buffers.read(), 0)
})

nodeTest.test('the largest answer is given up for a smaller one that grows', () => {
  const buffers = createAnswerBuffers.createAnswerBuffers(MAXIMUM_BYTES)
  const dropped: string[] = []
  const large = buffers.open(() => { dropped.push('large') })
  const small = buffers.open(() => { dropped.push('small') })
  large.note(70)
  assert.equal(small.note(20), true)
  assert.equal(small.note(40), true)
  assert.deepEqual(dropped, ['large'])
  assert.equal(buffers.read(), 40)
  assert.equal(large.note(70), false)
})

nodeTest.test('a closed answer counts no longer and is not dropped', () => {
  const buffers = createAnswerBuffers.createAnswerBuffers(MAXIMUM_BYTES)
  const closed = buffers.open(() => { assert.fail('closed') })
  closed.note(90)
  closed.close()
  closed.close()
  const next = buffers.open(() => {})
  assert.equal(next.note(MAXIMUM_BYTES), true)
  assert.equal(buffers.read(), MAXIMUM_BYTES)
})

nodeTest.test('the sum is that of the answers that are kept, and never exceeds the bound', () => {
  const step = fastCheck.record({ answer: fastCheck.nat(5), bytes: fastCheck.nat(2 * MAXIMUM_BYTES), isEnd: fastCheck.boolean() })
  fastCheck.assert(fastCheck.property(fastCheck.array(step), (steps) => {
    const buffers = createAnswerBuffers.createAnswerBuffers(MAXIMUM_BYTES)
    const kept = new Map<number, number>()
    const answers = Array.from({ length: 6 }, (_, index) => buffers.open(() => { kept.delete(index) }))
    const ended = new Set<number>()
    for (const { answer, bytes, isEnd } of steps) {
      if (isEnd) {
        answers[answer]?.close()
        kept.delete(answer)
        ended.add(answer)
      } else if (!ended.has(answer)) {
        if (answers[answer]?.note(bytes) === true) kept.set(answer, bytes)
        else {
          kept.delete(answer)
          ended.add(answer)
        }
      }
      assert.equal(buffers.read(), [...kept.values()].reduce((sum, size) => sum + size, 0))
      assert.ok(buffers.read() <= MAXIMUM_BYTES)
    }
  }), { seed: 3 })
})
