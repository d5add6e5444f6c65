/** Guards against calls that are cut while their engines send nothing for about a second, beside changes of the configuration of every kind. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as timers from 'node:timers/promises'
import * as platform from '@switchridge/platform'
import * as standins from '@switchridge/standins'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as fleetTesting from './_lib/fleetTesting.js'
import * as programTesting from './_lib/programTesting.js'

const LIMIT = { timeout: 60_000 }
const OK = 200
const CHANGE_MS = 250
const SILENCE_MS = 1200
/** Between two silences. */
const PAUSE_MS = 400
const STREAM_ENGINES = 4
/** Rounds in which all engines are silent together. */
const ROUNDS = 3
const EVENTS = 20
const EVENT_MS = 100
const EVENT_BYTES = 70
const PLAIN_BYTES = 500
const BODY_BYTES = 400
const TIMEOUT_MS = 12_000
const SHORTER_TIMEOUT_MS = 10_000
const DEADLINE_MS = 14_000
const GIVE_UP_MS = 20_000
const SHORTEST_IDLE_MS = 3000
const SHORTEST_HEADER_MS = 1000
const FEWEST_BODY_BYTES = 2000
/** Callers take up connections that have rested for up to this share of the idle limit. */
const REST_SHARE = 0.8
const LONG_REST_SHARE = 0.1
const SHORT_REST_MS = 20
const ADDED_ROUTES = 350
const QUOTA = '40'
const SECOND_KEY = 'key-of-tenant-two'
const ZONES = ['zone-a', 'zone-b'] as const
const ROUTES_OF_CALLERS = ['stream', 'talk', 'stream', 'talk', 'read', 'stream', 'talk', 'write', 'stream', 'read'] as const
const CALLERS = 40
/** Fewer say too little about calls beside the changes. */
const FEWEST_ANSWERS = 2 * CALLERS

type RouteName = typeof ROUTES_OF_CALLERS[number]
type Change = (configuration: testing.Configuration, running: RunningFleet) => void

interface RunningFleet {
  readonly fleet: fleetTesting.TestFleet
  readonly engines: readonly SilentEngine[]
}

/** An engine that can be silent: its streams stand still, and its other answers begin later. */
interface SilentEngine {
  readonly service: string
  readonly standIn: testing.EngineStandIn
  readonly beSilent: () => Promise<void>
}

interface CallRecord {
  readonly id: string
  readonly route: RouteName
  readonly answer: testing.ConnectionAnswer
}

function setUp (configuration: testing.Configuration): void {
  const [read, write, , stream] = configuration.routes.map((route) => ({ ...route, timeoutMs: TIMEOUT_MS, targetLatencyMs: 2500 }))
  configuration.routes = [
    { ...read, service: undefined, trafficSplit: [{ service: 'api', weight: 1 }, { service: 'api-2', weight: 1 }] },
    { ...write },
    { ...stream },
    { ...stream, name: 'talk', pathPrefix: '/talk/', resumable: false }
  ]
  const [plain, model, weights] = configuration.services as [Record<string, unknown>, Record<string, unknown>, Record<string, unknown>]
  configuration.services = [plain, { ...plain, name: 'api-2' }, { ...model, engine: { ...model.engine as object, kvCapacity: 1_000_000 } }, weights]
  configuration.tenants.push({ name: 'tenant-two', apiKeys: [SECOND_KEY], priority: 1 })
}

function changeRoutes (configuration: testing.Configuration, names: readonly RouteName[], change: Record<string, unknown>): void {
  for (const route of configuration.routes) if (names.some((name) => name === route.name)) Object.assign(route, change)
}

function remove (configuration: testing.Configuration, routes: readonly string[], services: readonly string[]): void {
  configuration.routes = configuration.routes.filter(({ name }) => !routes.includes(String(name)))
  configuration.services = configuration.services.filter(({ name }) => !services.includes(String(name)))
}

function announceQuota ({ engines }: RunningFleet, text: string | null): void {
  for (const { standIn } of engines) standIn.limit.text = text
}

