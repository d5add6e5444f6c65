import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as types from '@switchridge/types'
import type * as computeFingerprint from '../computeFingerprint/index.js'
import * as matchesSuspect from '../matchesSuspect/index.js'
import type * as quarantine from '../types/index.js'
import type * as suspects from '../types/suspects.js'
import * as createQuarantine from './index.js'

const LIMITS: quarantine.QuarantineLimits = { ends: 3, evidenceMs: 600_000, blockMs: 600_000, maximumBlockMs: 86_400_000, maximumEnds: 50, maximumBlocks: 10 }
const CRASHING = types.brandId<computeFingerprint.CallFingerprint>('crashing')

function fingerprint (name: string): computeFingerprint.CallFingerprint {
  return types.brandId<computeFingerprint.CallFingerprint>(name)
}

interface Fixture {
  readonly quarantine: createQuarantine.Quarantine
  /** Calls of the listeners, as text. */
  readonly events: string[]
  readonly advance: (milliseconds: number) => void
  readonly now: () => number
  /** Records the end of a new back end that was running these calls. */
  readonly end: (...calls: string[]) => void
}

function createFixture (limits: Partial<quarantine.QuarantineLimits> = {}): Fixture {
  let time = 0
  let lives = 0
  const events: string[] = []
  const record = createQuarantine.createQuarantine({
    limits: { ...LIMITS, ...limits },
    onBlocked: ({ fingerprint: call, count }, seen) => { events.push(`blocked ${call} ${count} after ${seen.length}`) },
    onReleased: ({ fingerprint: call }, reason) => { events.push(`released ${call} ${reason}`) },
    now: () => time
  })
  return {
    quarantine: record,
    events,
    now: () => time,
    advance: (milliseconds) => { time += milliseconds },
    end: (...calls) => {
      lives += 1
      record.noteEnd({ life: types.brandId<types.BackEndInstanceId>(`i-${lives}`), at: time, calls: new Set(calls.map(fingerprint)) })
    }
  }
}

nodeTest.test('a call is blocked at the third end, for the configured time', () => {
  const fixture = createFixture()
  for (const beside of ['a', 'b']) fixture.end('crashing', beside)
  assert.equal(fixture.quarantine.readBlockedMs(CRASHING), null)
  fixture.end('crashing', 'c')
  assert.equal(fixture.quarantine.readBlockedMs(CRASHING), LIMITS.blockMs)
  assert.equal(fixture.quarantine.readBlockedMs(fingerprint('a')), null)
  assert.deepEqual(fixture.events, ['blocked crashing 1 after 3'])
  fixture.advance(LIMITS.blockMs)
  assert.equal(fixture.quarantine.readBlockedMs(CRASHING), null)
})

nodeTest.test('the same end reported by several gateways counts once', () => {
  const { quarantine: record, now } = createFixture()
  const life = types.brandId<types.BackEndInstanceId>('i-1')
  for (const beside of ['a', 'b', 'c']) record.noteEnd({ life, at: now(), calls: new Set([CRASHING, fingerprint(beside)]) })
  assert.equal(record.readBlockedMs(CRASHING), null)
  assert.equal(record.countSuspects(), 4)
})

/** Guards against the block of an innocent caller: a late report of an end made the quarantine forget that the call was completed after it. */
nodeTest.test('a call that was completed after an end stays cleared of it when a late report of that end is merged', () => {
  const { quarantine: record, end, now, advance } = createFixture()
  const first = { life: types.brandId<types.BackEndInstanceId>('first'), at: now() }
  const innocent = fingerprint('innocent')
  record.noteEnd({ ...first, calls: new Set([innocent]) })
  advance(10)
  record.noteServed(innocent, now())
  advance(10)
  record.noteEnd({ ...first, calls: new Set([fingerprint('beside')]) })
  assert.equal(record.countSuspects(), 1)
  for (let index = 0; index < LIMITS.ends - 1; index += 1) {
    advance(2000)
    end('innocent')
  }
  assert.equal(record.readBlockedMs(innocent), null)
})

