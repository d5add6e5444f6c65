/** Signals to the bundled program in every phase of its process. Sequences repeat a signal, as a supervisor does that signals a process group and passes the signal on. */
import * as assert from 'node:assert/strict'
import * as fs from 'node:fs'
import * as nodeTest from 'node:test'
import * as got from 'got'
import * as rpc from '@switchridge/rpc'
import * as spread from '@switchridge/spread'
import * as standins from '@switchridge/standins'
import * as store from '@switchridge/store'
import * as tables from '@switchridge/table'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as fleetTesting from './_lib/fleetTesting.js'
import * as programTesting from './_lib/programTesting.js'

/** Longer than the drain of an entry node with `drain_seconds = 1`. */
const STOPPED_MS = 1500
const CALLS = 8
/** A stream takes `EVENTS` times `EVENT_MS`. */
const EVENTS = 12
const EVENT_MS = 100
const WORK_MS = 1200
/** Much longer than a stream, so that no time-out cuts one beside other load. */
const CALL_TIMEOUT_MS = 6000
const TEST_TIMEOUT_MS = 60_000
const AGENT_HOST_PREFIX = '127.0.0.4'
const THROW_ON_SIGUSR2 = '--import=data:text/javascript,process.on(%22SIGUSR2%22,()=>{Promise.reject(Error(%22rejected%22));throw(Error(%22thrown%22))})'
const OPTIONS = { timeout: TEST_TIMEOUT_MS }

const STOP_SEQUENCES: ReadonlyArray<{ readonly host: string, readonly signals: readonly NodeJS.Signals[] }> = [
  { host: '127.0.0.31', signals: ['SIGTERM', 'SIGTERM'] },
  { host: '127.0.0.32', signals: Array.from({ length: 10 }, () => 'SIGINT' as const) },
  { host: '127.0.0.33', signals: ['SIGHUP', 'SIGTERM', 'SIGHUP', 'SIGINT', 'SIGTERM', 'SIGINT', 'SIGHUP'] }
]

async function sendSignals (program: programTesting.StartedProgram, signals: readonly NodeJS.Signals[]): Promise<void> {
  for (const signal of signals) {
    program.child.kill(signal)
    await types.delay(1)
  }
}

/** Sends the signals, and further ones once the drain has begun, since the system merges equal signals that a busy process hasn't taken yet. */
async function sendStopSignals (program: programTesting.StartedProgram, signals: readonly NodeJS.Signals[]): Promise<void> {
  await sendSignals(program, signals)
  await program.waitForOutput('event=drain-began')
  await sendSignals(program, ['SIGTERM', 'SIGINT'])
}

async function createFleet (context: nodeTest.TestContext): Promise<{ fleet: fleetTesting.TestFleet, engine: testing.EngineStandIn }> {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure(({ routes }) => { for (const route of routes) route['timeoutMs'] = CALL_TIMEOUT_MS })
  const engine = await fleet.startEngine({ id: 'i-1', ...fleetTesting.STREAM_SERVICE.engine, events: EVENTS, eventMs: EVENT_MS })
  return { fleet, engine }
}

async function callStream (gateway: types.Address, id: string): Promise<testing.CallerAnswer> {
  const headers = { ...testing.formatModelHeaders(fleetTesting.MODEL), 'deadline-remaining': String(CALL_TIMEOUT_MS) }
  return await fleetTesting.call(gateway, { method: 'POST', path: fleetTesting.STREAM_SERVICE.path, id, body: 'quote', headers })
}

/** Starts streams through a gateway, disturbs it once all of them run at the engine, and returns the answers. */
async function streamAcross (callers: types.Address, engine: testing.EngineStandIn, disturb: () => Promise<void>): Promise<testing.CallerAnswer[]> {
  await fleetTesting.waitWithLimit(async () => (await callStream(callers, 'probe')).status === 200)
  const ids = Array.from({ length: CALLS }, (_, index) => `${callers.host}-${engine.arrivals.length}-${index}`)
  const answers = Promise.all(ids.map(async (id) => await callStream(callers, id)))
  await fleetTesting.waitWithLimit(async () => ids.every((id) => engine.arrivals.some(({ requestId }) => requestId === id)))
  await disturb()
  return await answers
}

