import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as store from '@switchridge/store'
import * as types from '@switchridge/types'
import * as createGossip from '../createGossip/index.js'
import * as createCopySync from './index.js'

const KIND = 'things'
const OTHER_HALL_GRACE_MS = 400
const STEP_MS = 10

interface Harness {
  readonly mirror: store.Mirror
  readonly asked: string[]
  readonly confirmed: string[]
  readonly failures: string[]
  /** Hosts whose request was aborted because its answer was no longer needed. */
  readonly ended: string[]
  /** Delivers a heartbeat with the state of a peer's copy. */
  readonly deliver: (host: string, zone: string, peer: store.Mirror, role?: createGossip.Heartbeat['role']) => void
  readonly advance: (milliseconds: number) => Promise<void>
}

interface HarnessOptions {
  readonly isWatching?: boolean
  /** Replaces the answer of a peer. */
  readonly answer?: (host: string, request: createCopySync.CopyRequest, changes: store.MirrorChanges) => types.Outcome<store.MirrorChanges, types.UnavailableError | createCopySync.InvalidCopyError>
  /** Milliseconds that an answer takes, for all hosts or by host. */
  readonly answerMs?: number | ((host: string) => number)
  readonly random?: () => number
}

function createHarness (context: nodeTest.TestContext, options: HarnessOptions = {}): Harness {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  let time = 0
  const mirror = store.createMirror(KIND)
  const peers = new Map<string, store.Mirror>()
  const asked: string[] = []
  const confirmed: string[] = []
  const failures: string[] = []
  const ended: string[] = []
  const answerMs = options.answerMs ?? 0
  const answerMsOf = (host: string): number => typeof answerMs === 'number' ? answerMs : answerMs(host)
  const sync = createCopySync.createCopySync({
    mirrors: [mirror],
    zone: 'hall-a',
    canServe: ({ role }) => role === 'gateway',
    isWatching: () => options.isWatching ?? false,
    otherHallGraceMs: () => OTHER_HALL_GRACE_MS,
    fetchChanges: async (host, request, signal) => {
      asked.push(host)
      signal?.addEventListener('abort', () => { ended.push(host) })
      const changes = (peers.get(host) as store.Mirror).changesSince(request.since)
      if (answerMsOf(host) > 0) await types.delay(answerMsOf(host))
      const answer = options.answer?.(host, request, changes) ?? types.succeed(changes)
      return answer.ok ? types.succeed({ changes: answer.value, bytes: 100 }) : answer
    },
    onRequest: () => {},
    onAdopted: () => {},
    onConfirmed: (kind) => { confirmed.push(kind) },
    onFailed: (_kind, host, reason) => { failures.push(`${host}: ${reason}`) },
    now: () => time,
    random: options.random ?? (() => 0)
  })
  return {
    mirror,
    asked,
    confirmed,
    failures,
    ended,
    deliver: (host, zone, peer, role = 'gateway') => {
      peers.set(host, peer)
      sync.noteHeartbeat(makeHeartbeat(host, zone, peer.state(), role))
    },
    advance: async (milliseconds) => {
      for (let passed = 0; passed < milliseconds; passed += STEP_MS) {
        time += STEP_MS
        context.mock.timers.tick(STEP_MS)
        for (let turn = 0; turn < 20; turn += 1) await Promise.resolve()
      }
    }
  }
}

function makeHeartbeat (host: string, zone: string, state: store.MirrorState, role: createGossip.Heartbeat['role']): createGossip.Heartbeat {
  return { node: types.brandId(host), role, zone, host, isLeaving: false, isStoreLost: false, copies: { [KIND]: state }, versions: [], suspects: [], engine: null }
}

function createListed (at: number, ...names: string[]): store.Mirror {
  const mirror = store.createMirror(KIND)
  mirror.applyList({ at, objects: names.map((name, index) => ({ name, revision: index + 1, value: null })) })
  return mirror
}

