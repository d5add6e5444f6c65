import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import type * as staging from '../types/index.js'
import * as originReads from './originReads.js'

const ID: staging.VersionId = { model: 'm', version: 2 }
const REFUSAL_MS = 10
const HANG_MS = 2600
const READERS = 9
/** A reader of a small fleet must not lose more than this to a connection that hangs after the origin has returned. */
const LIMIT_MS = 500

/**
 * Guards against an origin that is available again while agents wait for connections that were opened during its outage and are never answered: each of them
 * waited for the whole time limit of a first byte, which covers the queue at an origin that is available, and the first engine was complete a second later.
 */
nodeTest.test('a read after one that hung is aborted early, a read after a refusal or a success is not', async (context) => {
  context.mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 0 })
  const outcomes = ['refusal', 'hang', 'hang', 'success', 'success']
  const limits: (number | undefined)[] = []
  const reads = originReads.createOriginReads({
    id: ID,
    origin: {
      readManifest: async () => types.fail(new types.UnavailableError('not asked')),
      readPiece: async (_id, _piece, firstByteTimeoutMs) => {
        const outcome = outcomes[limits.length]
        limits.push(firstByteTimeoutMs)
        await types.delay(outcome === 'hang' ? firstByteTimeoutMs ?? HANG_MS : REFUSAL_MS)
        return outcome === 'success' ? types.succeed(Buffer.alloc(1)) : types.fail(new types.UnavailableError('no answer'))
      }
    },
    countReaders: () => READERS,
    window: { hasRoom: () => true, isBounded: () => false, queueMs: () => 0, linkFraction: () => 1, request: () => () => {}, beginArrival: () => () => {}, recordBytes: () => {} },
    now: Date.now,
    random: () => 1,
    onRead: () => {},
    onFailure: () => {},
    onEnd: () => {}
  })
  for (let elapsed = 0; elapsed < 3 * HANG_MS && limits.length < outcomes.length; elapsed += 1) {
    if (reads.mayBegin()) reads.begin(limits.length)
    context.mock.timers.tick(1)
    await new Promise((resolve) => { setImmediate(resolve) })
  }
  assert.deepEqual(limits.map((limit) => limit === undefined ? 'default' : limit <= LIMIT_MS), ['default', 'default', true, true, 'default'])
})
