/** Simulates calls, some of which crash every engine that runs them, against the production quarantine of several gateways, without a network. */
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'
import * as createQuarantine from '../createQuarantine/index.js'
import type * as computeFingerprint from '../computeFingerprint/index.js'
import type * as quarantine from '../types/index.js'

/** The fleet, load and faults to simulate. */
export interface CrashScenario {
  readonly gateways: number
  readonly engines: number
  /** Calls that one engine runs concurrently. */
  readonly slots: number
  /** Time during which calls are sent; the simulation runs until all of them have ended. */
  readonly seconds: number
  /** Harmless calls per second, each with a different fingerprint. */
  readonly callsPerSecond: number
  /** Further harmless calls per second that all have the same fingerprint, as those of a polling client. */
  readonly pollsPerSecond: number
  /** Number of different calls that crash engines. */
  readonly crashingCalls: number
  /** Seconds at which all crashing calls are sent, and the copies of each one in such a wave, spread over {@link WAVE_MS}. */
  readonly waves: readonly number[]
  readonly copies: number
  /** Engines per second that end for other reasons. */
  readonly otherEndsPerSecond: number
  /** Number of ends after which a call is blocked; null simulates without a quarantine. */
  readonly ends: number | null
  /** Mean milliseconds until another gateway receives a report, and the fraction of reports that are lost. */
  readonly propagationMs: number
  readonly lossRate: number
}

/** The measured result. */
export interface CrashResult {
  /** Engines that were ended by crashing calls, and for other reasons. */
  readonly endedByCrashingCall: number
  readonly endedOtherwise: number
  /** Harmless calls: all, those that failed without an answer, and refusals by the quarantine. */
  readonly calls: number
  readonly cut: number
  readonly refused: number
  /** Attempts of crashing calls that were refused. */
  readonly crashingRefused: number
  /** Crashing calls that are blocked at every gateway at the end. */
  readonly blockedEverywhere: number
  /** Other calls that are blocked at any gateway at the end. */
  readonly blockedOthers: number
  /** Runs that began more than {@link LATE_MS} after a crashing call had ended its third engine, for the call with the most such runs. */
  readonly lateRuns: number
}

interface Attempt {
  readonly call: Call
  readonly gateway: number
}

interface Call {
  readonly fingerprint: computeFingerprint.CallFingerprint
  readonly isCrashing: boolean
  /** Attempts of the gateway during the caller's current try. */
  attempts: number
  /** Times that the caller has sent the call. */
  tries: number
}

interface Engine {
  life: number
  running: Set<Attempt>
  isDown: boolean
}

/** Time within which all gateways should have learned that a call ended its third engine. */
export const LATE_MS = 3000
const WAVE_MS = 500
const RESTART_MS = 3000
/** Shortest and longest run time of a harmless call. */
const RUN_MS = [400, 2000] as const
/** Shortest and longest time after which a crashing call ends its engine. */
const CRASH_MS = [40, 100] as const
/** Time after which gateways detect the end of an engine. */
const DETECTION_MS = 6
/** Wait of a caller before its next try. */
const RETRY_MS = 80
const ATTEMPTS_PER_TRY = 2
const TRIES_PER_CALL = 2
const MS_IN_SECOND = 1000
const HOUR_MS = 3_600_000

/**
 * Simulates a scenario.
 *
 * @param scenario - The fleet, load and faults.
 * @param seed - Seed of the random numbers, from 1.
 * @returns The measured result.
 */
