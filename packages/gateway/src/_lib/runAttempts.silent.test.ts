/** Guards against streams that are cut because a silent engine is given up before another one goes on, and against events of two attempts in one stream. */
import * as assert from 'node:assert/strict'
import type * as http from 'node:http'
import * as nodeTest from 'node:test'
import * as nodeStream from 'node:stream'
import * as types from '@switchridge/types'
import type * as chooseBackEnd from '../chooseBackEnd/index.js'
import * as createBackEndTracker from '../createBackEndTracker/index.js'
import type * as sendAttempt from '../sendAttempt/index.js'
import type * as callOptions from './callOptions.js'
import type * as answers from './answers.js'
import * as callState from './callState.js'
import * as handlerTesting from './handlerTesting.js'
import type * as logCall from './logCall.js'
import * as runAttempts from './runAttempts.js'
import * as createSizeShares from '../createSizeShares/index.js'

const DEADLINE_MS = 60_000
/** Time after which another engine is requested, for both the first event and the next one. */
const SILENCE_MS = 800
const MAXIMUM_ATTEMPTS = 3
const SETTLE_TURNS = 20
const LIMIT = { timeout: 10_000 }

/** What an engine's answer says; a `number` is the version of the weights of a stream. */
type Head = number | 'refused' | 'not-reached' | 'broken' | 'error' | 'not-found'

const STATUSES = { error: 500, 'not-found': 404 }

interface Engine {
  readonly id: string
  readonly lastEventId: string | null
  readonly answer: (head: Head) => Promise<void>
  /** Sends bytes of the stream; null ends it. */
  readonly send: (bytes: string | null) => Promise<void>
  readonly breakOff: () => Promise<void>
  readonly isAborted: () => boolean
}

interface Fixture {
  /** The attempts in the order in which they were sent. */
  readonly engines: readonly Engine[]
  readonly call: callState.CallState
  readonly tracker: createBackEndTracker.BackEndTracker
  readonly received: () => string
  readonly wait: (milliseconds: number) => Promise<void>
  readonly ending: Promise<logCall.Ending>
  /** Number of retries that the budget still pays for. */
  retries: number
  isBlocked: boolean
  needsPermit: boolean
  isPermitGranted: boolean
  /** Whether the gateway ends before a call that is sent now. */
  isEnding: boolean
  /** The version that each choice was bound to. */
  readonly pinnedVersions: Array<number | null>
  ids: string[]
}

async function settle (): Promise<void> {
  for (let turn = 0; turn < SETTLE_TURNS; turn += 1) await new Promise(setImmediate)
}

function event (id: number): string {
  return `id: ${id}\ndata: ${id}\n\n`
}

function readHead (head: Head): unknown {
  if (head === 'refused') return { kind: 'not-run', status: 503, reason: 'full' }
  if (head === 'error' || head === 'not-found') return { kind: 'answered', status: STATUSES[head], headers: [], isStream: false, version: null }
  return { kind: 'answered', status: 200, headers: [], isStream: true, version: head }
}

