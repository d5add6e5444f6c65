/** Guards against callers that get neither an answer nor a refusal, and against leftovers of their calls, because the handling of a call throws. */
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as handlerTesting from '../_lib/handlerTesting.js'
import * as createCallerServer from '../createCallerServer/index.js'
import * as createHeldBytes from '../createHeldBytes/index.js'
import type * as createRouteTable from '../createRouteTable/index.js'
import * as sendAttempt from '../sendAttempt/index.js'
import type * as gateway from '../types/index.js'
import * as createCallHandler from './index.js'

const ADDRESS = { host: '127.0.0.47', port: 18_447 }
const LIMIT = { timeout: 20_000 }
const BODY = 'body'
const EVENT = 'id: 1\ndata: a\n\n'
const FRAMED_STREAM = `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${EVENT.length.toString(16)}\r\n${EVENT}\r\n`
const WHOLE_STREAM = `${FRAMED_STREAM}0\r\n\r\n`
const UNFRAMED_STREAM = `HTTP/1.1 200 OK\r\n\r\n${EVENT}`
const RESET = 'ECONNRESET'

type Options = createCallHandler.CallHandlerOptions

interface Fixture {
  readonly handler: createCallHandler.CallHandler
  readonly heldBytes: createHeldBytes.HeldBytes
  /** Number of attempts that the records of the back ends know as open. */
  readonly countOpen: () => number
  /** Number of attempts that were not aborted. */
  readonly countUnaborted: () => number
  /** Number of scheduled actions that were not cancelled. */
  readonly countScheduled: () => number
  readonly loggedIds: readonly unknown[]
  /** Back ends whose attempts were logged because their handling threw. */
  readonly failedAttempts: readonly unknown[]
  /** Resets the connection of the last attempt. */
  readonly resetEngine: () => void
}

interface Received {
  readonly text: string
  /** Error of the connection; null if it ended in an orderly way. */
  readonly errorCode: string | null
}

function throwFault (): never {
  throw new Error('fault')
}

/** Starts a gateway with one engine that sends `answer` and leaves its connection open. */
async function startGateway (context: nodeTest.TestContext, answer: string, change: (options: Options) => Partial<Options>): Promise<Fixture> {
  const sockets: net.Socket[] = []
  const engine = net.createServer((socket) => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.once('data', () => { socket.write(answer) })
  })
  await new Promise<void>((resolve) => { engine.listen(0, types.LOOPBACK_HOST, resolve) })
  const heldBytes = createHeldBytes.createHeldBytes({ maximumBytes: Infinity, now: () => 0 })
  const open = new Set<unknown>()
  const unaborted = new Set<sendAttempt.Attempt>()
  const scheduled = new Set<unknown>()
  const loggedIds: unknown[] = []
  const failedAttempts: unknown[] = []
  const options = handlerTesting.createHandlerOptions({ isResumable: true }, {
    now: () => 0,
    heldBytes,
    at: (_at, action) => {
      scheduled.add(action)
      return () => { scheduled.delete(action) }
    },
    sendAttempt: (request) => {
      const attempt = sendAttempt.sendAttempt({ ...request, address: { host: types.LOOPBACK_HOST, port: (engine.address() as net.AddressInfo).port } })
      unaborted.add(attempt)
      return {
        start: attempt.start,
        abort: () => {
          unaborted.delete(attempt)
          attempt.abort()
        }
      }
    }
  })
  const { tracker } = options
  const watched: Options = {
    ...options,
    logger: {
      ...options.logger,
      error: (event, fields) => {
        if (event === 'call-broken') loggedIds.push(fields?.id)
        if (event === 'attempt-error') failedAttempts.push(fields?.backEnd)
      }
    },
    tracker: {
      ...tracker,
      noteSent: (id, attempt) => {
        open.add(attempt)
        tracker.noteSent(id, attempt)
      },
      noteEnded: (id, attempt) => {
        open.delete(attempt)
        tracker.noteEnded(id, attempt)
      }
    }
  }
  const handler = createCallHandler.createCallHandler({ ...watched, ...change(watched) })
  const server = createCallerServer.createCallerServer(handler)
  await server.listen(ADDRESS)
  context.after(() => {
    server.close()
    engine.close()
    for (const socket of sockets) socket.destroy()
  })
  return { handler, heldBytes, countOpen: () => open.size, countUnaborted: () => unaborted.size, countScheduled: () => scheduled.size, loggedIds, failedAttempts, resetEngine: () => { sockets.at(-1)?.resetAndDestroy() } }
}

