/**
 * Guards against cut requests at a planned stop: a draining entry node kept the connections of its callers open, so that callers who go on using them kept it from
 * becoming idle, and their calls were cut when its time for draining ended.
 */
import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import type * as startDaemon from '../startDaemon/index.js'
import * as plainHall from '../_lib/plainHall.js'

const HOST = types.LOOPBACK_HOST
const OK = 200
const POLL_MS = 20
const CALLERS = 8
/** The work of successive calls, so that there is no moment without a call in progress. */
const WORK_MS = [20, 35, 50, 80]
/** A caller sends at most so many calls, which is more than fit into the time for which a draining entry node still accepts calls. */
const MAXIMUM_CALLS = 200

interface Answer {
  readonly status: number
  readonly isClosing: boolean
}

/** Sends a call over the agent's connection; rejects if there is no complete answer. */
async function send (agent: http.Agent, port: number): Promise<Answer> {
  return await new Promise((resolve, reject) => {
    const request = http.request({ agent, host: HOST, port, path: '/services/api/orders', method: 'POST' }, (response) => {
      response.on('error', reject)
      response.on('end', () => { resolve({ status: response.statusCode ?? 0, isClosing: response.headers.connection === 'close' }) })
      response.resume()
    })
    request.on('error', reject)
    request.end('order')
  })
}

async function openEntry (context: nodeTest.TestContext): Promise<startDaemon.RunningRole> {
  let requests = 0
  const hall = await plainHall.openPlainHall(context, (request, response) => {
    request.resume()
    requests += 1
    setTimeout(() => { response.end('done') }, WORK_MS[requests % WORK_MS.length])
  })
  const entry = await hall.startEntry()
  await hall.startBackend(entry)
  await hall.addService()
  const agent = new http.Agent()
  while ((await send(agent, entry.callerAddress?.port ?? 0)).status !== OK) await types.delay(POLL_MS)
  return entry
}

nodeTest.test('a draining entry node cuts no call of callers that go on using their connections, and ends', async (context) => {
  const entry = await openEntry(context)
  const port = entry.callerAddress?.port ?? 0
  const progress = { isDrained: false }
  const statuses: number[] = []

  async function runCaller (): Promise<void> {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
    for (let calls = 0; calls < MAXIMUM_CALLS && !progress.isDrained; calls += 1) {
      const { status, isClosing } = await send(agent, port)
      statuses.push(status)
      if (isClosing) return
    }
    agent.destroy()
    assert.ok(progress.isDrained, 'the connection stays open, and draining does not end')
  }

  const callers = Array.from({ length: CALLERS }, runCaller)
  while (statuses.length < 2 * CALLERS) await types.delay(POLL_MS)
  const drained = entry.drain().then(() => { progress.isDrained = true })
  await Promise.all(callers)
  await drained
  assert.deepEqual(statuses.filter((status) => status !== OK), [])
})