nodeTest.test('a back end that restarts under the same id and ends again counts again', () => {
  const { quarantine: record, now, advance } = createFixture()
  const life = types.brandId<types.BackEndInstanceId>('i-1')
  for (let index = 0; index < 3; index += 1) {
    for (const beside of ['a', 'b']) {
      record.noteEnd({ life, at: now(), calls: new Set([CRASHING, fingerprint(`${beside}-${index}`)]) })
      advance(100)
    }
    assert.equal(record.readBlockedMs(CRASHING) !== null, index === 2)
    advance(3000)
  }
})

nodeTest.test('after a block a single end blocks the call again, for four times as long', () => {
  const fixture = createFixture()
  for (let index = 0; index < 3; index += 1) fixture.end('crashing')
  fixture.advance(LIMITS.blockMs + 1)
  assert.equal(fixture.quarantine.readBlockedMs(CRASHING), null)
  fixture.end('crashing')
  assert.equal(fixture.quarantine.readBlockedMs(CRASHING), 4 * LIMITS.blockMs)
  fixture.advance(4 * LIMITS.blockMs + 1)
  fixture.end('crashing')
  assert.equal(fixture.quarantine.readBlockedMs(CRASHING), 16 * LIMITS.blockMs)
})

nodeTest.test('a call that is completed after its block needs three ends again', () => {
  const fixture = createFixture()
  for (let index = 0; index < 3; index += 1) fixture.end('call')
  fixture.advance(LIMITS.blockMs + 1)
  assert.equal(fixture.quarantine.noteServed(fingerprint('call'), fixture.now()), true)
  for (let index = 0; index < 2; index += 1) fixture.end('call')
  assert.equal(fixture.quarantine.readBlockedMs(fingerprint('call')), null)
})

nodeTest.test('a completed copy of a blocked call lifts the block', () => {
  const fixture = createFixture()
  for (let index = 0; index < 3; index += 1) fixture.end('call')
  fixture.advance(1)
  assert.equal(fixture.quarantine.noteServed(fingerprint('call'), fixture.now()), true)
  assert.equal(fixture.quarantine.readBlockedMs(fingerprint('call')), null)
  assert.deepEqual(fixture.events, ['blocked call 1 after 3', 'released call served'])
})

nodeTest.test('a block is lifted once another call explains the ends, even if that call is reported later', () => {
  const fixture = createFixture()
  const lives = [1, 2, 3].map((index) => types.brandId<types.BackEndInstanceId>(`i-shared-${index}`))
  for (const life of lives) fixture.quarantine.noteEnd({ life, at: fixture.now(), calls: new Set([fingerprint('beside')]) })
  assert.notEqual(fixture.quarantine.readBlockedMs(fingerprint('beside')), null)
  fixture.end('crashing')
  for (const life of lives) fixture.quarantine.noteEnd({ life, at: fixture.now(), calls: new Set([CRASHING]) })
  assert.equal(fixture.quarantine.readBlockedMs(fingerprint('beside')), null)
  assert.notEqual(fixture.quarantine.readBlockedMs(CRASHING), null)
  assert.equal(fixture.events.at(-1), 'released beside explained')
})

nodeTest.test('a block from another gateway applies for its remaining time, and not at all once it is over', () => {
  const fixture = createFixture()
  fixture.advance(10_000_000)
  fixture.quarantine.noteBlock({ fingerprint: CRASHING, count: 1, since: fixture.now() - 200_000 })
  assert.equal(fixture.quarantine.readBlockedMs(CRASHING), LIMITS.blockMs - 200_000)
  fixture.quarantine.noteBlock({ fingerprint: fingerprint('old'), count: 1, since: fixture.now() - 2 * LIMITS.blockMs })
  assert.equal(fixture.quarantine.readBlockedMs(fingerprint('old')), null)
})

