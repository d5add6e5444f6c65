/** Simulates calls, some of which crash every engine that runs them, against the production quarantine of several gateways, without a network. */
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'
import * as matchesSuspect from '../matchesSuspect/index.js'
import * as createQuarantine from '../createQuarantine/index.js'
import type * as computeFingerprint from '../computeFingerprint/index.js'
import type * as quarantine from '../types/index.js'
import type * as suspects from '../types/suspects.js'

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
  /** Parts of prompts; absent if calls have none. */
  readonly prompts?: PromptScenario
  /** Seconds at which all gateways, in turn, restart without what they knew. */
  readonly restarts?: readonly number[]
  /** Seconds between which the first gateway exchanges no reports. */
  readonly isolation?: readonly [from: number, until: number]
  /** Seconds at which this fraction of all engines ends at the same moment. */
  readonly jointEnds?: { readonly at: readonly number[], readonly fraction: number }
  /** Mean milliseconds until another gateway receives a report, and the fraction of reports that are lost. */
  readonly propagationMs: number
  readonly lossRate: number
}

/** Parts of the prompts of all harmless calls, and the calls with a part that crashes engines, which are all different. */
export interface PromptScenario {
  /** Number of parts in use; a few are held by most calls and most by few. */
  readonly parts: number
  /** Parts per second that come into use, each held by {@link CALLS_PER_NEW_PART} calls. */
  readonly newPartsPerSecond: number
  /** Number of parts that crash engines. */
  readonly crashingParts: number
  /** Calls per second with each of these parts, and the seconds between which they are sent. */
  readonly callsPerSecond: number
  readonly from: number
  readonly until: number
  /** Whether harmless calls had a crashing part, too, until it began to crash engines. */
  readonly wereHarmless?: boolean
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
  /** Calls with a crashing part that were sent to an engine more than {@link LATE_MS} after the part had ended its fifth engine, for the part with the most such calls. */
  readonly lateSends: number
  /** Parts that crash no engine but are blocked at any gateway at the end, each by itself. */
  readonly blockedHarmlessParts: number
}

interface Attempt {
  readonly call: Call
  readonly gateway: number
}

interface Call extends suspects.CallFeatures {
  readonly id: computeFingerprint.CallFingerprint
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
/** Number of a part's ends after which the users' bound on further sends begins. */
const ENDS_BEFORE_BOUND = 5
const CALLS_PER_NEW_PART = 4
const NEW_PART_MS = 4000
/** Time until a gateway that has started, or is reachable again, knows what the others do. */
const CATCH_UP_MS = 400
/** Parts that one gateway names in its report of an end. */
const MAXIMUM_REPORTED_PARTS = 24
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
  const quarantines = Array.from({ length: scenario.gateways }, createEmptyQuarantine)
  const partCrashTimes = new Map<types.PromptPartId, number[]>()
  const lateSends = new Map<types.PromptPartId, number>()

  const reports: Array<{ readonly from: number, readonly note: (quarantine: createQuarantine.Quarantine) => void }> = []

  function restartGateway (gateway: number): void {
    quarantines[gateway] = createEmptyQuarantine()
    scheduleAfter(CATCH_UP_MS, () => { catchUp(gateway) })
  }

  function createEmptyQuarantine (): createQuarantine.Quarantine {
    return createQuarantine.createQuarantine({ limits, onBlocked: () => {}, onReleased: () => {}, now })
  }

  function randomBetween ([least, most]: readonly [number, number]): number {
    return least + random() * (most - least)
  }

  function scheduleAfter (delayMs: number, action: () => void): void {
    clock.at(now() + delayMs, action)
  }

  /** Records a report at one gateway at once, and at the others after a delay unless it is lost. */
  function noteEverywhere (gateway: number, note: (quarantine: createQuarantine.Quarantine) => void): void {
    note(quarantines[gateway] as createQuarantine.Quarantine)
    noteAtOthers(gateway, note)
  }

  function noteAtOthers (gateway: number, note: (quarantine: createQuarantine.Quarantine, index: number) => void): void {
    reports.push({ from: gateway, note: (each) => { note(each, gateway) } })
    quarantines.forEach((_, index) => {
      if (index === gateway || isIsolated(gateway) || isIsolated(index) || random() < scenario.lossRate) return
      scheduleAfter(scenario.propagationMs * (0.5 + random()), () => { note(quarantines[index] as createQuarantine.Quarantine, index) })
    })
  }

  /** Gives a gateway what the others have reported, as the comparison of what gateways know does after a restart or a network partition. */
  function catchUp (gateway: number): void {
    for (const { from, note } of reports) if (from !== gateway) note(quarantines[gateway] as createQuarantine.Quarantine)
  }

