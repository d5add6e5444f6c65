/**
 * Guards against answers that look whole to their callers although a process on their way ended first, and uploads that run although they broke off: the system closes the
 * connections of an ended process in an orderly way, which marks the end of a message without framing.
 */
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as fleetTesting from './_lib/fleetTesting.js'
import * as programTesting from './_lib/programTesting.js'

const LIMIT = { timeout: 60_000 }
const END_OF_HEAD = '\r\n\r\n'
const LAST_CHUNK = '0\r\n\r\n'
const BIG_BYTES = 8_000_000
const SETTLE_MS = 100
const REST_MS = 300
const REQUEST_ID = /\r\nrequest-id: (\S+)/i
const EVENTS = ['id: 1\ndata: one\n\n', 'id: 2\ndata: two\n\n'] as const

/** What the engine has sent when the process ends; the rest follows after it. */
const MOMENTS = {
  'before its first event': ['', EVENTS.join('')],
  'between two events': [EVENTS[0], EVENTS[1]],
  'within an event': [`${EVENTS[0]}id: 2\nda`, 'ta: two\n\n'],
  'after its last event and before its end': [EVENTS.join(''), '']
} as const

/** Ends of a process, and whether it may still reset its connections, which is all that a caller of HTTP/1.0 can notice. */
const ENDS: ReadonlyArray<readonly [string, readonly NodeJS.Signals[], boolean]> = [
  ['is killed', ['SIGKILL'], false],
  ['aborts, as without memory', ['SIGABRT'], false],
  ['is told to end at once while it drains', ['SIGTERM', 'SIGQUIT'], true]
]

interface Answer {
  readonly head: string
  readonly body: string
  readonly isReset: boolean
}

/** Whether a message is whole by RFC 9112, section 6.3. */
function isWhole ({ head, body, isReset }: Answer): boolean {
  const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1]
  if (head === '') return false
  if (/\r\ntransfer-encoding: chunked/i.test(head)) return body.endsWith(LAST_CHUNK)
  return length === undefined ? !isReset : body.length === Number(length)
}

interface Caller {
  readonly socket: net.Socket
  readonly read: () => string
  readonly ended: Promise<Answer>
}

function openCaller ({ host, port }: types.Address, request: string): Caller {
  const socket = net.connect({ host, port, allowHalfOpen: true })
  let text = ''
  let isReset = false
  socket.on('data', (bytes: Buffer) => { text += bytes.toString('latin1') })
  socket.on('error', () => { isReset = true })
  socket.on('end', () => { socket.end() })
  socket.write(request)
  const ended = new Promise<Answer>((resolve) => {
    socket.once('close', () => {
      const headEnd = text.indexOf(END_OF_HEAD)
      resolve({ head: headEnd < 0 ? '' : text.slice(0, headEnd), body: headEnd < 0 ? '' : text.slice(headEnd + END_OF_HEAD.length), isReset })
    })
  })
  return { socket, read: () => text, ended }
}

function formatRequest (path: string, version: string, framing: Readonly<Record<string, string>> = { 'content-length': '0' }): string {
  const headers = { ...testing.formatCallerHeaders(fleetTesting.API_KEY, 6000), ...testing.formatModelHeaders(fleetTesting.MODEL), 'request-id': 'r', connection: 'close', ...framing }
  return `POST ${path} HTTP/${version}\r\n${Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`
}

interface RawEngine {
  readonly requests: string[]
  /** Sends the rest of the answers that have begun, and ends their connections. */
  readonly finish: () => void
}

