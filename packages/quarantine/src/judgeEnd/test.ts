import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as judgeEnd from './index.js'

const ENDED: judgeEnd.LostAttempt = { isCutByPeer: true, isLeaving: false, probe: 'refused' }

nodeTest.test('a connection that is cut and a port that is closed are the end of a process', () => {
  assert.equal(judgeEnd.judgeEnd(ENDED), 'ended')
})

const CASES: ReadonlyArray<readonly [string, Partial<judgeEnd.LostAttempt>, judgeEnd.EndVerdict]> = [
  ['connections that are reset while the process lives', { probe: 'taken' }, 'lives'],
  ['a network that is cut', { probe: 'silent' }, 'unknown'],
  ['a machine that froze or lost power', { isCutByPeer: false, probe: 'silent' }, 'own'],
  ['a back end that was leaving', { isLeaving: true }, 'planned'],
  ['a deadline, or a caller that left, right before the process ends', { isCutByPeer: false }, 'own']
]

for (const [name, change, verdict] of CASES) {
  nodeTest.test(`${name} counts against no call`, () => {
    assert.equal(judgeEnd.judgeEnd({ ...ENDED, ...change }), verdict)
  })
}
