/** Callers of a soak: each keeps one connection to its entry node until the process there is gone, and records what became of every call. */
import * as crypto from 'node:crypto'
import * as http from 'node:http'
import * as got from 'got'
import * as launcher from '@switchridge/launcher'
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'

/** What became of a call, as its caller saw it. */
export interface CallRecord {
  readonly kind: 'model' | 'reservation'
  readonly id: string
  /** Node id of the entry node. */
  readonly entry: string
  /** Times of the monotonic clock in milliseconds. */
  readonly sentAt: number
  readonly endedAt: number
  /** `broken`: no complete response; `wrong`: a complete response of no known version or of another call. */
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'broken' | 'wrong'
  /** Reason of a refusal, or the error of a broken call. */
  readonly reason: string
}

/** Options of {@link startSoakCallers}. */
export interface SoakCallerOptions {
  readonly fleet: launcher.Fleet
  readonly engineService: string
  readonly plainService: string
  readonly row: string
  /** Weights of every version that may answer, by `row@version`. */
  readonly weights: ReadonlyMap<string, Buffer>
}

/** Running callers. */
export interface SoakCallers {
  readonly records: readonly CallRecord[]
  readonly stop: () => Promise<void>
}

const CALLERS_PER_KIND = 3
const TOKENS = 20
const PAUSE_BETWEEN_CALLS_MS = 20
const CALL_TIMEOUT_MS = 30_000
const HEALTH_POLL_MS = 50
const OK = 200

type CallResult = Pick<CallRecord, 'outcome' | 'reason'>

/** Starts several callers of each kind for every entry node. */
export function startSoakCallers (options: SoakCallerOptions): SoakCallers {
  const records: CallRecord[] = []
  const stopping = new AbortController()

  async function post (entry: launcher.FleetNode, agent: http.Agent, path: string, json: object, id: string): Promise<got.Response<string>> {
    return await got.got.post(`http://${entry.address.host}:${entry.callerPort}${path}`, {
      json, agent: { http: agent }, headers: { 'x-request-id': id }, throwHttpErrors: false, retry: { limit: 0 }, timeout: { request: CALL_TIMEOUT_MS }
    })
  }

  function readFailure (response: got.Response<string>): CallResult | null {
    const outcome = String(response.headers['x-switchridge-outcome'])
    const reason = String(response.headers['x-switchridge-reason'] ?? response.statusCode)
    if (outcome === 'answered' && response.statusCode === OK) return null
    return { outcome: outcome === 'not-run' ? 'not-run' : 'unknown', reason }
  }

  async function callModel (entry: launcher.FleetNode, agent: http.Agent, id: string): Promise<CallResult> {
    const response = await post(entry, agent, `/services/${options.engineService}/models/${options.row}/generate`, { prompt: id, tokens: TOKENS }, id)
    const failure = readFailure(response)
    if (failure !== null) return failure
    const version = String(response.headers['x-switchridge-version'])
    const weights = options.weights.get(version)
    const tokens = response.body.split('\n').filter((line) => line.includes('"token"')).map((line) => (JSON.parse(line) as { token: string }).token)
    const isCorrect = weights !== undefined && JSON.stringify(tokens) === JSON.stringify(standins.computeAnswer(weights, id, TOKENS))
    return { outcome: isCorrect ? 'answered' : 'wrong', reason: version }
  }

  async function reserve (entry: launcher.FleetNode, agent: http.Agent, id: string): Promise<CallResult> {
    const response = await post(entry, agent, `/services/${options.plainService}/reservations`, { pallet: id }, id)
    const failure = readFailure(response)
    if (failure !== null) return failure
    return { outcome: (JSON.parse(response.body) as { id: string }).id === id ? 'answered' : 'wrong', reason: '' }
  }

  /** Waits as a load balancer does, which opens connections to healthy entry nodes only. */
  async function waitForHealth (entry: launcher.FleetNode): Promise<void> {
    while (!stopping.signal.aborted) {
      try {
        const { statusCode } = await got.got(`http://${entry.address.host}:${entry.callerPort}/health`, { throwHttpErrors: false, retry: { limit: 0 }, timeout: { request: CALL_TIMEOUT_MS } })
        if (statusCode === OK) return
      } catch {
        // The process is not running; it is asked again.
      }
      await types.delay(HEALTH_POLL_MS)
    }
  }

  async function runCaller (entry: launcher.FleetNode, kind: CallRecord['kind']): Promise<void> {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
    await waitForHealth(entry)
    while (!stopping.signal.aborted) {
      const id = crypto.randomUUID()
      const sentAt = performance.now()
      let result: CallResult
      try {
        result = kind === 'model' ? await callModel(entry, agent, id) : await reserve(entry, agent, id)
      } catch (thrown) {
        result = { outcome: 'broken', reason: types.describeError(thrown) }
      }
      records.push({ kind, id, entry: entry.node, sentAt, endedAt: performance.now(), ...result })
      if (result.outcome === 'broken') await waitForHealth(entry)
      await types.delay(PAUSE_BETWEEN_CALLS_MS)
    }
    agent.destroy()
  }

  const callers = options.fleet.entryNodes.flatMap((entry) => (['model', 'reservation'] as const).flatMap((kind) => Array.from({ length: CALLERS_PER_KIND }, async () => { await runCaller(entry, kind) })))
  return {
    records,
    stop: async () => {
      stopping.abort()
      await Promise.all(callers)
    }
  }
}
