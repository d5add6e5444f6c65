/**
 * Guards against successes that look whole to their callers although the connection of their engine ended first: within the head, within the body, or after a head that
 * announces neither a length nor chunks, of which an orderly end leaves an empty body.
 */
import * as assert from 'node:assert/strict'
import * as childProcess from 'node:child_process'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as fleetTesting from './_lib/fleetTesting.js'
import * as plainHall from './_lib/plainHall.js'

const LIMIT = { timeout: 60_000 }
const HOST = '127.0.0.1'
const OK = 200
const BAD_GATEWAY = 502
/** Calls that raise the retry budget of the gateway, which has no fixed allowance in its first seconds. */
const EARLIER_CALLS = 15
const EVENT = 'id: 1\ndata: piece-1\n\n'
const PLAIN_BODY = 'whole'
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'
const CUT_MARK = '|'
const REQUEST_ID_MARK = 'REQUEST-ID'
const REQUEST_ID = /\r\nrequest-id: (\S+)/i
const STREAM_TYPE = 'text/event-stream'

/** Answers of an engine, cut at the mark; the headers that the platform's protocol asks for stand where the name does. */
const CUTS: Readonly<Record<string, (body: string) => string>> = {
  'before anything': () => '|',
  'within the status line': () => 'HTTP/1.1 20|0 OK\r\n',
  'after the status line': () => 'HTTP/1.1 200 OK\r\n|',
  'after the status line of a version without chunks': () => 'HTTP/1.0 200 OK\r\n|',
  'within a name': () => 'HTTP/1.1 200 OK\r\nHEADERS\r\nContent-Le|ngth: 5\r\n',
  'within a value': () => 'HTTP/1.1 200 OK\r\nHEADERS\r\nContent-Length: |5\r\n',
  'before the end of the last line': () => 'HTTP/1.1 200 OK\r\nHEADERS|\r\n',
  'before the empty line': () => 'HTTP/1.1 200 OK\r\nHEADERS\r\n|\r\n',
  'within the empty line': () => 'HTTP/1.1 200 OK\r\nHEADERS\r\n\r|\n',
  'after an interim response': () => `${INTERIM}|`,
  'within the head after an interim response': () => `${INTERIM}HTTP/1.1 200 OK\r\nHEADERS|\r\n`,
  'before a body with a length': (body) => `HTTP/1.1 200 OK\r\nHEADERS\r\nContent-Length: ${body.length}\r\n\r\n|`,
  'within a body with a length': (body) => `HTTP/1.1 200 OK\r\nHEADERS\r\nContent-Length: ${body.length}\r\n\r\n${body.slice(0, -1)}|`,
  'before a body in chunks': () => 'HTTP/1.1 200 OK\r\nHEADERS\r\nTransfer-Encoding: chunked\r\n\r\n|',
  'before the last chunk': (body) => `HTTP/1.1 200 OK\r\nHEADERS\r\nTransfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n|`,
  'within the last chunk': (body) => `HTTP/1.1 200 OK\r\nHEADERS\r\nTransfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n|`,
  'after a head that announces no framing': () => 'HTTP/1.1 200 OK\r\nHEADERS\r\n\r\n|',
  'after a head that announces no framing, after an interim response': () => `${INTERIM}HTTP/1.1 200 OK\r\nHEADERS\r\n\r\n|`
}

/** How the connection of an engine ends. */
const ENDS: Readonly<Record<string, (socket: net.Socket, server: net.Server) => void>> = {
  'its connection ends in an orderly way': (socket) => { socket.end() },
  'its connection is reset': (socket) => { socket.resetAndDestroy() },
  'its process ends': (socket, server) => {
    server.close()
    socket.end()
  }
}

/** What an engine sends in answer to a request; the connection ends after it. */
type FormatAnswer = (requestId: string) => string

interface RawEngine {
  readonly address: types.Address
  /** Ids of the requests that reached it. */
  readonly requests: readonly string[]
}