nodeTest.test('ends expire after the evidence time', () => {
  const fixture = createFixture()
  for (let index = 0; index < 2; index += 1) fixture.end('rare')
  fixture.advance(LIMITS.evidenceMs + 1)
  fixture.end('rare')
  assert.equal(fixture.quarantine.readBlockedMs(fingerprint('rare')), null)
  assert.equal(fixture.quarantine.countSuspects(), 1)
})

nodeTest.test('memory is bounded, and blocks outlast the ends that caused them', () => {
  const fixture = createFixture()
  for (let index = 0; index < 3; index += 1) fixture.end('crashing')
  for (let index = 0; index < 4 * LIMITS.maximumEnds; index += 1) {
    fixture.advance(1)
    fixture.end(`a-${index}`, `b-${index}`)
  }
  assert.ok(fixture.quarantine.countSuspects() <= 2 * (LIMITS.maximumEnds + 1))
  assert.notEqual(fixture.quarantine.readBlockedMs(CRASHING), null)
  for (let index = 0; index < 4 * LIMITS.maximumBlocks; index += 1) fixture.quarantine.noteBlock({ fingerprint: fingerprint(`received-${index}`), count: 1, since: fixture.now() })
  assert.ok(fixture.quarantine.blocks().length <= LIMITS.maximumBlocks + 1)
})

const LEARNING_MS = 10_000
/** Ends that a part needs beyond those of the settings if it was served before or the quarantine has just started. */
const EXTRA_ENDS = 2

function part (name: string): types.PromptPartId {
  return types.brandId<types.PromptPartId>(`#${name}`)
}

interface PartsFixture extends Fixture {
  /** Records the end of a new back end that was running one call with these parts, and lets 100 ms pass. */
  readonly endWith: (...parts: string[]) => void
  readonly serve: (...parts: string[]) => void
  readonly isBlocked: (...parts: string[]) => boolean
}

function createPartsFixture (limits: Partial<quarantine.QuarantineLimits> = {}): PartsFixture {
  const fixture = createFixture(limits)
  let calls = 0
  fixture.advance(LEARNING_MS)
  return {
    ...fixture,
    endWith: (...names) => {
      const call = fingerprint(`call${calls++}`)
      fixture.quarantine.noteEnd({ life: types.brandId<types.BackEndInstanceId>(`i-${call}`), at: fixture.now(), calls: new Set([call]), callsByPart: new Map(names.map((name) => [part(name), new Set([call])])) })
      fixture.advance(100)
    },
    serve: (...names) => {
      fixture.quarantine.notePartsServed(names.map(part), fixture.now())
      fixture.advance(1)
    },
    isBlocked: (...names) => fixture.quarantine.readCallBlockedMs({ fingerprint: () => fingerprint('new'), parts: names.map(part) }) !== null
  }
}

function endTimes (count: number, end: () => void): void {
  for (let index = 0; index < count; index += 1) end()
}

nodeTest.test('different calls with a part that ended three back ends are blocked, calls with the other parts are not', () => {
  const { endWith, isBlocked, events } = createPartsFixture()
  for (const beside of ['a1', 'a2', 'a3']) endWith('f1', beside, 'bad')
  assert.ok(isBlocked('f1', 'a4', 'bad'))
  assert.ok(!isBlocked('f1', 'a1'))
  assert.deepEqual(events, ['blocked #bad+#f1 1 after 3'])
})

nodeTest.test('once a call with one of the parts that came together is served, the other part is blocked by itself', () => {
  const { endWith, isBlocked, serve } = createPartsFixture()
  endTimes(3, () => { endWith('f1', 'bad') })
  assert.ok(!isBlocked('bad'))
  serve('f1')
  assert.ok(isBlocked('bad'))
  assert.ok(!isBlocked('f1'))
})

