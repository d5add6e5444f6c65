import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as observability from '@switchridge/observability'
import * as types from '@switchridge/types'
import * as createProcessLifecycle from './index.js'

interface Fixture {
  time: number
  readonly send: (signal: NodeJS.Signals) => Promise<void>
  readonly register: observability.CallRegister
  readonly lines: string[]
  readonly exits: number[]
  readonly endDrain: () => void
}

const TURNS = 10
const MAXIMUM_TURNS = 1000
const TURN_MS = 5

interface FixtureOptions {
  readonly whileStarting?: (send: (signal: NodeJS.Signals) => Promise<void>, raise: (error: unknown) => void) => Promise<void>
  /** Errors of the role's drain and stop. */
  readonly failure?: Error
}

async function createFixture ({ whileStarting = async () => {}, failure }: FixtureOptions = {}): Promise<Fixture> {
  const lines: string[] = []
  const exits: number[] = []
  const handlers = new Map<NodeJS.Signals, () => void>()
  const clock = { time: 0 }
  const write = (event: string, fields: unknown): void => { lines.push(`${event} ${JSON.stringify(fields)}`) }
  const logger = { debug: write, info: write, warn: write, error: write }
  const register = observability.createCallRegister({ logger, count: () => {}, readConfiguration: () => null, now: () => clock.time })
  let endDrain = (): void => {}
  const drained = new Promise<void>((resolve) => { endDrain = resolve })
  const send = async (signal: NodeJS.Signals): Promise<void> => {
    handlers.get(signal)?.()
    for (let turn = 0; turn < TURNS; turn += 1) await types.delay(0)
  }
  let raise: (error: unknown) => void = () => {}
  const lifecycle = createProcessLifecycle.createProcessLifecycle({
    onSignal: (signal, handle) => { handlers.set(signal, handle) },
    onUncaughtError: (handle) => { raise = handle },
    onLogError: () => {},
    flush: async () => { lines.push('flush') },
    exit: (code) => { exits.push(code) },
    writeLine: (line) => { lines.push(line) },
    now: () => clock.time
  })
  await lifecycle.serve(async () => {
    await whileStarting(send, raise)
    return {
      role: {
        drain: async () => {
          if (failure !== undefined) throw failure
          await drained
        },
        stop: () => {
          lines.push('stop')
          if (failure !== undefined) throw failure
        },
        calls: register,
        logger,
        count: () => {}
      },
      reload: () => { lines.push('reload') }
    }
  })
  return Object.assign(clock, { register, lines, exits, endDrain, send })
}

nodeTest.test('a drain is logged from its signal to the exit, with the calls that ended meanwhile', async () => {
  const fixture = await createFixture()
  const earlier = fixture.register.open({ id: 'a', readPhase: () => 'sent' })
  earlier.noteEnding('answered')
  earlier.close('delivered')
  const call = fixture.register.open({ id: 'b', readPhase: () => 'answering' })
  fixture.register.open({ id: 'c', readPhase: () => 'delivering' })
  await fixture.send('SIGTERM')
  fixture.time = 300
  call.noteEnding('answered')
  call.close('delivered')
  fixture.endDrain()
  await fixture.send('SIGHUP')
  assert.deepEqual(fixture.lines, [
    'signal {"signal":"SIGTERM","times":1,"phase":"serving","inProgress":2}',
    'drain-began {"signal":"SIGTERM","inProgress":2}',
    'signal {"signal":"SIGHUP","times":1,"phase":"draining","inProgress":1}',
    'reload',
    'call-cut {"id":"c","phase":"delivering","ageMs":300,"configuration":null,"reason":"stopped"}',
    'drain-ended {"ms":300,"answered":1,"cut":1}',
    'stop',
    'exit {"code":0,"uptimeMs":300}',
    'flush'
  ])
  assert.deepEqual(fixture.exits, [0])
})

