/** Measures latency, refusals, retries and fairness of calls for each policy that picks a backend server, compared with one shared queue. */
import * as crypto from 'node:crypto'
import * as launcher from '@switchridge/launcher'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import * as arrivals from '../_lib/arrivals.js'
import * as editRow from '../_lib/editRow.js'
import type * as output from '../_lib/output.js'
import * as statistics from '../_lib/statistics.js'

/** Options of the experiment. */
export interface RoutingOptions {
  readonly policies: readonly string[]
  readonly entryNodes: readonly number[]
  readonly loads: readonly number[]
  readonly seconds: number
  readonly seed: number
}

/** Result of one load; latencies in milliseconds. */
export interface RoutingResult {
  readonly policy: string
  readonly entryNodes: number
  /** Offered load as a fraction of what all slots can process. */
  readonly load: number
  readonly calls: number
  readonly answered: number
  readonly notRun: number
  readonly other: number
  readonly p50: number
  readonly p99: number
  /** Ratio of `p99` to the 99th percentile with a single shared queue. */
  readonly p99OverSharedQueue: number
  readonly callsPerSecondAnswered: number
  readonly attemptsPerCall: number
  /** CPU time per call of all entry nodes together, and of all backend daemons together. */
  readonly entryCpuMicroseconds: number
  readonly daemonCpuMicroseconds: number
}

const BACKENDS = 8
const SLOTS = 4
const QUEUE = 2
/** Mean service time of a call. */
const MEAN_SERVICE_MS = 100
const SERVICE = 'work'
const SETTLE_MS = 2500
const WARM_UP_SECONDS = 3
const WARM_UP_LOAD = 0.5
const MAXIMUM_ANSWER_BYTES = types.BYTES_IN_MEBIBYTE
const CALL_TIMEOUT_MS = 20_000
/** Call rate of the small account in the fairness experiment. */
const SMALL_CALLS_PER_SECOND = 8
const API_KEYS = { large: 'key-of-the-large-account', small: 'key-of-the-small-account' } as const

type Account = keyof typeof API_KEYS

interface CallOutcome {
  readonly account: Account
  readonly outcome: string
  readonly delayMs: number
}

/** Runs all loads for every combination of policy and number of entry nodes that is measured. */
export async function runRouting (options: RoutingOptions, out: output.Output): Promise<RoutingResult[]> {
  const results: RoutingResult[] = []
  for (const [policy, entryNodes] of listFleets(options)) {
    const processes = launcher.createLauncher()
    try {
      const fleet = await startRoutingFleet(processes, policy, entryNodes)
      const agents = rpc.createHttpAgents()
      await sendLoad(fleet, agents, arrivals.drawArrivals(options.seed, computeCallRate(WARM_UP_LOAD), WARM_UP_SECONDS, MEAN_SERVICE_MS), 'large')
      for (const load of options.loads) {
        const result = await runLoad(fleet, agents, options, { policy, entryNodes, load })
        results.push(result)
        out.add(result)
      }
      if (policy === options.policies[0] && entryNodes === options.entryNodes[0]) {
        out.add(await measureFairness(fleet, agents, options))
        out.add(await measureAddedLatency(fleet, agents))
      }
      agents.destroy()
    } finally {
      await processes.close()
    }
  }
  return results
}

/** Lists the fleets to measure: each policy with the first number of entry nodes, and the first policy with each other number. */
function listFleets (options: RoutingOptions): Array<[string, number]> {
  const first = options.entryNodes[0] ?? 1
  const policy = options.policies[0] ?? ''
  return [...options.policies.map((each): [string, number] => [each, first]), ...options.entryNodes.slice(1).map((each): [string, number] => [policy, each])]
}

function computeCallRate (load: number): number {
  return load * BACKENDS * SLOTS * types.MILLISECONDS_IN_SECOND / MEAN_SERVICE_MS
}

