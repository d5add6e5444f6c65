import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as createReceiveWindow from './index.js'

const PIECE_BYTES = 24_576
const LINK_BYTES_PER_SECOND = 640_000
const STEP_MS = 10

interface SimulatedLink {
  readonly window: createReceiveWindow.ReceiveWindow
  /** Simulates pieces of a source arriving at a rate in bytes per millisecond. */
  readonly receive: (source: string, rate: number, milliseconds: number) => void
}

function createSimulatedLink (): SimulatedLink {
  let now = 0
  const window = createReceiveWindow.createReceiveWindow({ pieceBytes: PIECE_BYTES, linkBytesPerSecond: LINK_BYTES_PER_SECOND, now: () => now })
  return {
    window,
    receive: (source, rate, milliseconds) => {
      const end = window.beginArrival()
      for (let passed = 0; passed < milliseconds; passed += STEP_MS) {
        now += STEP_MS
        window.recordBytes(source, rate * STEP_MS)
      }
      end()
    }
  }
}

function countFreeRequests (window: createReceiveWindow.ReceiveWindow): number {
  const ends: (() => void)[] = []
  while (window.hasRoom() && ends.length < 100) ends.push(window.request())
  for (const end of ends) end()
  return ends.length
}

nodeTest.test('a slow link allows one request, and a link that delivers pieces as fast as they are sent is not limited', () => {
  for (const [rate, room] of [[37, 1], [112, 1], [250, 2], [600, 100]] as const) {
    const { window, receive } = createSimulatedLink()
    receive('a', rate, 200)
    receive('b', rate, 200)
    assert.equal(countFreeRequests(window), room, `${rate} bytes a millisecond`)
  }
})

nodeTest.test('the measured fraction of a link is reported only where it is far below the nominal rate', () => {
  for (const [rate, part] of [[64, 0.1], [320, 1]] as const) {
    const { window, receive } = createSimulatedLink()
    receive('a', rate, 200)
    receive('b', rate, 200)
    assert.equal(window.linkFraction(), part)
  }
})

nodeTest.test('a single slow source is not taken for a slow link', () => {
  const { window, receive } = createSimulatedLink()
  receive('a', 37, 1000)
  assert.equal(window.linkFraction(), 1)
  assert.equal(window.queueMs(), 0)
  assert.ok(countFreeRequests(window) > 2)
})

nodeTest.test('a link that becomes fast again is no longer limited after one fast piece', () => {
  const { window, receive } = createSimulatedLink()
  receive('a', 112, 400)
  receive('b', 112, 400)
  assert.equal(countFreeRequests(window), 1)
  receive('a', 600, 50)
  assert.equal(countFreeRequests(window), 100)
})

nodeTest.test('time without an arriving piece, and bytes of abandoned pieces, are not measured', () => {
  const { window, receive } = createSimulatedLink()
  receive('a', 600, 20)
  receive('b', 0, 0)
  window.recordBytes('b', 1_000_000)
  receive('b', 112, 400)
  assert.equal(countFreeRequests(window), 1)
})

nodeTest.test('each request on a limited link adds the transfer time of one piece to the queue', () => {
  const { window, receive } = createSimulatedLink()
  receive('a', 64, 200)
  receive('b', 64, 200)
  window.request()
  assert.equal(window.queueMs(), PIECE_BYTES / 64)
})
