/** Judges a gateway beside a peer that sends without end. */
import * as timers from 'node:timers/promises'
import type * as workerThreads from 'node:worker_threads'
import * as testing from '@switchridge/platform-testing'
import type * as types from '@switchridge/types'
import * as endlessGateway from '../_lib/endlessGateway.js'
import type * as endlessPeer from '../_lib/endlessPeer.js'
import * as endlessShapes from '../_lib/endlessShapes.js'
import * as endlessThreads from '../_lib/endlessThreads.js'
import * as soundCalls from '../_lib/soundCalls.js'
import * as stallRecord from '../_lib/stallRecord.js'

/** A row of the table. */
export interface EndlessRow {
  readonly name: string
  readonly shape: endlessShapes.EndlessShape
  /** Connections over which the peer sends at the same time. */
  readonly connections: number
}

/** What came of a row. */
export interface EndlessResult {
  readonly isAlive: boolean
  /** The error with which the process ended by itself; empty if it didn't, or without one. */
  readonly fatalError: string
  readonly peakMegabytes: number
  readonly sound: soundCalls.SoundCalls
  /** Longest turn of the gateway's event loop in milliseconds; NaN if it can't be read. */
  readonly longestTurnMs: number
  /** Lines about answers that it gave up. */
  readonly givenUp: number
  /** Longest stall of this process in milliseconds. */
  readonly stallMs: number
  /** What breaks the target; empty if nothing does. */
  readonly problems: readonly string[]
}

const CONNECTIONS = [1, 8, 64]
const SOUND_CALLERS = 8
const DURATION_MS = 2000
const ANSWERED_FRACTION = 0.99
const OBJECTIVE_MS = 500
const CONNECTIONS_OF_AN_ENGINE = 16
const BYTES_PER_MEGABYTE = 1_000_000
const UNKNOWN_KEY = 'no-key'
/** After the end of the gateway its callers go on for so long. */
const END_NOTICE_MS = 200

/** All rows: each shape with each number of connections. */
export const ENDLESS_ROWS: readonly EndlessRow[] = [...endlessShapes.ENGINE_SHAPES, ...endlessShapes.CALLER_SHAPES].flatMap((shape) => CONNECTIONS.map((connections) => ({
  name: `${shape.kind === 'engine' ? 'engine' : 'caller'}, ${shape.name}, ${connections} ${connections === 1 ? 'connection' : 'connections'}`,
  shape,
  connections
})))

function describeCallers ({ shape, connections }: EndlessRow, gateway: types.Address): endlessPeer.CallersThread {
  const hasKey = shape.kind === 'engine' || shape.hasKey
  return {
    role: 'callers',
    gateway,
    connections,
    path: endlessGateway.FAULTY_PATHS[shape.kind === 'engine' ? shape.route : 'plain'],
    headers: { ...testing.formatCallerHeaders(hasKey ? endlessGateway.API_KEY : UNKNOWN_KEY, endlessGateway.TIMEOUT_MS), ...testing.formatModelHeaders(endlessGateway.MODEL) },
    shape: shape.kind === 'engine' ? null : shape,
    bodyBytes: endlessGateway.BODY_BYTES
  }
}

/**
 * Finds what breaks the target: the gateway lives, and keeps within the memory of its class; beside one connection sound calls are answered in time but for one in a
 * hundred, and beside several none is lost.
 */
function judge ({ connections }: EndlessRow, { isAlive, fatalError, peakMegabytes, sound }: Omit<EndlessResult, 'problems'>): string[] {
  const { calls, answered, lost, slowestMs } = sound
  const checks: Array<[boolean, string]> = [
    [isAlive, `the gateway ended${fatalError === '' ? '' : ` (${fatalError})`}`],
    [peakMegabytes < endlessGateway.CLASS_MEGABYTES, `${peakMegabytes} MB`],
    [calls > 0, 'no sound calls'],
    [connections > 1 || answered >= ANSWERED_FRACTION * calls, `${answered} of ${calls} sound calls answered`],
    [connections > 1 || slowestMs <= OBJECTIVE_MS, `slowest sound call ${slowestMs} ms`],
    [connections === 1 || lost === 0, `${lost} of ${calls} sound calls lost`]
  ]
  return checks.filter(([isMet]) => !isMet).map(([, problem]) => problem)
}

/**
 * Runs a gateway as a process beside a peer that sends without end, and sound calls beside it.
 *
 * @param row - Peer, shape and number of connections.
 * @param program - The bundled program of a gateway; that of this workspace by default.
 * @returns What came of it. Rejects if the gateway can't be started.
 */
export async function runEndlessPeer (row: EndlessRow, program?: string): Promise<EndlessResult> {
  const soundEngine = await soundCalls.startSoundEngine()
  const { shape } = row
  const engine = await endlessThreads.startEngineThread(shape.kind === 'engine' ? shape.name : null, Math.ceil(row.connections / CONNECTIONS_OF_AN_ENGINE))
  const stalls = stallRecord.createStallRecord()
  let gateway: endlessGateway.EndlessGateway | null = null
  let callers: workerThreads.Worker | null = null
  try {
    gateway = await endlessGateway.startEndlessGateway({
      ...(program === undefined ? {} : { program }),
      engines: { sound: soundEngine.address, faulty: engine.addresses },
      route: shape.kind === 'engine' ? shape.route : 'plain'
    })
    await gateway.readGauge('longest_turn_ms')
    callers = await endlessThreads.startCallersThread(describeCallers(row, gateway.callers))
    const { isAlive } = gateway
    let endsAt = performance.now() + DURATION_MS
    const sound = await soundCalls.runSoundCalls({
      gateway: gateway.callers,
      key: endlessGateway.API_KEY,
      path: endlessGateway.SOUND_PATH,
      callers: SOUND_CALLERS,
      timeoutMs: endlessGateway.TIMEOUT_MS,
      isOver: () => {
        if (!isAlive()) endsAt = Math.min(endsAt, performance.now() + END_NOTICE_MS)
        return performance.now() > endsAt
      },
      stalls
    })
    const longestTurnMs = Math.round(await gateway.readGauge('longest_turn_ms'))
    // The end of a process may be noticed later than those of its connections.
    await timers.setTimeout(END_NOTICE_MS)
    const log = gateway.readLog()
    const observed = {
      isAlive: isAlive(),
      fatalError: /^FATAL ERROR: (.*)$/m.exec(log)?.[1] ?? '',
      peakMegabytes: Math.round(gateway.readPeakBytes() / BYTES_PER_MEGABYTE),
      sound: { ...sound, slowestMs: Math.round(sound.slowestMs) },
      longestTurnMs,
      givenUp: (log.match(/event=answer-given-up /g) ?? []).length,
      stallMs: Math.round(stalls.longestMs())
    }
    return { ...observed, problems: judge(row, observed) }
  } finally {
    await callers?.terminate()
    await engine.thread.terminate()
    await gateway?.close()
    soundEngine.close()
    stalls.stop()
  }
}