/** Sends a call and receives until the connection ends. */
async function call (onReceived: () => void = () => {}, version = '1.1'): Promise<Received> {
  const socket = net.connect(ADDRESS)
  let text = ''
  let errorCode: string | null = null
  socket.on('data', (bytes: Buffer) => {
    text += bytes.toString('latin1')
    if (text.includes(EVENT)) onReceived()
  })
  socket.on('error', (error: NodeJS.ErrnoException) => { errorCode = error.code ?? '' })
  socket.write(`POST / HTTP/${version}\r\nHost: h\r\nConnection: close\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`)
  await new Promise((resolve) => { socket.once('close', resolve) })
  return { text, errorCode }
}

/** Options whose protocol has another function. */
function withProtocol (change: Partial<Options['protocol']>): (options: Options) => Partial<Options> {
  return ({ protocol }) => ({ protocol: { ...protocol, ...change } })
}

/** Options without any usable route. */
function withoutRoutes ({ routes }: Options): Partial<Options> {
  return { routes: () => ({ ...routes() as createRouteTable.RouteTable, findRoute: throwFault }) }
}

/** Options with which only one attempt can be chosen. */
function withOneChoice ({ choose }: Options): Partial<Options> {
  let isFirst = true
  return {
    choose: (wanted) => {
      if (!isFirst) throwFault()
      isFirst = false
      return choose(wanted)
    }
  }
}

/** Options whose route differs. */
function withRoute (change: Partial<gateway.Route>): (options: Options) => Partial<Options> {
  return ({ routes }) => {
    const table = routes() as createRouteTable.RouteTable
    return { routes: () => ({ ...table, findRoute: (host, path) => ({ ...table.findRoute(host, path) as gateway.Route, ...change }) }) }
  }
}

/** Options whose route requests another attempt if the first one is silent for a short time. */
const withShortTarget = withRoute({ targetMs: 1 })

/** Asserts that nothing is left of a call whose handling threw, or of so many attempts of a call whose own handling did not. */
async function assertReleased ({ handler, heldBytes, countOpen, countUnaborted, countScheduled, loggedIds, failedAttempts }: Fixture, attempts = 0): Promise<void> {
  await new Promise(setImmediate)
  assert.deepEqual({ calls: handler.register.count(), bytes: heldBytes.read(), open: countOpen(), unaborted: countUnaborted(), scheduled: countScheduled(), logged: loggedIds.length, failedAttempts }, { calls: 0, bytes: 0, open: 0, unaborted: 0, scheduled: 0, logged: attempts === 0 ? 1 : 0, failedAttempts: Array.from({ length: attempts }, () => 'i-1') })
}

const UNSENT: ReadonlyArray<readonly [string, (options: Options) => Partial<Options>]> = [
  ['its head is read', withProtocol({ readCall: throwFault })],
  ['its route is looked up', withoutRoutes],
  ['its service is looked up', () => ({ budgetOf: throwFault })],
  ['its back end is chosen', () => ({ choose: throwFault })]
]
for (const [when, change] of UNSENT) {
  nodeTest.test(`a call whose handling throws when ${when} is refused and leaves nothing behind`, LIMIT, async (context) => {
    const gateway = await startGateway(context, '', change)
    const { text, errorCode } = await call()
    assert.match(text, /^HTTP\/1\.1 503 /)
    assert.equal(errorCode, null)
    await assertReleased(gateway)
  })
}

const MAXIMUM_UNSENT = 4
const MAXIMUM_SENT = 3
/** Options that replace a function of an attempt by one that throws; the first times only if a number is given. */
const ATTEMPTS: ReadonlyArray<readonly [string, (times: number) => (options: Options) => Partial<Options>]> = [
  ['prepared', (times) => (options) => withProtocol({ formatAttempt: throwFirst(times, options.protocol.formatAttempt) })(options)],
  ['sent', (times) => (options) => ({ sendAttempt: throwFirst(times, options.sendAttempt) })]
]

/** Returns a function that throws a number of times before it does what another one does. */
function throwFirst<Parameters extends unknown[], Result> (times: number, run: (...parameters: Parameters) => Result): (...parameters: Parameters) => Result {
  let left = times
  return (...parameters) => {
    left -= 1
    return left >= 0 ? throwFault() : run(...parameters)
  }
}