/** Each is undone when the next one is made. */
const CHANGES: readonly Change[] = [
  (configuration) => { changeRoutes(configuration, ['read', 'write', 'stream', 'talk'], { timeoutMs: SHORTER_TIMEOUT_MS }) },
  (configuration) => { configuration.routes.push(...Array.from({ length: ADDED_ROUTES }, (_, index) => ({ ...configuration.routes[1], name: `added-${index}`, pathPrefix: `/added-${index}/` }))) },
  (configuration) => { changeRoutes(configuration, ['write'], { service: 'api-2' }) },
  (configuration) => { remove(configuration, ['stream', 'talk', 'write'], ['llm']) },
  (configuration) => { changeRoutes(configuration, ['stream', 'talk'], { maxAttempts: 1 }) },
  (configuration) => {
    changeRoutes(configuration, ['read'], { service: 'api', trafficSplit: undefined })
    remove(configuration, [], ['api-2'])
  },
  (configuration) => { configuration.tenants.pop() },
  ({ limits }) => { Object.assign(limits, { idleTimeoutMs: SHORTEST_IDLE_MS, headerTimeoutMs: SHORTEST_HEADER_MS, maxBodyBytes: FEWEST_BODY_BYTES }) },
  ({ limits }) => { Object.assign(limits, { idleTimeoutMs: 60_000, headerTimeoutMs: 10_000, maxBodyBytes: 1_000_000 }) },
  (configuration) => { changeRoutes(configuration, ['read'], { trafficSplit: [{ service: 'api', weight: 9 }, { service: 'api-2', weight: 1 }] }) },
  (_configuration, running) => { announceQuota(running, QUOTA) },
  (_configuration, { fleet }) => { fleet.store.put(platform.OBJECT_KINDS.evacuations, ZONES[1], {}) }
]

async function startSilentEngine (fleet: fleetTesting.TestFleet, service: string, index: number): Promise<SilentEngine> {
  let silentUntil = 0
  const model = service === 'llm' ? { name: fleetTesting.MODEL, version: 1 } : undefined
  const standIn = await fleet.startEngine({
    id: `i-${service}-${index}`,
    ...(model === undefined ? {} : fleetTesting.STREAM_SERVICE.engine),
    events: EVENTS,
    eventMs: EVENT_MS,
    shapeAnswer: () => model === undefined ? { bytes: PLAIN_BYTES, delayMs: Math.max(EVENT_MS, silentUntil - performance.now()) } : { eventBytes: EVENT_BYTES }
  }, service)
  fleet.store.put(platform.OBJECT_KINDS.backEnds, standIn.id, testing.describeEngine(standIn, service, ZONES[index % ZONES.length] ?? '', model))
  return {
    service,
    standIn,
    beSilent: async () => {
      silentUntil = performance.now() + SILENCE_MS
      standIn.stall.isStalled = true
      await types.delay(SILENCE_MS)
      standIn.stall.isStalled = false
    }
  }
}

/** Sends calls over a kept connection, one after the other, until it is told to stop. */
async function runCaller (gateway: types.Address, index: number, records: CallRecord[], stopping: AbortSignal): Promise<void> {
  const random = standins.createSeededRandom(index + 1)
  const route = ROUTES_OF_CALLERS[index % ROUTES_OF_CALLERS.length] as RouteName
  const isStream = route === 'stream' || route === 'talk'
  const key = index < CALLERS / 2 ? fleetTesting.API_KEY : SECOND_KEY
  const headers = { ...testing.formatCallerHeaders(key, DEADLINE_MS), ...(isStream ? testing.formatModelHeaders(fleetTesting.MODEL) : {}) }
  let connection = testing.createCallerConnection(gateway)
  for (let call = 0; !stopping.aborted; call += 1) {
    if (!connection.isOpen()) {
      connection.close()
      connection = testing.createCallerConnection(gateway)
    }
    const id = `c${index}-${call}`
    const answer = await connection.send({ path: `/${route}/call${isStream ? '?stream=1' : ''}`, id, headers, bodyBytes: BODY_BYTES, sendMs: 0, awaitsContinue: false, readBytesPerSecond: Infinity, giveUpMs: GIVE_UP_MS })
    records.push({ id, route, answer })
    await timers.setTimeout(random() * (random() < LONG_REST_SHARE ? SHORTEST_IDLE_MS * REST_SHARE : SHORT_REST_MS), null, { signal: stopping }).catch(() => {})
  }
  connection.close()
}

function formatWholeBody ({ id, route }: CallRecord): string {
  if (route === 'read' || route === 'write') return testing.formatPayload(id, PLAIN_BYTES)
  return Array.from({ length: EVENTS }, (_, index) => testing.formatEvent(index + 1, testing.formatPayload(`${id}/${index + 1}`, EVENT_BYTES))).join('')
}

function isAnswered ({ answer }: CallRecord): boolean {
  return answer.isWhole && answer.status === OK
}

/** Whether a success, whole or not, holds other bytes than those of one run from its begin on. */
function isWrong (record: CallRecord): boolean {
  const { answer } = record
  const whole = formatWholeBody(record)
  const body = answer.body.toString()
  return answer.status === OK && (answer.isWhole ? body !== whole : !whole.startsWith(body))
}

