/**
 * Guards against daemons that end, or follow the store no longer, because of what another writer left among its entries: a value that is nested so deeply that what walks
 * through it overflows the stack, or entries that are too large to be held together.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as fleetTesting from './_lib/fleetTesting.js'

const LIMIT = { timeout: 60_000 }
const GATEWAYS = ['127.0.50.1', '127.0.50.2']
const AGENT = '127.0.50.3'
const DEPTH = 20_000
const LARGE_BYTES = 900_000
const LARGE_ENTRIES = 24
const KINDS = Object.values(platform.OBJECT_KINDS)

const ODD_VALUES: Readonly<Record<string, unknown>> = {
  'nested lists': new testing.RawJson('['.repeat(DEPTH) + ']'.repeat(DEPTH)),
  'nested objects': new testing.RawJson('{"a":'.repeat(DEPTH) + '1' + '}'.repeat(DEPTH)),
  'a number beyond all': new testing.RawJson('1e999'),
  'a number of many digits': new testing.RawJson('9'.repeat(400)),
  'a port out of range': '127.0.0.1:70000',
  'half a character': '\ud800'
}

/** Fills an entry of another writer: what a sound one holds, and an odd value in a field of its own and in place of one. */
function formatOddSpecs (sound: object, value: unknown): unknown[] {
  return [value, { ...sound, extra: value }, ...Object.keys(sound).map((field) => ({ ...sound, [field]: value }))]
}

interface Scene {
  readonly fleet: fleetTesting.TestFleet
  readonly engine: testing.EngineStandIn
  readonly gateways: readonly types.Address[]
}

async function openScene (context: nodeTest.TestContext): Promise<Scene> {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const engine = await fleet.startEngine({ id: 'i-sound', host: AGENT, model: fleetTesting.MODEL, version: 1, reportsStart: true, digestsOf: fleet.origin.digestsOf })
  fleet.store.put(platform.OBJECT_KINDS.versions, fleetTesting.MODEL, { model: fleetTesting.MODEL, version: 1 })
  const gateways: types.Address[] = []
  for (const host of GATEWAYS) gateways.push(await fleet.startGateway(host, GATEWAYS, undefined, { bounds: 'evacuation_ms = 3000\n' }))
  await fleet.startAgent(AGENT, engine, GATEWAYS)
  for (const host of GATEWAYS) await fleet.waitUntilReady(host)
  return { fleet, engine, gateways }
}

function describeSound ({ engine }: Scene, kind: string): object {
  if (kind === platform.OBJECT_KINDS.backEnds) return { ...testing.describeEngine(engine, 'llm', 'zone-a', { name: fleetTesting.MODEL, version: 1 }) as object, coldRemainingMs: 500 }
  if (kind === platform.OBJECT_KINDS.versions) return { model: 'model-odd', version: 1 }
  return kind === platform.OBJECT_KINDS.blocks ? { fingerprint: 'x', count: 1, blockedAt: 1 } : { version: 1 }
}

/** Changes entries of each kind, and waits until every gateway and the agent act on them. */
async function assertFollowed ({ fleet, engine, gateways }: Scene): Promise<void> {
  const next = await fleet.startEngine({ id: 'i-next' }, 'api')
  fleet.configure(({ routes }) => { routes.push({ ...routes[0], name: 'added', pathPrefix: '/added/' }) })
  fleet.store.put(platform.OBJECT_KINDS.versions, fleetTesting.MODEL, { model: fleetTesting.MODEL, version: 2 })
  fleet.store.put(platform.OBJECT_KINDS.evacuations, 'zone-z', {})
  for (const gateway of gateways) await fleet.waitForAnswer(gateway, '/added/x', 200)
  assert.ok(next.arrivals.length > 0)
  await fleet.waitForStatus(({ versions, evacuations }) => versions.some(({ version }) => version === 2) && evacuations.some(({ hall }) => hall === 'zone-z'))
  await fleetTesting.waitWithLimit(async () => engine.version() === 2)
}

void nodeTest.describe('every gateway and agent follows the changes of all kinds beside odd entries of another writer', () => {
  for (const [name, value] of Object.entries(ODD_VALUES)) {
    nodeTest.test(`entries with ${name}`, LIMIT, async (context) => {
      const scene = await openScene(context)
      const { fleet } = scene
      for (const kind of KINDS) {
        for (const [index, spec] of formatOddSpecs(describeSound(scene, kind), value).entries()) fleet.store.put(kind, `odd-${index}`, spec)
      }
      await assertFollowed(scene)
      const { backEnds } = platform.OBJECT_KINDS
      const reports = await Promise.all(GATEWAYS.map(async (host) => await fleet.readCounter(host, 'objects_unreadable', backEnds)))
      assert.ok(reports.every((count) => count > 0))
      // The same states of the entries are listed once more.
      fleet.store.compact()
      fleet.store.put(backEnds, 'i-last', {})
      await fleet.waitForRevision(backEnds, fleet.store.copy().revision)
      for (const [index, host] of GATEWAYS.entries()) assert.equal(await fleet.readCounter(host, 'objects_unreadable', backEnds), (reports[index] ?? 0) + 1)
    })
  }

  nodeTest.test('entries that are more than a list may hold', LIMIT, async (context) => {
    const scene = await openScene(context)
    const { fleet } = scene
    for (const kind of KINDS) {
      for (let index = 0; index < LARGE_ENTRIES; index += 1) fleet.store.put(kind, `odd-${index}`, { ...describeSound(scene, kind), extra: 'x'.repeat(LARGE_BYTES) })
    }
    fleet.store.compact()
    await assertFollowed(scene)
  })
})