nodeTest.test('equal content at a later revision is confirmed, and no peer is asked', async (context) => {
  const harness = createHarness(context)
  harness.mirror.applyList({ at: 5, objects: [{ name: 'a', revision: 1, value: null }] })
  harness.deliver('near-1', 'hall-a', createListed(90, 'a'))
  await harness.advance(3000)
  assert.deepEqual(harness.asked, [])
  assert.deepEqual(harness.confirmed, [KIND])
  assert.equal(harness.mirror.state().at, 90)
})

nodeTest.test('a peer of the own hall is asked at once and only once, also if the heartbeat of another hall came first', async (context) => {
  const harness = createHarness(context, { answerMs: 200 })
  harness.deliver('far-1', 'hall-b', createListed(9, 'a'))
  await harness.advance(100)
  for (const host of ['near-1', 'near-2', 'near-3']) harness.deliver(host, 'hall-a', createListed(9, 'a'))
  await harness.advance(2000)
  assert.deepEqual(harness.asked, ['near-1'])
  assert.equal(harness.mirror.objects().size, 1)
})

nodeTest.test('requests are spread over all peers of the hall that have the copy', async (context) => {
  const harness = createHarness(context, { random: () => 0.99, answerMs: 50 })
  harness.deliver('far-1', 'hall-b', createListed(9, 'a'))
  await harness.advance(20)
  for (const host of ['near-1', 'near-2', 'near-3']) harness.deliver(host, 'hall-a', createListed(9, 'a'))
  await harness.advance(1000)
  assert.deepEqual(harness.asked, ['near-3'])
})

nodeTest.test('another hall is asked only if no peer of the own hall has the copy after the grace period', async (context) => {
  const harness = createHarness(context)
  harness.deliver('far-1', 'hall-b', createListed(9, 'a'))
  await harness.advance(OTHER_HALL_GRACE_MS - 100)
  assert.deepEqual(harness.asked, [])
  await harness.advance(200)
  assert.deepEqual(harness.asked, ['far-1'])
})

nodeTest.test('a daemon whose watch works waits for its events', async (context) => {
  const harness = createHarness(context, { isWatching: true })
  harness.mirror.applyList({ at: 3, objects: [] })
  harness.deliver('near-1', 'hall-a', createListed(9, 'a'))
  await harness.advance(100)
  harness.mirror.applyEvents({ at: 9, events: [{ isGone: false, object: { name: 'a', revision: 5, value: null } }] })
  await harness.advance(1000)
  assert.deepEqual(harness.asked, [])
})

nodeTest.test('another peer is asked after one that fails, with growing delays', async (context) => {
  const harness = createHarness(context, { answer: (host, _request, changes) => host === 'near-3' ? types.succeed(changes) : types.fail(new types.UnavailableError('silent')) })
  for (const host of ['near-1', 'near-2', 'near-3']) harness.deliver(host, 'hall-a', createListed(9, 'a'))
  await harness.advance(40)
  assert.deepEqual(harness.asked, ['near-1'])
  await harness.advance(60)
  assert.deepEqual(harness.asked, ['near-1', 'near-2'])
  await harness.advance(40)
  assert.deepEqual(harness.asked, ['near-1', 'near-2'])
  await harness.advance(100)
  assert.deepEqual(harness.asked, ['near-1', 'near-2', 'near-3'])
  assert.deepEqual(harness.failures, ['near-1: silent', 'near-2: silent'])
  assert.equal(harness.mirror.objects().size, 1)
})

nodeTest.test('changes that do not join on are dropped with their reason, and a full copy is requested', async (context) => {
  const sinces: number[] = []
  const harness = createHarness(context, {
    answer: (_host, { since }, changes) => {
      sinces.push(since)
      return types.succeed(since === 0 ? changes : { ...changes, since: 1, objects: [], gone: [] })
    }
  })
  harness.mirror.applyList({ at: 3, objects: [] })
  harness.deliver('near-1', 'hall-a', createListed(9, 'a'))
  await harness.advance(300)
  assert.deepEqual(sinces, [3, 0])
  assert.match(harness.failures.join(), /near-1: changes that do not join on/)
  assert.equal(harness.mirror.objects().size, 1)
})

