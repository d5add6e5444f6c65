/**
 * Guards against calls that are refused because a backend server leaves, though they ran nowhere and another server has free slots. An entry node that had not heard of the
 * drain yet went on sending calls to the leaving server, which looked like the best choice because its load fell, and it charged each refusal to the retry budget
 * until that was empty.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as membership from '@switchridge/membership'
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'
import * as drainingHall from '../_lib/drainingHall.js'

/** More seeds by hand: `DRAIN_SEEDS=100`. */
const SEEDS = process.env['DRAIN_SEEDS'] === undefined ? [3, 5, 8, 13, 21] : Array.from({ length: Number(process.env['DRAIN_SEEDS']) }, (_, index) => index + 1)
const MAXIMUM_SEED = 1_000_000
const RETRY_BUDGET = 0.08
const INTERVAL_MS = 100
const LATER_CALLS = 20
const SLOTS = 4
const QUEUE = 4
const MAXIMUM_DELAY_MS = 2500
/** Long enough for two lost notifications and a late one. */
const OBSERVED_MS = 5000
/** Servers that leave, more than a call has attempts. */
const MANY_LEAVERS = 7
const NEVER = { lost: Infinity, delayMs: 0 }
const AT_ONCE = { lost: 0, delayMs: 0 }

/** Returns a number from a minimum to a maximum, both inclusive. */
function pick (random: () => number, minimum: number, maximum: number): number {
  return minimum + Math.floor(random() * (maximum - minimum + 1))
}

const listRefused = (hall: drainingHall.DrainingHall): drainingHall.CallResult[] => hall.results.filter(({ status }) => status !== drainingHall.ANSWERED_STATUS)

nodeTest.test('an entry node sends no further call to a backend server that has refused one because it leaves, until another process of it is heard of', async (context) => {
  const random = standins.createSeededRandom(1)
  const hall = await drainingHall.openDrainingHall(context, { backends: 2, notification: NEVER, retryBudget: RETRY_BUDGET, random })
  const [leaver] = hall.backends as [drainingHall.DrainingBackend]
  await hall.send(2)
  leaver.drain()
  for (let call = 0; call < LATER_CALLS; call += 1) {
    await hall.send(1)
    await hall.advance(INTERVAL_MS)
  }
  assert.equal(await hall.countRefusedAttempts(), 1)
  await hall.release(Infinity)
  assert.deepEqual(listRefused(hall), [])

  await leaver.restart()
  await hall.advance(types.HEARTBEAT_TIMEOUT_MS)
  const receivedBefore = leaver.received.length
  await hall.send(2)
  await hall.release(Infinity)
  assert.equal(leaver.received.length, receivedBefore + 1)
})

nodeTest.test('calls that wait at backend servers when these begin to leave are answered by the others', async (context) => {
  const random = standins.createSeededRandom(1)
  const hall = await drainingHall.openDrainingHall(context, { backends: 3, notification: AT_ONCE, retryBudget: RETRY_BUDGET, slots: SLOTS, queue: QUEUE, random })
  await hall.send(3 * (SLOTS + QUEUE))
  for (const leaver of hall.backends.slice(1)) leaver.drain()
  while (await hall.release(1) > 0) await hall.advance(INTERVAL_MS)
  assert.equal(await hall.countRefusedAttempts(), 2 * QUEUE)
  assert.deepEqual(listRefused(hall), [])
})

nodeTest.test('a call that more leaving backend servers refuse than it has attempts is answered by the one that stays', async (context) => {
  const random = standins.createSeededRandom(1)
  const hall = await drainingHall.openDrainingHall(context, { backends: MANY_LEAVERS + 1, notification: NEVER, retryBudget: 0, random })
  const leavers = hall.backends.slice(0, MANY_LEAVERS)
  await hall.send(hall.backends.length)
  await hall.release(Infinity, leavers)
  for (const leaver of leavers) leaver.drain()
  await hall.send(1)
  await hall.release(Infinity)
  assert.equal(await hall.countRefusedAttempts(), MANY_LEAVERS)
  assert.deepEqual(listRefused(hall), [])
})

