import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as createLogger from './index.js'

test.describe('createLogger', () => {
  test.it('writes one line of key=value pairs, quotes values with spaces and hides secrets', () => {
    const lines: string[] = []
    const logger = createLogger.createLogger('test-lines', { node: 'cluj-1' }, { write: (line) => lines.push(line) })
    logger.info('refused', { reason: 'slots full', apiKey: 'abc', count: 3 })
    assert.equal(lines.length, 1)
    assert.match(lines[0] ?? '', /^time=\S+ level=info event=refused node=cluj-1 reason="slots full" apiKey=\(hidden\) count=3$/)
  })

  test.it('drops events below its level', () => {
    const lines: string[] = []
    const logger = createLogger.createLogger('test-level', {}, { level: 'warn', write: (line) => lines.push(line) })
    logger.info('quiet')
    logger.warn('loud')
    assert.equal(lines.length, 1)
  })
})