  function isIsolated (gateway: number): boolean {
    const [from, until] = scenario.isolation ?? [Infinity, Infinity]
    return gateway === 0 && now() >= from * MS_IN_SECOND && now() < until * MS_IN_SECOND
  }

  /** Reports completed calls with parts that other gateways may suspect. */
  function reportServedParts (gateway: number, parts: readonly types.PromptPartId[]): void {
    for (const served of quarantines[gateway]?.takeServedToReport(parts) ?? []) noteAtOthers(gateway, (each) => { each.noteServedReport(served) })
  }

  function startTry (call: Call): void {
    call.tries += 1
    call.attempts = 0
    send({ call, gateway: Math.floor(random() * scenario.gateways) })
  }

  function send (attempt: Attempt): void {
    const { call, gateway } = attempt
    if (quarantines[gateway]?.readCallBlockedMs(call) !== null) {
      counts[crashesEngines(call) ? 'crashingRefused' : 'refused'] += 1
      return
    }
    const available = engines.filter((engine) => !engine.isDown && engine.running.size < scenario.slots)
    const engine = available.sort((left, right) => left.running.size - right.running.size)[Math.floor(random() * Math.min(3, available.length))]
    if (engine === undefined) return
    call.attempts += 1
    engine.running.add(attempt)
    if (crashesEngines(call)) {
      const ends = crashTimes.get(call.id) ?? []
      if (ends.length >= 3 && now() > (ends[2] as number) + LATE_MS) lateRuns.set(call.id, (lateRuns.get(call.id) ?? 0) + 1)
      for (const part of call.parts) if (now() > (partCrashTimes.get(part)?.[ENDS_BEFORE_BOUND - 1] ?? Infinity) + LATE_MS) lateSends.set(part, (lateSends.get(part) ?? 0) + 1)
      const { life } = engine
      scheduleAfter(randomBetween(CRASH_MS), () => { if (engine.life === life && engine.running.has(attempt)) terminate(engine, call) })
      return
    }
    scheduleAfter(randomBetween(RUN_MS), () => { if (engine.running.delete(attempt)) noteServed(attempt) })
  }

  function noteServed ({ call, gateway }: Attempt): void {
    const at = now()
    if (quarantines[gateway]?.noteServed(call.id, at) === true) noteEverywhere(gateway, (each) => { each.noteServed(call.id, at) })
    quarantines[gateway]?.notePartsServed(call.parts, at)
    reportServedParts(gateway, call.parts)
  }

  function terminate (engine: Engine, crashing: Call | null): void {
    const lost = [...engine.running]
    const life = types.brandId<types.BackEndInstanceId>(`i-${engine.life}`)
    counts[crashing === null ? 'endedOtherwise' : 'endedByCrashingCall'] += 1
    if (crashing !== null) crashTimes.set(crashing.id, [...crashTimes.get(crashing.id) ?? [], now()])
    for (const part of crashing?.parts ?? []) if (crashingParts.includes(part)) partCrashTimes.set(part, [...partCrashTimes.get(part) ?? [], now()])
    engine.running = new Set()
    engine.isDown = true
    engine.life = nextLife++
    scheduleAfter(RESTART_MS, () => { engine.isDown = false })
    scheduleAfter(DETECTION_MS, () => {
      for (let gateway = 0; gateway < scenario.gateways; gateway += 1) {
        const own = lost.filter((attempt) => attempt.gateway === gateway).map(({ call }) => call)
        if (own.length > 0) reportEnd(gateway, { life, at: now(), calls: new Set(own.map(({ id }) => id)), callsByPart: groupByPart(own) })
      }
      for (const attempt of lost) retryOrGiveUp(attempt)
    })
  }

  function reportEnd (gateway: number, end: quarantine.BackEndTermination): void {
    const own = quarantines[gateway] as createQuarantine.Quarantine
    own.noteEnd(end)
    const suspicious = [...end.callsByPart ?? []].filter(([part]) => own.isSuspicious(part)).slice(0, MAXIMUM_REPORTED_PARTS)
    const report = { ...end, callsByPart: new Map(suspicious) }
    noteAtOthers(gateway, (each, index) => {
      each.noteEnd(report)
      reportServedParts(index, [...report.callsByPart.keys()])
    })
  }

  function retryOrGiveUp (attempt: Attempt): void {
    const { call } = attempt
    if (call.attempts < ATTEMPTS_PER_TRY) send(attempt)
    else if (call.tries < TRIES_PER_CALL) scheduleAfter(RETRY_MS, () => { startTry(call) })
    else if (!call.isCrashing) counts.cut += 1
  }

