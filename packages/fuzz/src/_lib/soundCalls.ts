/** Callers whose calls go to a sound engine while faulty peers of the gateway send without end. */
import * as http from 'node:http'
import type * as net from 'node:net'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import type * as stallRecord from './stallRecord.js'

/** What became of the calls. */
export interface SoundCalls {
  readonly calls: number
  readonly answered: number
  /** Refused with a time after which to come back. */
  readonly refused: number
  /** Neither answered nor refused within their time-out. */
  readonly lost: number
  /** Milliseconds of the slowest call that was answered, without stalls of this process. */
  readonly slowestMs: number
}

/** Options of {@link runSoundCalls}. */
export interface SoundCallsOptions {
  readonly address: types.Address
  readonly key: string
  readonly path: string
  readonly callers: number
  /** Time-out of a call in milliseconds. */
  readonly timeoutMs: number
  readonly isOver: () => boolean
  readonly stalls: stallRecord.StallRecord
}

/** A sound engine. */
export interface SoundEngine {
  readonly address: types.Address
  readonly close: () => void
}

const ANSWER_MS = 30
const OK = 200
const REFUSALS: ReadonlySet<number> = new Set([429, 503])
/** An answer to a caller may take this much longer than the time-out that its gateway applies. */
const TRANSPORT_MS = 100
const PAUSE_MS = 10

/** Starts an engine that answers each call after {@link ANSWER_MS}. */
export async function startSoundEngine (): Promise<SoundEngine> {
  const server = http.createServer((request, response) => {
    setTimeout(() => { response.writeHead(OK, testing.formatEngineHeaders(String(request.headers['request-id']))).end('ok') }, ANSWER_MS)
  })
  await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
  return {
    address: { host: types.LOOPBACK_HOST, port: (server.address() as net.AddressInfo).port },
    close: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}

/**
 * Sends calls over kept connections, each caller one after the other, until it is over.
 *
 * @param options - Address, callers and bounds.
 * @returns What became of the calls.
 */
export async function runSoundCalls ({ address, key, path, callers, timeoutMs, isOver, stalls }: SoundCallsOptions): Promise<SoundCalls> {
  const agent = new http.Agent({ keepAlive: true })
  const counts = { calls: 0, answered: 0, refused: 0, lost: 0, slowestMs: 0 }

  async function callOnce (id: string): Promise<void> {
    const from = performance.now()
    const answer = await testing.sendCallerRequest(address, key, { path, id, agent, abortAfterMs: timeoutMs + 5 * TRANSPORT_MS })
    const to = performance.now()
    const tookMs = to - from - stalls.readMs(from, to)
    const isInTime = tookMs <= timeoutMs + TRANSPORT_MS
    counts.calls += 1
    if (isInTime && answer.status === OK && answer.isWhole) {
      counts.answered += 1
      counts.slowestMs = Math.max(counts.slowestMs, tookMs)
    } else if (isInTime && REFUSALS.has(answer.status) && answer.headers['retry-after'] !== undefined) counts.refused += 1
    else counts.lost += 1
  }

  await Promise.all(Array.from({ length: callers }, async (_, caller) => {
    for (let turn = 0; !isOver(); turn += 1) {
      await callOnce(`sound-${caller}-${turn}`)
      await types.delay(PAUSE_MS)
    }
  }))
  agent.destroy()
  return counts
}