/** Starts an engine that answers each request with the same text and ends its connection. */
async function startRawEngine (context: nodeTest.TestContext, formatAnswer: FormatAnswer, end: (socket: net.Socket, server: net.Server) => void): Promise<RawEngine> {
  const requests: string[] = []
  const sockets = new Set<net.Socket>()
  const server = net.createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('data', (bytes) => {
      const requestId = REQUEST_ID.exec(bytes.toString('latin1'))?.[1] ?? ''
      requests.push(requestId)
      socket.write(formatAnswer(requestId), () => { end(socket, server) })
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, HOST, resolve) })
  context.after(() => {
    server.close()
    for (const socket of sockets) socket.destroy()
  })
  return { address: { host: HOST, port: (server.address() as net.AddressInfo).port }, requests }
}

let hosts = 0

/** An engine that answers its first request and is killed; the text of its answer holds the mark for the id of the request. */
const KILLED_ENGINE = `
  const server = require('node:net').createServer((socket) => {
    socket.once('data', (bytes) => {
      const id = /\\r\\nrequest-id: (\\S+)/i.exec(bytes.toString('latin1'))?.[1] ?? ''
      socket.write(process.argv[1].replace('${REQUEST_ID_MARK}', id), () => { process.kill(process.pid, 'SIGKILL') })
    })
  })
  server.listen(0, '${HOST}', () => { process.stdout.write(String(server.address().port)) })
`

/** Starts such an engine as a process; a request is listed once it has ended. */
async function startKilledEngine (context: nodeTest.TestContext, formatAnswer: FormatAnswer): Promise<RawEngine> {
  const requests: string[] = []
  const child = childProcess.spawn(process.execPath, ['-e', KILLED_ENGINE, formatAnswer(REQUEST_ID_MARK)], { stdio: ['ignore', 'pipe', 'inherit'] })
  context.after(() => { child.kill('SIGKILL') })
  const port = await new Promise<Buffer>((resolve) => { child.stdout.once('data', resolve) })
  child.once('exit', () => { requests.push('killed') })
  return { address: { host: HOST, port: Number(port.toString()) }, requests }
}

interface Kind {
  readonly path: string
  readonly service: string
  readonly contentType: string
  readonly body: string
  /** Whether its calls may be sent to another engine after one that may have run them. */
  readonly isRepeatable: boolean
}

const ONCE_STREAM_PATH = '/streams-once/'
const KINDS: readonly Kind[] = [
  { path: '/read/', service: 'api', contentType: 'text/plain', body: PLAIN_BODY, isRepeatable: true },
  { path: '/write/', service: 'api', contentType: 'text/plain', body: PLAIN_BODY, isRepeatable: false },
  { path: '/stream/', service: 'llm', contentType: STREAM_TYPE, body: EVENT, isRepeatable: true },
  { path: ONCE_STREAM_PATH, service: 'llm', contentType: STREAM_TYPE, body: EVENT, isRepeatable: false }
]

function formatCut (template: (body: string) => string, { contentType, body }: Pick<Kind, 'contentType' | 'body'>): FormatAnswer {
  const [sent = ''] = template(body).split(CUT_MARK)
  return (requestId) => sent.replace('HEADERS', `Request-Id: ${requestId}\r\nEngine-Seal: seal-raw\r\nContent-Type: ${contentType}`)
}

async function openFleet (context: nodeTest.TestContext): Promise<fleetTesting.TestFleet> {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure(({ routes }) => {
    const resumable = routes.find(({ name }) => name === 'stream')
    routes.push({ ...resumable, name: 'streams-once', pathPrefix: ONCE_STREAM_PATH, resumable: false })
  })
  return fleet
}

function listRawEngine (fleet: fleetTesting.TestFleet, { address }: RawEngine, service: string, index: number): void {
  const model = service === fleetTesting.STREAM_SERVICE.name ? { name: fleetTesting.MODEL, version: 1 } : undefined
  fleet.store.put(platform.OBJECT_KINDS.backEnds, `i-${index}`, testing.describeEngine({ address } as testing.EngineStandIn, service, 'zone-a', model))
}

async function call (gateway: types.Address, path: string, id: string): Promise<testing.CallerAnswer> {
  return await fleetTesting.call(gateway, { method: 'POST', path: `${path}${id}`, id, body: 'x', headers: testing.formatModelHeaders(fleetTesting.MODEL) })
}

