import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'
import type * as chooseBackEnd from '../chooseBackEnd/index.js'
import type * as computeForecast from '../computeForecast/index.js'
import * as createWaitingCalls from './index.js'

const SERVICE = types.brandId<types.ServiceName>('llm')
const ENGINE = types.brandId<types.NodeId>('engine')
const CHOICE = { backEnd: { id: ENGINE } } as unknown as chooseBackEnd.Choice
const HOLD_MS = 1000
const DEADLINE_MS = 6000

interface Ended {
  readonly name: string
  readonly end: createWaitingCalls.WaitEnd
}

interface Waiting {
  readonly clock: standins.VirtualClock
  readonly calls: createWaitingCalls.WaitingCalls
  readonly ended: readonly Ended[]
  readonly counted: readonly string[]
  /** Number of slots that were requested. */
  readonly countRequests: () => number
  readonly create: (name: string, more?: Partial<createWaitingCalls.WaitingCall>) => createWaitingCalls.WaitingCall
}

/** Creates the waiting calls of one of so many gateways; its only engine returns at a time that may be stated wrongly, and has some free slots. */
function createWaiting (options: { readonly gateways?: number | null, readonly returnAt?: number, readonly statedReturnAt?: (now: number) => number | null, readonly slots?: number, readonly maximumCalls?: number } = {}): Waiting {
  const { gateways = 1, returnAt = 1000, statedReturnAt = () => returnAt, slots = 12, maximumCalls = 10 } = options
  const clock = standins.createVirtualClock()
  const ended: Ended[] = []
  const counted: string[] = []
  let free = slots
  let requests = 0
  const isServing = (): boolean => clock.now() >= returnAt
  const readEngines = (): computeForecast.ForecastEngine[] => {
    if (isServing()) return [{ slots, freeSlots: free, readyInMs: 0 }]
    const stated = statedReturnAt(clock.now())
    return stated === null ? [] : [{ slots, freeSlots: slots, readyInMs: Math.max(1, stated - clock.now()) }]
  }
  const calls = createWaitingCalls.createWaitingCalls({
    limits: { maximumCalls, maximumBytes: 1000 },
    readEngines,
    holdMsOf: () => HOLD_MS,
    countGateways: () => gateways,
    reserve: (_backEnd, _request, onAnswer) => {
      requests += 1
      clock.at(clock.now() + 5, () => {
        free -= 1
        onAnswer(free >= 0)
      })
    },
    count: (_name, labels) => { counted.push(labels?.['reason'] ?? '') },
    now: clock.now,
    at: clock.at,
    random: () => 0.5
  })
  calls.noteNoneServing(SERVICE)
  return {
    clock,
    calls,
    ended,
    counted,
    countRequests: () => requests,
    create: (name, more = {}) => ({
      service: SERVICE,
      rank: 0,
      bytes: 10,
      inTimeUntil: 200,
      beginBy: DEADLINE_MS - HOLD_MS,
      deadlineAt: DEADLINE_MS,
      promptTokens: 100,
      choose: (others) => isServing() && !others.has(ENGINE) ? CHOICE : null,
      isExcluded: () => false,
      onEnd: (end) => { ended.push({ name, end }) },
      ...more
    })
  }
}

/** Guards against an order of arrival: the more urgent call, and then the one with less time left, gets the first slot. */
nodeTest.test('calls are handed out in order of the queue when their engine returns', () => {
  const { clock, calls, ended, create } = createWaiting()
  assert.deepEqual(calls.add(create('low', { rank: 1 })), { isHeld: true, place: 1 })
  assert.deepEqual(calls.add(create('later')), { isHeld: true, place: 1 })
  assert.deepEqual(calls.add(create('sooner', { beginBy: 4500 })), { isHeld: true, place: 2 })
  clock.run(900)
  assert.equal(calls.size(), 3)
  clock.run(1200)
  assert.deepEqual(ended.map(({ name, end }) => [name, end.kind]), [['sooner', 'reserved'], ['later', 'reserved'], ['low', 'reserved']])
  assert.equal(calls.size(), 0)
})

/** Guards against slots that are requested for callers that no longer want them. */
nodeTest.test('a call whose caller leaves is removed at once and asks for no slot', () => {
  const { clock, calls, ended, counted, countRequests, create } = createWaiting()
  const call = create('left')
  calls.add(call)
  calls.remove(call, 'left')
  assert.equal(calls.size(), 0)
  clock.run(3000)
  assert.deepEqual([ended.length, countRequests(), counted], [0, 0, ['left']])
})

