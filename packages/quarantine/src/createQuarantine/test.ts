import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fastCheck from 'fast-check'
import * as types from '@switchridge/types'
import type * as identifyCall from '../identifyCall/index.js'
import type * as quarantine from '../types/index.js'
import * as createQuarantine from './index.js'

const LIMITS: quarantine.QuarantineLimits = { ends: 3, evidenceMs: 600_000, blockMs: 600_000, maximumBlockMs: 86_400_000, maximumEnds: 50, maximumBlocks: 10 }
const LETHAL = types.brandId<identifyCall.CallFingerprint>('lethal')

function fingerprint (name: string): identifyCall.CallFingerprint {
  return types.brandId<identifyCall.CallFingerprint>(name)
}

interface Play {
  readonly quarantine: createQuarantine.Quarantine
  /** What listeners were told, as words. */
  readonly heard: string[]
  readonly pass: (milliseconds: number) => void
  readonly now: () => number
  /** Notes the end of a new back end under calls. */
  readonly end: (...calls: string[]) => void
}

function open (limits: Partial<quarantine.QuarantineLimits> = {}): Play {
  let time = 0
  let lives = 0
  const heard: string[] = []
  const record = createQuarantine.createQuarantine({
    limits: { ...LIMITS, ...limits },
    onBlocked: ({ fingerprint: call, count }, seen) => { heard.push(`blocked ${call} ${count} after ${seen.length}`) },
    onReleased: ({ fingerprint: call }, reason) => { heard.push(`released ${call} ${reason}`) },
    now: () => time
  })
  return {
    quarantine: record,
    heard,
    now: () => time,
    pass: (milliseconds) => { time += milliseconds },
    end: (...calls) => {
      lives += 1
      record.noteEnd({ life: types.brandId<types.BackEndLife>(`i-${lives}`), at: time, calls: new Set(calls.map(fingerprint)) })
    }
  }
}

nodeTest.test('a call is blocked at the third end, for as long as the limits say', () => {
  const play = open()
  for (const beside of ['a', 'b']) play.end('lethal', beside)
  assert.equal(play.quarantine.findBlock(LETHAL), null)
  play.end('lethal', 'c')
  assert.equal(play.quarantine.findBlock(LETHAL), LIMITS.blockMs)
  assert.equal(play.quarantine.findBlock(fingerprint('a')), null)
  assert.deepEqual(play.heard, ['blocked lethal 1 after 3'])
  play.pass(LIMITS.blockMs)
  assert.equal(play.quarantine.findBlock(LETHAL), null)
})

nodeTest.test('the same end told by several gateways counts once', () => {
  const { quarantine: record, now } = open()
  const life = types.brandId<types.BackEndLife>('i-1')
  for (const beside of ['a', 'b', 'c']) record.noteEnd({ life, at: now(), calls: new Set([LETHAL, fingerprint(beside)]) })
  assert.equal(record.findBlock(LETHAL), null)
  assert.equal(record.countSuspects(), 4)
})

nodeTest.test('a back end that starts again under its name and ends again counts again', () => {
  const { quarantine: record, now, pass } = open()
  const life = types.brandId<types.BackEndLife>('i-1')
  for (let index = 0; index < 3; index += 1) {
    for (const beside of ['a', 'b']) {
      record.noteEnd({ life, at: now(), calls: new Set([LETHAL, fingerprint(`${beside}-${index}`)]) })
      pass(100)
    }
    assert.equal(record.findBlock(LETHAL) !== null, index === 2)
    pass(3000)
  }
})

nodeTest.test('after a block one end is enough, and the next block is four times as long', () => {
  const play = open()
  for (let index = 0; index < 3; index += 1) play.end('lethal')
  play.pass(LIMITS.blockMs + 1)
  assert.equal(play.quarantine.findBlock(LETHAL), null)
  play.end('lethal')
  assert.equal(play.quarantine.findBlock(LETHAL), 4 * LIMITS.blockMs)
  play.pass(4 * LIMITS.blockMs + 1)
  play.end('lethal')
  assert.equal(play.quarantine.findBlock(LETHAL), 16 * LIMITS.blockMs)
})

nodeTest.test('a call that was served after its block begins anew', () => {
  const play = open()
  for (let index = 0; index < 3; index += 1) play.end('call')
  play.pass(LIMITS.blockMs + 1)
  assert.equal(play.quarantine.noteServed(fingerprint('call'), play.now()), true)
  for (let index = 0; index < 2; index += 1) play.end('call')
  assert.equal(play.quarantine.findBlock(fingerprint('call')), null)
})