nodeTest.test('calls are refused at once when all backend servers leave, and each server is asked in vain once', async (context) => {
  const random = standins.createSeededRandom(1)
  const hall = await drainingHall.openDrainingHall(context, { backends: MANY_LEAVERS, notification: NEVER, retryBudget: RETRY_BUDGET, random })
  for (const leaver of hall.backends) leaver.drain()
  await hall.send(1)
  assert.deepEqual(listRefused(hall).map(({ reason }) => reason), ['no-backend'])
  await hall.send(LATER_CALLS)
  assert.equal(listRefused(hall).length, 1 + LATER_CALLS)
  assert.equal(await hall.countRefusedAttempts(), MANY_LEAVERS)
})

nodeTest.test('no call is refused beside a free backend server while the entry node takes another one for a process that has ended', async (context) => {
  const random = standins.createSeededRandom(1)
  const hall = await drainingHall.openDrainingHall(context, { backends: 2, notification: AT_ONCE, retryBudget: RETRY_BUDGET, random })
  const [restarted] = hall.backends as [drainingHall.DrainingBackend]
  await hall.send(2)
  await hall.release(1, [restarted])
  await restarted.restart(OBSERVED_MS)
  for (let call = 0; call < LATER_CALLS; call += 1) {
    await hall.send(1)
    await hall.advance(INTERVAL_MS)
  }
  await hall.release(Infinity)
  assert.deepEqual(listRefused(hall), [])
})

nodeTest.test('calls wait for the only backend server after a restart until its new process is heard of, and for a silence limit at most', async (context) => {
  const random = standins.createSeededRandom(1)
  const hall = await drainingHall.openDrainingHall(context, { backends: 1, notification: AT_ONCE, retryBudget: 0, random })
  const [restarted] = hall.backends as [drainingHall.DrainingBackend]
  await restarted.restart(types.HEARTBEAT_INTERVAL_MS)
  await hall.send(LATER_CALLS)
  await hall.advance(2 * types.HEARTBEAT_INTERVAL_MS)
  await hall.release(Infinity)
  assert.equal(hall.results.length, LATER_CALLS)
  assert.deepEqual(listRefused(hall), [])

  await restarted.restart(Infinity)
  await hall.send(LATER_CALLS)
  await hall.advance(types.HEARTBEAT_TIMEOUT_MS + 2 * types.HEARTBEAT_INTERVAL_MS)
  assert.deepEqual(listRefused(hall).map(({ reason }) => reason), Array.from({ length: LATER_CALLS }, () => 'no-backend'))
})

for (const seed of SEEDS) {
  nodeTest.test(`no call is refused beside a free backend server while others leave, however late that becomes known (seed ${seed})`, async (context) => {
    // Neighbouring seeds of the generator differ by a constant in each number, so that they would not cover all combinations.
    const random = standins.createSeededRandom(1 + membership.scoreByRendezvous('seed', String(seed)) % MAXIMUM_SEED)
    const count = pick(random, 2, 6)
    const notification = { lost: pick(random, 0, 2), delayMs: pick(random, 0, MAXIMUM_DELAY_MS) }
    const hall = await drainingHall.openDrainingHall(context, { backends: count, notification, retryBudget: RETRY_BUDGET, random })
    await hall.send(pick(random, 0, 10))
    const leavers = hall.backends.slice(0, pick(random, 1, count - 1))
    const receivedBefore = leavers.map(({ received }) => received.length)
    for (const leaver of leavers) leaver.drain()
    for (let passedMs = 0; passedMs < OBSERVED_MS; passedMs += INTERVAL_MS) {
      if (random() < 0.3) await hall.send(pick(random, 1, 8))
      if (random() < 0.3) await hall.release(pick(random, 1, 4))
      await hall.advance(INTERVAL_MS)
    }
    await hall.release(Infinity)
    const refused = listRefused(hall)
    const refusedAttempts = await hall.countRefusedAttempts()
    context.diagnostic(`${count} servers, ${leavers.length} leave, ${notification.lost} notifications lost, others ${notification.delayMs} ms late: ${hall.results.length} calls, ${refusedAttempts} attempts refused, calls not answered: ${refused.length}`)
    assert.deepEqual(leavers.map(({ received }) => received.length), receivedBefore)
    assert.deepEqual(refused, [])
  })
}
