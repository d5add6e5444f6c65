import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as createLinkPacer from './index.js'

const RATE = 1000

test.describe('createLinkPacer', () => {
  test.it('paces weights at the rate of the link, with calls before them', async (context) => {
    context.mock.timers.enable({ apis: ['setTimeout', 'Date'] })
    const link = createLinkPacer.createLinkPacer(RATE, () => Date.now())
    const passed: string[] = []
    link.countCallBytes(1000)
    const first = link.waitToSend(1000).then(() => passed.push('first'))
    const second = link.waitToSend(1000).then(() => passed.push('second'))
    for (let elapsed = 0; elapsed < 1990; elapsed += 10) {
      context.mock.timers.tick(10)
      await new Promise((resolve) => { setImmediate(resolve) })
    }
    assert.deepEqual(passed, ['first'])
    for (let elapsed = 0; elapsed < 1020; elapsed += 10) {
      context.mock.timers.tick(10)
      await new Promise((resolve) => { setImmediate(resolve) })
    }
    await Promise.all([first, second])
    assert.deepEqual(passed, ['first', 'second'])
  })

  test.it('does not accumulate credit while it is idle', () => {
    let now = 0
    const link = createLinkPacer.createLinkPacer(RATE, () => now)
    now = 100_000
    link.countCallBytes(1000)
    assert.ok(link.backlogMs() > 900)
  })
})
