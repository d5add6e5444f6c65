import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as classifyLostAttempt from './index.js'

const TERMINATED: classifyLostAttempt.LostAttempt = { isClosedByPeer: true, isLeaving: false, probe: 'refused' }

nodeTest.test('a closed connection and a closed port mean that the process has ended', () => {
  assert.equal(classifyLostAttempt.classifyLostAttempt(TERMINATED), 'ended')
})

const CASES: ReadonlyArray<readonly [string, Partial<classifyLostAttempt.LostAttempt>, classifyLostAttempt.LossCause]> = [
  ['a connection reset while the process keeps running', { probe: 'taken' }, 'lives'],
  ['a network partition', { probe: 'silent' }, 'unknown'],
  ['a host that hangs or lost power', { isClosedByPeer: false, probe: 'silent' }, 'own'],
  ['a back end that was leaving', { isLeaving: true }, 'planned'],
  ['a passed deadline, or a caller that left, right before the process ends', { isClosedByPeer: false }, 'own']
]

for (const [name, change, verdict] of CASES) {
  nodeTest.test(`${name} counts against no call`, () => {
    assert.equal(classifyLostAttempt.classifyLostAttempt({ ...TERMINATED, ...change }), verdict)
  })
}