async function startRoutingFleet (processes: launcher.Launcher, policy: string, entryNodes: number): Promise<launcher.Fleet> {
  const fleet = await launcher.startFleet(processes, {
    plan: { deployment: 'routing', halls: [{ id: 'hall', region: 'region', entryNodes }], services: [{ name: SERVICE, kind: 'plain', perHall: [BACKENDS] }], favour: 'time' },
    originBytesPerSecond: 0,
    linkBytesPerSecond: 0,
    tokenMs: 0,
    plainWorkMs: 0,
    enginesPerProcess: 1,
    readsWeights: false,
    chunkMemoryBytes: types.BYTES_IN_MEBIBYTE,
    engineMemoryBytes: types.BYTES_IN_MEBIBYTE,
    extraSettings: `[experiments]\npick_backend = "${policy}"\n`
  })
  const store = editRow.openStore(fleet)
  await editRow.editRow(store, 'services', SERVICE, { kind: 'plain', repeatable: 'none', concurrency: SLOTS, queue: QUEUE, retryBudget: 0.08 })
  for (const [account, key] of Object.entries(API_KEYS)) await editRow.editRow(store, 'accounts', account, { keyDigest: crypto.createHash('sha256').update(key).digest('hex') })
  await types.delay(SETTLE_MS)
  return fleet
}

async function sendLoad (fleet: launcher.Fleet, agents: rpc.HttpAgents, calls: readonly arrivals.Arrival[], account: Account): Promise<CallOutcome[]> {
  const startedAt = performance.now()
  return await Promise.all(calls.map(async (call, index) => {
    await types.delay(call.at - (performance.now() - startedAt))
    const entry = fleet.entryNodes[index % fleet.entryNodes.length]
    return await sendCall(agents, `http://${entry?.address.host ?? ''}:${entry?.callerPort ?? 0}`, `/services/${SERVICE}/task`, call.serviceMs, account)
  }))
}

async function sendCall (agents: rpc.HttpAgents, base: string, path: string, serviceMs: number, account: Account): Promise<CallOutcome> {
  const sentAt = performance.now()
  const headers = { authorization: `Bearer ${API_KEYS[account]}`, 'x-work-ms': serviceMs, 'x-request-id': crypto.randomUUID() }
  const answer = await rpc.sendRequest(agents, { base, path, method: 'POST', headers, body: '{}', timeoutMs: CALL_TIMEOUT_MS }, MAXIMUM_ANSWER_BYTES)
  return { account, outcome: answer.ok ? String(answer.value.headers['x-switchridge-outcome'] ?? 'answered') : 'broken', delayMs: performance.now() - sentAt }
}

/** CPU time and attempts since the daemons started; entry nodes and backend daemons are summed up separately. */
interface Usage {
  readonly entryCpuSeconds: number
  readonly daemonCpuSeconds: number
  readonly attempts: number
}

async function readUsage (fleet: launcher.Fleet): Promise<Usage> {
  const [entries, backends] = [await launcher.readStatuses(fleet, fleet.entryNodes), await launcher.readStatuses(fleet, fleet.backends)]
  const sum = (statuses: readonly launcher.NodeStatus[], value: (status: launcher.NodeStatus) => number): number => statuses.reduce((total, status) => total + value(status), 0)
  return {
    entryCpuSeconds: sum(entries, (status) => status.process.cpuSeconds),
    daemonCpuSeconds: sum(backends, (status) => status.process.cpuSeconds),
    attempts: sum(entries, (status) => status.counts['attempts'] ?? 0)
  }
}

