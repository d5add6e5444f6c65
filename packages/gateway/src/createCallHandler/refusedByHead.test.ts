/** Guards against callers without a valid key who cost memory and time, since the gateway reads and keeps bodies of calls that it has to refuse whatever they hold. */
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createHeldBytes from '../createHeldBytes/index.js'
import * as createCallerServer from '../createCallerServer/index.js'
import * as handlerTesting from '../_lib/handlerTesting.js'
import * as createCallHandler from './index.js'

const ADDRESS = { host: '127.0.0.49', port: 18_449 }
const LIMIT = { timeout: 20_000 }
const POLL_MS = 10
const WAIT_MS = 1000
const BODY_BYTES = 4 * types.BYTES_IN_MEBIBYTE
const REFUSED_BYTES = 64 * types.BYTES_IN_KIBIBYTE

type Options = createCallHandler.CallHandlerOptions

const table = { configuration: { limits: { maximumBodyBytes: Infinity } }, findRoute: () => ({ name: 'read', isPublic: false, splits: [], timeoutMs: WAIT_MS }), findService: () => null, findTenant: () => null, needsKeys: true }
const REFUSALS = [
  ['for an unknown key', 401, { routes: () => table }],
  ['without a route', 404, { routes: () => ({ ...table, findRoute: () => null }) }],
  ['before there is a configuration', 503, { routes: () => null }],
  ['that can not end before a draining gateway', 503, { routes: () => ({ ...table, needsKeys: false }) }]
] as const

interface Opened {
  readonly socket: net.Socket
  /** Resolves when the gateway ends the connection, and rejects if it resets it. */
  readonly ended: Promise<void>
  readonly heldBytes: createHeldBytes.HeldBytes
  readonly waitFor: (text: RegExp) => Promise<string>
}

async function openGateway (context: nodeTest.TestContext, change: unknown, isDraining: boolean): Promise<Opened> {
  const heldBytes = createHeldBytes.createHeldBytes({ maximumBytes: Infinity, now: () => 0 })
  const handler = createCallHandler.createCallHandler(handlerTesting.createHandlerOptions({}, {
    now: () => 0,
    heldBytes,
    sendAttempt: () => assert.fail('a refused call is not sent'),
    ...change as Partial<Options>
  }))
  const server = createCallerServer.createCallerServer(handler)
  await server.listen(ADDRESS)
  const socket = net.connect({ ...ADDRESS, allowHalfOpen: true })
  context.after(() => {
    socket.destroy()
    server.close()
  })
  let received = ''
  socket.on('data', (bytes: Buffer) => { received += bytes.toString('latin1') })
  const ended = new Promise<void>((resolve, reject) => {
    socket.once('end', resolve)
    socket.once('error', reject)
  })
  ended.catch(() => {})
  if (isDraining) handler.drain({ balancedUntil: -1, endsAt: 0 })
  return {
    socket,
    ended,
    heldBytes,
    waitFor: async (text) => {
      const deadline = performance.now() + WAIT_MS
      while (!text.test(received)) {
        assert.ok(performance.now() < deadline, `no ${String(text)} in: ${received}`)
        await types.delay(POLL_MS)
      }
      return received
    }
  }
}

function formatHead (headers: string): string {
  return `POST / HTTP/1.1\r\nHost: app.example\r\n${headers}\r\n`
}

for (const [name, status, change] of REFUSALS) {
  const isDraining = name.includes('draining')

  nodeTest.test(`a call ${name} is refused by its head, before its body has arrived`, LIMIT, async (context) => {
    const { waitFor, socket, ended, heldBytes } = await openGateway(context, change, isDraining)
    socket.write(formatHead(`Content-Length: ${BODY_BYTES}\r\n`))
    assert.match(await waitFor(new RegExp(`^HTTP/1.1 ${status} `)), /Connection: close/)
    socket.write(Buffer.alloc(BODY_BYTES))
    await ended
    assert.equal(heldBytes.read(), 0)
  })

  nodeTest.test(`a call ${name} that waits for the permission to send its body is refused without it`, LIMIT, async (context) => {
    const { waitFor, socket } = await openGateway(context, change, isDraining)
    socket.write(formatHead('Content-Length: 10\r\nExpect: 100-continue\r\n'))
    assert.match(await waitFor(/HTTP\/1.1 \d+ /), new RegExp(`^HTTP/1.1 ${status} [^]*Connection: close`))
  })

  nodeTest.test(`a call ${name} whose body has no end loses its connection after a bound`, LIMIT, async (context) => {
    const { waitFor, socket, ended } = await openGateway(context, change, isDraining)
    socket.write(formatHead('Transfer-Encoding: chunked\r\n'))
    await waitFor(new RegExp(`^HTTP/1.1 ${status} `))
    socket.write('1\r\nx\r\n'.repeat(REFUSED_BYTES / 4))
    await ended
  })
}

nodeTest.test('a call with an unknown key whose body is short keeps its connection', LIMIT, async (context) => {
  const { waitFor, socket } = await openGateway(context, { routes: () => table }, false)
  for (const [framing, body] of [['Content-Length: 10', 'x'.repeat(10)], ['Transfer-Encoding: chunked', '1\r\nx\r\n0\r\n\r\n']] as const) {
    socket.write(formatHead(`${framing}\r\n`) + body)
  }
  assert.match(await waitFor(/HTTP\/1.1 401 [^]*HTTP\/1.1 401 /), /^HTTP/)
  assert.equal(socket.readableEnded, false)
})
