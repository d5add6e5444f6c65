import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as transfer from '../index.js'

const CHUNK_BYTES = 4
const toBytes = (text: string): Buffer => Buffer.from(text)

async function createVersion (text: string) {
  const manifest = await transfer.createManifest([toBytes(text)], CHUNK_BYTES)
  return { manifest, digest: transfer.computeDigest(transfer.formatManifest(manifest)) }
}

test.describe('createChunkStore', () => {
  test.it('rejects bytes that do not match the digest and completes with those that do', async () => {
    const { manifest, digest } = await createVersion('aaaabbbbcc')
    const store = transfer.createChunkStore(100)
    const opened = store.open(digest, manifest)
    assert.ok(opened.ok)
    assert.ok(!opened.value.put(1, toBytes('aaaa')).ok)
    assert.equal(opened.value.has(1), false)
    for (const [chunk, text] of ['aaaa', 'bbbb', 'cc'].entries()) assert.ok(opened.value.put(chunk, toBytes(text)).ok)
    assert.equal(opened.value.isComplete(), true)
    assert.equal(store.usedBytes(), 10)
  })

  test.it('shares chunks between versions and frees them with the last one', async () => {
    const first = await createVersion('aaaabbbb')
    const second = await createVersion('bbbbcccc')
    const store = transfer.createChunkStore(100)
    const opened = store.open(first.digest, first.manifest)
    assert.ok(opened.ok)
    opened.value.put(0, toBytes('aaaa'))
    opened.value.put(1, toBytes('bbbb'))
    const next = store.open(second.digest, second.manifest)
    assert.ok(next.ok)
    assert.deepEqual(next.value.missing(), [1])
    store.drop(first.digest)
    assert.equal(store.usedBytes(), 4)
    assert.equal(next.value.get(0)?.toString(), 'bbbb')
    store.drop(second.digest)
    assert.equal(store.usedBytes(), 0)
  })

  test.it('refuses a version that does not fit in its memory', async () => {
    const { manifest, digest } = await createVersion('aaaabbbbccccdddd')
    const outcome = transfer.createChunkStore(8).open(digest, manifest)
    assert.ok(!outcome.ok && outcome.error instanceof transfer.StoreFullError)
  })

  test.it('accepts a manifest only under its own digest', async () => {
    const { manifest, digest } = await createVersion('aaaabbbb')
    const other = await createVersion('aaaacccc')
    assert.ok(transfer.parseManifest(transfer.formatManifest(manifest), digest).ok)
    assert.ok(!transfer.parseManifest(transfer.formatManifest(other.manifest), digest).ok)
  })
})
