/**
 * Guards against one part of prompts crashing most engines of a service. Calls that share the part differ in everything else, so a record of whole calls never finds
 * a call that has ended several engines. The sound calls beside them share their account, their first part and all other parts, and must go on being served.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as fleetTesting from '../_lib/fleetTesting.js'

const HOSTS = ['127.0.0.1', '127.0.0.2', '127.0.0.3'] as const
const KEYS = [fleetTesting.API_KEY, 'key-of-tenant-two'] as const
const ENGINES = 24
const CRASH_DELAY_MS = 30
/** Time after which an engine that ended is back under another id. */
const RESTART_MS = 3000
/** Bounds that the users state: calls with the part that may still be sent this long after the fifth end, at gateways in touch. */
const CONTACT_MS = 3000
const ENDS_BEFORE_BOUND = 5
const MAXIMUM_LATE_SENDS = 3
const OK = 200
const CRASHING_PART = 'bad0bad0'
const FIRST_PART = 'f1'
/** Other parts, which crashing and sound calls hold in turn. */
const MIDDLE_PARTS = ['a1', 'a2', 'a3'] as const

interface Fleet {
  readonly gateways: types.Address[]
  readonly engines: testing.EngineStandIn[]
  readonly crashedAt: number[]
}

async function openFleet (context: nodeTest.TestContext): Promise<Fleet> {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure(({ tenants }) => { tenants.push({ name: 'tenant-two', apiKeys: [KEYS[1]], priority: 1 }) })
  const engines: testing.EngineStandIn[] = []
  const crashedAt: number[] = []
  const timers = new Set<NodeJS.Timeout>()
  context.after(() => { for (const timer of timers) clearTimeout(timer) })

  async function startEngine (): Promise<void> {
    const id = `i-${engines.length}`
    const engine = await fleet.startEngine({
      id, model: fleetTesting.MODEL, version: 1, events: 3, crashesOn: ({ headers }) => String(headers['prompt-prefix']).includes(CRASHING_PART), crashDelayMs: CRASH_DELAY_MS, onCrash: restart
    })
    engines.push(engine)

    function restart (): void {
      crashedAt.push(performance.now())
      timers.add(setTimeout(() => {
        fleet.store.remove('servers', id)
        void startEngine()
      }, RESTART_MS))
    }
  }

  for (let index = 0; index < ENGINES; index += 1) await startEngine()
  const gateways: types.Address[] = []
  for (const host of HOSTS) gateways.push(await fleet.startGateway(host, [HOSTS[0]]))
  for (const gateway of gateways) await fleetTesting.waitUntilServed(gateway, '/stream/probe')
  return { gateways, engines, crashedAt }
}

function listCrashingArrivals (engines: readonly testing.EngineStandIn[]): testing.Arrival[] {
  return engines.flatMap(({ arrivals }) => arrivals).filter(({ headers }) => String(headers['prompt-prefix']).includes(CRASHING_PART)).sort((left, right) => left.at - right.at)
}

let calls = 0

/** Sends a call whose body, id and last part no other call has. */
async function send (fleet: Fleet, isCrashing: boolean): Promise<testing.CallerAnswer> {
  const number = calls++
  const parts = [FIRST_PART, MIDDLE_PARTS[number % MIDDLE_PARTS.length], ...(isCrashing ? [CRASHING_PART] : []), `c${number}`].map((part) => `${part}:20`)
  const gateway = fleet.gateways[number % fleet.gateways.length] as types.Address
  const key = KEYS[Math.floor(number / 2) % KEYS.length] as string
  return await fleetTesting.call(gateway, {
    method: 'POST', path: '/stream/quote', id: `call-${number}`, body: `quote ${number}`, headers: { model: fleetTesting.MODEL, 'token-count': '100,50', 'prompt-prefix': parts.join(), authorization: `Bearer ${key}` }
  })
}

const PATTERNS = [
  { name: 'one after the other', rounds: 32, crashingCalls: 1, soundCalls: 2, gapMs: 300 },
  { name: 'several at a time', rounds: 12, crashingCalls: 3, soundCalls: 6, gapMs: 900 }
] as const

for (const { name, rounds, crashingCalls, soundCalls, gapMs } of PATTERNS) {
  nodeTest.test(`a part of prompts that ended five engines reaches hardly any further one, and sound calls with the other parts are served (${name})`, async (context) => {
    const fleet = await openFleet(context)
    const sound: Array<{ readonly at: number, readonly answer: testing.CallerAnswer }> = []
    const pending: Array<Promise<unknown>> = []
    for (let round = 0; round < rounds; round += 1) {
      for (let index = 0; index < crashingCalls; index += 1) pending.push(send(fleet, true))
      for (let index = 0; index < soundCalls; index += 1) pending.push(send(fleet, false).then((answer) => { sound.push({ at: performance.now(), answer }) }))
      await types.delay(gapMs)
    }
    await Promise.all(pending)
    const ends = [...fleet.crashedAt].sort((left, right) => left - right)
    const boundFrom = (ends[ENDS_BEFORE_BOUND - 1] ?? Infinity) + CONTACT_MS
    const late = listCrashingArrivals(fleet.engines).filter(({ at }) => at > boundFrom)
    context.diagnostic(JSON.stringify({ ended: ends.length, late: late.length, sound: sound.length, refused: sound.filter(({ answer }) => answer.status !== OK).length }))
    assert.ok(late.length <= MAXIMUM_LATE_SENDS, `${late.length} calls reached engines too late; ${ends.length} engines ended`)
    const lastEnd = ends.at(-1) ?? 0
    assert.deepEqual(sound.filter(({ at, answer }) => at > lastEnd + 2 * CONTACT_MS && answer.status !== OK).map(({ answer }) => answer.body), [])
  })
}
