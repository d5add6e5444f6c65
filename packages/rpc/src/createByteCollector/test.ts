/** Guards against bounds of bytes that are no bounds of memory: a part of one byte keeps a buffer object, and whatever its slice lies in. */
import * as assert from 'node:assert/strict'
import * as crypto from 'node:crypto'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as rpc from '../index.js'

const MAXIMUM_BYTES = 300_000
const READ_BYTES = 65_536
const MINIMUM_HELD_BYTES = 1024

nodeTest.test('parts of one byte, each a slice of a whole read, are held in storage of at most the bound', () => {
  const told: number[] = []
  const collector = rpc.createByteCollector(MAXIMUM_BYTES, (heldBytes) => { told.push(heldBytes); return true })
  for (let index = 0; index < MAXIMUM_BYTES; index += 1) assert.equal(collector.append(Buffer.alloc(READ_BYTES, index % 251).subarray(7, 8)), 'collected')
  assert.equal(collector.readLength(), MAXIMUM_BYTES)
  assert.equal(collector.readHeldBytes(), MAXIMUM_BYTES)
  assert.ok(told.every((bytes) => bytes <= MAXIMUM_BYTES))
  assert.equal(told.at(-1), MAXIMUM_BYTES)
  const bytes = collector.take()
  assert.equal(bytes.buffer.byteLength, MAXIMUM_BYTES)
  assert.ok(bytes.every((byte, index) => byte === index % 251))
  assert.equal(collector.readHeldBytes(), 0)
})

nodeTest.test('the memory of parts of one byte is bounded by that of the process', { timeout: 60_000 }, () => {
  const before = process.memoryUsage()
  const collector = rpc.createByteCollector(16 * types.BYTES_IN_MEBIBYTE)
  const read = Buffer.alloc(READ_BYTES)
  for (let index = 0; index < 16 * types.BYTES_IN_MEBIBYTE; index += 1) collector.append(read.subarray(index % READ_BYTES, index % READ_BYTES + 1))
  const after = process.memoryUsage()
  assert.ok(after.heapUsed + after.arrayBuffers - before.heapUsed - before.arrayBuffers < 128 * types.BYTES_IN_MEBIBYTE)
})

nodeTest.test('the account is asked for at most twice what has arrived, and at least for the objects of a collector, before the memory is taken', () => {
  const told: number[] = []
  const collector = rpc.createByteCollector(Infinity, (heldBytes) => { told.push(heldBytes); return heldBytes <= 1_000_000 })
  assert.equal(collector.append(Buffer.alloc(1)), 'collected')
  assert.deepEqual(told, [MINIMUM_HELD_BYTES])
  let length = 1
  while (collector.append(Buffer.alloc(999)) === 'collected') {
    length += 999
    assert.ok(collector.readHeldBytes() <= 2 * length + MINIMUM_HELD_BYTES)
    assert.equal(collector.readHeldBytes(), told.at(-1))
  }
  assert.ok(length > 500_000 && length <= 1_000_000)
  assert.equal(collector.readHeldBytes(), 0, 'what is refused is released')
  assert.equal(collector.append(Buffer.alloc(1)), 'not-held')
})

nodeTest.test('a part that would exceed the bound releases everything', () => {
  const collector = rpc.createByteCollector(10)
  assert.equal(collector.append(Buffer.from('0123456789')), 'collected')
  assert.equal(collector.append(Buffer.alloc(0)), 'collected')
  assert.equal(collector.append(Buffer.from('x')), 'too-large')
  assert.equal(collector.readHeldBytes(), 0)
  assert.equal(collector.append(Buffer.alloc(0)), 'too-large')
})

nodeTest.test('a body of one part, several parts or none is handed over as it came', () => {
  for (const parts of [[], ['one'], ['one', 'two', '', 'three'.repeat(1000)]]) {
    const collector = rpc.createByteCollector(MAXIMUM_BYTES)
    for (const part of parts) collector.append(Buffer.from(part))
    assert.equal(collector.take().toString(), parts.join(''))
  }
})

nodeTest.test('the storage of a large body exceeds it by a block at most, and keeps all bytes in order', () => {
  const bytes = crypto.randomBytes(3_000_001)
  const blockBytes = 256 * types.BYTES_IN_KIBIBYTE
  const longestPart = 100_003
  let mostBeyond = 0
  let collected = 0
  const collector = rpc.createByteCollector(Infinity, (heldBytes) => {
    mostBeyond = Math.max(mostBeyond, heldBytes - collected)
    return true
  })
  for (let size = 1; collected < bytes.length; size = size * 7 % longestPart) {
    const part = bytes.subarray(collected, collected + size)
    assert.equal(collector.append(part), 'collected')
    collected += part.length
  }
  assert.ok(mostBeyond <= blockBytes + longestPart, `${mostBeyond} bytes`)
  assert.ok(collector.readHeldBytes() - bytes.length <= blockBytes)
  assert.ok(collector.take().equals(bytes))
  assert.equal(collector.readHeldBytes(), 0)
})
