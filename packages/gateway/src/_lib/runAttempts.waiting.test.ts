/** Calls that are held until an engine returns, from their arrival to their final response. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'
import * as createBackEndTracker from '../createBackEndTracker/index.js'
import * as createWaitingCalls from '../createWaitingCalls/index.js'
import * as callState from './callState.js'
import * as runAttempts from './runAttempts.js'
import * as createSizeShares from '../createSizeShares/index.js'

const TIMEOUT_MS = 6000
const SERVICE = types.brandId<types.ServiceName>('llm')
const ENGINE = types.brandId<types.NodeId>('i-1')
const FIGURES = { slots: 12, models: ['m'], chunks: 96, chunkBytes: 24_576, stepMs: 10, stepMsPerSequence: 0, prefillTokensPerMs: 20, usualPromptTokens: 900, usualAnswerTokens: 50 }
const RETURN_AT = 2000
const CALL_ENDS_AT_SEND = 'sent'

interface Scenario {
  /** When the engine states to return; null if it states nothing. */
  readonly statedReturnAt?: (now: number) => number | null
  readonly returnAt?: number
  readonly linkMbps?: number
  /** Reason for which the engine is passed over until it returns. */
  readonly passedOver?: string
  /** When its data hall is evacuated. */
  readonly evacuatedAt?: number
  /** Whether the agent grants slots. */
  readonly hasSlots?: boolean
}

interface Running {
  readonly clock: standins.VirtualClock
  readonly call: callState.CallState
  readonly waiting: createWaitingCalls.WaitingCalls
  readonly refusals: ReadonlyArray<{ readonly status: number, readonly reason: string, readonly retryAfterMs: number | null, readonly at: number }>
  readonly sentAt: readonly number[]
  readonly logged: ReadonlyArray<Readonly<Record<string, unknown>>>
  /** Advances the clock, and lets the call go on after each step. */
  readonly run: (until: number) => Promise<void>
  /** Runs a further call. */
  readonly start: () => callState.CallState
}

