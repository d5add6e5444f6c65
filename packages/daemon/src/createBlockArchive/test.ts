import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as quarantine from '@switchridge/quarantine'
import * as types from '@switchridge/types'
import * as createBlockArchive from './index.js'

const SAVE_DELAY_MS = 500
const BLOCK = { fingerprint: types.brandId<quarantine.CallFingerprint>('a'.repeat(32)), count: 1, since: 0 }

interface OpenedArchive {
  readonly archive: createBlockArchive.BlockArchive
  /** Blocks that were loaded. */
  readonly loaded: quarantine.CallBlock[]
  /** Names of the objects that were written. */
  readonly written: string[]
  readonly release: () => void
  readonly pass: () => Promise<void>
}

function openArchive (context: nodeTest.TestContext, stored: unknown[] = []): OpenedArchive {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const written: string[] = []
  const loaded: quarantine.CallBlock[] = []
  let isInForce = true
  const archive = createBlockArchive.createBlockArchive({
    store: {
      listAll: async () => types.succeed({ objects: stored.map((value, index) => ({ name: `block-${index}`, revision: index, value })), at: 1 }),
      put: async (kind, name) => {
        written.push(name)
        return types.succeed(1)
      },
      remove: async () => types.succeed(null)
    },
    limits: { blockMs: 60_000, maximumBlockMs: 60_000 },
    mayAskStore: () => true,
    onBlock: (block) => { loaded.push(block) },
    isInForce: () => isInForce,
    logger: { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} },
    now: () => 0,
    timeOfDay: () => 0
  })
  context.after(archive.stop)
  return {
    archive,
    loaded,
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

nodeTest.test('a block of parts is written under a name of letters, digits and dots, and read as it was written', async (context) => {
  const block = { ...BLOCK, fingerprint: types.brandId<quarantine.PartSetId>('#a1+#b2') }
  const { archive, written, loaded, pass } = openArchive(context, [{ ...block, blockedAt: 0 }, { fingerprint: '#b2+#a1', count: 1, blockedAt: 0 }])
  archive.save(block)
  await pass()
  assert.deepEqual(written, ['parts.a1.b2-1'])
  assert.deepEqual(loaded, [{ ...block, since: 0 }])
})
