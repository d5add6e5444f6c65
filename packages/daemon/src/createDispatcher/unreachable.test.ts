/**
 * Guards against final refusals while all backend servers of a service are unreachable for a moment: an entry node that stopped hearing them refused every call,
 * though the servers were back before the callers' deadlines. Compares what to do with calls in that time.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as membership from '@switchridge/membership'
import * as routing from '@switchridge/routing'
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'
import * as backendMembers from '../_lib/backendMembers.js'
import * as createDispatcher from './index.js'

const SERVICE = types.brandId<types.ServiceName>('api')
const SEEDS = 20
const STEP_MS = 50
const CALL_EVERY_MS = 200
const DEADLINE_MS = 6000
const HEARTBEAT_MS = 1000
const SILENCE_LIMIT_MS = 3200
const OUTAGE_AT_MS = 5000
const END_MS = 25_000

/** What an entry node does with calls while it hears no server: refuse them, let them wait, or send them to servers that became silent a moment ago. */
type Way = 'refuse' | 'wait' | 'send'

interface Result {
  answered: number
  /** Refused as not run. */
  refused: number
  /** Sent to a server that did not answer, so that the caller can't know whether it ran. */
  unknown: number
  /** Longest time in milliseconds from a call to its refusal. */
  longestRefusalMs: number
}

function createFacts (name: string): types.MemberFacts {
  return {
    node: types.brandId(name),
    role: 'backend',
    dataHall: types.brandId('hall'),
    region: types.brandId('region'),
    address: { host: types.LOOPBACK_HOST, port: 1 },
    incarnation: types.brandId('1'),
    factsVersion: 1,
    state: 'live',
    service: SERVICE,
    memoryBytes: 1,
    serving: [],
    holding: [],
    waitingFor: '',
    revision: 0
  }
}

const settle = async (): Promise<void> => { await new Promise((resolve) => { setImmediate(resolve) }) }

/** Simulates an entry node whose two backend servers are unreachable for a while; for `outageMs` of Infinity they never return. */
async function simulate (way: Way, outageMs: number, seed: number): Promise<Result> {
  const random = standins.createSeededRandom(seed)
  let now = 0
  const view = membership.createMemberView({ now: () => now, computeSilenceLimitMs: () => SILENCE_LIMIT_MS })
  const members = (): readonly membership.Member[] => view.members().map((member) => way === 'send' && member.recentlySilent ? { ...member, condition: 'live' } : member)
  const loads = routing.createBackendLoads()
  const dispatcher = createDispatcher.createDispatcher({
    loads,
    health: routing.createBackendHealth(() => now),
    pick: routing.pickLateBinding,
    listBackends: (service, row) => backendMembers.listBackends(members(), service, row),
    isRecoveryPossible: (service, row) => way !== 'refuse' && backendMembers.isRecoveryPossible(members(), service, row),
    findService: () => ({ id: SERVICE, concurrency: 100, queue: 4 }) as unknown as types.ServiceRow,
    dataHall: types.brandId('hall'),
    random
  })
  const result: Result = { answered: 0, refused: 0, unknown: 0, longestRefusalMs: 0 }
  const isReachable = (): boolean => now < OUTAGE_AT_MS || now >= OUTAGE_AT_MS + outageMs

  async function call (): Promise<void> {
    const sentAt = now
    const dispatched = dispatcher.submit({ service: SERVICE, row: '', queued: { account: types.brandId('account'), share: 1, priority: 'interactive' }, affinity: '', tried: new Set() })
    expiries.push({ at: now + DEADLINE_MS, cancel: () => { dispatched.cancel('deadline') } })
    const backend = await dispatched.backend
    if (!backend.ok) {
      result.refused += 1
      result.longestRefusalMs = Math.max(result.longestRefusalMs, now - sentAt)
      return
    }
    loads.noteEnded(backend.value.node, undefined)
    if (isReachable()) result.answered += 1
    else result.unknown += 1
  }

  const expiries: Array<{ readonly at: number, readonly cancel: () => void }> = []
  const nextHeartbeatAt = new Map(['first', 'second'].map((name) => [name, random() * HEARTBEAT_MS]))
  const firstCallAt = random() * CALL_EVERY_MS
  let calls = 0
  for (; now < END_MS; now += STEP_MS) {
    for (const [name, at] of nextHeartbeatAt) {
      if (now < at) continue
      nextHeartbeatAt.set(name, at + HEARTBEAT_MS)
      if (isReachable()) view.applyHeartbeat(createFacts(name))
    }
    view.refresh()
    while (expiries[0] !== undefined && expiries[0].at <= now) expiries.shift()?.cancel()
    // Calls of the silence limit itself are sent to unreachable servers in all ways.
    if (now >= OUTAGE_AT_MS + SILENCE_LIMIT_MS + HEARTBEAT_MS / 2 && now >= firstCallAt + calls * CALL_EVERY_MS) {
      calls = Math.ceil((now - firstCallAt) / CALL_EVERY_MS) + 1
      void call()
    }
    dispatcher.dispatchWaiting()
    await settle()
  }
  return result
}

async function simulateSeeds (way: Way, outageMs: (seed: number) => number): Promise<Result> {
  const sum: Result = { answered: 0, refused: 0, unknown: 0, longestRefusalMs: 0 }
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const result = await simulate(way, outageMs(seed), seed)
    sum.answered += result.answered
    sum.refused += result.refused
    sum.unknown += result.unknown
    sum.longestRefusalMs = Math.max(sum.longestRefusalMs, result.longestRefusalMs)
  }
  return sum
}

const describe = (way: Way, { answered, refused, unknown, longestRefusalMs }: Result): string => `${way}: ${answered} answered, ${refused} refused after up to ${longestRefusalMs} ms, ${unknown} unknown`

nodeTest.test('calls wait for servers that were unreachable for a moment, and are not sent while these are silent', async (context) => {
  const outageMs = (seed: number): number => SILENCE_LIMIT_MS + seed * HEARTBEAT_MS / SEEDS
  const refused = await simulateSeeds('refuse', outageMs)
  const waited = await simulateSeeds('wait', outageMs)
  const sent = await simulateSeeds('send', outageMs)
  for (const [way, result] of [['refuse', refused], ['wait', waited], ['send', sent]] as const) context.diagnostic(describe(way, result))
  assert.equal(waited.refused + waited.unknown, 0)
  assert.ok(refused.refused > 0 && sent.unknown > 0)
})

nodeTest.test('calls for servers that do not return are refused once these are silent for another silence limit, and at once afterwards', async (context) => {
  for (const way of ['refuse', 'wait', 'send'] as const) {
    const result = await simulateSeeds(way, () => Infinity)
    context.diagnostic(describe(way, result))
    if (way !== 'wait') continue
    assert.equal(result.answered + result.unknown, 0)
    assert.ok(result.longestRefusalMs <= SILENCE_LIMIT_MS, `${result.longestRefusalMs} ms`)
  }
})
