import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as membership from '@switchridge/membership'
import * as observability from '@switchridge/observability'
import * as transfer from '@switchridge/transfer'
import * as types from '@switchridge/types'
import * as createPlacementLoop from './index.js'
import * as createSelfFacts from '../createSelfFacts/index.js'
import * as createServedVersions from '../createServedVersions/index.js'
import * as createTableKeeper from '../createTableKeeper/index.js'
import * as createEngineOrders from '../createEngineOrders/index.js'

const SERVICE = types.brandId<types.ServiceName>('llm')
const ROW = types.brandId<types.RowId>('model')
const BYTES = 8
const CHUNK_BYTES = 4

async function createVersion (text: string) {
  const manifest = await transfer.createManifest([Buffer.from(text)], CHUNK_BYTES)
  return { text, manifest, digest: transfer.computeDigest(transfer.formatManifest(manifest)) }
}

type Version = Awaited<ReturnType<typeof createVersion>>

/** Runs the event loop until the steps that were started have ended. */
const settle = async (): Promise<void> => { for (let turn = 0; turn < 20; turn += 1) await new Promise((resolve) => { setImmediate(resolve) }) }

/** Creates a backend daemon's loop with an engine that records its orders. */
function createLoop (memoryBytes: number) {
  const logger = observability.createLogger('loop-test', {}, { level: 'silent' })
  const keeper = createTableKeeper.createTableKeeper(logger)
  const view = membership.createMemberView({ now: () => 0 })
  const self = createSelfFacts.createSelfFacts({
    node: types.brandId('node'),
    role: 'backend',
    dataHall: types.brandId('hall'),
    region: types.brandId('region'),
    address: { host: '127.0.0.1', port: 1 },
    incarnation: types.brandId('1'),
    factsVersion: 1,
    state: 'live',
    service: SERVICE,
    memoryBytes,
    serving: [],
    holding: [],
    waitingFor: '',
    revision: 0
  })
  const store = transfer.createChunkStore(1000)
  const serving = createServedVersions.createServedVersions()
  const orders: string[] = []
  const engine = { failure: '', throws: false }
  const recordOrder = async (order: string) => {
    orders.push(order)
    if (engine.throws) throw new Error('broken')
    return engine.failure === '' ? types.succeed(null) : types.fail(new createEngineOrders.OrderError(engine.failure))
  }
  const loop = createPlacementLoop.createPlacementLoop({
    self,
    view,
    keeper,
    store,
    serving,
    logger,
    transfer: { setWanted: () => {} } as unknown as transfer.TransferManager,
    orders: { load: async ({ manifest }) => await recordOrder(`load ${manifest}`), unload: async (manifest) => await recordOrder(`unload ${manifest}`) },
    weights: { offer: () => ({ url: '', withdraw: () => {} }), close: () => {} },
    plan: (() => ({})) as never,
    onServing: () => {}
  })
  let revision = 0
  const place = async (version: Version, minimumServing = 0): Promise<void> => {
    revision += 1
    const row = { id: ROW, kind: 'model', base: null, service: SERVICE, version: version.text, source: 's', manifest: version.digest, bytes: BYTES, targets: 'all', priority: 0, originCopies: 1, originBytesPerSecond: 1, favour: 'time', minimumServing } as unknown as types.ModelRow
    keeper.offer({ ...types.EMPTY_TABLE, revision, models: [row] }, 'test')
    await reconcile()
  }
  const reconcile = async (): Promise<void> => {
    view.applyHeartbeat(self.read())
    loop.reconcile()
    await settle()
  }
  const fill = async (version: Version, chunks: number): Promise<void> => {
    const opened = store.open(version.digest, version.manifest)
    for (let chunk = 0; chunk < chunks && opened.ok; chunk += 1) opened.value.put(chunk, Buffer.from(version.text.slice(chunk * CHUNK_BYTES, (chunk + 1) * CHUNK_BYTES)))
    await reconcile()
  }
  return { place, fill, reconcile, serving, orders, engine, self, served: () => serving.find(ROW)?.manifest }
}

test.describe('createPlacementLoop', () => {
  test.it('loads nothing before the last chunk has arrived, and serves only what the engine confirmed', async () => {
    const version = await createVersion('aaaabbbb')
    const loop = createLoop(100)
    await loop.place(version)
    await loop.fill(version, 1)
    assert.deepEqual(loop.orders, [])
    assert.match(loop.self.read().waitingFor, /1 of 2 chunks/)
    loop.engine.failure = 'engine says no'
    await loop.fill(version, 2)
    assert.equal(loop.served(), undefined)
    assert.match(loop.self.read().waitingFor, /engine says no/)
    loop.engine.failure = ''
    await loop.reconcile()
    assert.equal(loop.served(), version.digest)
  })

  /** Guards against a backend server that never loads another version after one unexpected error. */
  test.it('goes on after a pass that failed with an exception', async () => {
    const version = await createVersion('aaaabbbb')
    const loop = createLoop(100)
    loop.engine.throws = true
    await loop.place(version)
    await loop.fill(version, 2)
    loop.engine.throws = false
    await loop.reconcile()
    assert.equal(loop.served(), version.digest)
  })

  test.it('keeps the old version loaded until the calls that began on it have ended', async () => {
    const [first, second] = [await createVersion('aaaabbbb'), await createVersion('aaaacccc')]
    const loop = createLoop(100)
    await loop.place(first)
    await loop.fill(first, 2)
    const pin = loop.serving.pin(ROW)
    await loop.place(second)
    await loop.fill(second, 2)
    assert.equal(loop.served(), second.digest)
    assert.ok(!loop.orders.includes(`unload ${first.digest}`))
    pin?.release()
    await settle()
    assert.equal(loop.orders.at(-1), `unload ${first.digest}`)
  })

  test.it('does not unload a version that was assigned again while its calls were draining', async () => {
    const [first, second] = [await createVersion('aaaabbbb'), await createVersion('aaaacccc')]
    const loop = createLoop(100)
    await loop.place(first)
    await loop.fill(first, 2)
    const pin = loop.serving.pin(ROW)
    await loop.place(second)
    await loop.fill(second, 2)
    await loop.place(first)
    await loop.fill(first, 2)
    pin?.release()
    await settle()
    assert.equal(loop.served(), first.digest)
    assert.ok(!loop.orders.includes(`unload ${first.digest}`))
  })

  test.it('waits for its turn when memory holds only one version, so that enough replicas keep serving', async () => {
    const [first, second] = [await createVersion('aaaabbbb'), await createVersion('aaaacccc')]
    const loop = createLoop(BYTES)
    await loop.place(first)
    await loop.fill(first, 2)
    await loop.place(second, 1)
    await loop.fill(second, 2)
    assert.equal(loop.served(), first.digest)
    assert.match(loop.self.read().waitingFor, /its turn/)
    await loop.place(second, 0)
    await loop.reconcile()
    assert.equal(loop.served(), second.digest)
    assert.deepEqual(loop.orders.slice(-2), [`unload ${first.digest}`, `load ${second.digest}`])
  })
})
