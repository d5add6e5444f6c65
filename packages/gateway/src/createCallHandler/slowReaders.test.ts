/** Guards against a gateway that ends for want of memory because callers read nothing of their responses, or engines nothing of the bodies that they are sent. */
import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import type * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as stream from 'node:stream'
import * as createHeldBytes from '../createHeldBytes/index.js'
import type * as sendAttempt from '../sendAttempt/index.js'
import * as handlerTesting from '../_lib/handlerTesting.js'
import * as createCallHandler from './index.js'

const CALLERS = 200
/** The process's memory, and the share of it that is held for callers. */
const PROCESS_BYTES = 128_000_000
const HELD_SHARE = 0.3
const MAXIMUM_BYTES = PROCESS_BYTES * HELD_SHARE
/** The largest part that a connection delivers at a time. */
const PART_BYTES = 65_536
/** Parts held for a caller that reads nothing: one in the response, one that the engine's response has read ahead, and one on its way. */
const PARTS_PER_CALLER = 3
/** After so much an engine sends nothing more. */
const STREAM_BYTES = 100 * PART_BYTES
const BODY_BYTES = 400_000
const HEAD_BYTES = 200
const SETTLE_TURNS = 400
const SERVICE_UNAVAILABLE = 503
const EVENT_TIMEOUT_MS = 60_000

interface Caller {
  readonly response: http.ServerResponse
  /** What was sent to the caller. */
  readonly received: () => string
  /** Lets the caller read what waits for it, and everything after. */
  readonly read: () => void
}

interface Fixture {
  time: number
  readonly held: createHeldBytes.HeldBytes
  readonly sendCall: (body: Buffer | null) => Caller
  /** Bytes taken from the engine for each attempt. */
  readonly taken: number[]
  readonly attempts: () => number
  readonly aborted: () => number
  readonly events: string[]
}

/** Creates a handler whose engine sends long streams without an end, or reads nothing and never answers. */
function createFixture (engine: 'long' | 'deaf', maximumBytes: number, isResumable = false): Fixture {
  const taken: number[] = []
  const events: string[] = []
  let aborted = 0
  const fixture = { time: 0 }
  const held = createHeldBytes.createHeldBytes({ maximumBytes, now: () => fixture.time })

  function startAttempt (): sendAttempt.Attempt {
    const index = taken.push(0) - 1
    const event = Buffer.from(`id: 1\ndata: ${'x'.repeat(PART_BYTES - 14)}\n\n`)
    const response = new stream.Readable({
      highWaterMark: PART_BYTES,
      read () {
        if (taken[index] as number >= STREAM_BYTES) return
        taken[index] = (taken[index] as number) + event.length
        this.push(event)
      }
    })
    const start = engine === 'deaf' ? new Promise<sendAttempt.AttemptStart>(() => {}) : Promise.resolve({ kind: 'answer', response: response as http.IncomingMessage, isFramed: true, isWhole: () => true } as const)
    return { start, abort: () => { if (!response.destroyed) { aborted += 1; response.destroy() } } }
  }

  const handler = createCallHandler.createCallHandler(handlerTesting.createHandlerOptions({ isResumable }, {
    heldBytes: held,
    sendAttempt: startAttempt,
    logger: { info: () => {}, warn: (event: string) => { events.push(event) }, error: (event: string, fields: unknown) => { events.push(`${event} ${JSON.stringify(fields)}`) } } as unknown as createCallHandler.CallHandlerOptions['logger'],
    now: () => fixture.time
  }))

  function sendCall (body: Buffer | null): Caller {
    let received = ''
    let isReading = false
    let readNext = (): void => {}
    const socket = new stream.Duplex({
      read () {},
      write (bytes: Buffer, _encoding, done) {
        if (received.length < HEAD_BYTES) received += bytes.toString('latin1', 0, HEAD_BYTES)
        if (isReading || engine === 'deaf') done()
        else readNext = done
      }
    })
    socket.on('error', () => {})
    const request = Object.assign(stream.Readable.from(body === null ? [] : [body]), { headers: body === null ? {} : { 'content-length': String(body.length) }, socket, complete: true, httpVersionMajor: 1, httpVersionMinor: 1, method: 'POST' }) as unknown as http.IncomingMessage
    const response = new http.ServerResponse(request)
    response.assignSocket(socket as net.Socket)
    // A server passes this event on.
    socket.on('drain', () => { response.emit('drain') })
    handler.handle(request, response)
    return {
      response,
      received: () => received,
      read: () => {
        isReading = true
        readNext()
      }
    }
  }

  return Object.assign(fixture, { held, sendCall, taken, attempts: () => taken.length, aborted: () => aborted, events })
}