for (const [when, throwing] of ATTEMPTS) {
  nodeTest.test(`a call whose attempts all throw when they are ${when} is refused and leaves nothing behind`, LIMIT, async (context) => {
    const gateway = await startGateway(context, '', throwing(Infinity))
    const { text, errorCode } = await call()
    assert.match(text, /^HTTP\/1\.1 503 /)
    assert.equal(errorCode, null)
    await assertReleased(gateway, MAXIMUM_UNSENT)
  })

  for (const kind of ['stream', 'repeatable', 'once'] as const) {
    nodeTest.test(`a call whose attempt throws when it is ${when} is served by the next one (${kind})`, LIMIT, async (context) => {
      const gateway = await startGateway(context, WHOLE_STREAM, (options) => ({ ...withRoute({ kind, isResumable: false })(options), ...throwing(1)(options) }))
      const { text, errorCode } = await call()
      assert.match(text, /^HTTP\/1\.1 200 /)
      assert.ok(text.endsWith(`${EVENT}\r\n0\r\n\r\n`))
      assert.equal(errorCode, null)
      await assertReleased(gateway, 1)
    })
  }
}

const READING = { readAnswer: 'its answer is read', readAdvertisedRate: 'the rate of its answer is read', readBackoffRequest: 'the backoff of its answer is read', announcesLeaving: 'the leaving of its answer is read' } as const
for (const [name, when] of Object.entries(READING) as ReadonlyArray<[keyof typeof READING, string]>) {
  nodeTest.test(`a call whose attempts all throw when ${when} gets an error that doesn't promise that it has not run, and its attempts end`, LIMIT, async (context) => {
    const gateway = await startGateway(context, FRAMED_STREAM, withProtocol({ [name]: throwFault }))
    const { text, errorCode } = await call()
    assert.match(text, /^HTTP\/1\.1 502 /)
    assert.equal(errorCode, null)
    await assertReleased(gateway, MAXIMUM_SENT)
  })

  nodeTest.test(`a call that may not be repeated is sent once if its attempt throws when ${when}`, LIMIT, async (context) => {
    const gateway = await startGateway(context, FRAMED_STREAM, (options) => ({ ...withRoute({ kind: 'once', isResumable: false })(options), ...withProtocol({ [name]: throwFault })(options) }))
    const { text } = await call()
    assert.match(text, /^HTTP\/1\.1 502 /)
    await assertReleased(gateway, 1)
  })
}

nodeTest.test('a call that no second engine can be chosen for while its first one is silent gets an error that does not promise that it has not run', LIMIT, async (context) => {
  const gateway = await startGateway(context, '', (options) => ({ ...withOneChoice(options), ...withShortTarget(options) }))
  const { text } = await call()
  assert.match(text, /^HTTP\/1\.1 502 /)
  await assertReleased(gateway)
})

for (const [framing, answer] of [['with', FRAMED_STREAM], ['without', UNFRAMED_STREAM]] as const) {
  for (const version of ['1.0', '1.1']) {
    nodeTest.test(`a stream ${framing} framing that has begun doesn't look whole to a caller of HTTP/${version} if the handling of its call throws`, LIMIT, async (context) => {
      const gateway = await startGateway(context, answer, withOneChoice)
      const { text, errorCode } = await call(gateway.resetEngine, version)
      assert.ok(text.includes(EVENT))
      assert.ok(version === '1.0' ? errorCode === RESET : text.includes('Transfer-Encoding: chunked') && !text.endsWith('0\r\n\r\n'))
      await assertReleased(gateway)
    })
  }
}

nodeTest.test('a call with an event whose handling throws is served by its next attempt, and its process goes on', LIMIT, async (context) => {
  const gateway = await startGateway(context, WHOLE_STREAM, () => ({ errorBoundOf: () => ({ read: () => 0, note: throwFault }) }))
  const { text } = await call()
  assert.match(text, /^HTTP\/1\.1 200 /)
  assert.ok(text.endsWith(`${EVENT}\r\n0\r\n\r\n`))
  await assertReleased(gateway, 1)
})