function assertWhole (answers: readonly testing.CallerAnswer[], { output }: programTesting.StartedProgram): void {
  const received = answers.map(({ status, isWhole }) => ({ status, isWhole }))
  assert.deepEqual(received, answers.map(() => ({ status: 200, isWhole: true })), `${JSON.stringify(received)}\n${output()}`)
}

nodeTest.test('further stop signals do not cut the streams of a draining gateway', OPTIONS, async (context) => {
  const { fleet, engine } = await createFleet(context)
  await Promise.all(STOP_SEQUENCES.map(async ({ host, signals }) => {
    const gateway = programTesting.startProgram(context, programTesting.formatGatewaySettings(fleet, host))
    assertWhole(await streamAcross({ host, port: fleet.ports.callers }, engine, async () => { await sendStopSignals(gateway, signals) }), gateway)
    assert.equal(await gateway.ended, 0)
    for (const signal of ['SIGTERM', 'SIGINT']) assert.match(gateway.output(), new RegExp(`event=signal .*signal=${signal} .*phase=draining`))
  }))
})

nodeTest.test('further stop signals do not change how an agent ends', OPTIONS, async (context) => {
  const { fleet, engine } = await createFleet(context)
  await Promise.all(STOP_SEQUENCES.map(async ({ signals }, index) => {
    const host = `${AGENT_HOST_PREFIX}${index}`
    const agent = programTesting.startProgram(context, programTesting.formatAgentSettings(fleet, host, engine.address))
    await agent.waitForOutput('event=started')
    await sendSignals(agent, signals)
    assert.equal(await agent.ended, 0)
  }))
})

nodeTest.test('SIGQUIT ends a draining gateway at once and logs each stream that it cuts', OPTIONS, async (context) => {
  const { fleet, engine } = await createFleet(context)
  const host = '127.0.0.31'
  const gateway = programTesting.startProgram(context, programTesting.formatGatewaySettings(fleet, host))
  const answers = await streamAcross({ host, port: fleet.ports.callers }, engine, async () => { await sendSignals(gateway, ['SIGTERM', 'SIGQUIT']) })
  assert.ok(answers.every(({ isWhole }) => !isWhole))
  assert.equal(await gateway.ended, 4)
  assert.equal(gateway.output().match(/event=call-cut .*reason=forced/g)?.length, CALLS)
  assert.match(gateway.output(), /event=exit .*code=4 [^\n]*\n$/)
})

nodeTest.test('a log reader that is gone cuts no streams of a draining gateway', OPTIONS, async (context) => {
  const { fleet, engine } = await createFleet(context)
  const host = '127.0.0.31'
  const gateway = programTesting.startProgram(context, programTesting.formatGatewaySettings(fleet, host))
  assertWhole(await streamAcross({ host, port: fleet.ports.callers }, engine, async () => {
    for (const output of [gateway.child.stdout, gateway.child.stderr]) output?.destroy()
    await sendSignals(gateway, ['SIGTERM'])
  }), gateway)
  assert.equal(await gateway.ended, 0)
})

nodeTest.test('errors that nothing handles cut no streams of a gateway', OPTIONS, async (context) => {
  const { fleet, engine } = await createFleet(context)
  const sequences: ReadonlyArray<readonly NodeJS.Signals[]> = [['SIGUSR2'], ['SIGTERM', 'SIGUSR2']]
  await Promise.all(sequences.map(async (signals, index) => {
    const host = `127.0.0.3${index}`
    const gateway = programTesting.startProgram(context, programTesting.formatGatewaySettings(fleet, host), { nodeOptions: THROW_ON_SIGUSR2 })
    assertWhole(await streamAcross({ host, port: fleet.ports.callers }, engine, async () => { await sendSignals(gateway, signals) }), gateway)
    assert.equal(await gateway.ended, 1)
    for (const error of ['thrown', 'rejected']) assert.match(gateway.output(), new RegExp(`event=uncaught-error .*${error}`))
  }))
})

interface OwnHall {
  readonly entry: programTesting.StartedProgram
  readonly backend: programTesting.StartedProgram
  readonly call: () => Promise<string>
  /** Sends calls; resolves once all of them run at the service. */
  readonly startCalls: () => Promise<{ readonly answers: Promise<string[]> }>
}

async function serveApp (context: nodeTest.TestContext, app: ReturnType<typeof standins.createPlatformStandIn>, onRequest: () => void = () => {}): Promise<string> {
  const handle = app.callback()
  const listener = await rpc.listenHttp((request, response) => {
    onRequest()
    void handle(request, response)
  }, { host: types.LOOPBACK_HOST, port: 0 })
  context.after(() => { listener.abort() })
  return `http://${listener.address.host}:${listener.address.port}`
}