/** Starts an engine that answers with neither a length nor chunks: with the first part at once, with the other one when it is told to. */
async function startRawEngine (context: nodeTest.TestContext, fleet: fleetTesting.TestFleet, service: string, contentType: string, [first, rest]: readonly [string, string]): Promise<RawEngine> {
  const requests: string[] = []
  const finishes: Array<() => void> = []
  const sockets = new Set<net.Socket>()
  const server = net.createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('data', (bytes) => {
      const request = bytes.toString('latin1')
      requests.push(request)
      socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${REQUEST_ID.exec(request)?.[1] ?? ''}\r\nEngine-Seal: seal-i-1\r\nContent-Type: ${contentType}${END_OF_HEAD}${first}`)
      finishes.push(() => { socket.end(rest) })
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
  context.after(() => {
    server.close()
    for (const socket of sockets) socket.destroy()
  })
  const address = { host: types.LOOPBACK_HOST, port: (server.address() as net.AddressInfo).port }
  const model = service === fleetTesting.STREAM_SERVICE.name ? { name: fleetTesting.MODEL, version: 1 } : undefined
  fleet.store.put(platform.OBJECT_KINDS.backEnds, 'i-1', testing.describeEngine({ address } as testing.EngineStandIn, service, 'zone-a', model))
  return { requests, finish: () => { for (const finish of finishes.splice(0)) finish() } }
}

interface Scene {
  readonly program: programTesting.StartedProgram
  readonly callers: types.Address
  readonly engine: RawEngine
}

let scenes = 0

async function openScene (context: nodeTest.TestContext, service: string, contentType: string, parts: readonly [string, string]): Promise<Scene> {
  const host = `127.0.48.${++scenes}`
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure(({ routes }) => { for (const route of routes) route['timeoutMs'] = 6000 })
  const engine = await startRawEngine(context, fleet, service, contentType, parts)
  const program = programTesting.startProgram(context, programTesting.formatGatewaySettings(fleet, host))
  await program.waitForOutput('event=started')
  const readiness = { host, port: fleet.ports.readiness }
  await fleetTesting.waitWithLimit(async () => (await testing.sendCallerRequest(readiness, fleetTesting.API_KEY, { path: platform.READINESS_PATH, id: 'ready' })).status === 200)
  return { program, callers: { host, port: fleet.ports.callers }, engine }
}

void nodeTest.describe('an answer without framing never looks whole before its end', { concurrency: 3 }, () => {
  for (const [end, signals, mayReset] of ENDS) {
    for (const [moment, parts] of Object.entries(MOMENTS)) {
      for (const [service, path] of [['llm', '/stream/x'], ['api', '/write/stream']] as const) {
        nodeTest.test(`a stream of ${path} whose gateway ${end} ${moment}`, LIMIT, async (context) => {
          const { program, callers, engine } = await openScene(context, service, 'text/event-stream', parts)
          const opened = (mayReset ? ['1.1', '1.0'] : ['1.1']).map((version) => openCaller(callers, formatRequest(path, version)))
          await fleetTesting.waitWithLimit(async () => engine.requests.length === opened.length)
          await types.delay(SETTLE_MS)
          for (const signal of signals) {
            program.child.kill(signal)
            await types.delay(SETTLE_MS)
          }
          await program.ended
          for (const caller of opened) assert.equal(isWhole(await caller.ended), false, caller.read())
        })
      }
    }
  }

  nodeTest.test('a stream whose gateway stands still beyond its idle limits, which is whole', LIMIT, async (context) => {
    const { program, callers, engine } = await openScene(context, 'llm', 'text/event-stream', MOMENTS['between two events'])
    const opened = ['1.1', '1.0'].map((version) => openCaller(callers, formatRequest('/stream/x', version)))
    await fleetTesting.waitWithLimit(async () => engine.requests.length === opened.length)
    await types.delay(SETTLE_MS)
    program.child.kill('SIGSTOP')
    engine.finish()
    await types.delay(REST_MS)
    program.child.kill('SIGCONT')
    for (const { ended } of opened) {
      const answer = await ended
      assert.equal(isWhole(answer), true)
      for (const event of EVENTS) assert.ok(answer.body.includes(event), answer.body)
    }
  })

  for (const version of ['1.0', '1.1']) {
    nodeTest.test(`a buffered answer to a caller of HTTP/${version} whose gateway is killed while it is delivered`, LIMIT, async (context) => {
      const { program, callers, engine } = await openScene(context, 'api', 'text/plain', ['x', 'x'.repeat(BIG_BYTES)])
      const caller = openCaller(callers, formatRequest('/write/x', version))
      await fleetTesting.waitWithLimit(async () => engine.requests.length === 1)
      caller.socket.pause()
      engine.finish()
      await types.delay(REST_MS)
      program.child.kill('SIGKILL')
      await program.ended
      caller.socket.resume()
      assert.equal(isWhole(await caller.ended), false)
    })
  }
})

const UPLOADS = {
  'with a length': [{ 'content-length': '100' }, 'part of it'],
  'in chunks': [{ 'transfer-encoding': 'chunked' }, 'a\r\npart of it\r\n'],
  'in chunks, within one': [{ 'transfer-encoding': 'chunked' }, '10\r\npart of it']
} as const

void nodeTest.describe('an upload that breaks off reaches no engine', { concurrency: 3 }, () => {
  for (const [framing, [headers, part]] of Object.entries(UPLOADS)) {
    for (const end of ['ends', 'resets', 'loses its gateway'] as const) {
      nodeTest.test(`an upload ${framing} whose caller ${end}`, LIMIT, async (context) => {
        const { program, callers, engine } = await openScene(context, 'api', 'text/plain', ['whole', ''])
        const caller = openCaller(callers, formatRequest('/write/x', '1.1', headers) + part)
        await types.delay(SETTLE_MS)
        if (end === 'ends') caller.socket.end()
        else if (end === 'resets') caller.socket.resetAndDestroy()
        else program.child.kill('SIGKILL')
        await caller.ended
        await types.delay(REST_MS)
        assert.deepEqual(engine.requests, [])
      })
    }
  }
})