/** An answer that ends right after its head for the first attempt of a call, and a whole one for any later attempt and for all calls with other ids. */
function createEmptyThenWhole (kind: Kind, emptyId: string): FormatAnswer {
  let isAnswered = false
  const empty = formatCut(() => 'HTTP/1.1 200 OK\r\nHEADERS\r\n\r\n', kind)
  const whole = formatCut((body) => `HTTP/1.1 200 OK\r\nHEADERS\r\nContent-Length: ${body.length}\r\n\r\n${body}`, kind)
  return (requestId) => {
    if (isAnswered || requestId !== emptyId) return whole(requestId)
    isAnswered = true
    return empty(requestId)
  }
}

function looksWhole ({ status, isWhole }: testing.CallerAnswer): boolean {
  return status === OK && isWhole
}

type StartEngine = (context: nodeTest.TestContext, formatAnswer: FormatAnswer) => Promise<RawEngine>

const STARTS: Readonly<Record<string, StartEngine>> = {
  ...Object.fromEntries(Object.entries(ENDS).map(([when, end]): [string, StartEngine] => [when, async (context, formatAnswer) => await startRawEngine(context, formatAnswer, end)])),
  'its process is killed': startKilledEngine
}

void nodeTest.describe('no caller of a gateway takes an answer for whole that was cut', { concurrency: Object.keys(STARTS).length * KINDS.length }, () => {
  for (const [when, start] of Object.entries(STARTS)) {
    for (const kind of KINDS) {
      const host = `127.0.49.${++hosts}`
      nodeTest.test(`a call of ${kind.path} when ${when}`, LIMIT, async (context) => {
        const fleet = await openFleet(context)
        const gateway = await fleet.startGateway(host)
        await fleet.waitUntilReady(host)
        const faults: string[] = []
        for (const [index, [cut, template]] of Object.entries(CUTS).entries()) {
          const engine = await start(context, formatCut(template, kind))
          fleet.store.remove(platform.OBJECT_KINDS.backEnds, `i-${index - 1}`)
          listRawEngine(fleet, engine, kind.service, index)
          await fleet.waitForRevision(platform.OBJECT_KINDS.backEnds, fleet.store.copy().revision)
          const answer = await call(gateway, kind.path, cut.replaceAll(/[ ,]+/g, '-'))
          if (looksWhole(answer)) faults.push(`${cut}: ${answer.status} ${answer.body}`)
          await fleetTesting.waitWithLimit(async () => engine.requests.length > 0)
        }
        assert.deepEqual(faults, [])
      })
    }
  }
})

void nodeTest.describe('a call whose engine ends its connection right after a head that announces no framing', LIMIT, () => {
  for (const kind of KINDS) {
    nodeTest.test(`of ${kind.path} ${kind.isRepeatable ? 'is answered by another engine' : 'has an unknown outcome and reaches no other engine'}`, LIMIT, async (context) => {
      const fleet = await openFleet(context)
      const gateway = await fleet.startGateway(HOST)
      await fleet.waitUntilReady(HOST)
      const formatAnswer = createEmptyThenWhole(kind, 'c')
      const end = ENDS['its connection ends in an orderly way'] as (socket: net.Socket) => void
      const engines = [await startRawEngine(context, formatAnswer, end), await startRawEngine(context, formatAnswer, end)]
      for (const [index, engine] of engines.entries()) listRawEngine(fleet, engine, kind.service, index)
      await fleet.waitForRevision(platform.OBJECT_KINDS.backEnds, fleet.store.copy().revision)
      for (let index = 0; index < EARLIER_CALLS; index += 1) assert.ok(looksWhole(await call(gateway, kind.path, `earlier-${index}`)))
      const answer = await call(gateway, kind.path, 'c')
      assert.deepEqual([answer.status, looksWhole(answer), answer.body === kind.body], kind.isRepeatable ? [OK, true, true] : [BAD_GATEWAY, false, false])
      assert.equal(engines.flatMap(({ requests }) => requests).filter((id) => id === 'c').length, kind.isRepeatable ? 2 : 1)
    })
  }
})

interface OpenedHall {
  readonly hall: plainHall.PlainHall
  readonly entry: types.Address
  /** Paths of the requests that reached the service. */
  readonly requests: string[]
}

