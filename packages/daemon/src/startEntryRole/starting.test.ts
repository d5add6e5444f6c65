/** Guards against refusals by an entry node that has just started: backend servers report once an interval, and a call that came before their first report was refused for want of one. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as got from 'got'
import * as types from '@switchridge/types'
import * as plainHall from '../_lib/plainHall.js'

const HOST = types.LOOPBACK_HOST
const POLL_MS = 10
const OK = 200

nodeTest.test('a call that comes before the first report of a backend server waits for it', async (context) => {
  const hall = await plainHall.openPlainHall(context, (_request, response) => { response.end('done') })
  await hall.addService()
  const entry = await hall.startEntry()
  const base = `http://${HOST}:${entry.callerAddress?.port ?? 0}`
  const readHealth = async (): Promise<string> => (await got.got.get(`${base}/health`, { retry: { limit: 0 }, throwHttpErrors: false }).json<{ reason: string }>()).reason
  while (await readHealth() !== 'no live backend server') await types.delay(POLL_MS)
  const call = got.got.post(`${base}/services/api/orders`, { body: 'order', retry: { limit: 0 }, throwHttpErrors: false })
  const [{ statusCode }] = await Promise.all([call, hall.startBackend(entry)])
  assert.equal(statusCode, OK)
})
