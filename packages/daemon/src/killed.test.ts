/**
 * Guards against an answer that looks whole although a process on its way was killed: the system closes the connections of a killed process in an orderly way, which marks
 * the end of an answer that was passed on as its engine sent it, with neither a length nor chunks.
 */
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as fleetTesting from './_lib/fleetTesting.js'
import * as plainHall from './_lib/plainHall.js'
import * as programTesting from './_lib/programTesting.js'

const LIMIT = { timeout: 60_000 }
const HOST = '127.0.0.46'
const EVENTS = 20
const EVENT_MS = 100
const END_OF_HEAD = '\r\n\r\n'
const LAST_CHUNK = '0\r\n\r\n'

interface Caller {
  /** Resolves once a part of the body has arrived. */
  readonly begun: Promise<void>
  /** Head and body, and whether the connection was reset, once it has closed. */
  readonly ended: Promise<{ readonly head: string, readonly body: string, readonly isReset: boolean }>
}

function openCaller ({ host, port }: types.Address, version: string, path: string, headers: Readonly<Record<string, string>> = {}): Caller {
  const socket = net.connect({ host, port })
  let text = ''
  let isReset = false
  const begun = new Promise<void>((resolve) => {
    socket.on('data', (bytes: Buffer) => {
      text += bytes.toString('latin1')
      const headEnd = text.indexOf(END_OF_HEAD)
      if (headEnd >= 0 && text.length > headEnd + END_OF_HEAD.length) resolve()
    })
  })
  socket.on('error', () => { isReset = true })
  const all = Object.entries({ ...testing.formatCallerHeaders(fleetTesting.API_KEY, 6000), 'request-id': 'r', 'content-length': '0', connection: 'close', ...headers })
  socket.write(`POST ${path} HTTP/${version}\r\n${all.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`)
  const ended = new Promise<Awaited<Caller['ended']>>((resolve) => {
    socket.once('close', () => {
      const headEnd = text.indexOf(END_OF_HEAD)
      resolve({ head: text.slice(0, headEnd), body: text.slice(headEnd + END_OF_HEAD.length), isReset })
    })
  })
  return { begun, ended }
}

function countEvents (body: string): number {
  return body.match(/piece-\d+\n\n/g)?.length ?? 0
}

/** Asserts what the rules of HTTP/1.1 tell of an answer: its chunks have an end only if it is whole. */
async function assertChunked ({ ended }: Caller, isWhole: boolean): Promise<void> {
  const { head, body } = await ended
  assert.match(head, /^HTTP\/1\.1 200 /)
  assert.match(head, /\r\ntransfer-encoding: chunked/i)
  assert.equal(body.endsWith(LAST_CHUNK), isWhole)
  assert.ok(isWhole ? countEvents(body) === EVENTS : countEvents(body) < EVENTS)
}

for (const path of ['/stream/x', '/streams-once/x', '/read/stream', '/write/stream']) {
  nodeTest.test(`an answer without framing is whole to its caller only with its end, whatever ends the gateway (${path})`, LIMIT, async (context) => {
    const fleet = await fleetTesting.createTestFleet(context)
    fleet.configure(({ routes }) => {
      for (const route of routes) route['timeoutMs'] = 6000
      routes.push({ ...routes.find(({ name }) => name === 'stream'), name: 'streams-once', pathPrefix: '/streams-once/', resumable: false })
    })
    const { service, engine: options } = path.startsWith('/stream') ? { service: 'llm', engine: fleetTesting.STREAM_SERVICE.engine } : { service: 'api', engine: {} }
    const engine = await fleet.startEngine({ id: 'i-1', ...options, events: EVENTS, eventMs: EVENT_MS }, service)
    const program = programTesting.startProgram(context, programTesting.formatGatewaySettings(fleet, HOST))
    const callers = { host: HOST, port: fleet.ports.callers }
    await fleetTesting.waitWithLimit(async () => (await fleetTesting.call(callers, { method: 'POST', path, id: 'probe', headers: testing.formatModelHeaders(fleetTesting.MODEL) })).status === 200)
    const open = (version: string): Caller => openCaller(callers, version, path, testing.formatModelHeaders(fleetTesting.MODEL))
    Object.assign(engine.faults, { next: 'unframed', count: 3 })
    const [whole, old] = [open('1.1'), open('1.0')]
    await assertChunked(whole, true)
    const { head, body, isReset } = await old.ended
    assert.doesNotMatch(head, /transfer-encoding|content-length/i)
    assert.deepEqual([countEvents(body), isReset], [EVENTS, false])
    const cut = open('1.1')
    await cut.begun
    program.child.kill('SIGKILL')
    await assertChunked(cut, false)
  })
}

/** Answers with events and with neither a length nor chunks. */
function answerUnframed (socket: net.Socket): void {
  let sent = 0
  socket.write('HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n')
  const timer = setInterval(() => {
    sent += 1
    socket.write(testing.formatEvent(sent, `piece-${sent}`))
    if (sent === EVENTS) socket.end()
  }, EVENT_MS)
  socket.on('close', () => { clearInterval(timer) })
}

for (const killed of ['entry node', 'daemon of a backend server'] as const) {
  nodeTest.test(`an answer without framing is whole to its caller only with its end, whatever ends the ${killed}`, LIMIT, async (context) => {
    const path = '/services/api/x'
    const hall = await plainHall.openPlainHall(context, ({ socket }) => { answerUnframed(socket) })
    await hall.addService()
    let program: programTesting.StartedProgram
    let callers: types.Address
    if (killed === 'entry node') {
      program = programTesting.startProgram(context, hall.formatSettings())
      await program.waitForOutput('event=started')
      const [, port, callerPort] = /event=started .*port=(\d+) callerPort=(\d+)/.exec(program.output()) ?? []
      callers = { host: types.LOOPBACK_HOST, port: Number(callerPort) }
      await hall.startBackend({ address: { host: types.LOOPBACK_HOST, port: Number(port) } })
    } else {
      const entry = await hall.startEntry()
      callers = entry.callerAddress as types.Address
      program = programTesting.startProgram(context, hall.formatSettings(entry))
    }
    await fleetTesting.waitWithLimit(async () => (await fleetTesting.call(callers, { method: 'POST', path, id: 'probe' })).status === 200)
    const [whole, old] = [openCaller(callers, '1.1', path), openCaller(callers, '1.0', path)]
    await assertChunked(whole, true)
    const { head, body, isReset } = await old.ended
    assert.doesNotMatch(head, /transfer-encoding|content-length/i)
    assert.deepEqual([countEvents(body), isReset], [EVENTS, false])
    const [cut, oldCut] = [openCaller(callers, '1.1', path), openCaller(callers, '1.0', path)]
    await Promise.all([cut.begun, oldCut.begun])
    program.child.kill('SIGKILL')
    await assertChunked(cut, false)
    // Nothing can tell a caller of HTTP/1.0 that the process which ended its connection was killed.
    if (killed !== 'entry node') assert.equal((await oldCut.ended).isReset, true)
  })
}
