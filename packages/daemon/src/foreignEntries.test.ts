/**
 * Guards against calls that are lost beside a sound engine because of an entry of another writer in service discovery: with an address or a name that no request can
 * hold, its attempts threw, which ended the calls, and it was preferred since it never had a call in progress.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as gateway from '@switchridge/gateway'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import type * as types from '@switchridge/types'
import * as createBackEndList from './_lib/createBackEndList.js'
import * as fleetTesting from './_lib/fleetTesting.js'
import * as simulatedCallPath from './_lib/simulatedCallPath.js'
import * as createVersionRecord from './createVersionRecord/index.js'

const LIMIT = { timeout: 120_000 }
const ENTRIES = 1000
const CALLS_EACH = 3
const SEED = 41
const STATUS_SERVED = 200
const MODEL = { name: simulatedCallPath.MODEL, version: 1 }
const FIGURES: gateway.EngineFigures = { slots: 16, models: [MODEL.name], layers: 4, chunks: 0, chunkBytes: 0, stepMs: 1, stepMsPerSequence: 0.1, prefillTokensPerMs: 10, usualPromptTokens: 10, usualAnswerTokens: 10 }
const UNUSED_ADDRESS = '127.0.0.1:9'

const ODD_ADDRESSES = ['', ':', '127.0.0.1', '127.0.0.1:', '127.0.0.1:0', '127.0.0.1:00', '127.0.0.1:65535', '127.0.0.1:65536', '127.0.0.1:70000', '127.0.0.1:99999', '127.0.0.1:-1', '127.0.0.1:1e3', '127.0.0.1:8 ', '127.0.0.256:80', '127.1:80', '127.0.0.1:80:80', 'localhost:80', '[::1]:80', '127.0.0.1\n:80', '127.0.0.1:9\r\n']
const ODD_NAMES = ['', ' ', ' x', 'x ', '東京', 'Zürich', 'a\r\nb: c', 'a\0', 'a\tb', '\u007f', '\ud800', 'x'.repeat(300), 'x'.repeat(20_000), '__proto__', 'constructor', '../x']
const ODD_NUMBERS = [0, -1, 0.5, 1e300, -1e300, 2 ** 31, 2 ** 53, Number.MAX_SAFE_INTEGER]
const ODD_VALUES = [undefined, null, true, '', [], {}, ...ODD_NUMBERS, ...ODD_NAMES, ...ODD_ADDRESSES, [MODEL, MODEL], [{ ...MODEL, version: 1e300 }], [{ ...MODEL, version: -1 }], [null], { source: 0, targetVersion: 2 ** 53, version: 1 }]
const FIELDS = ['name', 'service', 'address', 'zone', 'version', 'slots', 'state', 'coldRemainingMs', 'stage', 'models', 'layers', 'sequence', 'born']

const replacements = fastCheck.record({ field: fastCheck.constantFrom(...FIELDS), value: fastCheck.oneof(fastCheck.constantFrom(...ODD_VALUES), fastCheck.jsonValue()), isServed: fastCheck.boolean() })

/** Sends attempts over loopback only. */
function sendOverLoopback (request: gateway.AttemptRequest): gateway.Attempt {
  if (request.address.host.startsWith('127.')) return gateway.sendAttempt(request)
  return { start: Promise.resolve({ kind: 'not-sent', reason: 'not on loopback' }), abort: () => {} }
}