function startCall (scenario: Scenario = {}): Running {
  const { returnAt = RETURN_AT, statedReturnAt = () => returnAt, linkMbps = 4.38, passedOver = 'empty', evacuatedAt = Infinity, hasSlots = true } = scenario
  const clock = standins.createVirtualClock()
  const refusals: Array<Running['refusals'][number]> = []
  const sentAt: number[] = []
  const logged: Array<Readonly<Record<string, unknown>>> = []
  const backEnd = { id: ENGINE, bornAt: null, address: { host: types.LOOPBACK_HOST, port: 9 }, isDraining: false, models: new Map() }
  const tracker = createBackEndTracker.createBackEndTracker(clock.now)
  const isEvacuated = (): boolean => clock.now() >= evacuatedAt
  const isServing = (): boolean => clock.now() >= returnAt && !isEvacuated()
  function at (time: number, action: () => void): () => void {
    let isCancelled = false
    clock.at(time, () => { if (!isCancelled) action() })
    return () => { isCancelled = true }
  }
  const reserve = async (): Promise<boolean> => hasSlots && isServing()
  const waiting = createWaitingCalls.createWaitingCalls({
    limits: { maximumCalls: 10, maximumBytes: 1000 },
    readEngines: () => {
      const stated = statedReturnAt(clock.now())
      return isServing() ? [{ slots: 12, freeSlots: 12, readyInMs: 0 }] : stated === null ? [] : [{ slots: 12, freeSlots: 12, readyInMs: Math.max(1, stated - clock.now()) }]
    },
    holdMsOf: () => 1000,
    countGateways: () => 1,
    reserve: (_backEnd, _request, onAnswer) => { clock.at(clock.now() + 5, () => { onAnswer(hasSlots) }) },
    count: () => {},
    now: clock.now,
    at,
    random: () => 0
  })
  const configuration = { services: [{ name: 'weights', engine: null, originAddress: { host: 'h', port: 1 }, linkMbps }] }
  const options = {
    routes: () => ({ configuration, findService: () => ({ name: SERVICE, engine: FIGURES, originAddress: null, linkMbps: null }) }),
    waiting,
    budgetOf: () => ({ noteCall: () => {}, trySpend: () => true }),
    choose: ({ tried }: { readonly tried: ReadonlySet<types.NodeId> }) => ({
      choice: isServing() && !tried.has(ENGINE) ? { backEnd, isRateLimited: false, firstEventMs: 50, discountedFirstEventMs: 50, ownReadMs: 0, queuedAhead: 0, expectedVersion: null, mustBeginBy: Infinity, olderVersion: null } : null,
      passedOver: { [isEvacuated() ? 'evacuated' : passedOver]: 1 },
      utilization: 0,
      permitWaitMs: Infinity,
      backoffWaitMs: Infinity
    }),
    limiter: { readAllowance: () => null },
    findExclusion: () => null,
    onSent: () => {},
    mustConfirmSlots: () => false,
    sharedTargetOf: () => 400,
    errorBoundOf: () => ({ read: () => 0, note: () => {} }),
    backoffs: { read: () => ({ waitMs: 0, maximumUnanswered: Infinity }) },
    leavers: { isLeaving: () => false },
    reserver: { reserve },
    guard: { isActive: () => false },
    tracker: {
      ...tracker,
      noteSent: () => {
        sentAt.push(clock.now())
        throw new Error(CALL_ENDS_AT_SEND)
      }
    },
    at,
    now: clock.now,
    random: () => 0,
    count: () => {},
    observe: () => {},
    logger: { info: (_event: string, fields: Readonly<Record<string, unknown>>) => { logged.push(fields) }, warn: () => {} }
  }
  function start (): callState.CallState {
    const receivedAt = clock.now()
    const call = callState.createCallState({
      head: { requestId: 'r', host: 'h', path: '/', method: 'POST', model: 'm', promptTokens: 900, answerTokens: 50, promptParts: [], lastEventId: null, remainingMs: TIMEOUT_MS },
      route: { name: 'stream', kind: 'stream', isResumable: true, timeoutMs: TIMEOUT_MS, targetMs: 400, maximumAttempts: 2 },
      tenant: null,
      service: SERVICE,
      figures: FIGURES,
      rank: 0,
      allowedRegions: new Set(['east']),
      body: Buffer.from('body'),
      deadline: { at: receivedAt + TIMEOUT_MS, remainingMs: () => Math.max(0, receivedAt + TIMEOUT_MS - clock.now()) },
      receivedAt,
      completeAt: receivedAt,
      sized: createSizeShares.createSizeShares().open('r', 1)
    } as unknown as callState.CallDetails)
    const reply = { hasStarted: () => false, mayContinue: () => true, refuse: (status: number, reason: string, retryAfterMs: number | null) => { refusals.push({ status, reason, retryAfterMs, at: clock.now() }) } }
    void runAttempts.runAttempts(call, reply as never, options as never).catch((thrown: unknown) => { assert.match(String(thrown), /sent/) })
    return call
  }
  const call = start()
  return {
    clock,
    call,
    waiting,
    refusals,
    sentAt,
    logged,
    start,
    run: async (until) => {
      while (clock.now() < until) {
        await types.delay(0)
        clock.run(Math.min(until, clock.now() + 50))
      }
      await types.delay(0)
    }
  }
}

/** Guards against callers that are refused during an outage that ends before their deadline. */
nodeTest.test('a call that no engine can take is held, and sent as soon as its engine has returned', async () => {
  const { run, sentAt, refusals, waiting, call } = startCall()
  await run(1900)
  assert.deepEqual([waiting.size(), refusals.length, sentAt.length], [1, 0, 0])
  await run(2300)
  assert.equal(sentAt.length, 1)
  assert.deepEqual([waiting.size(), refusals.length, call.wait?.place], [0, 0, 1])
  assert.ok((call.wait?.ms ?? 0) >= 2000)
})

