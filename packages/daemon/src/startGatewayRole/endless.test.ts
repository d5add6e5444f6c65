/** Guards against gateways that exceed their memory, or hold calls for ever, because an engine answers with bytes without end. */
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as fleetTesting from '../_lib/fleetTesting.js'
import * as programTesting from '../_lib/programTesting.js'

const HOST = '127.0.0.58'
const OPTIONS = { timeout: 60_000 }
const ENGINES = 4
/** More than the engines get at a time. */
const CALLS = 80
/** The memory of a gateway's machine. */
const MAXIMUM_GATEWAY_BYTES = 350_000_000
const PART = 'x'.repeat(65_536)
const BAD_GATEWAY = 502
const UNAVAILABLE = 503
const GATEWAY_TIMEOUT = 504

interface EndlessCase {
  readonly name: string
  readonly service: fleetTesting.TestService
  /** Begin of the answer to a call, with its head. */
  readonly begin: (id: string) => string
  readonly part: string
  /** Reason of a failed attempt in the log. */
  readonly reason: RegExp
}

function formatHead (id: string, headers: string): string {
  return `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nengine-seal: seal\r\n${headers}\r\n`
}

const EVENT_STREAM = 'content-type: text/event-stream\r\n'
const CHUNK = `10000\r\n${PART}\r\n`
const CASES: readonly EndlessCase[] = [
  { name: 'a whole answer in chunks', service: fleetTesting.PLAIN_SERVICE, begin: (id) => formatHead(id, 'transfer-encoding: chunked\r\n'), part: CHUNK, reason: /no memory for the answer|answer exceeds 16777216 bytes/ },
  { name: 'a whole answer without framing', service: fleetTesting.PLAIN_SERVICE, begin: (id) => formatHead(id, ''), part: PART, reason: /no memory for the answer|answer exceeds 16777216 bytes/ },
  { name: 'an event', service: fleetTesting.STREAM_SERVICE, begin: (id) => `${formatHead(id, `${EVENT_STREAM}transfer-encoding: chunked\r\n`)}d\r\nid: 1\ndata: x\r\n`, part: CHUNK, reason: /event exceeds 1048576 bytes/ },
  { name: 'a head', service: fleetTesting.PLAIN_SERVICE, begin: () => 'HTTP/1.1 200 OK\r\n', part: 'x-header: value\r\n'.repeat(1000), reason: /Header overflow/ },
  { name: 'interim responses', service: fleetTesting.PLAIN_SERVICE, begin: () => '', part: 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(1000), reason: /head of the answer exceeds 65536 bytes/ },
  { name: 'a trailer', service: fleetTesting.PLAIN_SERVICE, begin: (id) => `${formatHead(id, 'transfer-encoding: chunked\r\n')}0\r\n`, part: 'x-trailer: value\r\n'.repeat(1000), reason: /answer broken/ },
  { name: 'bytes that are not HTTP', service: fleetTesting.PLAIN_SERVICE, begin: () => '', part: PART, reason: /Parse Error/ }
]

/** Starts a back end that answers each call with the same part over and over. */
async function startEndlessEngine (context: nodeTest.TestContext, begin: EndlessCase['begin'], part: string): Promise<types.Address> {
  const sockets = new Set<net.Socket>()
  const server = net.createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('close', () => { sockets.delete(socket) })
    socket.once('data', (bytes: Buffer) => {
      socket.write(begin(/^request-id: (.*?)\r$/im.exec(bytes.toString())?.[1] ?? ''))
      send()
      socket.on('drain', send)
    })

    function send (): void {
      while (!socket.destroyed && socket.write(part));
    }
  })
  await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
  context.after(() => {
    server.close()
    for (const socket of sockets) socket.destroy()
  })
  return { host: types.LOOPBACK_HOST, port: (server.address() as net.AddressInfo).port }
}

interface OpenedGateway {
  readonly callers: types.Address
  readonly program: programTesting.StartedProgram
}

/** Starts a gateway whose service has back ends that all answer without end. */
async function openGateway (context: nodeTest.TestContext, { service, begin, part }: Pick<EndlessCase, 'service' | 'begin' | 'part'>, isResumable = true): Promise<OpenedGateway> {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure((configuration) => {
    for (const route of configuration.routes) Object.assign(route, { maxAttempts: 1, resumable: isResumable && testing.isStreamRoute(route) })
  })
  const model = service.engine.model === undefined ? undefined : { name: service.engine.model, version: service.engine.version ?? 0 }
  for (let index = 0; index < ENGINES; index += 1) {
    const engine = await fleet.startEngine({ id: `i-${index}`, ...service.engine }, service.name)
    const address = await startEndlessEngine(context, begin, part)
    fleet.store.put('servers', `i-${index}`, testing.describeEngine({ ...engine, address }, service.name, 'zone-a', model))
  }
  const program = programTesting.startProgram(context, programTesting.formatGatewaySettings(fleet, HOST, 'memory_megabytes = 350\n'))
  await program.waitForOutput('event=started')
  await fleet.waitUntilReady(HOST)
  return { callers: { host: HOST, port: fleet.ports.callers }, program }
}

for (const endless of CASES) {
  nodeTest.test(`${endless.name} without end: callers get an answer, and the gateway keeps within its memory`, OPTIONS, async (context) => {
    const { callers, program } = await openGateway(context, endless)
    const answers = await Promise.all(Array.from({ length: CALLS }, async (_, call) => await fleetTesting.callService(callers, endless.service, `call-${call}`)))
    const peakBytes = programTesting.readPeakMemoryBytes(program)
    assert.ok(peakBytes < MAXIMUM_GATEWAY_BYTES, `${peakBytes} bytes`)
    for (const { status } of answers) assert.ok(status === BAD_GATEWAY || status === UNAVAILABLE || status === GATEWAY_TIMEOUT, `status ${status}`)
    assert.match(program.output(), endless.reason)
  })
}

nodeTest.test('streams without end whose callers read nothing: the gateway holds little of them, and ends them when their time is over', OPTIONS, async (context) => {
  const begin = (id: string): string => formatHead(id, `${EVENT_STREAM}transfer-encoding: chunked\r\n`)
  const { callers, program } = await openGateway(context, { service: fleetTesting.STREAM_SERVICE, begin, part: CHUNK }, false)
  const sockets = Array.from({ length: CALLS }, (_, call) => {
    const socket = net.connect(callers.port, callers.host)
    context.after(() => { socket.destroy() })
    socket.on('error', () => {})
    const headers = Object.entries({ host: 'app.example', 'request-id': `call-${call}`, 'deadline-remaining': '2000', authorization: `Bearer ${fleetTesting.API_KEY}`, ...testing.formatModelHeaders(fleetTesting.MODEL) })
    socket.write(`GET ${fleetTesting.STREAM_SERVICE.path} HTTP/1.1\r\n${headers.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`)
    return socket
  })
  await fleetTesting.waitUntil(() => (program.output().match(/event=call /g) ?? []).length >= CALLS)
  const peakBytes = programTesting.readPeakMemoryBytes(program)
  assert.ok(peakBytes < MAXIMUM_GATEWAY_BYTES, `${peakBytes} bytes`)
  assert.ok(sockets.length === CALLS && program.child.exitCode === null)
})