nodeTest.test('further stop signals in a drain are logged and end nothing, and SIGQUIT ends the process with the calls that it cuts in the log', async () => {
  const fixture = await createFixture()
  fixture.register.open({ id: 'a', readPhase: () => 'answering' })
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGTERM', 'SIGQUIT', 'SIGQUIT', 'SIGTERM', 'SIGHUP'] as const) await fixture.send(signal)
  fixture.endDrain()
  await fixture.send('SIGINT')
  assert.deepEqual(fixture.lines, [
    'signal {"signal":"SIGTERM","times":1,"phase":"serving","inProgress":1}',
    'drain-began {"signal":"SIGTERM","inProgress":1}',
    'signal {"signal":"SIGINT","times":1,"phase":"draining","inProgress":1}',
    'signal {"signal":"SIGTERM","times":2,"phase":"draining","inProgress":1}',
    'signal {"signal":"SIGQUIT","times":1,"phase":"draining","inProgress":1}',
    'call-cut {"id":"a","phase":"answering","ageMs":0,"configuration":null,"reason":"forced"}',
    'stop',
    'exit {"code":4,"uptimeMs":0}',
    'flush'
  ])
  assert.deepEqual(fixture.exits, [4])
})

nodeTest.test('signals during the start of the role wait for it, and a stop signal among them begins the drain', async () => {
  const fixture = await createFixture({
    whileStarting: async (send) => {
      for (const signal of ['SIGHUP', 'SIGTERM', 'SIGINT'] as const) await send(signal)
    }
  })
  fixture.endDrain()
  await fixture.send('SIGTERM')
  assert.deepEqual(fixture.lines, [
    'signal {"signal":"SIGHUP","times":1,"phase":"starting"}',
    'signal {"signal":"SIGTERM","times":1,"phase":"starting"}',
    'signal {"signal":"SIGINT","times":1,"phase":"starting"}',
    'reload',
    'drain-began {"signal":"SIGTERM","inProgress":0}',
    'signal {"signal":"SIGTERM","times":2,"phase":"draining","inProgress":0}',
    'drain-ended {"ms":0}',
    'stop',
    'exit {"code":0,"uptimeMs":0}',
    'flush'
  ])
  assert.deepEqual(fixture.exits, [0])
})

nodeTest.test('SIGQUIT during the start of the role ends the process at once', async () => {
  const fixture = await createFixture({ whileStarting: async (send) => { await send('SIGQUIT') } })
  assert.deepEqual(fixture.lines, ['level=info event=exit code=4 uptimeMs=0 signals=SIGQUIT', 'flush'])
  assert.deepEqual(fixture.exits, [4])
})

nodeTest.test('an error during the start that nothing handles ends the process with its stack in the log', async () => {
  const failure = new Error('no memory')
  failure.stack = 'stack'
  const fixture = await createFixture({ whileStarting: async (_send, raise) => { raise(failure) } })
  for (let turn = 0; turn < TURNS; turn += 1) await types.delay(0)
  assert.deepEqual(fixture.lines, ['switchridged: stack', 'level=info event=exit code=1 uptimeMs=0 signals=', 'flush'])
  assert.deepEqual(fixture.exits, [1])
})

nodeTest.test('a drain that fails cuts no calls, and a stop that fails loses no exit', async () => {
  const failure = new Error('store gone')
  failure.stack = 'stack'
  const fixture = await createFixture({ failure })
  const call = fixture.register.open({ id: 'a', readPhase: () => 'answering' })
  await fixture.send('SIGTERM')
  assert.deepEqual(fixture.exits, [])
  call.noteEnding('answered')
  call.close('delivered')
  for (let turn = 0; turn < MAXIMUM_TURNS && fixture.exits.length === 0; turn += 1) await types.delay(TURN_MS)
  assert.deepEqual(fixture.lines.slice(2), [
    'drain-failed {"error":"store gone","stack":"stack"}',
    'drain-ended {"ms":0,"answered":1}',
    'stop',
    'stop-failed {"error":"store gone","stack":"stack"}',
    'exit {"code":1,"uptimeMs":0}',
    'flush'
  ])
  assert.deepEqual(fixture.exits, [1])
})