/** Guards against calls that wait without any prospect: for engines of which nothing is known, beyond their deadlines, or beyond the gateway's share. */
nodeTest.test('a call that is not predicted to be served is not held', () => {
  const unknown = createWaiting({ statedReturnAt: () => null })
  assert.deepEqual(unknown.calls.add(unknown.create('unknown')), { isHeld: false, reason: 'no forecast', retryAfterMs: null })
  const restarted = createWaiting({ gateways: null })
  assert.equal(restarted.calls.add(restarted.create('restarted')).isHeld, false)
  const late = createWaiting({ returnAt: 5500 })
  const refused = late.calls.add(late.create('late'))
  assert.ok(!refused.isHeld && refused.retryAfterMs === 0.3 * DEADLINE_MS)
  const shared = createWaiting({ gateways: 100 })
  assert.equal(shared.calls.add(shared.create('shared')).isHeld, false)
  const serving = createWaiting({ returnAt: 0 })
  serving.clock.run(10_000)
  assert.equal(serving.calls.add(serving.create('serving', { inTimeUntil: 20_000, beginBy: 20_000, deadlineAt: 21_000 })).isHeld, false)
})

/** Guards against a queue that grows without bound. */
nodeTest.test('a full queue holds no more calls', () => {
  const { calls, create } = createWaiting({ maximumCalls: 1 })
  assert.equal(calls.add(create('first')).isHeld, true)
  const second = calls.add(create('second'))
  assert.ok(!second.isHeld && second.reason === 'queue full')
})

/** Guards against a call that takes the place that another one of its rank was promised. */
nodeTest.test('a call is not held if one of the same rank would no longer be served, but one of a higher rank is', () => {
  const { calls, create } = createWaiting({ returnAt: 2800, slots: 1 })
  assert.equal(calls.add(create('held')).isHeld, true)
  assert.equal(calls.add(create('equal', { beginBy: 4990 })).isHeld, false)
  assert.equal(calls.add(create('higher', { rank: -1 })).isHeld, true)
})

/** Guards against calls that are held until their deadlines although their engine can no longer return in time. */
nodeTest.test('a call is refused as soon as its engine cannot return in time, and at the latest when it can no longer begin', () => {
  const delayed = createWaiting({ returnAt: 20_000, statedReturnAt: (now) => now < 2000 ? 3000 : 15_000 })
  delayed.calls.add(delayed.create('delayed'))
  delayed.clock.run(2100)
  assert.deepEqual(delayed.ended.map(({ end }) => end.kind === 'refused' ? end.reason : ''), ['waited: engines return too late'])
  const unknown = createWaiting({ returnAt: 20_000, statedReturnAt: (now) => now < 2000 ? 3000 : null })
  unknown.calls.add(unknown.create('unknown'))
  unknown.clock.run(2100)
  assert.deepEqual(unknown.counted, ['no-forecast'])
  const wrong = createWaiting({ returnAt: 20_000, statedReturnAt: () => 3000 })
  wrong.calls.add(wrong.create('wrong'))
  wrong.clock.run(5100)
  assert.deepEqual(wrong.counted, ['late'])
})

/** Guards against calls that are cut off without an answer when their gateway ends. */
nodeTest.test('all waiting calls are refused at once when the gateway ends, and no more are held', () => {
  const { calls, ended, create } = createWaiting()
  calls.add(create('one'))
  calls.add(create('two'))
  calls.end('this gateway ends', 20)
  assert.deepEqual(ended.map(({ end }) => end), Array.from({ length: 2 }, () => ({ kind: 'refused', reason: 'this gateway ends', retryAfterMs: 20 })))
  assert.equal(calls.add(create('three')).isHeld, false)
})

/** Guards against datagrams for nothing: a full engine is asked rarely however many calls wait. */
nodeTest.test('an engine that refused a slot is not asked again at once', () => {
  const { clock, calls, countRequests, create } = createWaiting({ slots: 1, returnAt: 100 })
  for (const name of ['one', 'two', 'three', 'four']) calls.add(create(name))
  clock.run(1100)
  assert.ok(countRequests() <= 20, `${countRequests()} requests`)
})
