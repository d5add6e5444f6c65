/**
 * Guards against a call that is cleared of the back ends that ended under it by an answer which doesn't show that it does no harm: one that may be truncated, one
 * without any event, or an error.
 */
import * as assert from 'node:assert/strict'
import type * as http from 'node:http'
import * as nodeTest from 'node:test'
import * as stream from 'node:stream'
import type * as quarantine from '@switchridge/quarantine'
import * as types from '@switchridge/types'
import * as createBackEndTracker from '../createBackEndTracker/index.js'
import type * as guards from '../types/guard.js'
import * as callState from './callState.js'
import * as runAttempts from './runAttempts.js'
import * as createSizeShares from '../createSizeShares/index.js'

const DEADLINE_MS = 5000
/** A resumable stream whose target is the deadline waits so long for its first event. */
const FIRST_EVENT_TIMEOUT_MS = 3 * DEADLINE_MS
const EVENT = 'id: 1\ndata: a\n\n'
const PART = types.brandId<types.PromptPartId>('#a1')

interface Answer {
  readonly isFramed: boolean
  readonly isStream: boolean
  readonly status?: number
  readonly body: string
  /** What the gateway finds out about the end of an answer without framing. */
  readonly end?: guards.ResponseEnd
  /** Called before the body arrives. */
  readonly onWait?: () => void
}

interface Outcome {
  /** Calls that were reported as served. */
  readonly served: quarantine.CallFeatures[]
  /** What became of the response to the caller. */
  readonly reply: 'ended' | 'aborted' | 'refused'
}

async function runCall ({ isFramed, isStream, status = 200, body, end = 'whole', onWait = () => {} }: Answer): Promise<Outcome> {
  const served: quarantine.CallFeatures[] = []
  let outcome: Outcome['reply'] = 'refused'
  let hasStarted = false
  let isSent = false
  const backEnd = { id: types.brandId<types.NodeId>('i-1'), bornAt: null, address: { host: types.LOOPBACK_HOST, port: 9 }, isDraining: false, models: new Map() }
  const call = callState.createCallState({
    head: { requestId: 'r', host: 'h', path: '/x', method: 'POST', model: null, promptTokens: 0, answerTokens: 0, promptParts: [PART], lastEventId: null, remainingMs: DEADLINE_MS },
    route: { name: 'x', kind: isStream ? 'stream' : 'repeatable', isResumable: isStream, timeoutMs: DEADLINE_MS, targetMs: DEADLINE_MS, gapTargetMs: 0, maximumAttempts: 1 },
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
    mayContinue: () => !hasStarted,
    readLastEventId: () => null,
    beginStream: () => { hasStarted = true },
    write: () => true,
    onDrain: () => {},
    endStream: () => { outcome = 'ended' },
    sendBuffered: () => { outcome = 'ended' },
    refuse: () => { outcome = 'refused' },
    abort: () => { outcome = 'aborted' }
  }
  const options = {
    protocol: {
      formatAttempt: () => [],
      readAnswer: () => ({ kind: 'answered', status, headers: [], isStream, version: null }),
      readAdvertisedRate: () => ({ kind: 'none' }),
      readBackoffRequest: () => ({ kind: 'none' }),
      announcesLeaving: () => false
    },
    budgetOf: () => ({ noteCall: () => {}, trySpend: () => true }),
    choose: () => ({
      choice: isSent ? null : { backEnd, isRateLimited: false, firstEventMs: 1, discountedFirstEventMs: 1, ownReadMs: 0, queuedAhead: 0, expectedVersion: null, mustBeginBy: Infinity, olderVersion: null },
      passedOver: {},
      utilization: 0,
      permitWaitMs: Infinity,
      backoffWaitMs: Infinity
    }),
    sharedTargetOf: () => DEADLINE_MS,
    mustConfirmSlots: () => false,
    errorBoundOf: () => ({ read: () => 0, note: () => {} }),
    backoffs: { read: () => ({ waitMs: 0, maximumUnanswered: Infinity }), noteResponse: () => {} },
    onSent: () => { isSent = true },
    findExclusion: () => null,
    leavers: { isLeaving: () => false },
    limiter: { readAllowance: () => null, noteResponse: () => {} },
    guard: {
      isActive: () => true,
      readBlockedMs: () => null,
      checkEnd: async () => end,
      noteConnectionLost: async () => {},
      noteServed: (features: quarantine.CallFeatures) => { served.push(features) },
      onBlocked: () => {}
    },
    tracker: createBackEndTracker.createBackEndTracker(() => 0),
    sendAttempt: () => {
      const response = Object.assign(stream.Readable.from(readBody()), { complete: true }) as unknown as http.IncomingMessage
      return { start: Promise.resolve({ kind: 'answer', response, isFramed, isWhole: () => true } as const), abort: () => { response.destroy() } }
    },
    at: () => () => {},
    now: () => 0,
    random: () => 0,
    count: () => {},
    observe: () => {},
    logger: { info: () => {}, warn: () => {} }
  }
  function * readBody (): Generator<Buffer> {
    onWait()
    if (body !== '') yield Buffer.from(body)
  }

  await runAttempts.runAttempts(call, reply as never, options as never)
  return { served, reply: outcome }
}

/** Parts that a call cleared; null if the call was not reported as served. */
function listCleared ({ served }: Outcome): readonly string[] | null {
  return served[0]?.parts ?? null
}

for (const isStream of [true, false]) {
  const kind = isStream ? 'stream' : 'plain answer'
  nodeTest.test(`a whole ${kind} clears its call and the parts of its prompt, with framing or without`, async () => {
    for (const isFramed of [true, false]) assert.deepEqual(listCleared(await runCall({ isStream, isFramed, body: EVENT })), [PART])
  })

  nodeTest.test(`a ${kind} without framing whose end is uncertain is passed on but clears nothing`, async () => {
    const outcome = await runCall({ isStream, isFramed: false, body: EVENT, end: 'uncertain' })
    assert.equal(outcome.reply, 'ended')
    assert.equal(listCleared(outcome), null)
  })

  nodeTest.test(`a ${kind} without framing that may be truncated is not passed on as whole and clears nothing`, async () => {
    const outcome = await runCall({ isStream, isFramed: false, body: EVENT, end: 'truncated' })
    assert.equal(outcome.reply, isStream ? 'aborted' : 'refused')
    assert.equal(listCleared(outcome), null)
  })
}

nodeTest.test('a stream that ends without any event clears nothing, since its back end may have had nothing to write', async () => {
  assert.equal(listCleared(await runCall({ isStream: true, isFramed: true, body: '' })), null)
})

nodeTest.test('an answer that is no success clears its call but no part, since its back end may not have read the prompt', async () => {
  for (const status of [304, 404]) assert.deepEqual(listCleared(await runCall({ isStream: false, isFramed: true, status, body: 'no' })), [])
})

/** Guards against a stream being broken off although its event has arrived: a process that was paused runs its timers before it reads its sockets. */
nodeTest.test('a stream whose event has arrived when the timeout for it fires is not broken off', async (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const outcome = await runCall({ isStream: true, isFramed: true, body: EVENT, onWait: () => { context.mock.timers.tick(FIRST_EVENT_TIMEOUT_MS) } })
  assert.equal(outcome.reply, 'ended')
})