async function runLoad (fleet: launcher.Fleet, agents: rpc.HttpAgents, options: RoutingOptions, trial: Pick<RoutingResult, 'policy' | 'entryNodes' | 'load'>): Promise<RoutingResult> {
  const calls = arrivals.drawArrivals(options.seed, computeCallRate(trial.load), options.seconds, MEAN_SERVICE_MS)
  const before = await readUsage(fleet)
  const outcomes = await sendLoad(fleet, agents, calls, 'large')
  const after = await readUsage(fleet)
  const delays = listAnsweredDelays(outcomes)
  const sharedQueueDelays = arrivals.computeSharedQueueDelays(calls, BACKENDS * SLOTS)
  const countOutcome = (outcome: string): number => outcomes.filter((each) => each.outcome === outcome).length
  const [answered, notRun] = [countOutcome('answered'), countOutcome('not-run')]
  const perCall = (seconds: number): number => statistics.round(seconds * 1_000_000 / calls.length, 0)
  return {
    ...trial,
    calls: calls.length,
    answered,
    notRun,
    other: calls.length - answered - notRun,
    p50: statistics.round(statistics.quantile(delays, 0.5), 1),
    p99: statistics.round(statistics.quantile(delays, 0.99), 1),
    p99OverSharedQueue: statistics.round(statistics.quantile(delays, 0.99) / statistics.quantile(sharedQueueDelays, 0.99)),
    callsPerSecondAnswered: statistics.round(answered / options.seconds, 1),
    attemptsPerCall: statistics.round((after.attempts - before.attempts) / calls.length),
    entryCpuMicroseconds: perCall(after.entryCpuSeconds - before.entryCpuSeconds),
    daemonCpuMicroseconds: perCall(after.daemonCpuSeconds - before.daemonCpuSeconds)
  }
}

function listAnsweredDelays (outcomes: readonly CallOutcome[]): number[] {
  return outcomes.filter((each) => each.outcome === 'answered').map((each) => each.delayMs)
}

/** Measures the 99th percentile latency of a small account alone and while a large account sends more calls than the back ends can handle. */
async function measureFairness (fleet: launcher.Fleet, agents: rpc.HttpAgents, options: RoutingOptions): Promise<object> {
  const small = arrivals.drawArrivals(options.seed + 1, SMALL_CALLS_PER_SECOND, 2 * options.seconds, MEAN_SERVICE_MS)
  const flood = arrivals.drawArrivals(options.seed + 2, computeCallRate(1.3), 2 * options.seconds, MEAN_SERVICE_MS)
  const alone = await sendLoad(fleet, agents, small, 'small')
  const [contended] = await Promise.all([sendLoad(fleet, agents, small, 'small'), sendLoad(fleet, agents, flood, 'large')])
  const [p99Alone, p99Contended] = [statistics.quantile(listAnsweredDelays(alone), 0.99), statistics.quantile(listAnsweredDelays(contended), 0.99)]
  return { fairness: true, calls: small.length, answeredBeside: listAnsweredDelays(contended).length, aloneP99: statistics.round(p99Alone, 1), besideP99: statistics.round(p99Contended, 1), smallP99OverAlone: statistics.round(p99Contended / p99Alone) }
}

const PROBE_COUNT = 400

/** Measures the latency that the entry node and the daemon add, with sequential calls that do almost no work. */
async function measureAddedLatency (fleet: launcher.Fleet, agents: rpc.HttpAgents): Promise<object> {
  const direct: number[] = []
  const throughEntry: number[] = []
  const entry = fleet.entryNodes[0]
  for (let probe = 0; probe < PROBE_COUNT; probe += 1) {
    direct.push((await sendCall(agents, fleet.backends[0]?.backEndUrl ?? '', '/task', 1, 'small')).delayMs)
    throughEntry.push((await sendCall(agents, `http://${entry?.address.host ?? ''}:${entry?.callerPort ?? 0}`, `/services/${SERVICE}/task`, 1, 'small')).delayMs)
  }
  const computeAdded = (probability: number): number => statistics.round(statistics.quantile(throughEntry, probability) - statistics.quantile(direct, probability), 2)
  return { addedDelay: true, addedP50: computeAdded(0.5), addedP99: computeAdded(0.99) }
}