nodeTest.test('entries with any field replaced cost no call that a sound engine can serve, and each that can\'t be parsed is reported', LIMIT, async (context) => {
  const [sound, other] = await Promise.all(['i-sound', 'i-other'].map(async (id) => await testing.createEngineStandIn({ id, model: MODEL.name, version: MODEL.version })))
  assert.ok(sound !== undefined && other !== undefined)
  context.after(() => { for (const engine of [sound, other]) engine.close() })
  const versions = createVersionRecord.createVersionRecord({ boundMs: 1000, marginMs: 0, startupBoundMs: 1000, onBound: () => {}, now: () => performance.now() })
  const protocol = platform.createCallProtocol()
  const soundEntry = { name: sound.id, revision: 1, value: testing.describeEngine(sound, simulatedCallPath.SERVICE, 'zone-a', MODEL) }
  const otherEntry = testing.describeEngine(other, simulatedCallPath.SERVICE, 'zone-a', MODEL) as Readonly<Record<string, unknown>>
  const faults: string[] = []
  let reported = 0
  let chosen = 0
  for (const [index, { field, value, isServed }] of fastCheck.sample(replacements, { seed: SEED, numRuns: ENTRIES }).entries()) {
    const foreign = { ...otherEntry, ...(isServed ? {} : { address: UNUSED_ADDRESS }), ...(field === 'name' ? {} : { [field]: value }) }
    const name = field === 'name' && typeof value === 'string' ? value : 'i-other'
    let unreadable = 0
    const list = createBackEndList.createBackEndList({ layersOf: () => FIGURES.layers, onUnreadable: () => { unreadable += 1 } })
    const objects = new Map([[name, { name, revision: 2, value: foreign }], [sound.id, soundEntry]])
    list.update(objects)
    list.update(objects)
    reported += unreadable
    if (unreadable + list.all().length !== objects.size) faults.push(`${field} ${JSON.stringify(value)}: ${unreadable} reports`)
    const path = simulatedCallPath.createSimulatedCallPath({
      zone: 'zone-a',
      gateways: 1,
      figures: FIGURES,
      versions,
      backEnds: () => list.all().filter(({ service }) => service === simulatedCallPath.SERVICE),
      sendAttempt: (request) => {
        if (request.address.port !== sound.address.port) chosen += 1
        return sendOverLoopback(request)
      },
      route: { kind: 'once', isResumable: false },
      budget: { noteCall: () => {}, trySpend: () => true } as unknown as gateway.RetryBudget,
      protocol: { ...protocol, readCall: (request) => (request as unknown as { readonly call: gateway.CallHead }).call, formatAttempt: (call, attempt) => ['Host', 'h', 'Request-Id', call.requestId, ...protocol.formatAttempt(call, attempt)] },
      now: () => performance.now(),
      random: () => 0.5
    })
    await Promise.all(Array.from({ length: CALLS_EACH }, async (_, call) => {
      const status = await new Promise((resolve) => { path.call({ requestId: `r-${index}-${call}`, promptTokens: 10, events: 1, bodyBytes: 2, remainingMs: 6000, onEnded: resolve }) })
      if (status !== STATUS_SERVED) faults.push(`${field} ${JSON.stringify(value)}: ${String(status)}`)
    }))
  }
  context.diagnostic(`${reported} of ${ENTRIES} entries reported, ${chosen} attempts at the others`)
  assert.deepEqual(faults, [])
  assert.ok(reported > 0 && chosen > 0)
})

const HOST = '127.0.0.1'
const CALLERS = 8
const CALLS = 5
const UNREADABLE = { 'x-port': { address: '127.0.0.1:70000' }, 'x-zero': { address: '127.0.0.1:0' }, 'x-slots': { slots: undefined }, 'x-\n': {}, 東京: {} }

nodeTest.test('a gateway serves every call of a service beside entries that name no engine, and reports each change of them once', LIMIT, async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const engine = await fleet.startEngine({ id: 'i-1', shapeAnswer: () => ({ delayMs: 20 }) }, 'api')
  const gatewayAddress = await fleet.startGateway(HOST)
  await fleetTesting.waitUntilServed(gatewayAddress, '/write/probe')
  const kind = platform.OBJECT_KINDS.backEnds
  for (const round of [1, 2]) {
    for (const [name, change] of Object.entries(UNREADABLE)) {
      fleet.store.put(kind, name, { ...testing.describeEngine(engine, 'api', 'zone-a') as object, sequence: round, ...change })
    }
    await fleet.waitForRevision(kind, fleet.store.copy().revision)
    assert.deepEqual(await callAll(gatewayAddress, round), [])
    assert.equal(await fleet.readCounter(HOST, 'objects_unreadable', kind), round * Object.keys(UNREADABLE).length)
  }
  assert.equal(engine.arrivals.filter(({ ran }) => !ran).length, 0)
})

/** Returns the statuses of the calls that were not served. */
async function callAll (address: types.Address, round: number): Promise<number[]> {
  const statuses = await Promise.all(Array.from({ length: CALLERS }, async (_, caller) => {
    const own: number[] = []
    for (let index = 0; index < CALLS; index += 1) own.push((await fleetTesting.call(address, { method: 'POST', path: '/write/x', id: `w-${round}-${caller}-${index}`, body: 'order' })).status)
    return own
  }))
  return statuses.flat().filter((status) => status !== STATUS_SERVED)
}
