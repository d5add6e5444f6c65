/**
 * Users saw: after a return of all machines no engine of one region was whole for 18 s. The agent that was to read the manifest for its region
 * was refused by the origin, which had no connection left, 104 times in a row, six times a second, and asked nobody, though others had
 * it; shortly before the bound all 45 agents did the same.
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

interface PlayedZone {
  /** Reads at the origin, with the milliseconds since the start. */
  readonly reads: Array<{ readonly node: string, readonly at: number }>
  readonly withManifest: Set<string>
}

interface ZonePlan {
  readonly agents: number
  readonly isOriginOpen: boolean
  /** Milliseconds after which an origin that refuses answers again. */
  readonly opensAtMs?: number
  /** A node of another zone that has the manifest. */
  readonly hasFarHolder?: boolean
  /** Milliseconds after which all may read for themselves. */
  readonly lateMs: number
  readonly lastMs: number
}

/** Agents of one zone that all want a manifest at once. */
async function play (context: nodeTest.TestContext, plan: ZonePlan): Promise<PlayedZone> {
  context.mock.timers.enable({ apis: ['setTimeout', 'Date'] })
  const agents = Array.from({ length: plan.agents }, (_, index) => createAgent(`n-${index}`, 'a'))
  const far = createAgent('far', 'b')
  const played: PlayedZone = { reads: [], withManifest: new Set() }
  const readers = new Map<string, createManifestReader.ManifestReader>()
  const startedAt = Date.now()
  for (const self of agents) {
    const node = String(self.node)
    readers.set(node, createManifestReader.createManifestReader({
      self,
      agents: () => plan.hasFarHolder === true ? [...agents, far] : agents,
      store: createPieceStore.createPieceStore(),
      origin: {
        readManifest: async () => {
          played.reads.push({ node, at: Date.now() - startedAt })
          await types.delay(STEP_MS)
          const isOpen = plan.isOriginOpen || Date.now() - startedAt >= (plan.opensAtMs ?? Infinity)
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
    void reader.obtain(ID, startedAt + plan.lateMs, () => !isOver).then((manifest) => { if (manifest !== null) played.withManifest.add(node) })
  }
  for (let passed = 0; passed < plan.lastMs; passed += STEP_MS) {
    context.mock.timers.tick(STEP_MS)
    for (let turn = 0; turn < 5; turn += 1) await new Promise((resolve) => { setImmediate(resolve) })
  }
  isOver = true
  return played
}

nodeTest.test('one agent reads for its zone', async (context) => {
  const { reads, withManifest } = await play(context, { agents: 15, isOriginOpen: true, lateMs: 6000, lastMs: 2000 })
  assert.equal(withManifest.size, 15)
  assert.equal(new Set(reads.map(({ node }) => node)).size, 1)
})

nodeTest.test('an origin that refuses is asked by few agents of a zone, and less and less often, also when time runs out', async (context) => {
  const { reads } = await play(context, { agents: 15, isOriginOpen: false, lateMs: 6000, lastMs: 12_000 })
  const perSecond = (from: number, to: number): number => reads.filter(({ at }) => at >= from && at < to).length * 1000 / (to - from)
  assert.ok(perSecond(2000, 6000) <= 8, `${perSecond(2000, 6000)} reads a second`)
  assert.ok(perSecond(6000, 12_000) <= 20, `${perSecond(6000, 12_000)} reads a second when late`)
  assert.ok(reads.length > 10)
})

nodeTest.test('who is refused takes the manifest from any agent that has it, also of another zone', async (context) => {
  const { withManifest } = await play(context, { agents: 15, isOriginOpen: false, hasFarHolder: true, lateMs: 6000, lastMs: 6000 })
  assert.equal(withManifest.size, 15)
})

nodeTest.test('an origin that was away for six seconds gives its manifest to all agents of a zone soon after its return', async (context) => {
  const { withManifest } = await play(context, { agents: 15, isOriginOpen: false, opensAtMs: 6000, lateMs: 20_000, lastMs: 6600 })
  assert.equal(withManifest.size, 15)
})
