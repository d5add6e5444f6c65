import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as createLogger from '../createLogger/index.js'
import * as createIdleCloseLog from './index.js'

nodeTest.test('an idle connection whose limit was noticed late, or that had received bytes, is logged with the configuration in force', () => {
  const lines: string[] = []
  const counted: string[] = []
  const logger = { warn: (event: string, fields: unknown) => { lines.push(`${event} ${JSON.stringify(fields)}`) } } as unknown as createLogger.Logger
  const log = createIdleCloseLog.createIdleCloseLog({ logger, count: (name, { late }) => { counted.push(`${name} ${late ?? ''}`) }, readConfiguration: () => 7 })
  log({ idleMs: 1000.4, lateMs: 0.4, receivedBytes: 0 })
  log({ idleMs: 1100, lateMs: 100.2, receivedBytes: 0 })
  log({ idleMs: 1000, lateMs: 0, receivedBytes: 3 })
  assert.deepEqual(lines, [
    'connection-closed-idle {"idleMs":1100,"lateMs":100,"receivedBytes":0,"configuration":7}',
    'connection-closed-idle {"idleMs":1000,"lateMs":0,"receivedBytes":3,"configuration":7}'
  ])
  assert.deepEqual(counted, ['connections_closed_idle false', 'connections_closed_idle true', 'connections_closed_idle false'])
})
