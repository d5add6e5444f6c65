/** Judges daemons beside a peer that sends without end. */
import * as timers from 'node:timers/promises'
import * as endlessGateway from '../_lib/endlessGateway.js'
import * as endlessHall from '../_lib/endlessHall.js'
import * as endlessProcesses from '../_lib/endlessProcesses.js'
import * as endlessShapes from '../_lib/endlessShapes.js'
import * as endlessTarget from '../_lib/endlessTarget.js'
import * as soundCalls from '../_lib/soundCalls.js'
import * as stallRecord from '../_lib/stallRecord.js'
import * as watchedProgram from '../_lib/watchedProgram.js'

/** A row of the table. */
export interface EndlessRow {
  readonly name: string
  /** What it sends to: a gateway, or a part of a hall of the own interface. */
  readonly target: 'gateway' | endlessHall.HallPart
  readonly shape: endlessShapes.EndlessShape
  /** Connections over which the peer sends at the same time. */
  readonly connections: number
}

/** What came of a row. */
export interface EndlessResult {
  /** Whether all processes live. */
  readonly isAlive: boolean
  /** The error with which a process ended by itself; empty if it didn't, or without one. */
  readonly fatalError: string
  /** Largest resident memory of any of the processes. */
  readonly peakMegabytes: number
  readonly sound: soundCalls.SoundCalls
  /** Longest turn of a gateway's event loop in milliseconds; NaN if it can't be read. */
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
/** After the end of a process its callers go on for so long. */
const END_NOTICE_MS = 200

function createRows (target: EndlessRow['target'], shapes: readonly endlessShapes.EndlessShape[]): EndlessRow[] {
  const prefix = target === 'gateway' ? '' : `own interface, ${target}, `
  return shapes.flatMap((shape) => CONNECTIONS.map((connections) => ({
    name: `${prefix}${shape.kind}, ${shape.name}, ${connections} ${connections === 1 ? 'connection' : 'connections'}`,
    target,
    shape,
    connections
  })))
}

const PLAIN_SHAPES = endlessShapes.ENGINE_SHAPES.filter(({ route }) => route === 'plain')
const BODY_SHAPES = endlessShapes.CALLER_SHAPES.filter(({ chunkBytes, isUnfinished }) => chunkBytes !== null || isUnfinished === true)

/** All rows: each shape with each number of connections, as far as it differs at its target. */
export const ENDLESS_ROWS: readonly EndlessRow[] = [
  ...createRows('gateway', [...endlessShapes.ENGINE_SHAPES, ...endlessShapes.CALLER_SHAPES]),
  ...createRows('calls', [...PLAIN_SHAPES, ...endlessShapes.CALLER_SHAPES.filter(({ hasKey }) => hasKey)]),
  ...createRows('keyed calls', PLAIN_SHAPES),
  ...createRows('requests to an entry node', BODY_SHAPES),
  ...createRows('requests to a backend daemon', BODY_SHAPES)
]

async function startTarget (target: EndlessRow['target'], options: endlessTarget.EndlessTargetOptions): Promise<endlessTarget.EndlessTarget> {
  return target === 'gateway' ? await endlessGateway.startEndlessGateway(options) : await endlessHall.startEndlessHall(target, options)
}

/**
 * Finds what breaks the target: all processes live, and keeps within the memory of its class; beside one connection sound calls are answered in time but for one in a
 * hundred, and beside several none is lost.
 */
function judge (connections: number, { isAlive, fatalError, peakMegabytes, sound }: Omit<EndlessResult, 'problems'>): string[] {
  const { calls, answered, lost, slowestMs } = sound
  const checks: Array<[boolean, string]> = [
    [isAlive, `a process ended${fatalError === '' ? '' : ` (${fatalError})`}`],
    [peakMegabytes < endlessTarget.CLASS_MEGABYTES, `${peakMegabytes} MB`],
    [calls > 0, 'no sound calls'],
    [connections > 1 || answered >= ANSWERED_FRACTION * calls, `${answered} of ${calls} sound calls answered`],
    [connections > 1 || slowestMs <= OBJECTIVE_MS, `slowest sound call ${slowestMs} ms`],
    [connections === 1 || lost === 0, `${lost} of ${calls} sound calls lost`]
  ]
  return checks.filter(([isMet]) => !isMet).map(([, problem]) => problem)
}

/**
 * Runs daemons as processes beside a peer that sends without end, and sound calls beside it.
 *
 * @param row - Target, peer, shape and number of connections.
 * @param program - The bundled program of the daemons; that of this workspace by default.
 * @returns What came of it. Rejects if the daemons can't be started.
 */
export async function runEndlessPeer ({ target: targetName, shape, connections }: EndlessRow, program = watchedProgram.PROGRAM): Promise<EndlessResult> {
  const soundEngine = await soundCalls.startSoundEngine()
  const engine = await endlessProcesses.startEndlessProcess({ role: 'engine', shape: shape.kind === 'engine' ? shape.name : null, addresses: Math.ceil(connections / CONNECTIONS_OF_AN_ENGINE) })
  const stalls = stallRecord.createStallRecord()
  let target: endlessTarget.EndlessTarget | null = null
  let callers: endlessProcesses.EndlessProcess | null = null
  try {
    target = await startTarget(targetName, { program, engines: { sound: soundEngine.address, faulty: engine.addresses }, shape })
    const { programs, sound: { address, path }, faulty } = target
    const isAlive = (): boolean => programs.every((watched) => watched.isAlive())
    await target.readLongestTurnMs()
    callers = await endlessProcesses.startEndlessProcess({ role: 'callers', ...faulty, connections, shape: shape.kind === 'engine' ? null : shape })
    let endsAt = performance.now() + DURATION_MS
    const sound = await soundCalls.runSoundCalls({
      address,
      key: endlessTarget.API_KEY,
      path,
      callers: SOUND_CALLERS,
      timeoutMs: endlessTarget.TIMEOUT_MS,
      isOver: () => {
        if (!isAlive()) endsAt = Math.min(endsAt, performance.now() + END_NOTICE_MS)
        return performance.now() > endsAt
      },
      stalls
    })
    const longestTurnMs = Math.round(await target.readLongestTurnMs())
    // The end of a process may be noticed later than those of its connections.
    await timers.setTimeout(END_NOTICE_MS)
    const log = programs.map(({ readLog }) => readLog()).join('')
    const observed = {
      isAlive: isAlive(),
      fatalError: /^FATAL ERROR: (.*)$/m.exec(log)?.[1] ?? '',
      peakMegabytes: Math.round(Math.max(...programs.map(({ readPeakBytes }) => readPeakBytes())) / BYTES_PER_MEGABYTE),
      sound: { ...sound, slowestMs: Math.round(sound.slowestMs) },
      longestTurnMs,
      givenUp: (log.match(/event=answer-given-up /g) ?? []).length,
      stallMs: Math.round(stalls.longestMs())
    }
    return { ...observed, problems: judge(connections, observed) }
  } finally {
    callers?.stop()
    engine.stop()
    await target?.close()
    soundEngine.close()
    stalls.stop()
  }
}