/** Guards against other decisions than before where the part is not enabled, nothing is known, or the engine may serve again at a time that is not forecast. */
nodeTest.test('a call is refused at once if it may not wait or nothing is known of the engines\' return', async () => {
  for (const [scenario, reason] of [
    [{ linkMbps: 100 }, 'no back end may serve: 1 empty'],
    [{ passedOver: 'limited' }, 'no back end may serve: 1 limited'],
    [{ passedOver: 'region' }, 'region: no back end is listed in an allowed region (east)'],
    [{ statedReturnAt: () => null }, 'no back end may serve: 1 empty; not held: no forecast'],
    [{ returnAt: 5900 }, 'no back end may serve: 1 empty; not held: not served in time']
  ] as const) {
    const { run, refusals, waiting } = startCall(scenario)
    await run(50)
    assert.deepEqual(refusals.map((refusal) => [refusal.status, refusal.reason, refusal.at]), [[503, reason, 0]])
    assert.equal(waiting.size(), 0)
  }
})

/** Guards against slots and memory that are kept for callers that have left. */
nodeTest.test('a held call whose caller leaves is removed at once', async () => {
  const { run, call, waiting, refusals, logged, sentAt } = startCall()
  await run(500)
  call.noteCallerGone()
  assert.equal(waiting.size(), 0)
  await run(3000)
  assert.deepEqual([refusals.length, sentAt.length, logged[0]?.['ending'], logged[0]?.['place']], [0, 0, 'left', 1])
})

/** Guards against callers that get no answer, or an untrue one, when their gateway ends. */
nodeTest.test('held calls are refused at once when their gateway ends, and can run elsewhere', async () => {
  const { run, waiting, refusals, call } = startCall()
  await run(500)
  waiting.end('this gateway ends', 20)
  await run(550)
  assert.deepEqual(refusals.map(({ status, reason, retryAfterMs }) => ({ status, reason, retryAfterMs })), [{ status: 503, reason: 'this gateway ends', retryAfterMs: 20 }])
  assert.equal(call.attempts, 0)
  const expired = startCall()
  await expired.run(500)
  expired.call.expire()
  await expired.run(550)
  assert.deepEqual(expired.refusals.map(({ status, reason }) => [status, reason]), [[503, 'ended while it waited for an engine']])
})

/** Guards against callers that wait until their deadline although it is known that their engine returns too late. */
nodeTest.test('a held call is refused as soon as its engine states that it returns too late', async () => {
  const { run, refusals } = startCall({ returnAt: 20_000, statedReturnAt: (now) => now < 1000 ? 2000 : 12_000 })
  await run(1200)
  assert.deepEqual(refusals.map(({ status, reason }) => [status, reason]), [[503, 'waited: engines return too late']])
})

/** Guards against engines that get the calls of all gateways at once when they return: without a reserved slot nothing is sent. */
nodeTest.test('while engines return, a call is sent only to a reserved slot, although there seems to be room', async () => {
  for (const hasSlots of [true, false]) {
    const { run, start, sentAt, refusals } = startCall({ hasSlots })
    await run(2300)
    const before = sentAt.length
    start()
    await run(2400)
    assert.equal(sentAt.length - before, hasSlots ? 1 : 0)
    await run(9000)
    assert.equal(refusals.length, hasSlots ? 0 : 2)
  }
})

/** Guards against callers that are held until their deadline although their data hall has been evacuated meanwhile. */
nodeTest.test('a held call is refused as soon as every engine is excluded for it', async () => {
  const { run, waiting, refusals } = startCall({ evacuatedAt: 500 })
  await run(450)
  waiting.endExcluded()
  assert.equal(waiting.size(), 1)
  await run(500)
  waiting.endExcluded()
  await run(550)
  assert.deepEqual(refusals.map(({ status, reason }) => [status, reason]), [[503, 'evacuated: every data hall that may serve the call (1 evacuated)']])
  assert.equal(waiting.size(), 0)
})
