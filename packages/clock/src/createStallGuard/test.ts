import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as createStallGuard from './index.js'

const STALL_MS = 400

nodeTest.test('actions run at once, and after a stall in order once the event loop has turned', async (context) => {
  const guard = createStallGuard.createStallGuard()
  context.after(guard.stop)
  const ran: string[] = []
  guard.run(() => { ran.push('before') })
  assert.deepEqual(ran, ['before'])
  const endsAt = performance.now() + STALL_MS
  while (performance.now() < endsAt);
  guard.run(() => { ran.push('first') })
  guard.run(() => { ran.push('second') })
  assert.deepEqual(ran, ['before'])
  await new Promise<void>((resolve) => { guard.run(resolve) })
  assert.deepEqual(ran, ['before', 'first', 'second'])
  guard.run(() => { ran.push('after') })
  assert.equal(ran.at(-1), 'after')
})