  function createCall (name: string, isCrashing = false, parts: readonly types.PromptPartId[] = drawParts()): Call {
    if (!isCrashing) counts.calls += 1
    const id = types.brandId<computeFingerprint.CallFingerprint>(name)
    return { id, fingerprint: () => id, parts, isCrashing, attempts: 0, tries: 0 }
  }

  /** Whether a call crashes an engine that begins it now; a call with a part that was harmless does so if it is sent again. */
  function crashesEngines ({ isCrashing, parts }: Call): boolean {
    const { prompts } = scenario
    return isCrashing || (prompts !== undefined && now() >= prompts.from * MS_IN_SECOND && parts.some((part) => crashingParts.includes(part)))
  }

  /** Draws a part that most calls share, and one of the others, of which the first ones are the commonest. */
  function drawParts (): types.PromptPartId[] {
    if (scenario.prompts === undefined) return []
    return [formatPart('f', Math.floor(random() * FIRST_PARTS)), formatPart('a', Math.floor(scenario.prompts.parts * random() ** PART_SKEW))]
  }

  const crashingParts = Array.from({ length: scenario.prompts?.crashingParts ?? 0 }, (_, index) => formatPart('bad', index))

  function schedulePrompts ({ newPartsPerSecond, callsPerSecond, from, until, wereHarmless = false }: PromptScenario): void {
    const seconds = until - from
    for (const part of crashingParts) {
      for (let index = 0; index < callsPerSecond * seconds; index += 1) {
        scheduleAfter((from + random() * seconds) * MS_IN_SECOND, () => { startTry(createCall(`${part}-${index}`, true, [...drawParts(), part])) })
      }
      if (!wereHarmless) continue
      for (let index = 0; index < callsPerSecond * from; index += 1) scheduleAfter(random() * from * MS_IN_SECOND, () => { startTry(createCall(`${part}-before-${index}`, false, [...drawParts(), part])) })
    }
    for (let index = 0; index < newPartsPerSecond * scenario.seconds; index += 1) {
      const at = random() * scenario.seconds * MS_IN_SECOND
      for (let call = 0; call < CALLS_PER_NEW_PART; call += 1) {
        scheduleAfter(at + random() * NEW_PART_MS, () => { startTry(createCall(`new-${index}-${call}`, false, [...drawParts(), formatPart('e', index)])) })
      }
    }
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
  if (scenario.prompts !== undefined) schedulePrompts(scenario.prompts)
  scenario.restarts?.forEach((at, index) => { scheduleAfter(at * MS_IN_SECOND, () => { restartGateway(index % scenario.gateways) }) })
  if (scenario.isolation !== undefined) scheduleAfter(scenario.isolation[1] * MS_IN_SECOND + CATCH_UP_MS, () => { quarantines.forEach((_, gateway) => { catchUp(gateway) }) })
  for (const at of scenario.jointEnds?.at ?? []) {
    scheduleAfter(at * MS_IN_SECOND, () => { for (const engine of engines) if (!engine.isDown && random() < (scenario.jointEnds?.fraction ?? 0)) terminate(engine, null) })
  }
  clock.run(Infinity)
  const blocked = quarantines.map((each) => new Set(each.blocks().map(({ fingerprint }) => fingerprint)))
  const blockedAnywhere = new Set(blocked.flatMap((each) => [...each]))
  return {
    ...counts,
    lateRuns: Math.max(0, ...lateRuns.values()),
    lateSends: Math.max(0, ...crashingParts.map((part) => lateSends.get(part) ?? 0)),
    blockedHarmlessParts: [...blockedAnywhere].filter((suspect) => types.isPromptPartId(suspect) && !crashingParts.includes(suspect)).length,
    blockedEverywhere: [...crashTimes.keys()].filter((call) => blocked.every((each) => each.has(call))).length,
    blockedOthers: [...blockedAnywhere].filter((suspect) => matchesSuspect.listPartsOf(suspect).length === 0 && !crashTimes.has(suspect as computeFingerprint.CallFingerprint)).length
  }
}

/** Number of parts of which each harmless call has one, as the instructions of a route. */
const FIRST_PARTS = 3
const PART_SKEW = 2

function formatPart (prefix: string, index: number): types.PromptPartId {
  return types.brandId<types.PromptPartId>(`#${prefix}${index.toString(16).padStart(4, '0')}`)
}

function groupByPart (calls: readonly Call[]): suspects.CallsByPart {
  const callsByPart = new Map<types.PromptPartId, Set<computeFingerprint.CallFingerprint>>()
  for (const { id, parts } of calls) for (const part of parts) types.getOrCreate(callsByPart, part, () => new Set()).add(id)
  return callsByPart
}
