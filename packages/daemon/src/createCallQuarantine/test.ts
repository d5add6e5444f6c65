/**
 * Guards against answers that are taken for whole, and against lost evidence, because a gateway concludes too much from a connection to the back end: one that was
 * accepted before the back end ended, one that got no response, or one that a leaving back end refused.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as gateway from '@switchridge/gateway'
import type * as quarantine from '@switchridge/quarantine'
import * as types from '@switchridge/types'
import * as createCallQuarantine from './index.js'

const SETTINGS = { enabled: true, ends: 3, evidence_seconds: 600, block_seconds: 600, block_maximum_seconds: 86_400, maximum_ends: 50, maximum_blocks: 10 }
const BACK_END = { id: types.brandId<types.NodeId>('i-1'), bornAt: 1, service: types.brandId<types.ServiceName>('llm'), address: { host: types.LOOPBACK_HOST, port: 9 } } as unknown as gateway.BackEnd

interface Fixture {
  readonly quarantine: createCallQuarantine.CallQuarantine
  readonly advance: (milliseconds: number) => void
  /** Results of the next connections; the last one is repeated. */
  readonly results: quarantine.ProbeResult[]
  readonly probeCount: () => number
  /** Verdicts on lost calls, in order. */
  readonly verdicts: string[]
  readonly lose: (call: string) => Promise<void>
}

function createFixture (context: nodeTest.TestContext, isLeaving = false): Fixture {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  let time = 20_000
  let probeCount = 0
  const results: quarantine.ProbeResult[] = []
  const verdicts: string[] = []
  const created = createCallQuarantine.createCallQuarantine({
    settings: SETTINGS,
    store: { listAll: async () => types.succeed({ objects: [], at: 1 }), put: async () => types.succeed(1), remove: async () => types.succeed(null) },
    mayAskStore: () => false,
    publishFact: () => {},
    logger: { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} },
    count: (name, labels) => { if (name === 'calls_lost') verdicts.push(labels?.verdict ?? '') },
    now: () => time,
    timeOfDay: () => time,
    random: () => 0,
    backEnds: () => [BACK_END],
    isLeaving: () => isLeaving,
    tracker: { noteProcessEnded: () => {}, noteFailure: () => {} },
    probe: async () => {
      probeCount += 1
      return (results.length > 1 ? results.shift() : results[0]) ?? 'taken'
    }
  })
  context.after(created.stop)
  return {
    quarantine: created,
    results,
    verdicts,
    advance: (milliseconds) => { time += milliseconds },
    probeCount: () => probeCount,
    lose: async (call) => { await created.noteConnectionLost(BACK_END, { fingerprint: () => types.brandId<quarantine.CallFingerprint>(call), parts: [] }) }
  }
}

nodeTest.test('the end of an answer without framing is checked by a connection that is opened after it', async (context) => {
  const { quarantine: guard, results, advance } = createFixture(context)
  results.push('taken', 'refused')
  assert.equal(await guard.checkEnd(BACK_END), 'whole')
  advance(5)
  assert.equal(await guard.checkEnd(BACK_END), 'truncated')
})

nodeTest.test('an answer without framing of a leaving back end that takes no more connections may be truncated, and is no evidence', async (context) => {
  const { quarantine: guard, results, verdicts, lose } = createFixture(context, true)
  results.push('refused')
  assert.equal(await guard.checkEnd(BACK_END), 'truncated')
  await lose('a')
  assert.deepEqual(verdicts, ['planned'])
  assert.equal(guard.countEnds(), 0)
})

nodeTest.test('a connection that gets no response is tried again, and leaves the end of an answer uncertain if none does', async (context) => {
  const first = createFixture(context)
  first.results.push('silent', 'refused')
  assert.equal(await first.quarantine.checkEnd(BACK_END), 'truncated')
  first.advance(1000)
  first.results.splice(0, 1, 'silent')
  assert.equal(await first.quarantine.checkEnd(BACK_END), 'uncertain')
})

nodeTest.test('a call that is lost 20 ms after its back end accepted a connection counts against the call if the back end has ended since', async (context) => {
  const { results, verdicts, lose, advance } = createFixture(context)
  results.push('taken', 'refused')
  await lose('a')
  advance(20)
  await lose('b')
  assert.deepEqual(verdicts, ['lives', 'ended'])
})

nodeTest.test('calls that are lost with one back end at the same moment share one connection', async (context) => {
  const { results, verdicts, lose, probeCount } = createFixture(context)
  results.push('refused')
  await Promise.all(['a', 'b', 'c'].map(lose))
  assert.deepEqual(verdicts, ['ended', 'ended', 'ended'])
  assert.equal(probeCount(), 1)
})
