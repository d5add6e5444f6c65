/**
 * Guards against a zone that obtains no manifest: after a restart of all machines the agent that read the manifest for its zone was refused by the origin,
 * which had no free connection, 104 times in a row, six times a second, and asked no peer although others had the manifest. No engine of the zone had the complete
 * version for 18 s, and shortly before the deadline all 45 agents read from the origin in the same way.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createPieceStore from '../createPieceStore/index.js'
import type * as staging from '../types/index.js'
import * as createManifestReader from './index.js'

const ID: staging.VersionId = { model: 'm', version: 2 }
const DIGESTS = [types.brandId<types.Digest>('a'.repeat(64))]
const STEP_MS = 10

function createAgent (node: string, zone: string): staging.StagingPeer {
  return { node: types.brandId(node), zone, address: { host: node, port: 1 } }
}

interface ZoneResult {
  /** Reads from the origin, with the milliseconds since the start. */
  readonly reads: Array<{ readonly node: string, readonly at: number }>
  readonly withManifest: Set<string>
}

interface ZoneOptions {
  readonly agents: number
  readonly isOriginOpen: boolean
  /** Milliseconds after which an origin that refuses connections accepts them again. */
  readonly opensAtMs?: number
  /** Whether a node of another zone has the manifest. */
  readonly hasFarHolder?: boolean
  /** Milliseconds after which all agents may read for themselves. */
  readonly lateMs: number
  readonly durationMs: number
}

/** Simulates agents of one zone that all request a manifest at once. */
async function simulateZone (context: nodeTest.TestContext, options: ZoneOptions): Promise<ZoneResult> {
  context.mock.timers.enable({ apis: ['setTimeout', 'Date'] })
  const agents = Array.from({ length: options.agents }, (_, index) => createAgent(`n-${index}`, 'a'))
  const far = createAgent('far', 'b')
  const result: ZoneResult = { reads: [], withManifest: new Set() }
  const readers = new Map<string, createManifestReader.ManifestReader>()
  const startedAt = Date.now()
  for (const self of agents) {
    const node = String(self.node)
    readers.set(node, createManifestReader.createManifestReader({
      self,
      agents: () => options.hasFarHolder === true ? [...agents, far] : agents,
      store: createPieceStore.createPieceStore(),
      origin: {
        readManifest: async () => {
          result.reads.push({ node, at: Date.now() - startedAt })
          await types.delay(STEP_MS)
          const isOpen = options.isOriginOpen || Date.now() - startedAt >= (options.opensAtMs ?? Infinity)
          return isOpen ? types.succeed(DIGESTS) : types.fail(new types.UnavailableError('refused'))
        },
        readPiece: async () => types.fail(new types.UnavailableError('not asked'))
      },
      fetchManifest: async (peer, id) => {
        await types.delay(STEP_MS)
        if (peer.node === far.node) return types.succeed(DIGESTS)
        return types.succeed(await readers.get(String(peer.node))?.provide(id, createManifestReader.MANIFEST_WAIT_MS) ?? null)
      },
      onEvent: () => {},
      now: Date.now,
      random: () => 0.5
    }))
  }
  let isOver = false
  for (const [node, reader] of readers) {
    void reader.obtain(ID, startedAt + options.lateMs, () => !isOver).then((manifest) => { if (manifest !== null) result.withManifest.add(node) })
  }
  for (let passed = 0; passed < options.durationMs; passed += STEP_MS) {
    context.mock.timers.tick(STEP_MS)
    for (let turn = 0; turn < 5; turn += 1) await new Promise((resolve) => { setImmediate(resolve) })
  }
  isOver = true
  return result
}

nodeTest.test('one agent reads for its zone', async (context) => {
  const { reads, withManifest } = await simulateZone(context, { agents: 15, isOriginOpen: true, lateMs: 6000, durationMs: 2000 })
  assert.equal(withManifest.size, 15)
  assert.equal(new Set(reads.map(({ node }) => node)).size, 1)
})

nodeTest.test('an origin that refuses connections is read by few agents of a zone and ever more rarely, even when little time is left', async (context) => {
  const { reads } = await simulateZone(context, { agents: 15, isOriginOpen: false, lateMs: 6000, durationMs: 12_000 })
  const perSecond = (from: number, to: number): number => reads.filter(({ at }) => at >= from && at < to).length * 1000 / (to - from)
  assert.ok(perSecond(2000, 6000) <= 8, `${perSecond(2000, 6000)} reads a second`)
  assert.ok(perSecond(6000, 12_000) <= 20, `${perSecond(6000, 12_000)} reads a second when late`)
  assert.ok(reads.length > 10)
})

nodeTest.test('agents that the origin refuses take the manifest from any agent that has it, also of another zone', async (context) => {
  const { withManifest } = await simulateZone(context, { agents: 15, isOriginOpen: false, hasFarHolder: true, lateMs: 6000, durationMs: 6000 })
  assert.equal(withManifest.size, 15)
})

nodeTest.test('an origin that was unavailable for six seconds provides its manifest to all agents of a zone soon afterwards', async (context) => {
  const { withManifest } = await simulateZone(context, { agents: 15, isOriginOpen: false, opensAtMs: 6000, lateMs: 20_000, durationMs: 6600 })
  assert.equal(withManifest.size, 15)
})