nodeTest.test('a peer that became silent is no longer asked', async (context) => {
  const harness = createHarness(context, { answer: () => types.fail(new types.UnavailableError('gone')) })
  harness.deliver('near-1', 'hall-a', createListed(9, 'a'))
  await harness.advance(createGossip.PEER_EXPIRY_MS + 100)
  const asked = harness.asked.length
  await harness.advance(5000)
  assert.ok(asked > 1)
  assert.equal(harness.asked.length, asked)
})

nodeTest.test('a peer of a large fleet with 3.4 s between heartbeats is still asked before its next heartbeat', async (context) => {
  let isBack = false
  const harness = createHarness(context, { answer: (_host, _request, changes) => isBack ? types.succeed(changes) : types.fail(new types.UnavailableError('full')) })
  harness.deliver('near-1', 'hall-a', createListed(9, 'a'))
  await harness.advance(3300)
  isBack = true
  await harness.advance(1100)
  assert.equal(harness.mirror.objects().size, 1)
})

const SLOW_ANSWER_MS = 30_000

nodeTest.test('another peer of the hall is asked while one answers slowly', async (context) => {
  const harness = createHarness(context, { answerMs: (host) => host === 'near-1' ? SLOW_ANSWER_MS : 100 })
  for (const host of ['near-1', 'near-2', 'near-3']) harness.deliver(host, 'hall-a', createListed(9, 'a'))
  harness.deliver('far-1', 'hall-b', createListed(9, 'a'))
  await harness.advance(2000)
  assert.equal(harness.mirror.objects().size, 1)
  assert.deepEqual(harness.asked, ['near-1', 'near-2'])
  assert.deepEqual(harness.ended, ['near-1'])
  harness.deliver('near-3', 'hall-a', createListed(12, 'a', 'b'))
  await harness.advance(500)
  assert.equal(harness.mirror.objects().size, 2)
  await harness.advance(SLOW_ANSWER_MS)
  assert.equal(harness.mirror.state().at, 12)
  assert.deepEqual(harness.failures, [])
})

nodeTest.test('at most two peers are asked at a time, and a late answer is applied if it is the first', async (context) => {
  const harness = createHarness(context, { answerMs: (host) => host === 'near-1' ? 4000 : SLOW_ANSWER_MS })
  for (const host of ['near-1', 'near-2', 'near-3']) harness.deliver(host, 'hall-a', createListed(9, 'a'))
  await harness.advance(3900)
  assert.deepEqual(harness.asked, ['near-1', 'near-2'])
  await harness.advance(200)
  assert.equal(harness.mirror.objects().size, 1)
  assert.deepEqual(harness.ended, ['near-2'])
})

nodeTest.test('no second request is sent while an answer is not late', async (context) => {
  const harness = createHarness(context, { answerMs: 450 })
  for (const host of ['near-1', 'near-2']) harness.deliver(host, 'hall-a', createListed(9, 'a'))
  await harness.advance(2000)
  assert.deepEqual(harness.asked, ['near-1'])
})

nodeTest.test('another hall is asked after the grace period if all peers of the own hall fail', async (context) => {
  const harness = createHarness(context, { answer: (host, _request, changes) => host === 'far-1' ? types.succeed(changes) : types.fail(new types.UnavailableError('silent')) })
  harness.deliver('near-1', 'hall-a', createListed(9, 'a'))
  harness.deliver('far-1', 'hall-b', createListed(9, 'a'))
  await harness.advance(OTHER_HALL_GRACE_MS - 100)
  assert.equal(harness.asked.includes('far-1'), false)
  await harness.advance(1000)
  assert.equal(harness.asked.at(-1), 'far-1')
  assert.equal(harness.mirror.objects().size, 1)
})

nodeTest.test('a peer whose copy is not complete enough is neither asked nor used to confirm the own copy', async (context) => {
  const harness = createHarness(context)
  harness.deliver('near-1', 'hall-a', createListed(9, 'a'), 'agent')
  await harness.advance(2000)
  assert.deepEqual(harness.asked, [])
})