nodeTest.test('a copy that is served to its end releases its call', () => {
  const play = open()
  for (let index = 0; index < 3; index += 1) play.end('call')
  play.pass(1)
  assert.equal(play.quarantine.noteServed(fingerprint('call'), play.now()), true)
  assert.equal(play.quarantine.findBlock(fingerprint('call')), null)
  assert.deepEqual(play.heard, ['blocked call 1 after 3', 'released call served'])
})

nodeTest.test('a call is released once another one explains the ends, whatever comes first', () => {
  const play = open()
  const lives = [1, 2, 3].map((index) => types.brandId<types.BackEndLife>(`i-shared-${index}`))
  for (const life of lives) play.quarantine.noteEnd({ life, at: play.now(), calls: new Set([fingerprint('beside')]) })
  assert.notEqual(play.quarantine.findBlock(fingerprint('beside')), null)
  play.end('lethal')
  for (const life of lives) play.quarantine.noteEnd({ life, at: play.now(), calls: new Set([LETHAL]) })
  assert.equal(play.quarantine.findBlock(fingerprint('beside')), null)
  assert.notEqual(play.quarantine.findBlock(LETHAL), null)
  assert.equal(play.heard.at(-1), 'released beside explained')
})

nodeTest.test('a block that another gateway tells holds with the time that it has left, and not when it is over', () => {
  const play = open()
  play.pass(10_000_000)
  play.quarantine.noteBlock({ fingerprint: LETHAL, count: 1, since: play.now() - 200_000 })
  assert.equal(play.quarantine.findBlock(LETHAL), LIMITS.blockMs - 200_000)
  play.quarantine.noteBlock({ fingerprint: fingerprint('old'), count: 1, since: play.now() - 2 * LIMITS.blockMs })
  assert.equal(play.quarantine.findBlock(fingerprint('old')), null)
})

nodeTest.test('ends are forgotten in time', () => {
  const play = open()
  for (let index = 0; index < 2; index += 1) play.end('rare')
  play.pass(LIMITS.evidenceMs + 1)
  play.end('rare')
  assert.equal(play.quarantine.findBlock(fingerprint('rare')), null)
  assert.equal(play.quarantine.countSuspects(), 1)
})

nodeTest.test('memory is bounded, and blocks outlast the ends that gave rise to them', () => {
  const play = open()
  for (let index = 0; index < 3; index += 1) play.end('lethal')
  for (let index = 0; index < 4 * LIMITS.maximumEnds; index += 1) {
    play.pass(1)
    play.end(`a-${index}`, `b-${index}`)
  }
  assert.ok(play.quarantine.countSuspects() <= 2 * (LIMITS.maximumEnds + 1))
  assert.notEqual(play.quarantine.findBlock(LETHAL), null)
  for (let index = 0; index < 4 * LIMITS.maximumBlocks; index += 1) play.quarantine.noteBlock({ fingerprint: fingerprint(`told-${index}`), count: 1, since: play.now() })
  assert.ok(play.quarantine.blocks().length <= LIMITS.maximumBlocks + 1)
})

/** What a gateway may hear, in any order. */
type Word =
  | { readonly word: 'end', readonly life: number, readonly call: string }
  | { readonly word: 'served', readonly call: string, readonly at: number }

nodeTest.test('gateways that heard the same ends in another order block the same calls', () => {
  const call = fastCheck.constantFrom('a', 'b', 'c', 'd')
  const word: fastCheck.Arbitrary<Word> = fastCheck.record({ word: fastCheck.constant('end' as const), life: fastCheck.nat(7), call })
  fastCheck.assert(fastCheck.property(fastCheck.array(word, { maxLength: 25 }), fastCheck.infiniteStream(fastCheck.nat()), (words, order) => {
    const shuffled = words.map((each) => ({ each, rank: order.next().value as number })).sort((left, right) => left.rank - right.rank).map(({ each }) => each)
    assert.deepEqual(hear(shuffled), hear(words))
  }), { seed: 7, numRuns: 300 })
})

function hear (words: readonly Word[]): string[] {
  const { quarantine: record } = open()
  for (const each of words) {
    if (each.word === 'end') record.noteEnd({ life: types.brandId<types.BackEndLife>(`i-${each.life}`), at: each.life, calls: new Set([fingerprint(each.call)]) })
    else record.noteServed(fingerprint(each.call), each.at)
  }
  return record.blocks().map(({ fingerprint: call }) => call).sort()
}
