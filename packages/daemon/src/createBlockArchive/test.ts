import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as quarantine from '@switchridge/quarantine'
import * as types from '@switchridge/types'
import * as createBlockArchive from './index.js'

const SAVE_DELAY_MS = 500
const BLOCK = { fingerprint: types.brandId<quarantine.CallFingerprint>('a'.repeat(32)), count: 1, since: 0 }

interface OpenedArchive {
  readonly archive: createBlockArchive.BlockArchive
  /** Names of the objects that were written. */
  readonly written: string[]
  readonly release: () => void
  readonly pass: () => Promise<void>
}

function openArchive (context: nodeTest.TestContext): OpenedArchive {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const written: string[] = []
  let isInForce = true
  const archive = createBlockArchive.createBlockArchive({
    store: {
      listAll: async () => types.succeed({ objects: [], at: 1 }),
      put: async (kind, name) => {
        written.push(name)
        return types.succeed(1)
      },
      remove: async () => types.succeed(null)
    },
    limits: { blockMs: 60_000, maximumBlockMs: 60_000 },
    mayAskStore: () => true,
    onBlock: () => {},
    isInForce: () => isInForce,
    logger: { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} },
    now: () => 0,
    timeOfDay: () => 0
  })
  context.after(archive.stop)
  return {
    archive,
    written,
    release: () => { isInForce = false },
    pass: async () => {
      context.mock.timers.tick(SAVE_DELAY_MS)
      await new Promise((resolve) => { setImmediate(resolve) })
    }
  }
}

nodeTest.test('blocks in force are written again after the store was restored from a copy that lacks them', async (context) => {
  const { archive, written, release, pass } = openArchive(context)
  archive.save(BLOCK)
  await pass()
  archive.saveAgain()
  await pass()
  assert.deepEqual(written, [`${BLOCK.fingerprint}-1`, `${BLOCK.fingerprint}-1`])
  release()
  archive.saveAgain()
  await pass()
  assert.equal(written.length, 2)
})
