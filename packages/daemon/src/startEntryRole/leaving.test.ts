/**
 * Guards against calls that an entry node goes on sending to a backend server that leaves: only the heartbeat told it of the drain, and until that came the
 * refusing server, whose load fell, looked like the best choice for each further call.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'
import * as drainingHall from '../_lib/drainingHall.js'

const RETRY_BUDGET = 0.08
const INTERVAL_MS = 100
const LATER_CALLS = 20

nodeTest.test('an entry node sends no further call to a backend server that has refused one because it leaves, until another process of it is heard of', async (context) => {
  const random = standins.createSeededRandom(1)
  const hall = await drainingHall.openDrainingHall(context, { backends: 2, notification: { lost: Infinity, delayMs: 0 }, retryBudget: RETRY_BUDGET, random })
  const [leaver] = hall.backends as [drainingHall.DrainingBackend]
  await hall.send(2)
  leaver.drain()
  for (let call = 0; call < LATER_CALLS; call += 1) {
    await hall.send(1)
    await hall.advance(INTERVAL_MS)
  }
  assert.equal(await hall.countRefusedAttempts(), 1)
  await hall.release(Infinity)
  assert.deepEqual(hall.results.filter(({ status }) => status !== drainingHall.ANSWERED_STATUS), [])

  await leaver.restart()
  await hall.advance(types.HEARTBEAT_TIMEOUT_MS)
  const receivedBefore = leaver.received.length
  await hall.send(2)
  await hall.release(Infinity)
  assert.equal(leaver.received.length, receivedBefore + 1)
})
