/** Guards against answers that are cut because a process that ends takes them for delivered once they were handed over. */
import * as assert from 'node:assert/strict'
import * as childProcess from 'node:child_process'
import * as nodeTest from 'node:test'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as fleetTesting from './_lib/fleetTesting.js'
import * as plainHall from './_lib/plainHall.js'
import * as programTesting from './_lib/programTesting.js'
import * as unreadCall from './_lib/unreadCall.js'

const HOST = '127.0.0.23'
const GATEWAY_HOST = '127.0.0.24'
const PATH = '/read/stock'
const OK = 200
const LIMIT = { timeout: 60_000 }
const CALLERS = 4
const PIECES = 4
/** More than the kernel's buffers take for a caller that doesn't read. */
const BIG_ANSWER_BYTES = 16_000_000
/** The kernel's buffers take all of it. */
const SMALL_ANSWER_BYTES = 1_000_000
const ANSWER_BYTES: Readonly<Record<string, number>> = { '/big': BIG_ANSWER_BYTES, '/small': SMALL_ANSWER_BYTES }
const NEXT_REQUEST = 'GET /read/stock HTTP/1.1\r\nHost: app.example\r\n\r\n'

const SLOW_BYTES_PER_SECOND = 3_000_000
/** Longer than the time after which a caller that reads nothing counts as stalled. */
const SLOW_MS = 1500

interface OpenedGateway {
  readonly program: programTesting.StartedProgram
  readonly callers: types.Address
  readonly engine: testing.EngineStandIn
  readonly open: (id: string) => Promise<unreadCall.UnreadCall>
}

async function openGateway (context: nodeTest.TestContext, answerBytes: number, graceSeconds: number, limits = ''): Promise<OpenedGateway> {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const engine = await fleet.startEngine({ id: 'i-1', plainAnswer: 'x'.repeat(answerBytes) }, 'api')
  const program = programTesting.startProgram(context, programTesting.formatGatewaySettings(fleet, HOST, `grace_seconds = ${graceSeconds}\n${limits}`))
  const callers = { host: HOST, port: fleet.ports.callers }
  await program.waitForOutput('event=started')
  await fleet.waitForAnswer(callers, PATH, OK)
  return {
    program,
    callers,
    engine,
    open: async (id) => await unreadCall.openUnreadCall(callers, PATH, formatHeaders(id))
  }
}

function formatHeaders (id: string): Record<string, string> {
  return { host: 'app.example', 'request-id': id, 'deadline-remaining': '3000', authorization: `Bearer ${fleetTesting.API_KEY}` }
}

nodeTest.test('a gateway ends no sooner than the answers that its callers still read', LIMIT, async (context) => {
  const { program, callers, open } = await openGateway(context, BIG_ANSWER_BYTES, 20)
  const calls = await Promise.all(Array.from({ length: CALLERS }, async (_, caller) => await open(`slow-${caller}`)))
  program.child.kill('SIGTERM')
  await unreadCall.waitUntilRefused(callers)
  assert.deepEqual(await Promise.all(calls.map(async ({ readOn }) => await readOn())), calls.map(() => BIG_ANSWER_BYTES))
  assert.equal(await program.ended, 0)
  assert.doesNotMatch(program.output(), /event=call-cut/)
})

nodeTest.test('a gateway that ends cuts no answer of a caller whose next request crosses the end of the connection', LIMIT, async (context) => {
  const { program, callers, open } = await openGateway(context, SMALL_ANSWER_BYTES, 20)
  const call = await open('crossing')
  program.child.kill('SIGTERM')
  await unreadCall.waitUntilRefused(callers)
  call.socket.write(NEXT_REQUEST)
  assert.equal(await call.readOn(), SMALL_ANSWER_BYTES)
  assert.equal(await program.ended, 0)
})

nodeTest.test('a gateway whose caller reads no more ends with its grace period and logs the call as cut', LIMIT, async (context) => {
  const { program, open } = await openGateway(context, BIG_ANSWER_BYTES, 4)
  await open('stalled')
  program.child.kill('SIGTERM')
  assert.equal(await program.ended, 0)
  assert.match(program.output(), /event=drain-ended-early .*delivering=1 /)
  assert.match(program.output(), /event=call-cut .*id=stalled phase=delivering .*reason=grace-over/)
})