export function simulateCrashes (scenario: CrashScenario, seed: number): CrashResult {
  const random = standins.createSeededRandom(seed)
  const clock = standins.createVirtualClock()
  const { now } = clock
  const engines: Engine[] = Array.from({ length: scenario.engines }, (_, life) => ({ life, running: new Set(), isDown: false }))
  let nextLife = scenario.engines
  const counts = { endedByCrashingCall: 0, endedOtherwise: 0, calls: 0, cut: 0, refused: 0, crashingRefused: 0 }
  const lateRuns = new Map<computeFingerprint.CallFingerprint, number>()
  const crashTimes = new Map<computeFingerprint.CallFingerprint, number[]>()
  const limits: quarantine.QuarantineLimits = { ends: scenario.ends ?? Infinity, evidenceMs: HOUR_MS, blockMs: HOUR_MS, maximumBlockMs: HOUR_MS, maximumEnds: 500, maximumBlocks: 500 }
  const quarantines = Array.from({ length: scenario.gateways }, () => createQuarantine.createQuarantine({ limits, onBlocked: () => {}, onReleased: () => {}, now }))

  function randomBetween ([least, most]: readonly [number, number]): number {
    return least + random() * (most - least)
  }

  function scheduleAfter (delayMs: number, action: () => void): void {
    clock.at(now() + delayMs, action)
  }

  /** Records a report at one gateway at once, and at the others after a delay unless it is lost. */
  function noteEverywhere (gateway: number, note: (quarantine: createQuarantine.Quarantine) => void): void {
    note(quarantines[gateway] as createQuarantine.Quarantine)
    quarantines.forEach((other, index) => {
      if (index !== gateway && random() >= scenario.lossRate) scheduleAfter(scenario.propagationMs * (0.5 + random()), () => { note(other) })
    })
  }

  function startTry (call: Call): void {
    call.tries += 1
    call.attempts = 0
    send({ call, gateway: Math.floor(random() * scenario.gateways) })
  }

  function send (attempt: Attempt): void {
    const { call, gateway } = attempt
    if (quarantines[gateway]?.readBlockedMs(call.fingerprint) !== null) {
      counts[call.isCrashing ? 'crashingRefused' : 'refused'] += 1
      return
    }
    const available = engines.filter((engine) => !engine.isDown && engine.running.size < scenario.slots)
    const engine = available.sort((left, right) => left.running.size - right.running.size)[Math.floor(random() * Math.min(3, available.length))]
    if (engine === undefined) return
    call.attempts += 1
    engine.running.add(attempt)
    if (call.isCrashing) {
      const ends = crashTimes.get(call.fingerprint) ?? []
      if (ends.length >= 3 && now() > (ends[2] as number) + LATE_MS) lateRuns.set(call.fingerprint, (lateRuns.get(call.fingerprint) ?? 0) + 1)
      const { life } = engine
      scheduleAfter(randomBetween(CRASH_MS), () => { if (engine.life === life && engine.running.has(attempt)) terminate(engine, call) })
      return
    }
    scheduleAfter(randomBetween(RUN_MS), () => { if (engine.running.delete(attempt)) noteServed(attempt) })
  }

  function noteServed ({ call, gateway }: Attempt): void {
    const at = now()
    if (quarantines[gateway]?.noteServed(call.fingerprint, at) === true) noteEverywhere(gateway, (each) => { each.noteServed(call.fingerprint, at) })
  }

  function terminate (engine: Engine, crashing: Call | null): void {
    const lost = [...engine.running]
    const life = types.brandId<types.BackEndInstanceId>(`i-${engine.life}`)
    counts[crashing === null ? 'endedOtherwise' : 'endedByCrashingCall'] += 1
    if (crashing !== null) crashTimes.set(crashing.fingerprint, [...crashTimes.get(crashing.fingerprint) ?? [], now()])
    engine.running = new Set()
    engine.isDown = true
    engine.life = nextLife++
    scheduleAfter(RESTART_MS, () => { engine.isDown = false })
    scheduleAfter(DETECTION_MS, () => {
      for (let gateway = 0; gateway < scenario.gateways; gateway += 1) {
        const calls = new Set(lost.filter((attempt) => attempt.gateway === gateway).map(({ call }) => call.fingerprint))
        const at = now()
        if (calls.size > 0) noteEverywhere(gateway, (each) => { each.noteEnd({ life, at, calls }) })
      }
      for (const attempt of lost) retryOrGiveUp(attempt)
    })
  }

  function retryOrGiveUp (attempt: Attempt): void {
    const { call } = attempt
    if (call.attempts < ATTEMPTS_PER_TRY) send(attempt)
    else if (call.tries < TRIES_PER_CALL) scheduleAfter(RETRY_MS, () => { startTry(call) })
    else if (!call.isCrashing) counts.cut += 1
  }

  function createCall (name: string, isCrashing = false): Call {
    if (!isCrashing) counts.calls += 1
    return { fingerprint: types.brandId<computeFingerprint.CallFingerprint>(name), isCrashing, attempts: 0, tries: 0 }
  }

  for (let index = 0; index < scenario.callsPerSecond * scenario.seconds; index += 1) scheduleAfter(random() * scenario.seconds * MS_IN_SECOND, () => { startTry(createCall(`call-${index}`)) })
  for (let index = 0; index < scenario.pollsPerSecond * scenario.seconds; index += 1) scheduleAfter(random() * scenario.seconds * MS_IN_SECOND, () => { startTry(createCall('poll')) })
  for (let index = 0; index < scenario.otherEndsPerSecond * scenario.seconds; index += 1) {
    scheduleAfter(random() * scenario.seconds * MS_IN_SECOND, () => {
      const engine = engines[Math.floor(random() * engines.length)] as Engine
      if (!engine.isDown) terminate(engine, null)
    })
  }
  for (const wave of scenario.waves) {
    for (let crashing = 0; crashing < scenario.crashingCalls; crashing += 1) {
      for (let copy = 0; copy < scenario.copies; copy += 1) scheduleAfter(wave * MS_IN_SECOND + random() * WAVE_MS, () => { startTry(createCall(`crashing-${crashing}`, true)) })
    }
  }
  clock.run(Infinity)
  const blocked = quarantines.map((each) => new Set(each.blocks().map(({ fingerprint }) => fingerprint)))
  const blockedAnywhere = new Set(blocked.flatMap((each) => [...each]))
  return {
    ...counts,
    lateRuns: Math.max(0, ...lateRuns.values()),
    blockedEverywhere: [...crashTimes.keys()].filter((call) => blocked.every((each) => each.has(call))).length,
    blockedOthers: [...blockedAnywhere].filter((call) => !crashTimes.has(call)).length
  }
}
