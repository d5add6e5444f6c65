/**
 * Guards against cut requests at a planned stop: a draining entry node kept the connections of its callers open, so that callers who go on using them kept it from
 * becoming idle, and their calls were cut when its time for draining ended.
 */
import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import type * as startDaemon from '../startDaemon/index.js'
import * as callHeaders from '../_lib/callHeaders.js'
import * as plainHall from '../_lib/plainHall.js'

const HOST = types.LOOPBACK_HOST
const OK = 200
const POLL_MS = 20
const CALLERS = 8
/** The work of successive calls, so that there is no moment without a call in progress. */
const WORK_MS = [20, 35, 50, 80]
/** A caller sends at most so many calls, which is more than fit into the time for which a draining entry node still accepts calls. */
const MAXIMUM_CALLS = 200

/** Shorter than the deadline of the service. */
const DRAIN_SECONDS = 3
const SHORT_DRAIN_SECONDS = 1
const UNANSWERED_PATH = '/unanswered'
const SHORT_MS = 1000
const BAD_GATEWAY = 502
const SERVICE_UNAVAILABLE = 503
/** Longer than an entry node waits for the balancer and for its callers to close their connections. */
const READ_AFTER_MS = 5000
const BODY_BYTES = 32_000_000
const REQUEST = 'POST /services/api/orders HTTP/1.1\r\nHost: entry\r\nContent-Length: 5\r\n\r\norder'
const WAIT = { timeout: 30_000 }

interface Answer {
  readonly status: number
  readonly reason: unknown
  readonly bytes: number
  readonly isClosing: boolean
}

/** Sends a call over the agent's connection; rejects if there is no complete answer. */
async function send (agent: http.Agent, port: number, headers: Readonly<Record<string, string>> = {}, mayRead = Promise.resolve(), path = '/orders'): Promise<Answer> {
  return await new Promise((resolve, reject) => {
    const request = http.request({ agent, host: HOST, port, path: `/services/api${path}`, method: 'POST', headers }, (response) => {
      let bytes = 0
      response.on('error', reject)
      response.on('end', () => { resolve({ status: response.statusCode ?? 0, reason: response.headers[callHeaders.REASON_HEADER], bytes, isClosing: response.headers.connection === 'close' }) })
      void mayRead.then(() => { response.on('data', (part: Buffer) => { bytes += part.length }) })
    })
    request.on('error', reject)
    request.end('order')
  })
}

interface OpenedEntry {
  readonly entry: startDaemon.RunningRole
  readonly port: number
  /** Number of requests that reached the back end. */
  readonly requests: () => number
}

/** Starts an entry node before a back end that answers so many bytes, or nothing to a request with {@link UNANSWERED_PATH}. */
async function openEntry (context: nodeTest.TestContext, bytes: number, limits = ''): Promise<OpenedEntry> {
  let requests = 0
  const hall = await plainHall.openPlainHall(context, (request, response) => {
    request.resume()
    requests += 1
    if (request.url === UNANSWERED_PATH) return
    setTimeout(() => { response.end(Buffer.alloc(bytes)) }, WORK_MS[requests % WORK_MS.length])
  })
  const entry = await hall.startEntry(limits)
  await hall.startBackend(entry)
  await hall.addService()
  const agent = new http.Agent()
  const port = entry.callerAddress?.port ?? 0
  while ((await send(agent, port)).status !== OK) await types.delay(POLL_MS)
  return { entry, port, requests: () => requests }
}

nodeTest.test('a draining entry node cuts no call of callers that go on using their connections, and ends', async (context) => {
  const { entry, port } = await openEntry(context, 1)
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

nodeTest.test('a draining entry node takes on only calls whose deadline is within the drain', WAIT, async (context) => {
  const { entry, port, requests } = await openEntry(context, 1, `drain_seconds = ${DRAIN_SECONDS}`)
  const before = requests()
  const drained = entry.drain()
  const { status, reason } = await send(new http.Agent(), port)
  assert.deepEqual([status, reason, requests() - before], [SERVICE_UNAVAILABLE, 'leaving', 0])
  assert.equal((await send(new http.Agent(), port, { [callHeaders.TIMEOUT_HEADER]: String(SHORT_MS) })).status, OK)
  await drained
})

nodeTest.test('an entry node drains until its callers have got their answers', WAIT, async (context) => {
  const { entry, port } = await openEntry(context, BODY_BYTES)
  let read: () => void = () => {}
  const answer = send(new http.Agent(), port, {}, new Promise((resolve) => { read = resolve }))
  while (entry.calls?.list()[0]?.phase !== 'answering') await types.delay(POLL_MS)
  const drained = entry.drain()
  setTimeout(read, READ_AFTER_MS)
  await drained
  entry.stop()
  assert.equal((await answer).bytes, BODY_BYTES)
})

/** Sends a call that the back end doesn't answer, ends the entry node as its process does, and returns the status of the answer. */
async function endDuringCall (context: nodeTest.TestContext, drainSeconds: number): Promise<number> {
  const { entry, port, requests } = await openEntry(context, 1, `drain_seconds = ${drainSeconds}`)
  const before = requests()
  const answer = send(new http.Agent(), port, {}, undefined, UNANSWERED_PATH)
  while (requests() === before) await types.delay(POLL_MS)
  await Promise.race([entry.drain(), types.delay(drainSeconds * types.MILLISECONDS_IN_SECOND)])
  entry.stop()
  return (await answer).status
}

nodeTest.test('callers of calls that outlast the drain of their entry node are told that the outcome is unknown', WAIT, async (context) => {
  assert.equal(await endDuringCall(context, DRAIN_SECONDS), BAD_GATEWAY)
})

nodeTest.test('callers of calls that outlast a drain that is over before the balancer has noticed it are told that the outcome is unknown', WAIT, async (context) => {
  assert.equal(await endDuringCall(context, SHORT_DRAIN_SECONDS), BAD_GATEWAY)
})

nodeTest.test('a draining entry node sends no request to a back end that it cannot answer, since the answer before it closes their connection', WAIT, async (context) => {
  const { entry, port, requests } = await openEntry(context, 1)
  const before = requests()
  const socket = net.connect(port, HOST)
  let received = ''
  socket.on('data', (bytes: Buffer) => { received += bytes.toString() })
  const drained = entry.drain()
  socket.write(REQUEST + REQUEST)
  await new Promise((resolve) => { socket.once('close', resolve) })
  await drained
  assert.deepEqual([received.match(/^HTTP/gm)?.length, requests() - before], [1, 1])
})
