import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as createLogger from '../createLogger/index.js'
import * as createLineWriter from './index.js'

const LINES = 20_000
const LINE = 'x'.repeat(300)
const MAXIMUM_BYTES = 1_000_000 + 1000

nodeTest.test('a log reader that reads nothing costs a bounded amount of memory, and is told how many lines it missed', () => {
  const written: string[] = []
  const output = { write: (text: string) => { written.push(text) }, writableLength: 0 }
  const stuck = { write: (text: string) => { stuck.writableLength += text.length }, writableLength: 0 }
  const write = createLineWriter.createLineWriter(stuck)
  for (let index = 0; index < LINES; index += 1) write(LINE)
  assert.ok(stuck.writableLength <= MAXIMUM_BYTES)
  stuck.write = output.write
  stuck.writableLength = 0
  write('next')
  write('after')
  assert.equal(written.length, 3)
  assert.match(written[0] ?? '', /^level=warn event=log-lines-dropped count=1\d{4}\n$/)
  assert.deepEqual(written.slice(1), ['next\n', 'after\n'])
})

nodeTest.test('a logger without an output of its own queues a bounded amount for standard error', (context) => {
  let queuedBytes = 0
  const write = context.mock.method(process.stderr, 'write', (text: string) => { queuedBytes += text.length })
  Object.defineProperty(process.stderr, 'writableLength', { configurable: true, get: () => queuedBytes })
  const logger = createLogger.createLogger('stuck reader')
  for (let index = 0; index < LINES; index += 1) logger.info('call', { id: LINE })
  write.mock.restore()
  Reflect.deleteProperty(process.stderr, 'writableLength')
  assert.ok(queuedBytes <= MAXIMUM_BYTES)
})