/** Runs a stream, resumable if not said otherwise, whose first engine has sent event 1, unless the stream has not begun, and is silent since then. */
async function createFixture (context: nodeTest.TestContext, { hasBegun = true, isResumable = true, mustBeginBy = Infinity } = {}): Promise<Fixture> {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const engines: Engine[] = []
  const tracker = createBackEndTracker.createBackEndTracker(() => 0)
  let received = ''
  let hasStarted = false
  let lastEventId: string | null = null
  const call = callState.createCallState({
    head: { requestId: 'r', host: 'h', path: '/x', method: 'POST', model: null, promptTokens: 0, answerTokens: 0, promptParts: [], lastEventId: null, remainingMs: DEADLINE_MS },
    route: { name: 'x', kind: 'stream', isResumable, timeoutMs: DEADLINE_MS, targetMs: 100, gapTargetMs: 100, maximumAttempts: MAXIMUM_ATTEMPTS },
    tenant: null,
    service: types.brandId('llm'),
    body: null,
    deadline: { at: DEADLINE_MS, remainingMs: () => DEADLINE_MS },
    receivedAt: 0,
    completeAt: 0,
    sized: createSizeShares.createSizeShares().open('r', 1)
  } as unknown as callState.CallDetails)
  const reply = {
    hasStarted: () => hasStarted,
    mayPassOn: () => true,
    mayContinue: () => !hasStarted || lastEventId !== null,
    readLastEventId: () => lastEventId,
    beginStream: () => { hasStarted = true },
    write: (_run: answers.Run, bytes: Buffer, eventId: string | null) => {
      received += bytes.toString()
      lastEventId = eventId
      return true
    },
    onDrain: () => {},
    endStream: () => { received += 'end' },
    sendBuffered: (status: number) => { received += `status ${status}` },
    refuse: (status: number) => { received += `refused ${status}` },
    abort: () => { received += 'cut' }
  }

  function startAttempt (id: string, lastEventId: string | null): sendAttempt.Attempt {
    let isAborted = false
    let respond: (start: sendAttempt.AttemptStart) => void = () => {}
    const start = new Promise<sendAttempt.AttemptStart>((resolve) => { respond = resolve })
    const response = new nodeStream.Readable({ read () {} })
    response.on('error', () => {})
    engines.push({
      id,
      lastEventId,
      answer: async (head) => {
        if (head === 'not-reached') respond({ kind: 'not-sent', reason: 'refused' })
        else if (head === 'broken') respond({ kind: 'no-answer', reason: 'connection closed', isClosedByPeer: true })
        else respond({ kind: 'answer', response: Object.assign(response, { head, complete: true }) as unknown as http.IncomingMessage, isFramed: true, isWhole: () => !response.errored })
        await settle()
      },
      send: async (bytes) => {
        response.push(bytes === null ? null : Buffer.from(bytes))
        await settle()
      },
      breakOff: async () => {
        response.destroy(new Error('reset'))
        await settle()
      },
      isAborted: () => isAborted
    })
    return {
      start,
      abort: () => {
        isAborted = true
        respond({ kind: 'no-answer', reason: 'aborted', isClosedByPeer: true })
        // As in Node.js, data that has arrived is still in the buffer, and the end of the connection is noticed later.
        setImmediate(() => { response.destroy() })
      }
    }
  }

  const fixture = { engines, call, tracker, received: () => received, retries: MAXIMUM_ATTEMPTS, isBlocked: false, needsPermit: false, isPermitGranted: false, isEnding: false, pinnedVersions: [] as Array<number | null>, ids: ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6'] }
  const options = handlerTesting.createHandlerOptions({}, {
    now: () => 0,
    at: (time, action) => {
      const timer = setTimeout(action, time)
      return () => { clearTimeout(timer) }
    },
    tracker,
    sendAttempt: ({ headers: [id = '', lastEventId = ''] }) => startAttempt(id, lastEventId === '' ? null : lastEventId),
    protocol: {
      formatAttempt: (_head: unknown, { backEnd, lastEventId }: { backEnd: string, lastEventId: string | null }) => [backEnd, lastEventId ?? ''],
      readAnswer: ({ head }: { head: Head }) => readHead(head),
      readAdvertisedRate: () => ({ kind: 'none' }),
      readBackoffRequest: () => ({ kind: 'none' }),
      announcesLeaving: () => false
    } as unknown as callOptions.CallProtocol,
    budgetOf: () => ({
      noteCall: () => {},
      trySpend: () => {
        fixture.retries -= 1
        return fixture.retries >= 0
      }
    }),
    choose: ({ tried, mayRequestPermit, version }) => {
      fixture.pinnedVersions.push(version)
      const id = fixture.ids.map((name) => types.brandId<types.NodeId>(name)).find((name) => !tried.has(name))
      const backEnd = { id, bornAt: null, address: { host: types.LOOPBACK_HOST, port: 9 }, isDraining: false, models: new Map() }
      const choice = { backEnd, isRateLimited: fixture.needsPermit, firstEventMs: 1, discountedFirstEventMs: 1, ownReadMs: 0, queuedAhead: 0, expectedVersion: null, mustBeginBy, olderVersion: null }
      return { choice: id === undefined || (fixture.needsPermit && !mayRequestPermit) ? null : choice, passedOver: {}, utilization: 0, permitWaitMs: Infinity, backoffWaitMs: Infinity } as unknown as chooseBackEnd.ChoiceOutcome
    },
    limiter: { readAllowance: () => null, noteResponse: () => {}, acquire: async () => fixture.isPermitGranted ? { isGranted: true } : { isGranted: false, waitMs: 1 } } as unknown as callOptions.CallHandlerOptions['limiter'],
    guard: { isActive: () => true, readBlockedMs: () => fixture.isBlocked ? 1 : null, noteServed: () => {}, noteConnectionLost: async () => {}, onBlocked: () => {} } as unknown as callOptions.CallHandlerOptions['guard']
  })
  const ending = runAttempts.runAttempts(call, reply as never, options, () => !fixture.isEnding)
  await settle()
  if (hasBegun) {
    await engines[0]?.answer(1)
    await engines[0]?.send(event(1))
  }
  return Object.assign(fixture, {
    ending,
    wait: async (milliseconds: number) => {
      context.mock.timers.tick(milliseconds)
      await settle()
    }
  })
}

/** The attempt with this index, which must have been sent. */
function at ({ engines }: Fixture, index: number): Engine {
  const engine = engines[index]
  assert.ok(engine !== undefined, `${engines.length} attempts were sent`)
  return engine
}

async function finish (fixture: Fixture, engine: Engine, from: number): Promise<void> {
  for (const id of [1, 2, 3]) if (id >= from) await engine.send(event(id))
  await engine.send(null)
  assert.equal(fixture.received(), `${event(1)}${event(2)}${event(3)}end`)
  assert.equal(await fixture.ending, 'answered')
}

for (const head of ['refused', 'not-reached', 'broken', 2] as const) {
  nodeTest.test(`a silent stream is not cut if the next engine can't go on with it: ${head === 2 ? 'other version' : head}`, LIMIT, async (context) => {
    const fixture = await createFixture(context)
    await fixture.wait(SILENCE_MS)
    await at(fixture, 1).answer(head)
    if (head === 2) await at(fixture, 1).send(event(2))
    assert.equal(at(fixture, 0).isAborted(), false)
    await finish(fixture, at(fixture, 0), 2)
  })
}

nodeTest.test('a silent stream waits where the next engine needs a permit that is refused, or the retry budget is spent, and nothing is sent', LIMIT, async (context) => {
  const fixture = await createFixture(context)
  fixture.needsPermit = true
  await fixture.wait(SILENCE_MS)
  assert.equal(fixture.retries, MAXIMUM_ATTEMPTS)
  fixture.needsPermit = false
  fixture.retries = 0
  await fixture.wait(SILENCE_MS)
  assert.equal(fixture.engines.length, 1)
  await finish(fixture, at(fixture, 0), 2)
})

nodeTest.test('a third engine is requested after the same time if the second one refused, and none beyond the most attempts of the route', LIMIT, async (context) => {
  const fixture = await createFixture(context)
  await fixture.wait(SILENCE_MS)
  await at(fixture, 1).answer('refused')
  await fixture.wait(SILENCE_MS - 1)
  assert.equal(fixture.engines.length, 2)
  await fixture.wait(1)
  await at(fixture, 2).answer(1)
  for (let round = 0; round < 3; round += 1) await fixture.wait(SILENCE_MS)
  assert.equal(fixture.engines.length, MAXIMUM_ATTEMPTS)
  await finish(fixture, at(fixture, 2), 2)
  assert.equal(at(fixture, 0).isAborted(), true)
})

nodeTest.test('a stream has the events of one attempt after a silence: the next engine is first, in the middle of an event of the silent one', LIMIT, async (context) => {
  const fixture = await createFixture(context)
  await at(fixture, 0).send('id: 2\nda')
  await fixture.wait(SILENCE_MS)
  assert.equal(at(fixture, 1).lastEventId, '1')
  await at(fixture, 1).answer(1)
  await at(fixture, 1).send('id: 2\n')
  assert.equal(at(fixture, 0).isAborted(), false)
  // Both events arrive in the same turn.
  const sent = at(fixture, 1).send('data: 2\n\n')
  await Promise.all([sent, at(fixture, 0).send(`ta: 2\n\n${event(3)}`)])
  assert.equal(at(fixture, 0).isAborted(), true)
  assert.equal(fixture.received(), event(1) + event(2))
  assert.ok(fixture.tracker.read(types.brandId('i-1')).avoidedUntil > 0)
  await finish(fixture, at(fixture, 1), 3)
})

nodeTest.test('a stream has the events of one attempt after a silence: the silent engine is first, and the other one is not taken for failed', LIMIT, async (context) => {
  const fixture = await createFixture(context)
  await fixture.wait(SILENCE_MS)
  await at(fixture, 1).answer(1)
  const sent = at(fixture, 0).send(event(2))
  await Promise.all([sent, at(fixture, 1).send(event(2))])
  assert.deepEqual([at(fixture, 0).isAborted(), at(fixture, 1).isAborted()], [false, true])
  assert.equal(fixture.tracker.read(types.brandId('i-2')).avoidedUntil, 0)
  assert.equal(fixture.tracker.read(types.brandId('i-2')).open.size, 0)
  await finish(fixture, at(fixture, 0), 3)
})

nodeTest.test('the next engine goes on if the connection of the silent one breaks meanwhile, and no further one is requested', LIMIT, async (context) => {
  const fixture = await createFixture(context)
  await fixture.wait(SILENCE_MS)
  await at(fixture, 0).breakOff()
  await at(fixture, 1).answer(1)
  assert.equal(fixture.engines.length, 2)
  await finish(fixture, at(fixture, 1), 2)
})

nodeTest.test('all attempts are aborted when the caller leaves or the deadline passes', LIMIT, async (context) => {
  for (const end of ['noteCallerGone', 'expire'] as const) {
    const fixture = await createFixture(context)
    await fixture.wait(SILENCE_MS)
    fixture.call[end]()
    assert.deepEqual(fixture.engines.map((engine) => engine.isAborted()), [true, true])
    assert.equal(await fixture.ending, end === 'expire' ? 'failed' : 'left')
    context.mock.timers.reset()
  }
})

nodeTest.test('a call that is blocked is taken back from an engine that has not answered, but not from the silent one that has begun its stream', LIMIT, async (context) => {
  const fixture = await createFixture(context)
  await fixture.wait(SILENCE_MS)
  fixture.isBlocked = true
  fixture.call.withdraw()
  await fixture.wait(SILENCE_MS)
  assert.deepEqual(fixture.engines.map((engine) => engine.isAborted()), [false, true])
  assert.equal(fixture.tracker.read(types.brandId('i-2')).avoidedUntil, 0)
  await finish(fixture, at(fixture, 0), 2)
})

nodeTest.test('a silent stream is open at no more engines than the most attempts of its route while they have not answered', LIMIT, async (context) => {
  const fixture = await createFixture(context)
  fixture.retries = 100
  for (let round = 0; round < 6; round += 1) await fixture.wait(SILENCE_MS)
  assert.equal(fixture.engines.filter((engine) => !engine.isAborted()).length, MAXIMUM_ATTEMPTS)
})

nodeTest.test('a stream goes on at the engine that was overtaken if the silent one breaks off later, and no other is left', LIMIT, async (context) => {
  const fixture = await createFixture(context)
  fixture.ids = ['i-1', 'i-2']
  await fixture.wait(SILENCE_MS)
  await at(fixture, 1).answer(1)
  await at(fixture, 0).send(event(2))
  await at(fixture, 0).breakOff()
  await at(fixture, 2).answer(1)
  await finish(fixture, at(fixture, 2), 3)
})

nodeTest.test('a stream without any event is not given up for the silence of its engine if no other engine can serve it', LIMIT, async (context) => {
  for (const answersAtOnce of [true, false]) {
    const fixture = await createFixture(context, { hasBegun: false })
    fixture.ids = ['i-1']
    if (answersAtOnce) await at(fixture, 0).answer(1)
    for (let round = 0; round < 3; round += 1) await fixture.wait(SILENCE_MS)
    assert.equal(at(fixture, 0).isAborted(), false)
    if (!answersAtOnce) await at(fixture, 0).answer(1)
    await finish(fixture, at(fixture, 0), 1)
    context.mock.timers.reset()
  }
})

for (const head of ['refused', 'not-reached', 'broken', 'error'] as const) {
  nodeTest.test(`a stream without any event is not given up if the next engine can't serve it: ${head}`, LIMIT, async (context) => {
    const fixture = await createFixture(context, { hasBegun: false })
    await fixture.wait(SILENCE_MS)
    await at(fixture, 1).answer(head)
    if (head === 'error') await at(fixture, 1).send(null)
    assert.equal(at(fixture, 0).isAborted(), false)
    await at(fixture, 0).answer(1)
    await finish(fixture, at(fixture, 0), 1)
  })
}

nodeTest.test('a stream without any event is served by the first engine that has one, whatever version the silent one has named', LIMIT, async (context) => {
  const fixture = await createFixture(context, { hasBegun: false })
  await at(fixture, 0).answer(1)
  await fixture.wait(SILENCE_MS)
  await at(fixture, 1).answer(2)
  assert.equal(at(fixture, 0).isAborted(), false)
  await Promise.all([at(fixture, 1).send(event(1)), at(fixture, 0).send(event(1))])
  assert.equal(at(fixture, 0).isAborted(), true)
  await fixture.wait(SILENCE_MS)
  assert.deepEqual(fixture.pinnedVersions, [null, null, 2])
  await finish(fixture, at(fixture, 1), 2)
})

nodeTest.test('a stream without any event waits for its silent engine where a permit is refused, the retry budget is spent or the gateway ends', LIMIT, async (context) => {
  const fixture = await createFixture(context, { hasBegun: false })
  for (const change of [{ needsPermit: true }, { needsPermit: false, retries: 0 }, { retries: MAXIMUM_ATTEMPTS, isEnding: true }]) {
    Object.assign(fixture, change)
    await fixture.wait(SILENCE_MS)
  }
  assert.equal(fixture.engines.length, 1)
  assert.equal(fixture.retries, MAXIMUM_ATTEMPTS)
  await at(fixture, 0).answer(1)
  await finish(fixture, at(fixture, 0), 1)
})

nodeTest.test('a stream without any event is open at no more engines than the most attempts of its route, and at none after its deadline', LIMIT, async (context) => {
  const fixture = await createFixture(context, { hasBegun: false })
  fixture.retries = 100
  for (let round = 0; round < 6; round += 1) await fixture.wait(SILENCE_MS)
  assert.equal(fixture.engines.length, MAXIMUM_ATTEMPTS)
  assert.ok(fixture.engines.every((engine) => !engine.isAborted()))
  fixture.call.expire()
  assert.ok(fixture.engines.every((engine) => engine.isAborted()))
  assert.equal(await fixture.ending, 'expired')
  assert.equal(fixture.received(), 'refused 504')
})

nodeTest.test('an engine without any event in time is avoided while its attempt is open, and once only', LIMIT, async (context) => {
  const fixture = await createFixture(context, { hasBegun: false })
  fixture.ids = ['i-1']
  await fixture.wait(SILENCE_MS - 1)
  assert.equal(fixture.tracker.read(types.brandId('i-1')).avoidedUntil, 0)
  await fixture.wait(1)
  const { avoidedUntil } = fixture.tracker.read(types.brandId('i-1'))
  assert.ok(avoidedUntil > 0)
  fixture.ids = ['i-1', 'i-2']
  await fixture.wait(SILENCE_MS)
  await at(fixture, 1).answer(1)
  await finish(fixture, at(fixture, 1), 1)
  assert.equal(at(fixture, 0).isAborted(), true)
  assert.equal(fixture.tracker.read(types.brandId('i-1')).avoidedUntil, avoidedUntil)
})

nodeTest.test('an answer that is no stream ends a call whose other engine is silent, which is aborted; a server error does so only if the other one breaks off', LIMIT, async (context) => {
  for (const head of ['not-found', 'error'] as const) {
    const fixture = await createFixture(context, { hasBegun: false })
    await fixture.wait(SILENCE_MS)
    await at(fixture, 1).answer(head)
    await at(fixture, 1).send(null)
    assert.equal(at(fixture, 0).isAborted(), head === 'not-found')
    fixture.ids = []
    if (head === 'error') await at(fixture, 0).answer('broken')
    assert.equal(await fixture.ending, 'answered')
    assert.equal(fixture.received(), `status ${STATUSES[head]}`)
    context.mock.timers.reset()
  }
})

nodeTest.test('a call is refused as not run only if all engines that it was open at have refused it', LIMIT, async (context) => {
  for (const head of ['refused', 'broken'] as const) {
    const fixture = await createFixture(context, { hasBegun: false })
    await fixture.wait(SILENCE_MS)
    fixture.ids = []
    await at(fixture, 0).answer(head)
    await at(fixture, 1).answer('refused')
    assert.equal(await fixture.ending, head === 'refused' ? 'refused' : 'failed')
    assert.equal(fixture.received(), head === 'refused' ? 'refused 503' : 'refused 502')
    context.mock.timers.reset()
  }
})

nodeTest.test('no other engine is requested if the event of a stream has arrived when the timeout for it fires', LIMIT, async (context) => {
  const fixture = await createFixture(context, { hasBegun: false })
  await at(fixture, 0).answer(1)
  const waited = fixture.wait(SILENCE_MS)
  await new Promise(setImmediate)
  await Promise.all([waited, at(fixture, 0).send(event(1))])
  assert.equal(fixture.engines.length, 1)
  await finish(fixture, at(fixture, 0), 2)
})

nodeTest.test('a stream that its engine has begun is not taken back while it is silent at the bound of its version', LIMIT, async (context) => {
  for (const isResumable of [true, false]) {
    const fixture = await createFixture(context, { hasBegun: false, isResumable, mustBeginBy: SILENCE_MS })
    fixture.ids = ['i-1']
    await at(fixture, 0).answer(1)
    for (let round = 0; round < 3; round += 1) await fixture.wait(SILENCE_MS)
    assert.equal(at(fixture, 0).isAborted(), false)
    await finish(fixture, at(fixture, 0), 1)
    context.mock.timers.reset()
  }
})

nodeTest.test('a stream whose head has arrived when its withdrawal at the bound of its version fires is not taken back', LIMIT, async (context) => {
  const fixture = await createFixture(context, { hasBegun: false, mustBeginBy: SILENCE_MS / 2 })
  const waited = fixture.wait(SILENCE_MS - 1)
  await new Promise(setImmediate)
  await Promise.all([waited, at(fixture, 0).answer(1)])
  assert.equal(at(fixture, 0).isAborted(), false)
  await finish(fixture, at(fixture, 0), 1)
})

nodeTest.test('a stream that its engine may not have begun is taken back at the bound of its version, and sent to another one', LIMIT, async (context) => {
  const fixture = await createFixture(context, { hasBegun: false, mustBeginBy: SILENCE_MS / 2 })
  await fixture.wait(SILENCE_MS - 1)
  assert.equal(at(fixture, 0).isAborted(), true)
  await at(fixture, 1).answer(2)
  await finish(fixture, at(fixture, 1), 1)
})

nodeTest.test('a stream is sent to another engine with a permit if its silent one breaks off after some permits were refused', LIMIT, async (context) => {
  const fixture = await createFixture(context, { hasBegun: false })
  fixture.needsPermit = true
  for (let round = 0; round < 3; round += 1) await fixture.wait(SILENCE_MS)
  fixture.isPermitGranted = true
  await at(fixture, 0).answer('broken')
  await at(fixture, 1).answer(1)
  await finish(fixture, at(fixture, 1), 1)
})

nodeTest.test('a stream is not taken back if the head of its answer arrived while the gateway stood still', LIMIT, async (context) => {
  const fixture = await createFixture(context, { hasBegun: false, isResumable: false, mustBeginBy: SILENCE_MS })
  context.mock.timers.tick(DEADLINE_MS / 2)
  await at(fixture, 0).answer(1)
  assert.equal(at(fixture, 0).isAborted(), false)
  await at(fixture, 0).send(event(1))
  await finish(fixture, at(fixture, 0), 2)
})

nodeTest.test('a call is answered if its answer arrived by its deadline while the gateway stood still', LIMIT, async (context) => {
  const fixture = await createFixture(context, { hasBegun: false, isResumable: false })
  context.mock.timers.tick(DEADLINE_MS)
  await Promise.all([at(fixture, 0).answer('not-found'), at(fixture, 0).send(null)])
  assert.equal(await fixture.ending, 'answered')
  assert.equal(fixture.received(), 'status 404')
})
