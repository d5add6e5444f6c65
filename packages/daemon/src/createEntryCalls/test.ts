/** Guards against refusals beside a backend server that serves: attempts that reached no connection to an ended daemon used up the retry budget. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as got from 'got'
import * as types from '@switchridge/types'
import * as plainHall from '../_lib/plainHall.js'

const POLL_MS = 10
const CALLS = 12
const OK = 200

nodeTest.test('a call that reaches no connection to an ended daemon is sent to another one, without any retry budget', async (context) => {
  const hall = await plainHall.openPlainHall(context, (_request, response) => { response.end('done') })
  await hall.addService({ retryBudget: 0 })
  const entry = await hall.startEntry()
  await hall.startBackend(entry)
  const call = async (): Promise<number> => (await got.got.post(`http://${types.LOOPBACK_HOST}:${entry.callerAddress?.port ?? 0}/services/api/orders`, { body: 'order', retry: { limit: 0 }, throwHttpErrors: false })).statusCode
  while (await call() !== OK) await types.delay(POLL_MS)
  // No call was sent to it, so that there is no open connection on which one might be lost.
  const ended = await hall.startBackend(entry)
  while ((await hall.readMembers(entry)).filter(({ facts, condition }) => facts.role === 'backend' && condition === 'live').length < 2) await types.delay(POLL_MS)
  ended.stop()
  const statuses: number[] = []
  for (let index = 0; index < CALLS; index += 1) statuses.push(await call())
  assert.deepEqual(statuses, Array.from({ length: CALLS }, () => OK))
})