function formatOwnSettings (role: string, host: string, entryHost: string, platformUrl: string): string {
  const { internal } = fleetTesting.choosePorts()
  return `role = "${role}"\nnode = "${role}"\ndeployment = "test"\ndata_hall = "hall"\nregion = "region"\nentry_nodes = ["${entryHost}:${internal}"]\n` +
    `[platform]\nurl = "${platformUrl}"\n[origin]\nurl = "${platformUrl}"\n[listen]\nhost = "${host}"\nport = ${internal}\n`
}

function formatEntrySettings (host: string, platformUrl: string, limits = ''): string {
  return `${formatOwnSettings('entry', host, host, platformUrl)}caller_port = ${fleetTesting.choosePorts().callers}\n[limits]\n${limits}`
}

function formatBackendSettings (host: string, { entryHost, platformUrl, serviceUrl }: Readonly<Record<'entryHost' | 'platformUrl' | 'serviceUrl', string>>): string {
  return `${formatOwnSettings('backend', host, entryHost, platformUrl)}[back_end]\nservice = "api"\nkind = "plain"\nurl = "${serviceUrl}"\n`
}

/** Starts an entry node and a backend daemon as programs, beside a plain service. */
async function startOwnHall (context: nodeTest.TestContext, { entryHost, backendHost, limits }: { entryHost: string, backendHost: string, limits?: string }): Promise<OwnHall> {
  const { callers } = fleetTesting.choosePorts()
  const platformUrl = await serveApp(context, standins.createPlatformStandIn())
  let arrivals = 0
  const serviceUrl = await serveApp(context, standins.createPlainServiceStandIn(WORK_MS), () => { arrivals += 1 })
  const objects = store.createObjectStore({ url: platformUrl, timeoutMs: 2000, agents: rpc.createHttpAgents() })
  const changes = Object.entries({ id: 'api', kind: 'plain' }).map(([column, after]): types.CellChange => ({ section: 'services', row: 'api', column, before: null, after }))
  assert.ok((await tables.editTable(objects, { editId: types.brandId('api'), editor: 'test', changes }, { attempts: 2 })).ok)
  const entry = programTesting.startProgram(context, formatEntrySettings(entryHost, platformUrl, limits))
  const backend = programTesting.startProgram(context, formatBackendSettings(backendHost, { entryHost, platformUrl, serviceUrl }))
  const call = async (): Promise<string> => {
    const answer = await got.got(`http://${entryHost}:${callers}/services/api/stock`, { retry: { limit: 0 }, throwHttpErrors: false }).catch((thrown: unknown) => ({ headers: { 'x-switchridge-outcome': types.describeError(thrown) } }))
    return String(answer.headers['x-switchridge-outcome'])
  }
  const startCalls = async (): Promise<{ readonly answers: Promise<string[]> }> => {
    const earlierArrivals = arrivals
    const answers = Promise.all(Array.from({ length: CALLS }, call))
    await fleetTesting.waitWithLimit(async () => arrivals >= earlierArrivals + CALLS)
    return { answers }
  }
  await fleetTesting.waitWithLimit(async () => await call() === 'answered')
  return { entry, backend, call, startCalls }
}

nodeTest.test('further stop signals do not cut the calls of a draining entry node and backend daemon', OPTIONS, async (context) => {
  await Promise.all(STOP_SEQUENCES.map(async ({ host, signals }, index) => {
    const { entry, backend, startCalls } = await startOwnHall(context, { entryHost: host, backendHost: `${AGENT_HOST_PREFIX}${index}` })
    const { answers } = await startCalls()
    await Promise.all([entry, backend].map(async (program) => { await sendStopSignals(program, signals) }))
    assert.deepEqual(await answers, Array.from({ length: CALLS }, () => 'answered'))
    assert.deepEqual(await Promise.all([entry.ended, backend.ended]), [0, 0])
  }))
})

nodeTest.test('an entry node that must not wait for its calls answers them before it ends', OPTIONS, async (context) => {
  const { entry, startCalls } = await startOwnHall(context, { entryHost: '127.0.0.31', backendHost: `${AGENT_HOST_PREFIX}0`, limits: 'drain_seconds = 0\n' })
  const { answers } = await startCalls()
  entry.child.kill('SIGTERM')
  assert.deepEqual(await answers, Array.from({ length: CALLS }, () => 'unknown'))
  assert.equal(await entry.ended, 0)
})