nodeTest.test('a call with an event whose handling throws gets an error if it may not be repeated, and its process goes on', LIMIT, async (context) => {
  const gateway = await startGateway(context, WHOLE_STREAM, (options) => ({ ...withRoute({ kind: 'once', isResumable: false })(options), errorBoundOf: () => ({ read: () => 0, note: throwFault }) }))
  const { text } = await call()
  assert.match(text, /^HTTP\/1\.1 502 /)
  await assertReleased(gateway, 1)
})

for (const status of ['000', '099', '101']) {
  for (const isStream of [true, false]) {
    nodeTest.test(`a call whose engine answers with status ${status}, which is none of a final response, gets an error (${isStream ? 'stream' : 'plain'})`, LIMIT, async (context) => {
      const readAnswer: Options['protocol']['readAnswer'] = ({ statusCode = 0 }) => ({ kind: 'answered', status: statusCode, headers: [], isStream, version: null })
      const gateway = await startGateway(context, `HTTP/1.1 ${status} Odd\r\nContent-Length: ${EVENT.length}\r\n\r\n${EVENT}`, withProtocol({ readAnswer }))
      const { text } = await call()
      assert.match(text, /^HTTP\/1\.1 502 /)
      assert.deepEqual([gateway.handler.register.count(), gateway.countOpen(), gateway.countUnaborted(), gateway.loggedIds], [0, 0, 0, []])
    })
  }
}

const PLAIN = `Content-Length: ${EVENT.length}\r\n\r\n${EVENT}`
/** Responses of engines, and the statuses that their callers get. */
const ODD_ANSWERS: Readonly<Record<string, readonly [status: string, answer: string]>> = {
  'a control character in a header': ['502', `HTTP/1.1 200 OK\r\nX: a\x01b\r\n${PLAIN}`],
  'a header without a name': ['502', `HTTP/1.1 200 OK\r\n: a\r\n${PLAIN}`],
  'a folded header': ['502', `HTTP/1.1 200 OK\r\nX: a\r\n b\r\n${PLAIN}`],
  'two lengths': ['502', `HTTP/1.1 200 OK\r\nContent-Length: 1\r\n${PLAIN}`],
  'a head larger than is read': ['502', `HTTP/1.1 200 OK\r\nX: ${'a'.repeat(20_000)}\r\n${PLAIN}`],
  'a status of four digits': ['502', `HTTP/1.1 2000 OK\r\n${PLAIN}`],
  'another protocol': ['502', 'HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n'],
  'no HTTP': ['502', 'no HTTP\r\n\r\n'],
  'an interim response before the final one': ['200', `HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n${PLAIN}`],
  'a header beyond ASCII': ['200', `HTTP/1.1 200 \xe9\r\nX: \xe9\r\n${PLAIN}`],
  'a trailer': ['200', `HTTP/1.1 200 OK\r\nTrailer: X\r\nTransfer-Encoding: chunked\r\n\r\n${EVENT.length.toString(16)}\r\n${EVENT}\r\n0\r\nX: a\r\n\r\n`],
  'a status that is not registered': ['799', `HTTP/1.1 799 Odd\r\n${PLAIN}`],
  'no content': ['204', 'HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n']
}
for (const [kind, [status, answer]] of Object.entries(ODD_ANSWERS)) {
  nodeTest.test(`a call whose engine answers with ${kind} gets a whole answer`, LIMIT, async (context) => {
    for (const isStream of [true, false]) {
      await context.test(`${isStream ? 'stream' : 'plain'}, ${kind}`, async (part) => {
        const readAnswer: Options['protocol']['readAnswer'] = ({ statusCode = 0, rawHeaders }) => ({ kind: 'answered', status: statusCode, headers: rawHeaders.slice(0, rawHeaders[0] === 'X' ? 2 : 0), isStream: isStream && statusCode < 300, version: null })
        const gateway = await startGateway(part, answer, withProtocol({ readAnswer }))
        const { text, errorCode } = await call()
        assert.equal(text.slice(0, 'HTTP/1.1 200'.length), `HTTP/1.1 ${status}`)
        assert.equal(errorCode, null)
        assert.ok(status !== '200' || text.endsWith(isStream ? `${EVENT}\r\n0\r\n\r\n` : EVENT))
        assert.deepEqual([gateway.handler.register.count(), gateway.countOpen(), gateway.countUnaborted(), gateway.loggedIds], [0, 0, 0, []])
      })
    }
  })
}