nodeTest.test('a part that was served before needs more ends, all of them since it was last served', () => {
  const { endWith, isBlocked, serve } = createPartsFixture()
  serve('a1')
  endTimes(LIMITS.ends + EXTRA_ENDS - 1, () => { endWith('a1') })
  serve('a1')
  endTimes(LIMITS.ends + EXTRA_ENDS - 1, () => { endWith('a1') })
  assert.ok(!isBlocked('a1'))
  endWith('a1')
  assert.ok(isBlocked('a1'))
})

/** Guards against a restarted gateway that blocks parts in common use, since it has seen no call with them served yet. */
nodeTest.test('right after a start no part counts as never served', () => {
  const { quarantine: record } = createFixture()
  for (let index = 0; index < LIMITS.ends + EXTRA_ENDS - 1; index += 1) {
    const call = fingerprint(`call${index}`)
    record.noteEnd({ life: types.brandId<types.BackEndInstanceId>(`i-${index}`), at: index * -100, calls: new Set([call]), callsByPart: new Map([[part('f1'), new Set([call])]]) })
  }
  assert.deepEqual(record.blocks(), [])
})

nodeTest.test('a gateway does not adopt a block of a part with which it has just served a call', () => {
  const { quarantine: record, isBlocked, now, serve, advance } = createPartsFixture()
  serve('f1')
  advance(100)
  record.noteBlock({ fingerprint: types.brandId<suspects.PartSetId>('#f1'), count: 1, since: now() })
  record.noteBlock({ fingerprint: types.brandId<suspects.PartSetId>('#bad+#f1'), count: 1, since: now() })
  assert.ok(!isBlocked('f1'))
  assert.ok(isBlocked('f1', 'bad'))
})

nodeTest.test('a served call with a blocked part, here or at another gateway, lifts the block', () => {
  for (const report of ['own', 'other'] as const) {
    const { quarantine: record, endWith, isBlocked, serve, now } = createPartsFixture()
    endTimes(3, () => { endWith('a1') })
    assert.ok(isBlocked('a1'))
    if (report === 'own') serve('a1')
    else record.noteServedReport({ part: part('a1'), at: now() })
    assert.ok(!isBlocked('a1'))
  }
})

/** Guards against a block that stays everywhere although a call with the part has been completed where no end of it is known, as after a restart. */
nodeTest.test('a served call lifts a block that another gateway made, and the others are told', () => {
  const { quarantine: record, isBlocked, now, serve, advance } = createPartsFixture()
  record.noteBlock({ fingerprint: types.brandId<suspects.PartSetId>('#a1+#bad'), count: 1, since: now() })
  advance(100)
  serve('a1')
  assert.ok(isBlocked('a1', 'bad'))
  assert.deepEqual(record.takeServedToReport([part('a1')]), [])
  serve('a1', 'bad')
  assert.ok(!isBlocked('a1', 'bad'))
  assert.deepEqual(record.takeServedToReport([part('a1'), part('bad')]).map((served) => served.part), [part('a1'), part('bad')])
  assert.deepEqual(record.takeServedToReport([part('a1'), part('bad')]), [])
})

nodeTest.test('other gateways are told once that a call with a suspected part was served, and again after further ends', () => {
  const { quarantine: record, endWith, serve, advance } = createPartsFixture()
  serve('a1')
  assert.deepEqual(record.takeServedToReport([part('a1')]), [])
  endWith('a1')
  assert.deepEqual(record.takeServedToReport([part('a1')]).map((served) => served.part), [part('a1')])
  serve('a1')
  assert.deepEqual(record.takeServedToReport([part('a1')]), [])
  endTimes(2, () => { endWith('a1') })
  serve('a1')
  assert.equal(record.takeServedToReport([part('a1')]).length, 1)
  endTimes(2, () => { endWith('a1') })
  advance(1)
  record.noteServedReport({ part: part('a1'), at: record.takeServedToReport([part('a1')])[0]?.at ?? Infinity })
  serve('a1')
  assert.deepEqual(record.takeServedToReport([part('a1')]), [])
})