nodeTest.test('an entry node that stands still until its drain is over answers its calls before it ends', OPTIONS, async (context) => {
  const { entry, startCalls } = await startOwnHall(context, { entryHost: '127.0.0.32', backendHost: `${AGENT_HOST_PREFIX}1`, limits: 'drain_seconds = 1\n' })
  const { answers } = await startCalls()
  entry.child.kill('SIGTERM')
  await entry.waitForOutput('event=drain-began')
  entry.child.kill('SIGSTOP')
  await types.delay(STOPPED_MS)
  entry.child.kill('SIGCONT')
  assert.deepEqual((await answers).filter((outcome) => outcome !== 'unknown' && outcome !== 'answered'), [])
  assert.equal(await entry.ended, 0)
})

/** Settings of every role, on addresses of their own. */
async function formatAllSettings (context: nodeTest.TestContext): Promise<string[]> {
  const { fleet, engine } = await createFleet(context)
  const platformUrl = await serveApp(context, standins.createPlatformStandIn())
  return [
    programTesting.formatGatewaySettings(fleet, '127.0.0.35'),
    programTesting.formatAgentSettings(fleet, '127.0.0.36', engine.address),
    formatEntrySettings('127.0.0.37', platformUrl),
    formatBackendSettings('127.0.0.38', { entryHost: '127.0.0.37', platformUrl, serviceUrl: platformUrl })
  ]
}

nodeTest.test('SIGHUP does not end a program that has not read its settings yet', OPTIONS, async (context) => {
  await Promise.all((await formatAllSettings(context)).map(async (settings) => {
    const program = await programTesting.startProgramSlowly(context, settings, async ({ child }) => { child.kill('SIGHUP') })
    assert.equal(await Promise.race([program.ended, program.waitForOutput('event=started')]), undefined)
    program.child.kill('SIGTERM')
    assert.equal(await program.ended, 0)
  }))
})

nodeTest.test('a stop signal before a program has read its settings ends it with 0', OPTIONS, async (context) => {
  await Promise.all((await formatAllSettings(context)).map(async (settings) => {
    const program = await programTesting.startProgramSlowly(context, settings, async (starting) => { await sendSignals(starting, ['SIGTERM', 'SIGINT']) })
    assert.equal(await program.ended, 0)
    assert.doesNotMatch(program.output(), /event=started/)
  }))
})

nodeTest.test('settings that change while a gateway starts are applied', OPTIONS, async (context) => {
  const { fleet } = await createFleet(context)
  const settings = programTesting.formatGatewaySettings(fleet, '127.0.0.35')
  const seed = '127.0.0.39'
  const received: string[] = []
  const socket = await spread.openDatagrams(seed, fleet.ports.internal)((_bytes, from) => { received.push(from) })
  context.after(() => { socket.close() })
  const later = settings.replace('seeds = [', `seeds = ["${seed}:1",`)
  const gateway = await programTesting.startProgramSlowly(context, settings, async () => {}, later)
  await gateway.waitForOutput('event=started')
  await fleetTesting.waitWithLimit(async () => received.includes('127.0.0.35'))
})

nodeTest.test('settings that are read half written cut no streams and remove nothing', OPTIONS, async (context) => {
  const { fleet, engine } = await createFleet(context)
  const host = '127.0.0.35'
  const settings = programTesting.formatGatewaySettings(fleet, host)
  const gateway = programTesting.startProgram(context, settings)
  const withoutLimits = settings.indexOf('[limits]')
  assertWhole(await streamAcross({ host, port: fleet.ports.callers }, engine, async () => {
    for (const length of [0, settings.indexOf('[listen]'), withoutLimits - 1, withoutLimits, settings.length]) {
      fs.writeFileSync(gateway.settingsFile, settings.slice(0, length))
      await sendSignals(gateway, ['SIGHUP', 'SIGHUP'])
    }
  }), gateway)
  assertWhole(await streamAcross({ host, port: fleet.ports.callers }, engine, async () => { await sendStopSignals(gateway, ['SIGHUP', 'SIGTERM']) }), gateway)
  assert.equal(await gateway.ended, 0)
})
