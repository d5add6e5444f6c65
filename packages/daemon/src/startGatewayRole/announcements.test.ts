/**
 * Property test: back ends announce their end, ask for backoffs, are replaced, and the store returns to older copies, in series and overlapping, while callers call two gateways.
 * More seeds are run by hand: ANNOUNCEMENT_SEEDS=50 node scripts/run-tests.mjs startGatewayRole/announcements
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'
import * as fleetTesting from '../_lib/fleetTesting.js'

const HOSTS = ['127.0.0.1', '127.0.0.2'] as const
const SERVICE = 'api'
const ENGINES = 3
const STEPS = 60
const CALLS_PER_STEP = 4
const DEFAULT_SEEDS = 4
const SEEDS = Number(process.env.ANNOUNCEMENT_SEEDS ?? DEFAULT_SEEDS)
const BACKOFF_SECONDS = 1.5
/** Calls that were under way when the back end asked for a backoff may still arrive. */
const UNDER_WAY_MS = 500
const AWAY_MS = 150
const OTHER_WRITES = 30

/** A call as its caller and the back ends saw it. */
interface ObservedCall {
  readonly id: string
  readonly gateway: number
  readonly sentAt: number
  readonly answeredAt: number
  /** The back end whose answer announced its end. */
  readonly leaver: string | null
}

interface Run {
  readonly fleet: fleetTesting.TestFleet
  readonly gateways: readonly types.Address[]
  readonly engines: testing.EngineStandIn[]
  readonly all: testing.EngineStandIn[]
  readonly random: () => number
  instances: number
}

async function startEngine (run: Omit<Run, 'gateways'>, index: number): Promise<void> {
  run.instances += 1
  const engine = await run.fleet.startEngine({ id: `i-${index}-${run.instances}` }, SERVICE)
  engine.backoff.text = String(BACKOFF_SECONDS)
  run.engines[index] = engine
  run.all.push(engine)
}

async function openRun (context: nodeTest.TestContext, seed: number): Promise<Run> {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const run = { fleet, engines: [], all: [], random: standins.createSeededRandom(seed), instances: 0 }
  for (let index = 0; index < ENGINES; index += 1) await startEngine(run, index)
  const gateways: types.Address[] = []
  for (const host of HOSTS) gateways.push(await fleet.startGateway(host, [HOSTS[0]]))
  for (const gateway of gateways) await fleetTesting.waitUntilServed(gateway, '/read/probe')
  return { ...run, gateways }
}

async function sendCall ({ gateways }: Run, id: string, gateway: number): Promise<ObservedCall> {
  const sentAt = performance.now()
  const answer = await fleetTesting.call(gateways[gateway] as types.Address, { path: '/read/x', id })
  const isLeaver = answer.headers['server-leaving'] === '1'
  return { id, gateway, sentAt, answeredAt: performance.now(), leaver: isLeaver ? String(answer.headers['engine-seal']).replace('seal-', '') : null }
}

/** A back end announces its end; its successor starts first, and its entry goes later or never says so. */
async function leave (run: Run, index: number): Promise<void> {
  const leaver = run.engines[index] as testing.EngineStandIn
  leaver.leaving.isAnnounced = true
  await startEngine(run, index)
  if (run.random() < 0.5) run.fleet.store.put(platform.OBJECT_KINDS.backEnds, leaver.id, { ...testing.describeEngine(leaver, SERVICE, 'zone-a') as object, state: 'draining' })
}

/** The store returns to a copy; engines and operators write again what that lacks, and an engine starts before the gateways reach the store again. */
async function goBack (run: Run, copy: testing.StoreCopy, index: number): Promise<void> {
  const { fleet, random } = run
  fleet.store.faults.down = 'reset'
  const latest = fleet.store.copy().kinds
  fleet.store.restore(copy)
  await startEngine(run, index)
  for (const [kind, objects] of latest) {
    for (const [name, { spec }] of objects) if (JSON.stringify(copy.kinds.get(kind)?.get(name)?.spec) !== JSON.stringify(spec)) fleet.store.put(kind, name, spec)
  }
  // The revision passes the one that the gateways know, so that the store doesn't reject their watches.
  for (let write = 0; write < OTHER_WRITES; write += 1) fleet.store.put('others', `other-${write}`, {})
  await types.delay(AWAY_MS * random())
  fleet.store.faults.down = 'none'
}

async function runSteps (run: Run, name: string): Promise<ObservedCall[]> {
  const calls: Array<Promise<ObservedCall>> = []
  let copy = run.fleet.store.copy()
  for (let step = 0; step < STEPS; step += 1) {
    for (let call = 0; call < CALLS_PER_STEP; call += 1) calls.push(sendCall(run, `${name}-${step}-${call}-g${call % HOSTS.length}`, call % HOSTS.length))
    const index = Math.floor(run.random() * ENGINES)
    const action = run.random()
    if (action < 0.15) await leave(run, index)
    else if (action < 0.35) Object.assign((run.engines[index] as testing.EngineStandIn).faults, { next: 'full', count: 1 + Math.floor(run.random() * 3) })
    else if (action < 0.45) copy = run.fleet.store.copy()
    else if (action < 0.55) await goBack(run, copy, index)
    if (run.random() < 0.7) await Promise.all(calls)
  }
  return await Promise.all(calls)
}

/** Calls that reached a back end although they were sent to a gateway after that had passed on an answer that announced the back end's end. */
function findCallsToLeavers ({ all }: Run, calls: readonly ObservedCall[]): string[] {
  return calls.filter(({ leaver }) => leaver !== null).flatMap((told) => {
    const arrivals = all.find(({ id }) => id === told.leaver)?.arrivals ?? []
    return arrivals.filter(({ requestId }) => calls.some((call) => call.id === requestId && call.gateway === told.gateway && call.sentAt > told.answeredAt)).map(({ requestId }) => `${requestId} reached ${String(told.leaver)}`)
  })
}

/** Calls that reached a back end within the backoff that it had asked their gateway for. */
function findCallsInBackoff ({ all }: Run): string[] {
  return all.flatMap(({ id, arrivals }) => arrivals.filter(({ wasTurnedAway }) => wasTurnedAway).flatMap((asked) => {
    const gateway = asked.requestId.split('-').at(-1)
    const endsAt = asked.at + BACKOFF_SECONDS * types.MILLISECONDS_IN_SECOND
    return arrivals.filter(({ requestId, at }) => requestId.split('-').at(-1) === gateway && at > asked.at + UNDER_WAY_MS && at < endsAt).map(({ requestId }) => `${requestId} reached ${id} in its backoff`)
  }))
}

for (let seed = 1; seed <= SEEDS; seed += 1) {
  nodeTest.test(`announcements of back ends are kept while the store goes back (seed ${seed})`, async (context) => {
    const run = await openRun(context, seed)
    const calls = await runSteps(run, `a${seed}`)
    context.diagnostic(`${calls.filter(({ leaver }) => leaver !== null).length} answers of leavers, ${run.all.flatMap(({ arrivals }) => arrivals).filter(({ wasTurnedAway }) => wasTurnedAway).length} calls turned away`)
    assert.deepEqual([...findCallsToLeavers(run, calls), ...findCallsInBackoff(run)], [])
    // In the end the gateways hold what the store holds.
    const listed = [...run.fleet.store.copy().kinds.get(platform.OBJECT_KINDS.backEnds)?.keys() ?? []].sort()
    await run.fleet.waitForStatus(({ backEnds }) => JSON.stringify(backEnds.map(({ id }) => id).sort()) === JSON.stringify(listed))
  })
}