nodeTest.test('an answer that its caller does not wait for is not counted as answered', LIMIT, async (context) => {
  const { program, open } = await openGateway(context, BIG_ANSWER_BYTES, 20)
  const { socket } = await open('leaving')
  program.child.kill('SIGTERM')
  await program.waitForOutput('event=drain-began')
  socket.destroy()
  assert.equal(await program.ended, 0)
  assert.match(program.output(), /event=drain-ended .*left=1/)
})

interface StartedCaller {
  readonly child: childProcess.ChildProcess
  readonly output: () => string
  readonly ended: Promise<unknown>
}

/** Starts a program that calls the gateway; it gets the address, the path and the headers of the call, and further arguments. */
function startCaller (context: nodeTest.TestContext, program: string, { host, port }: types.Address, id: string, ...rest: string[]): StartedCaller {
  const child = childProcess.spawn(process.execPath, ['-e', program, host, String(port), PATH, JSON.stringify(formatHeaders(id)), ...rest], { stdio: ['ignore', 'pipe', 'inherit'] })
  context.after(() => { child.kill('SIGKILL') })
  let output = ''
  child.stdout.on('data', (bytes: Buffer) => { output += bytes.toString() })
  return { child, output: () => output, ended: new Promise((resolve) => { child.once('close', resolve) }) }
}

/** Stops itself once the head of the answer has arrived; once it goes on, prints how the answer ended. A paused socket of Node.js would take a reset for an end. */
const BLOCKED_CALLER = `
  require('http').get({ host: process.argv[1], port: process.argv[2], path: process.argv[3], headers: JSON.parse(process.argv[4]), agent: false }, (response) => {
    let size = 0
    response.socket.once('error', () => { console.log('reset') })
    response.on('data', (bytes) => { size += bytes.length })
    response.on('close', () => { console.log('closed', response.complete, size) })
    response.on('error', () => {})
    require('fs').writeSync(1, 'head\\n')
    process.kill(process.pid, 'SIGSTOP')
  }).on('error', () => {})`

for (const signal of ['SIGTERM', 'SIGQUIT'] as const) {
  nodeTest.test(`an answer without framing that a gateway cuts after ${signal} does not look complete`, LIMIT, async (context) => {
    const { program, engine, callers } = await openGateway(context, BIG_ANSWER_BYTES, 4)
    Object.assign(engine.faults, { next: 'unframed', count: 1 })
    const caller = startCaller(context, BLOCKED_CALLER, callers, 'unframed')
    await fleetTesting.waitWithLimit(async () => caller.output().includes('head'))
    program.child.kill(signal)
    await program.ended
    caller.child.kill('SIGCONT')
    await caller.ended
    assert.match(caller.output(), /reset/)
  })
}

/** Reads an answer at a steady rate in a process of its own, since a caller whose process stalls counts as one that reads nothing. Prints how the answer ended. */
const SLOW_CALLER = `
  require('http').get({ host: process.argv[1], port: process.argv[2], path: process.argv[3], headers: JSON.parse(process.argv[4]), agent: false }, (response) => {
    let size = 0
    console.log('head')
    response.on('data', (bytes) => {
      size += bytes.length
      response.pause()
      setTimeout(() => { response.resume() }, bytes.length * 1000 / Number(process.argv[5]))
    })
    response.on('error', () => {})
    response.on('close', () => { console.log('closed', response.complete, size) })
  }).on('error', () => {})`

nodeTest.test('a caller that reads an answer slowly keeps its connection when memory becomes short', LIMIT, async (context) => {
  const { program, callers, open } = await openGateway(context, BIG_ANSWER_BYTES, 20, 'memory_megabytes = 128\nheld_share = 0.15\n')
  const caller = startCaller(context, SLOW_CALLER, callers, 'slow', String(SLOW_BYTES_PER_SECOND))
  await fleetTesting.waitWithLimit(async () => caller.output().includes('head'))
  await types.delay(SLOW_MS)
  const other = await open('other')
  await caller.ended
  assert.match(caller.output(), new RegExp(`closed true ${BIG_ANSWER_BYTES}\n`), program.output())
  assert.equal(await other.readOn(), BIG_ANSWER_BYTES)
})

interface OpenedEntry {
  readonly program: programTesting.StartedProgram
  readonly callers: types.Address
}

async function openHall (context: nodeTest.TestContext): Promise<plainHall.PlainHall> {
  return await plainHall.openPlainHall(context, (request, response) => {
    request.resume()
    response.end(Buffer.alloc(ANSWER_BYTES[request.url ?? ''] ?? 0))
  })
}