nodeTest.test('after a block one more end blocks a part again, for four times as long', () => {
  const { endWith, isBlocked, advance, events } = createPartsFixture()
  for (const beside of ['a1', 'a2', 'a3']) endWith(beside, 'bad')
  advance(LIMITS.blockMs)
  assert.ok(!isBlocked('bad'))
  endWith('a4', 'bad')
  assert.ok(isBlocked('bad'))
  assert.equal(events.at(-1), 'blocked #bad 2 after 1')
})

nodeTest.test('memory for parts is bounded by the ends that are stored', () => {
  const { quarantine: record, endWith, advance } = createPartsFixture()
  for (let index = 0; index < 4 * LIMITS.maximumEnds; index += 1) endWith(`a${index}`, `b${index}`)
  advance(LIMITS.evidenceMs)
  endWith('c')
  assert.equal(record.countEnds(), 1)
  assert.equal(record.countSuspectedParts(), 1)
})

nodeTest.test('gateways that receive the same ends with parts in a different order block the same', () => {
  const letters = fastCheck.subarray(['a', 'b', 'c', 'd'], { minLength: 1 })
  const message = fastCheck.record({ life: fastCheck.nat(7), call: fastCheck.constantFrom('x', 'y', 'z'), parts: letters })
  fastCheck.assert(fastCheck.property(fastCheck.array(message, { maxLength: 25 }), fastCheck.infiniteStream(fastCheck.nat()), (messages, order) => {
    function apply (received: typeof messages): string[] {
      const { quarantine: record, now } = createPartsFixture()
      for (const { life, call, parts } of received) {
        record.noteEnd({ life: types.brandId<types.BackEndInstanceId>(`i-${life}`), at: now() - 100 * life, calls: new Set([fingerprint(call)]), callsByPart: new Map(parts.map((name) => [part(name), new Set([fingerprint(call)])])) })
      }
      const blocked = record.blocks().map((block) => matchesSuspect.listPartsOf(block.fingerprint)).filter((parts) => parts.length > 0)
      // A set of parts is implied by a block of some of them.
      const minimal = blocked.filter((parts) => !blocked.some((other) => other.length < parts.length && other.every((one) => parts.includes(one))))
      return minimal.map((parts) => parts.join('+')).sort()
    }
    const shuffled = messages.map((each) => ({ each, rank: order.next().value as number })).sort((left, right) => left.rank - right.rank).map(({ each }) => each)
    assert.deepEqual(apply(shuffled), apply(messages))
  }), { seed: 7, numRuns: 200 })
})

/** A report that a gateway may receive, in any order. */
type Message =
  | { readonly kind: 'end', readonly life: number, readonly call: string }
  | { readonly kind: 'served', readonly call: string, readonly at: number }

nodeTest.test('gateways that receive the same ends in a different order block the same calls', () => {
  const call = fastCheck.constantFrom('a', 'b', 'c', 'd')
  const message: fastCheck.Arbitrary<Message> = fastCheck.record({ kind: fastCheck.constant('end' as const), life: fastCheck.nat(7), call })
  fastCheck.assert(fastCheck.property(fastCheck.array(message, { maxLength: 25 }), fastCheck.infiniteStream(fastCheck.nat()), (messages, order) => {
    const shuffled = messages.map((each) => ({ each, rank: order.next().value as number })).sort((left, right) => left.rank - right.rank).map(({ each }) => each)
    assert.deepEqual(applyMessages(shuffled), applyMessages(messages))
  }), { seed: 7, numRuns: 300 })
})

function applyMessages (messages: readonly Message[]): string[] {
  const { quarantine: record } = createFixture()
  for (const each of messages) {
    if (each.kind === 'end') record.noteEnd({ life: types.brandId<types.BackEndInstanceId>(`i-${each.life}`), at: each.life, calls: new Set([fingerprint(each.call)]) })
    else record.noteServed(fingerprint(each.call), each.at)
  }
  return record.blocks().map(({ fingerprint: call }) => call).sort()
}
