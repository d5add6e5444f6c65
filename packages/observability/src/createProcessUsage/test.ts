import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createProcessUsage from './index.js'

const BLOCKED_MS = 100
const RESOLUTION_MS = 50
const MEBIBYTE = 1024 * 1024

nodeTest.test('a turn that blocks the event loop is reported once', async (context) => {
  const usage = createProcessUsage.createProcessUsage()
  context.after(usage.stop)
  await types.delay(2 * RESOLUTION_MS)
  const blockedUntil = performance.now() + BLOCKED_MS
  while (performance.now() < blockedUntil);
  await types.delay(2 * RESOLUTION_MS)
  assert.ok(usage.readLongestTurnMs() >= BLOCKED_MS)
  assert.equal(usage.readLongestTurnMs(), 0)
})

nodeTest.test('the gauges of a process are its resident memory, its heap, its buffers and its longest turn', () => {
  const gauges = new Map<string, () => number>()
  let resets = 0
  const usage = createProcessUsage.createProcessUsage({ max: 250e6, reset: () => { resets += 1 }, disable: () => true })
  createProcessUsage.gaugeProcessUsage(usage, (name, read) => { gauges.set(name, read) })
  const before = gauges.get('buffer_bytes')?.() ?? NaN
  const buffer = Buffer.alloc(MEBIBYTE)
  assert.ok((gauges.get('buffer_bytes')?.() ?? NaN) >= before + buffer.length)
  assert.ok((gauges.get('heap_used_bytes')?.() ?? NaN) > MEBIBYTE)
  assert.ok((gauges.get('resident_memory_bytes')?.() ?? NaN) > (gauges.get('heap_used_bytes')?.() ?? NaN))
  assert.equal(gauges.get('longest_turn_ms')?.(), 250)
  assert.equal(resets, 1)
})