async function waitUntilServed (hall: plainHall.PlainHall, callers: types.Address): Promise<void> {
  await hall.addService()
  await fleetTesting.waitWithLimit(async () => {
    const probe = await unreadCall.openUnreadCall(callers, '/services/api/probe', {})
    await probe.readOn()
    return probe.status === OK
  })
}

/** Starts an entry node as a process of its own, and the daemon of a backend server in this one. */
async function openEntry (context: nodeTest.TestContext): Promise<OpenedEntry> {
  const hall = await openHall(context)
  const program = programTesting.startProgram(context, hall.formatSettings())
  await program.waitForOutput('event=started')
  const [, port, callerPort] = /event=started .*port=(\d+) callerPort=(\d+)/.exec(program.output()) ?? []
  const callers = { host: types.LOOPBACK_HOST, port: Number(callerPort) }
  await hall.startBackend({ address: { host: types.LOOPBACK_HOST, port: Number(port) } })
  await waitUntilServed(hall, callers)
  return { program, callers }
}

nodeTest.test('an entry node ends no sooner than the answers that its callers still read', LIMIT, async (context) => {
  const { program, callers } = await openEntry(context)
  const calls = await Promise.all(Array.from({ length: CALLERS }, async () => await unreadCall.openUnreadCall(callers, '/services/api/big', {})))
  program.child.kill('SIGTERM')
  await unreadCall.waitUntilRefused(callers)
  assert.deepEqual(await Promise.all(calls.map(async ({ readOn }) => await readOn())), calls.map(() => BIG_ANSWER_BYTES))
  assert.equal(await program.ended, 0)
  assert.doesNotMatch(program.output(), /event=call-cut/)
})

nodeTest.test('an entry node that ends cuts no answer of a caller whose next request crosses the end of the connection', LIMIT, async (context) => {
  const { program, callers } = await openEntry(context)
  const call = await unreadCall.openUnreadCall(callers, '/services/api/small', {})
  program.child.kill('SIGTERM')
  await unreadCall.waitUntilRefused(callers)
  call.socket.write(NEXT_REQUEST)
  assert.equal(await call.readOn(), SMALL_ANSWER_BYTES)
  assert.equal(await program.ended, 0)
})

nodeTest.test('a daemon of a backend server ends no sooner than the answers that entry nodes still read', LIMIT, async (context) => {
  const hall = await openHall(context)
  const entry = await hall.startEntry()
  const program = programTesting.startProgram(context, hall.formatSettings(entry))
  const callers = entry.callerAddress as types.Address
  await waitUntilServed(hall, callers)
  const calls = await Promise.all(Array.from({ length: CALLERS }, async () => await unreadCall.openUnreadCall(callers, '/services/api/big', {})))
  program.child.kill('SIGTERM')
  await program.waitForOutput('event=drain-began')
  assert.deepEqual(await Promise.all(calls.map(async ({ readOn }) => await readOn())), calls.map(() => BIG_ANSWER_BYTES))
  assert.equal(await program.ended, 0)
  assert.doesNotMatch(program.output(), /event=call-cut/)
})

nodeTest.test('an agent ends no sooner than the pieces that it sends', LIMIT, async (context) => {
  const fleet = await fleetTesting.createTestFleet(context, PIECES)
  fleet.configure()
  const engine = await fleet.startEngine({ id: 'i-1', model: fleetTesting.MODEL, version: 0, digestsOf: fleet.origin.digestsOf })
  await fleet.startGateway(GATEWAY_HOST)
  const program = programTesting.startProgram(context, programTesting.formatAgentSettings(fleet, HOST, engine.address, GATEWAY_HOST, 'link_megabits_per_second = 0.02\n'))
  await fleetTesting.waitWithLimit(async () => engine.version() === 1)
  const pieces = Array.from({ length: PIECES }, async (_, piece) => await fleetTesting.call({ host: HOST, port: fleet.ports.internal }, { path: `/pieces/${fleetTesting.MODEL}/1/${piece}`, id: `piece-${piece}` }))
  await Promise.race(pieces)
  program.child.kill('SIGTERM')
  const areWhole = (await Promise.all(pieces)).map(({ body }, piece) => body === fleet.origin.pieceOf(1, piece).toString())
  assert.deepEqual(areWhole, pieces.map(() => true))
  assert.equal(await program.ended, 0)
})