/** Opens a hall whose service answers by path, and with a whole answer where none is given. */
async function openHall (context: nodeTest.TestContext, repeatable: string, answers: Readonly<Record<string, (socket: net.Socket) => void>>): Promise<OpenedHall> {
  const requests: string[] = []
  const hall = await plainHall.openPlainHall(context, ({ url = '', socket }, response) => {
    requests.push(url)
    const answer = answers[url]
    if (answer === undefined) response.end(PLAIN_BODY)
    else answer(socket)
  })
  await hall.addService({ repeatable })
  const { address, callerAddress } = await hall.startEntry()
  for (let backend = 0; backend < 2; backend += 1) await hall.startBackend({ address })
  return { hall, entry: callerAddress as types.Address, requests }
}

async function callHall (entry: types.Address, path: string, key: string): Promise<testing.CallerAnswer> {
  return await fleetTesting.call(entry, { method: 'POST', path: `/services/api${path}`, id: path, body: 'x', headers: { 'idempotency-key': key } })
}

void nodeTest.describe('no caller of an entry node takes an answer for whole that was cut, and none is served again under its key', () => {
  for (const [when, end] of Object.entries(ENDS)) {
    nodeTest.test(`when ${when}`, LIMIT, async (context) => {
      const cuts = Object.entries(CUTS)
      const server = { close: () => { opened.hall.crashService() } } as unknown as net.Server
      const opened = await openHall(context, 'none', Object.fromEntries(cuts.map(([, template], index) => {
        const text = formatCut(template, { contentType: 'text/plain', body: PLAIN_BODY })('r')
        return [`/cut-${index}`, (socket: net.Socket) => { socket.write(text, () => { end(socket, server) }) }]
      })))
      const waitUntilServed = async (): Promise<void> => { await fleetTesting.waitUntil(async () => looksWhole(await callHall(opened.entry, '/whole', ''))) }
      await waitUntilServed()
      const faults: string[] = []
      for (const [index, [cut]] of cuts.entries()) {
        const path = `/cut-${index}`
        const first = await callHall(opened.entry, path, path)
        await opened.hall.reopenService()
        await waitUntilServed()
        const again = await callHall(opened.entry, path, path)
        const attempts = opened.requests.filter((request) => request === path).length
        if (looksWhole(first) || looksWhole(again) || attempts !== 1) faults.push(`${cut}: ${first.status} ${first.body}, again ${again.status} ${again.body} after ${attempts} attempts`)
      }
      assert.deepEqual(faults, [])
    })
  }
})

nodeTest.test('a repeatable call of an entry node whose back end ends its connection right after a head that announces no framing is sent again', LIMIT, async (context) => {
  let attempts = 0
  const { entry } = await openHall(context, 'all', {
    '/empty': (socket) => {
      attempts += 1
      socket.end(`HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${attempts === 1 ? '' : PLAIN_BODY}`)
    }
  })
  await fleetTesting.waitUntil(async () => looksWhole(await callHall(entry, '/whole', '')))
  const answer = await callHall(entry, '/empty', '')
  assert.deepEqual([answer.status, answer.body, attempts], [OK, PLAIN_BODY, 2])
})

const STREAM_PARTS: Readonly<Record<string, boolean>> = {
  [EVENT]: true,
  'id: 1\r\ndata: a\r\n\r\n': true,
  ': comment\n\n': true,
  'id: 1\nda': false,
  'id: 1\ndata: a\n': false,
  [`${EVENT}id: 2`]: false,
  [`${EVENT}id: 2\r\n`]: false
}

nodeTest.test('a stream without framing is whole to a caller of an entry node only if it ends with an event', LIMIT, async (context) => {
  const parts = Object.keys(STREAM_PARTS)
  const { entry } = await openHall(context, 'none', Object.fromEntries(parts.map((part, index) => [`/part-${index}`, (socket: net.Socket) => {
    socket.end(`HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: ${STREAM_TYPE}\r\n\r\n${part}`)
  }])))
  const waitUntilServed = async (): Promise<void> => { await fleetTesting.waitUntil(async () => looksWhole(await callHall(entry, '/whole', ''))) }
  const wholeness: Record<string, boolean> = {}
  for (const [index, part] of parts.entries()) {
    await waitUntilServed()
    wholeness[part] = looksWhole(await callHall(entry, `/part-${index}`, ''))
  }
  assert.deepEqual(wholeness, STREAM_PARTS)
})
