import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as types from '@switchridge/types'
import * as createAdmission from './index.js'

const CALL = { account: types.brandId<types.AccountId>('a'), share: 1, priority: 'interactive' as const }

test.describe('createAdmission', () => {
  test.it('counts calls synchronously', () => {
    const admission = createAdmission.createAdmission(2, 1)
    for (let index = 0; index < 5; index += 1) admission.admit(CALL)
    assert.deepEqual(admission.load(), { running: 2, waiting: 1, limit: 2, queue: 1 })
  })

  test.it('refuses a call at once when the queue is full and reports that it did not run', async () => {
    const admission = createAdmission.createAdmission(1, 0)
    admission.admit(CALL)
    const refused = await admission.admit(CALL).slot
    assert.ok(!refused.ok)
    assert.equal(refused.error.reason, 'full')
  })

  test.it('passes a slot to one waiting call, even if it is released twice', async () => {
    const admission = createAdmission.createAdmission(1, 2)
    const first = await admission.admit(CALL).slot
    const second = admission.admit(CALL)
    admission.admit(CALL)
    assert.ok(first.ok)
    first.value()
    first.value()
    assert.ok((await second.slot).ok)
    assert.deepEqual(admission.load(), { running: 1, waiting: 1, limit: 1, queue: 2 })
  })

  test.it('refuses waiting calls when it closes and lets running ones finish', async () => {
    const admission = createAdmission.createAdmission(1, 1)
    const running = await admission.admit(CALL).slot
    const waiting = admission.admit(CALL)
    admission.close()
    const refused = await waiting.slot
    assert.ok(!refused.ok && refused.error.reason === 'leaving')
    assert.ok(!(await admission.admit(CALL).slot).ok)
    assert.equal(admission.load().running, 1)
    assert.ok(running.ok)
    running.value()
    assert.equal(admission.load().running, 0)
  })

  test.it('removes a waiting call that is cancelled', async () => {
    const admission = createAdmission.createAdmission(1, 1)
    admission.admit(CALL)
    const waiting = admission.admit(CALL)
    waiting.cancel('deadline')
    const refused = await waiting.slot
    assert.ok(!refused.ok && refused.error.reason === 'deadline')
    assert.equal(admission.load().waiting, 0)
  })
})
