/** Guards against soaks that differ for the same seed, or that hide cuts around planned work behind unplanned disruptions. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as gatewaySoakPlan from './gatewaySoakPlan.js'

const DURATION_MS = 15_000
const SEEDS = Array.from({ length: 40 }, (_, index) => index + 1)
const SILENT_SEEDS = SEEDS.map((seed) => 200 + seed)
const STALE_SEEDS = SEEDS.map((seed) => 299 + seed)
const STALE_KINDS: readonly string[] = ['stage-turns-stale', 'order-taken-late']
const SILENT_KINDS: readonly string[] = ['engines-silent', 'engine-reads-nothing', 'limits', 'tenants', 'service-moves', 'split', 'attempts', 'many-routes']
const ENDLESS_SEEDS = SEEDS.map((seed) => 399 + seed)
const ENDLESS_KINDS: readonly string[] = ['engine-endless', 'callers-endless']
const UNPLANNED: readonly string[] = ['kill', 'pause', 'engine-crashes']

nodeTest.test('a seed gives the same plan of a soak each time, and another seed another one', () => {
  const plans = SEEDS.map((seed) => JSON.stringify(gatewaySoakPlan.planGatewayDisturbances(seed, DURATION_MS, 1)))
  assert.deepEqual(SEEDS.map((seed) => JSON.stringify(gatewaySoakPlan.planGatewayDisturbances(seed, DURATION_MS, 1))), plans)
  assert.equal(new Set(plans).size, plans.length)
})

nodeTest.test('every second seed of a soak has planned work alone, and the others have kills, pauses and crashes', () => {
  const kindsOf = (isUnplanned: boolean): Set<string> => new Set(SEEDS.filter((seed) => (seed % 2 === 1) === isUnplanned).flatMap((seed) => gatewaySoakPlan.planGatewayDisturbances(seed, DURATION_MS, 1).map(({ kind }) => kind)))
  assert.deepEqual(UNPLANNED.filter((kind) => kindsOf(false).has(kind)), [])
  assert.deepEqual(UNPLANNED.filter((kind) => kindsOf(true).has(kind)), UNPLANNED)
})

nodeTest.test('seeds from 200 on have silences and further changes of the configuration, and the seeds before keep plans without them', () => {
  const kindsOf = (seeds: readonly number[]): Set<string> => new Set(seeds.flatMap((seed) => gatewaySoakPlan.planGatewayDisturbances(seed, DURATION_MS, 1).map(({ kind }) => kind)))
  assert.deepEqual(SILENT_KINDS.filter((kind) => kindsOf(SEEDS).has(kind)), [])
  assert.deepEqual(SILENT_KINDS.filter((kind) => kindsOf(SILENT_SEEDS).has(kind)), SILENT_KINDS)
})

nodeTest.test('seeds from 300 on have stages that turn stale beside new versions, and the seeds before keep plans without them', () => {
  for (const seed of [...SEEDS, ...SILENT_SEEDS]) assert.ok(gatewaySoakPlan.planGatewayDisturbances(seed, DURATION_MS, 1).every(({ kind }) => !STALE_KINDS.includes(kind)))
  for (const seed of STALE_SEEDS) {
    const plan = gatewaySoakPlan.planGatewayDisturbances(seed, DURATION_MS, 1)
    for (const stale of plan.filter(({ kind }) => STALE_KINDS.includes(kind))) assert.ok(plan.some(({ kind, atMs }) => kind === 'version' && atMs === stale.atMs))
    for (const stale of STALE_KINDS) assert.ok(plan.some(({ kind }) => kind === stale))
  }
})

nodeTest.test('seeds from 400 on have peers that send bytes without end, over one connection and over many, and the seeds before keep plans without them', () => {
  const planAll = (seeds: readonly number[]): readonly gatewaySoakPlan.GatewayDisturbance[] => seeds.flatMap((seed) => gatewaySoakPlan.planGatewayDisturbances(seed, DURATION_MS, 1))
  assert.ok(planAll([...SEEDS, ...SILENT_SEEDS, ...STALE_SEEDS]).every(({ kind }) => !ENDLESS_KINDS.includes(kind)))
  for (const kind of ENDLESS_KINDS) {
    const connections = new Set(planAll(ENDLESS_SEEDS).filter((each) => each.kind === kind).map((each) => each.connections))
    assert.deepEqual([...connections].sort((one, other) => Number(one) - Number(other)), [1, 8, 64])
  }
})
