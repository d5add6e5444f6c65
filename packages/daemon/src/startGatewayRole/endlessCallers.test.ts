/** Guards against a gateway that ends, or leaves other callers without answers, because callers send requests over their connections without end. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as workers from 'node:worker_threads'
import * as types from '@switchridge/types'
import * as fleetTesting from '../_lib/fleetTesting.js'
import * as programTesting from '../_lib/programTesting.js'

const HOST = '127.0.0.67'
const HEAP_MEGABYTES = 160
const MEMORY_MEGABYTES = 350
const BYTES_IN_MEGABYTE = 1_000_000
const OPTIONS = { timeout: 60_000 }
const OK = 200
const UNKNOWN_KEY = 'unknown'
const BODY_BYTES = 4_000_000
const DURATION_MS = 3000
const CALL_PAUSE_MS = 20
/** Of sound calls beside one faulty caller. */
const LATENCY_TARGET_MS = 500
const ANSWERED_TARGET = 0.99
/** Of the route of the sound calls; later answers would come after their deadlines. */
const ROUTE_TIMEOUT_MS = 2000
const SOUND_CALLERS = 8
/** Has engines of its own, so that faulty callers with a key take none of its places. */
const SOUND_SERVICE = { name: 'sound', path: '/open/stock' }

/** Sends from a thread of its own, so that neither the sound callers nor the engines of the test are delayed. */
const FAULTY_CALLERS = `
  const net = require('node:net')
  const { workerData: { host, port, connections, begin, block, isReading } } = require('node:worker_threads')
  const bytes = Buffer.from(block)
  function open () {
    const socket = net.connect(port, host, () => {
      socket.write(begin)
      send()
    })
    function send () { while (bytes.length > 0 && !socket.destroyed && socket.write(bytes)); }
    socket.on('drain', send)
    if (isReading) socket.resume()
    socket.on('error', () => {})
    socket.on('close', () => { setTimeout(open, 10) })
  }
  for (let connection = 0; connection < connections; connection += 1) open()
`

/** What a faulty caller sends over a connection. */
interface Shape {
  readonly name: string
  readonly begin: string
  /** Follows without end. */
  readonly block: string
  readonly isReading: boolean
  /** Server that it is sent to. */
  readonly port: keyof fleetTesting.TestPorts
}

function formatRequest (method: string, path: string, key: string, framing = ''): string {
  return `${method} ${path} HTTP/1.1\r\nHost: app.example\r\nAuthorization: Bearer ${key}\r\nRequest-Id: faulty\r\nDeadline-Remaining: 2000\r\n${framing}\r\n`
}

function createRequests (name: string, key: string, isReading: boolean, path = fleetTesting.PLAIN_SERVICE.path, port: Shape['port'] = 'callers'): Shape {
  const request = formatRequest('GET', path, key)
  return { name, begin: request, block: request.repeat(1000), isReading, port }
}

const SHAPES: readonly Shape[] = [
  createRequests('requests', fleetTesting.API_KEY, true),
  createRequests('requests whose answers they do not read', fleetTesting.API_KEY, false),
  createRequests('requests with an unknown key', UNKNOWN_KEY, true),
  createRequests('requests with an unknown key whose answers they do not read', UNKNOWN_KEY, false),
  createRequests('requests for metrics whose answers they do not read', UNKNOWN_KEY, false, '/metrics', 'control'),
  { name: 'bodies in chunks of one byte with an unknown key', begin: formatRequest('POST', fleetTesting.PLAIN_SERVICE.path, UNKNOWN_KEY, 'Transfer-Encoding: chunked\r\n'), block: '1\r\nx\r\n'.repeat(10_000), isReading: true, port: 'callers' },
  { name: 'bodies without their last byte', begin: formatRequest('POST', fleetTesting.PLAIN_SERVICE.path, fleetTesting.API_KEY, `Content-Length: ${BODY_BYTES}\r\n`) + 'x'.repeat(BODY_BYTES - 1), block: '', isReading: true, port: 'callers' }
]

function startFaultyCallers (context: nodeTest.TestContext, ports: fleetTesting.TestPorts, { begin, block, isReading, port }: Shape, connections: number): void {
  const worker = new workers.Worker(FAULTY_CALLERS, { eval: true, workerData: { host: HOST, port: ports[port], connections, begin, block, isReading } })
  context.after(async () => { await worker.terminate() })
}

/** Sends calls one after the other and returns how each ended, with its milliseconds. */
async function callSoundly (address: types.Address, caller: number): Promise<Array<{ status: number | null, ms: number }>> {
  const results = []
  const endsAt = performance.now() + DURATION_MS
  for (let turn = 0; performance.now() < endsAt; turn += 1) {
    const startedAt = performance.now()
    const status = await fleetTesting.call(address, { path: SOUND_SERVICE.path, id: `sound-${caller}-${turn}` }).then((answer) => answer.status, () => null)
    results.push({ status, ms: performance.now() - startedAt })
    await types.delay(CALL_PAUSE_MS)
  }
  return results
}

for (const shape of SHAPES) {
  for (const connections of [1, 64]) {
    nodeTest.test(`callers that send ${shape.name} over ${connections} connections end neither their gateway nor other calls`, OPTIONS, async (context) => {
      const fleet = await fleetTesting.createTestFleet(context)
      fleet.configure((configuration) => {
        configuration.limits.maxBodyBytes = BODY_BYTES
        const service = configuration.services.find(({ name }) => name === fleetTesting.PLAIN_SERVICE.name)
        configuration.services.push({ ...service, name: SOUND_SERVICE.name })
        for (const route of configuration.routes) if (route.name === 'open') route.service = SOUND_SERVICE.name
      })
      await fleet.startEngine({ id: 'i-1' }, fleetTesting.PLAIN_SERVICE.name)
      await fleet.startEngine({ id: 'i-2' }, SOUND_SERVICE.name)
      const settings = programTesting.formatGatewaySettings(fleet, HOST, `memory_megabytes = ${MEMORY_MEGABYTES}\n`)
      const program = programTesting.startProgram(context, settings, { nodeOptions: `--max-old-space-size=${HEAP_MEGABYTES}` })
      await program.waitForOutput('event=started')
      const callers = { host: HOST, port: fleet.ports.callers }
      for (const { path } of [fleetTesting.PLAIN_SERVICE, SOUND_SERVICE]) await fleet.waitForAnswer(callers, path, OK)
      startFaultyCallers(context, fleet.ports, shape, connections)
      const results = (await Promise.all(Array.from({ length: SOUND_CALLERS }, async (_, caller) => await callSoundly(callers, caller)))).flat()
      assert.equal(program.child.exitCode ?? program.child.signalCode, null, program.output().slice(-2000))
      const peakBytes = programTesting.readPeakMemoryBytes(program)
      const answered = results.filter(({ status }) => status === OK)
      const slowestMs = Math.max(...results.map(({ ms }) => ms))
      const inTime = answered.filter(({ ms }) => ms <= LATENCY_TARGET_MS)
      const seen = `${answered.length} of ${results.length} answered, ${inTime.length} in time, slowest ${Math.round(slowestMs)} ms, ${Math.round(peakBytes / BYTES_IN_MEGABYTE)} MB`
      context.diagnostic(seen)
      assert.ok(peakBytes < MEMORY_MEGABYTES * BYTES_IN_MEGABYTE, seen)
      if (connections === 1) assert.ok(inTime.length >= ANSWERED_TARGET * results.length, seen)
      else assert.ok(answered.length === results.length && slowestMs <= ROUTE_TIMEOUT_MS, seen)
    })
  }
}
