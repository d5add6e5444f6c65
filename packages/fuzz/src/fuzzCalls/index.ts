/**
 * Fuzzes calls while connections break and daemons restart or leave. Checks that calls that may not be repeated run at most once,
 * that calls refused as not run did not run, and that each caller gets its own answer.
 */
import * as fc from 'fast-check'
import * as routing from '@switchridge/routing'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import * as callFleet from '../_lib/callFleet.js'
import type * as fuzzOptions from '../_lib/fuzzOptions.js'

const ENTRY_NODES = 2
const BACKENDS = 2
const BEHAVIOURS: readonly callFleet.Behaviour[] = ['answer', 'answer', 'slow', 'break-before-run', 'break-after-run', 'break-in-answer']
/** Time for requests that are still on their way to reach the back end before the oracles read the executions. */
const SETTLE_MS = 60
const MAXIMUM_ANSWER_BYTES = types.BYTES_IN_MEBIBYTE

const callArbitrary = fc.record({
  kind: fc.constant('call' as const),
  entry: fc.nat(ENTRY_NODES - 1),
  method: fc.constantFrom('GET', 'POST'),
  behaviour: fc.constantFrom(...BEHAVIOURS),
  /** Idempotency key, shared by some calls; -1 for none. */
  key: fc.integer({ min: -1, max: 2 }),
  /** Milliseconds after the start of the run. */
  at: fc.nat(30)
})
const faultArbitrary = fc.record({ kind: fc.constantFrom('restart' as const, 'leave' as const), backend: fc.nat(BACKENDS - 1), at: fc.nat(30) })
const planArbitrary = fc.record({
  calls: fc.array(callArbitrary, { minLength: 5, maxLength: 25 }),
  faults: fc.array(faultArbitrary, { maxLength: 2 }),
  breaks: fc.array(fc.option(fc.nat(20)), { maxLength: 20 })
})

interface PlannedCall {
  readonly method: string
  readonly behaviour: callFleet.Behaviour
  readonly key: number
}

interface ObservedCall {
  readonly id: string
  /** Idempotency key of a call that may not be repeated; -1 for none. */
  readonly key: number
  /** Whether the answer was replayed from an earlier call with the same key. */
  readonly isReplayed: boolean
  readonly method: string
  readonly outcome: string
  readonly body: string | null
}

/**
 * Fuzzes calls.
 *
 * @param options - Seed and number of runs.
 * @param createTickets - Creates the tickets under test.
 * @returns Resolves if no run violates a guarantee; rejects otherwise.
 */
export async function fuzzCalls (options: fuzzOptions.FuzzOptions, createTickets: () => routing.Tickets = () => routing.createTickets()): Promise<void> {
  const agents = rpc.createHttpAgents()
  await fc.assert(fc.asyncProperty(planArbitrary, async ({ calls, faults, breaks }) => {
    let attempts = 0
    const fleet = await callFleet.createCallFleet({ entryNodes: ENTRY_NODES, backends: BACKENDS, nextBreakMs: () => breaks[attempts++] ?? null, createTickets })
    const pendingCalls = calls.map(async (call, index) => {
      await types.delay(call.at)
      return await sendCall(agents, fleet.entryUrls[call.entry] ?? '', `call-${index}`, call)
    })
    const appliedFaults = faults.map(async (fault) => {
      await types.delay(fault.at)
      if (fault.kind === 'restart') await fleet.restart(fault.backend)
      else fleet.leave(fault.backend)
    })
    const observed = await Promise.all(pendingCalls)
    await Promise.all(appliedFaults)
    await types.delay(SETTLE_MS)
    const problems = [...observed.flatMap((each) => checkCall(each, fleet.runs.get(each.id) ?? 0)), ...checkIdempotencyKeys(observed, fleet.runs)]
    await fleet.close()
    if (problems.length > 0) throw new Error(problems.join('; '))
  }), { seed: options.seed, numRuns: options.runs, endOnFailure: true })
  agents.destroy()
}

async function sendCall (agents: rpc.HttpAgents, base: string, id: string, call: PlannedCall): Promise<ObservedCall> {
  const { method, behaviour, key } = call
  const headers = { 'x-request-id': id, 'x-fuzz': behaviour, ...(key < 0 ? {} : { 'idempotency-key': `key-${key}` }) }
  const answer = await rpc.sendRequest(agents, { base, path: '/services/stoc/things', method, headers }, MAXIMUM_ANSWER_BYTES)
  const common = { id, method, key: method === 'POST' ? key : -1 }
  if (!answer.ok) return { ...common, outcome: 'broken', body: null, isReplayed: false }
  const { headers: answered, body } = answer.value
  return { ...common, outcome: String(answered['x-switchridge-outcome']), body: body.toString('utf8'), isReplayed: answered['x-switchridge-replayed'] === 'true' }
}

/** Oracle for a single call: knows only what the caller observed and how often the back end executed the call. */
function checkCall (observed: ObservedCall, runs: number): string[] {
  const problems: string[] = []
  if (observed.method === 'POST' && runs > 1) problems.push(`${observed.id} may not be repeated and ran ${runs} times`)
  if (observed.outcome === 'not-run' && runs > 0) problems.push(`${observed.id} was refused as not run and ran ${runs} times`)
  if (observed.isReplayed) return runs > 0 ? [`${observed.id} was replayed and ran`] : problems
  if (observed.outcome === 'answered' && runs === 0) problems.push(`${observed.id} was answered and never ran`)
  if (observed.outcome === 'answered' && observed.body !== JSON.stringify({ id: observed.id })) problems.push(`${observed.id} got ${observed.body ?? 'nothing'}`)
  if (!['answered', 'not-run', 'unknown', 'broken'].includes(observed.outcome)) problems.push(`${observed.id} got outcome ${observed.outcome}`)
  return problems
}

/** Oracle for idempotency keys: calls with the same key run at most once in total, and a replayed answer is that of the call that ran. */
function checkIdempotencyKeys (observed: readonly ObservedCall[], runs: ReadonlyMap<string, number>): string[] {
  const keys = [...new Set(observed.map((each) => each.key))].filter((key) => key >= 0)
  return keys.flatMap((key) => {
    const executed = observed.filter((each) => each.key === key && (runs.get(each.id) ?? 0) > 0)
    if (executed.length > 1) return [`key ${key} ran as ${executed.map((each) => each.id).join(' and ')}`]
    const replayed = observed.filter((each) => each.key === key && each.isReplayed && each.body !== JSON.stringify({ id: executed[0]?.id }))
    return replayed.map((each) => `${each.id} was replayed ${each.body ?? ''}`)
  })
}