async function settle (): Promise<void> {
  for (let turn = 0; turn < SETTLE_TURNS; turn += 1) await new Promise((resolve) => { setImmediate(resolve) })
}

nodeTest.test('callers that read nothing of long streams make the gateway hold a few parts each, within the bound', async (context) => {
  const fixture = createFixture('long', MAXIMUM_BYTES)
  for (let caller = 0; caller < CALLERS; caller += 1) fixture.sendCall(null)
  await settle()
  const takenBytes = fixture.taken.reduce((sum, bytes) => sum + bytes, 0)
  context.diagnostic(`${CALLERS} callers: ${takenBytes} bytes taken from engines, ${fixture.held.read()} of them unread in responses`)
  assert.equal(fixture.attempts(), CALLERS)
  assert.ok(Math.max(...fixture.taken) <= PARTS_PER_CALLER * PART_BYTES)
  assert.ok(fixture.held.read() <= takenBytes && fixture.held.read() > 0)
  assert.ok(takenBytes <= CALLERS * PARTS_PER_CALLER * PART_BYTES)
  assert.deepEqual(fixture.events, [])
})

nodeTest.test('if they exceed the bound, those that have not read for longest are dropped, and their engines are freed', async () => {
  const fixture = createFixture('long', MAXIMUM_BYTES / 10)
  const callers: Caller[] = []
  for (let caller = 0; caller < CALLERS; caller += 1) {
    callers.push(fixture.sendCall(null))
    fixture.time += 100
    await settle()
    assert.ok(fixture.held.read() <= MAXIMUM_BYTES / 10)
  }
  const dropped = callers.filter(({ response }) => response.destroyed).length
  assert.ok(dropped > CALLERS / 2)
  assert.deepEqual(callers.map(({ response }) => response.destroyed), callers.map((_, index) => index < dropped))
  assert.equal(fixture.events.filter((event) => event === 'call-dropped').length, dropped)
  assert.equal(fixture.aborted(), dropped)
})

nodeTest.test('bodies that engines do not read are held up to the bound, and further ones are refused at once as not run', async (context) => {
  const fixture = createFixture('deaf', MAXIMUM_BYTES)
  const callers: Caller[] = []
  for (let caller = 0; caller < CALLERS; caller += 1) {
    callers.push(fixture.sendCall(Buffer.alloc(BODY_BYTES)))
    fixture.time += 100
    await settle()
  }
  const refused = callers.filter(({ received }) => received().startsWith(`HTTP/1.1 ${SERVICE_UNAVAILABLE}`))
  context.diagnostic(`${fixture.held.read()} of ${MAXIMUM_BYTES} bytes held, ${refused.length} of ${CALLERS} calls refused`)
  assert.ok(fixture.held.read() <= MAXIMUM_BYTES && fixture.held.read() > MAXIMUM_BYTES - BODY_BYTES)
  assert.equal(refused.length, CALLERS - Math.floor(MAXIMUM_BYTES / BODY_BYTES))
  assert.equal(fixture.attempts(), CALLERS - refused.length)
  assert.equal(fixture.aborted(), 0)
})

/** Guards against a healthy engine that counts as failed, and another one that runs the call again, because the caller doesn't read. */
nodeTest.test('a caller that does not read is not taken for an engine that sends nothing', async (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const fixture = createFixture('long', MAXIMUM_BYTES, true)
  const caller = fixture.sendCall(null)
  await settle()
  context.mock.timers.tick(EVENT_TIMEOUT_MS)
  await settle()
  assert.equal(fixture.attempts(), 1)
  assert.equal(fixture.aborted(), 0)
  caller.read()
  await settle()
  assert.deepEqual(fixture.taken, [STREAM_BYTES])
  context.mock.timers.tick(EVENT_TIMEOUT_MS)
  await settle()
  assert.equal(fixture.aborted(), 1, 'an engine that sends nothing to a caller that reads is noticed')
})
