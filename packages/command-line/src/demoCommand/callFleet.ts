/** Load of the demo: callers send calls to all entry nodes and check every answer against the weights. */
import * as crypto from 'node:crypto'
import * as got from 'got'
import * as types from '@switchridge/types'
import * as launcher from '@switchridge/launcher'
import * as standins from '@switchridge/standins'

/** Counts of the calls by outcome, as the callers observed them. */
export interface CallCounts {
  answered: number
  notRun: number
  unknown: number
  /** Calls that failed without a complete answer. */
  broken: number
  /** Answers that match no version or belong to another request. */
  wrong: number
  readonly versions: Record<string, number>
  /** Ids of all reservations that were sent. */
  readonly reservations: string[]
  /** Ids of the reservations that were refused as not run. */
  readonly refusedReservations: string[]
}

/** Running callers. */
export interface Callers {
  readonly counts: CallCounts
  readonly stop: () => Promise<void>
}

/** Options of {@link startCallers}. */
export interface CallerOptions {
  readonly fleet: launcher.Fleet
  readonly apiKey: string
  readonly row: string
  /** Weights of every version that may answer, by `row@version`. */
  readonly weights: ReadonlyMap<string, Buffer>
  readonly intervalMs: number
}

const TOKENS = 12
const TIMEOUT_MS = 10_000

/** Starts one caller for each entry node and each kind of call: model calls and reservations. */
export function startCallers (options: CallerOptions): Callers {
  const counts: CallCounts = { answered: 0, notRun: 0, unknown: 0, broken: 0, wrong: 0, versions: {}, reservations: [], refusedReservations: [] }
  const engineService = options.fleet.backends.find((node) => node.kind === 'engine')?.service ?? ''
  const plainService = options.fleet.backends.find((node) => node.kind === 'plain')?.service ?? ''
  const stopController = new AbortController()

  async function sendCall (entry: launcher.FleetNode, path: string, json: object, id: string): Promise<got.Response<string> | null> {
    try {
      return await got.got.post(`http://${entry.address.host}:${entry.callerPort}${path}`, {
        json,
        headers: { authorization: `Bearer ${options.apiKey}`, 'x-request-id': id },
        throwHttpErrors: false,
        retry: { limit: 0 },
        timeout: { request: TIMEOUT_MS }
      })
    } catch {
      return null
    }
  }

  function countUnlessAnswered (response: got.Response<string> | null): boolean {
    const outcome = response?.headers['x-switchridge-outcome']
    if (response === null) counts.broken += 1
    else if (outcome === 'answered' && response.statusCode === 200) return true
    else if (outcome === 'not-run') counts.notRun += 1
    else counts.unknown += 1
    return false
  }

  async function callModel (entry: launcher.FleetNode): Promise<void> {
    const prompt = crypto.randomUUID()
    const response = await sendCall(entry, `/services/${engineService}/models/${options.row}/generate`, { prompt, tokens: TOKENS }, crypto.randomUUID())
    if (!countUnlessAnswered(response) || response === null) return
    const version = String(response.headers['x-switchridge-version'] ?? '')
    const weights = options.weights.get(version)
    const tokens = response.body.split('\n').filter((line) => line.includes('"token"')).map((line) => (JSON.parse(line) as { token: string }).token)
    const isCorrect = weights !== undefined && JSON.stringify(tokens) === JSON.stringify(standins.computeAnswer(weights, prompt, TOKENS))
    counts.answered += 1
    counts.versions[version] = (counts.versions[version] ?? 0) + 1
    if (!isCorrect) counts.wrong += 1
  }

  async function reserve (entry: launcher.FleetNode): Promise<void> {
    const id = crypto.randomUUID()
    counts.reservations.push(id)
    const response = await sendCall(entry, `/services/${plainService}/reservations`, { pallet: id }, id)
    if (response?.headers['x-switchridge-outcome'] === 'not-run') counts.refusedReservations.push(id)
    if (!countUnlessAnswered(response) || response === null) return
    counts.answered += 1
    if ((JSON.parse(response.body) as { id: string }).id !== id) counts.wrong += 1
  }

  async function repeat (entry: launcher.FleetNode, call: (entry: launcher.FleetNode) => Promise<void>): Promise<void> {
    while (!stopController.signal.aborted) {
      await call(entry)
      await types.delay(options.intervalMs)
    }
  }

  const loops = options.fleet.entryNodes.flatMap((entry) => [repeat(entry, callModel), repeat(entry, reserve)])
  return {
    counts,
    stop: async () => {
      stopController.abort()
      await Promise.all(loops)
    }
  }
}