function describe ({ id, route, answer }: CallRecord): string {
  const { status, beganAt, endedAt, error, body } = answer
  return `${id} ${route}: status ${status}, ${body.length} bytes, after ${Math.round(endedAt - beganAt)} ms, ${error}`
}

function listRunTwice (engines: readonly SilentEngine[], records: readonly CallRecord[]): string[] {
  const onceIds = new Set(records.filter(({ route }) => route === 'write' || route === 'talk').map(({ id }) => id))
  const ran = engines.flatMap(({ standIn }) => standIn.arrivals).filter((arrival) => arrival.ran && onceIds.has(arrival.requestId)).map(({ requestId }) => requestId)
  return ran.filter((id, index) => ran.indexOf(id) !== index)
}

async function beSilentOneByOne (engines: readonly SilentEngine[]): Promise<void> {
  for (const engine of engines.filter(({ service }) => service === 'llm')) {
    await engine.beSilent()
    await types.delay(PAUSE_MS)
  }
}

async function beSilentTogether (engines: readonly SilentEngine[]): Promise<void> {
  for (let round = 0; round < ROUNDS; round += 1) {
    await Promise.all(engines.map(async ({ beSilent }) => { await beSilent() }))
    await types.delay(PAUSE_MS)
  }
}

const PLAYS = [
  { which: 'one engine after the other is', host: '127.0.0.61', beSilent: beSilentOneByOne },
  { which: 'all engines are', host: '127.0.0.62', beSilent: beSilentTogether }
]

nodeTest.describe('calls beside changes of the configuration', { concurrency: true }, () => {
  for (const { which, host, beSilent } of PLAYS) {
    nodeTest.test(`no call is cut or resumed wrongly while ${which} silent for about a second beside changes of the configuration`, LIMIT, async (context) => {
      const fleet = await fleetTesting.createTestFleet(context)
      let base: testing.Configuration | null = null
      fleet.configure((configuration) => {
        setUp(configuration)
        base = structuredClone(configuration)
      })
      const engines = await Promise.all([
        ...Array.from({ length: STREAM_ENGINES }, async (_, index) => await startSilentEngine(fleet, 'llm', index)),
        ...['api', 'api-2'].flatMap((service) => ZONES.map(async (_, index) => await startSilentEngine(fleet, service, index)))
      ])
      const running = { fleet, engines }
      const gateway = programTesting.startProgram(context, programTesting.formatGatewaySettings(fleet, host, '[bounds]\nevacuation_ms = 5000\n'))
      const callers = { host, port: fleet.ports.callers }
      await gateway.waitForOutput('event=started')
      for (const path of ['/read/probe', '/stream/probe', '/talk/probe?stream=1']) await fleet.waitForAnswer(callers, path, OK)

      let turn = 0
      const changing = setInterval(() => {
        announceQuota(running, null)
        fleet.store.remove(platform.OBJECT_KINDS.evacuations, ZONES[1])
        fleet.configure((configuration) => {
          Object.assign(configuration, structuredClone(base), { version: configuration.version })
          CHANGES[turn % CHANGES.length]?.(configuration, running)
        })
        turn += 1
      }, CHANGE_MS)
      context.after(() => { clearInterval(changing) })
      const records: CallRecord[] = []
      const stopping = new AbortController()
      const calls = Promise.all(Array.from({ length: CALLERS }, async (_, index) => { await runCaller(callers, index, records, stopping.signal) }))
      await types.delay(PAUSE_MS)
      await beSilent(engines)
      stopping.abort()
      await calls
      clearInterval(changing)

      const answered = records.filter(isAnswered).length
      const refused = records.filter(({ answer }) => answer.isWhole && answer.status !== OK).length
      const cut = records.filter(({ answer }) => answer.sentAt !== null && !answer.isWhole)
      context.diagnostic(`${records.length} calls: ${answered} answered, ${refused} refused, ${cut.length} cut; ${turn} changes`)
      assert.deepEqual(cut.map(describe), [], `${cut.length} of ${records.length}\n${gateway.output().split('\n').filter((line) => /call-cut|call-broken|ending=(failed|expired)/.test(line)).slice(-20).join('\n')}`)
      assert.deepEqual(records.filter(isWrong).map(describe), [])
      assert.deepEqual(listRunTwice(engines, records), [])
      assert.ok(answered >= FEWEST_ANSWERS, `${answered} answered`)
      assert.ok(turn >= CHANGES.length, `${turn} changes`)
    })
  }
})
