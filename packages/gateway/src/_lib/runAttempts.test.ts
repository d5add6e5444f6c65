/** Guards against calls that are sent although this was ruled out while they waited for a permit: the call was blocked, its back end announced its end, asked for a backoff, or was excluded. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createBackEndTracker from '../createBackEndTracker/index.js'
import * as callState from './callState.js'
import * as runAttempts from './runAttempts.js'
import * as createSizeShares from '../createSizeShares/index.js'

const BLOCKED_MS = 60_000
const BACKOFF_MS = 3000
const DEADLINE_MS = 5000
const PERMIT_MS = 150

interface Outcome {
  readonly sent: number
  readonly refusal: string
}

type Meanwhile = 'nothing' | 'blocked' | 'leaving' | 'backing-off' | 'permit-expired' | 'became-cold' | 'evacuated'

/** Runs a call at a gateway whose only back end needs a permit; something happens, or nothing, while it waits for that. */
async function runCall (meanwhile: Meanwhile): Promise<Outcome> {
  const tracker = createBackEndTracker.createBackEndTracker(() => 0)
  let time = 0
  let sent = 0
  let happened: Meanwhile = 'nothing'
  let refusal = ''
  const backEnd = { id: types.brandId<types.NodeId>('i-1'), bornAt: null, address: { host: types.LOOPBACK_HOST, port: 9 }, isDraining: false, models: new Map() }
  const call = callState.createCallState({
    head: { requestId: 'r', host: 'h', path: '/write/1', method: 'POST', model: null, promptTokens: 0, answerTokens: 0, promptParts: [], lastEventId: null, remainingMs: DEADLINE_MS },
    route: { name: 'write', kind: 'once', isResumable: false, timeoutMs: DEADLINE_MS, targetMs: DEADLINE_MS, maximumAttempts: 1 },
    tenant: null,
    service: types.brandId('api'),
    body: null,
    deadline: { at: DEADLINE_MS, remainingMs: () => DEADLINE_MS },
    receivedAt: 0,
    completeAt: 0,
    sized: createSizeShares.createSizeShares().open('r', 1)
  } as unknown as callState.CallDetails)
  const reply = { hasStarted: () => false, mayContinue: () => true, refuse: (status: number, reason: string) => { refusal = `${status} ${reason}` } }
  const options = {
    budgetOf: () => ({ noteCall: () => {}, trySpend: () => true }),
    choose: () => ({
      choice: happened !== 'nothing' && happened !== 'blocked' ? null : { backEnd, isRateLimited: meanwhile !== 'became-cold', firstEventMs: 1, discountedFirstEventMs: 1, ownReadMs: 0, queuedAhead: 0, expectedVersion: null, mustBeginBy: Infinity, olderVersion: null },
      passedOver: { [happened === 'leaving' ? 'draining' : happened === 'evacuated' ? 'evacuated' : 'backing-off']: 1 },
      utilization: 0,
      permitWaitMs: Infinity,
      backoffWaitMs: Infinity
    }),
    sharedTargetOf: () => DEADLINE_MS,
    mustConfirmSlots: () => false,
    errorBoundOf: () => ({ read: () => 0, note: () => {} }),
    backoffs: { read: () => ({ waitMs: happened === 'backing-off' ? BACKOFF_MS : 0, maximumUnanswered: Infinity }) },
    onSent: () => {},
    findExclusion: () => happened === 'evacuated' ? 'evacuated' : null,
    leavers: { isLeaving: () => happened === 'leaving' },
    limiter: {
      readAllowance: () => meanwhile === 'became-cold' ? { perSecond: 1, waitMs: 0, isCold: true } : null,
      acquire: async () => {
        happened = meanwhile
        if (meanwhile === 'became-cold') return { isGranted: false, waitMs: PERMIT_MS }
        if (meanwhile !== 'permit-expired') return { isGranted: true }
        time += PERMIT_MS
        return { isGranted: true, expiresAt: time }
      }
    },
    guard: { isActive: () => true, readBlockedMs: () => happened === 'blocked' ? BLOCKED_MS : null },
    tracker: {
      ...tracker,
      noteSent: () => {
        sent += 1
        throw new Error('sent')
      }
    },
    at: () => () => {},
    now: () => time,
    random: () => 0,
    count: () => {},
    observe: () => {},
    logger: { info: () => {}, warn: () => {} }
  }
  await runAttempts.runAttempts(call, reply as never, options as never).catch(() => {})
  return { sent, refusal }
}

nodeTest.test('a call that is blocked while it waits for a permit is refused and not sent', async () => {
  assert.deepEqual(await runCall('blocked'), { sent: 0, refusal: '503 blocked: back ends ended under this call' })
  assert.equal((await runCall('nothing')).sent, 1)
})

nodeTest.test('a call whose back end announces its end while the call waits for a permit is not sent there', async () => {
  assert.deepEqual(await runCall('leaving'), { sent: 0, refusal: '503 no back end may serve: 1 draining' })
})

nodeTest.test('a call whose back end asks for a backoff while the call waits for a permit is not sent there', async () => {
  assert.deepEqual(await runCall('backing-off'), { sent: 0, refusal: '503 no back end may serve: 1 backing-off' })
})

/** Guards against more requests than a cold engine takes in one second: a permit that is used late counts in another second than the one in which it was granted. */
nodeTest.test('a call whose permit expired while its gateway was busy is not sent with it', async () => {
  assert.equal((await runCall('permit-expired')).sent, 0)
})

/** Guards against a request that is sent without a permit because its back end became known as cold after it was chosen. */
nodeTest.test('a call needs a permit if its back end has become cold since it was chosen', async () => {
  assert.equal((await runCall('became-cold')).sent, 0)
})

nodeTest.test('a call whose back end is excluded while the call waits for a permit is not sent there', async () => {
  assert.deepEqual(await runCall('evacuated'), { sent: 0, refusal: '503 evacuated: every data hall that may serve the call (1 evacuated)' })
})
