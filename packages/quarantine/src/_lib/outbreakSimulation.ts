/** Plays calls of which some end every engine that runs them against the real quarantine of several gateways; nothing is sent. */
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'
import * as createQuarantine from '../createQuarantine/index.js'
import type * as identifyCall from '../identifyCall/index.js'
import type * as quarantine from '../types/index.js'

/** An outbreak to play. */
export interface OutbreakPlan {
  readonly gateways: number
  readonly engines: number
  readonly slots: number
  readonly seconds: number
  /** Calls a second that harm nobody, each with a fingerprint of its own. */
  readonly callsPerSecond: number
  /** Of those, calls a second that all ask for the same thing, as a poll does. */
  readonly pollsPerSecond: number
  /** Calls that end engines. */
  readonly lethalCalls: number
  /** Seconds at which all of them come, and copies of each one at such a time, spread over {@link WAVE_MS}. */
  readonly waves: readonly number[]
  readonly copies: number
  /** Engines a second that end for other reasons. */
  readonly otherEndsPerSecond: number
  /** Ends under a call after which it is blocked; null plays without a quarantine. */
  readonly ends: number | null
  /** Milliseconds until another gateway knows what one knows, and the part of them that never hear of it. */
  readonly toldAfterMs: number
  readonly lostPart: number
}

/** What callers and engines got. */
export interface OutbreakResult {
  readonly endedByLethal: number
  readonly endedOtherwise: number
  /** Calls that harm nobody: all, cut without an answer, and refused by the quarantine. */
  readonly calls: number
  readonly cut: number
  readonly refused: number
  /** Tries of lethal calls that were refused. */
  readonly lethalRefused: number
  /** Lethal calls that are blocked at every gateway at the end. */
  readonly blockedEverywhere: number
  /** Other calls that are blocked at any gateway at the end. */
  readonly blockedOthers: number
  /** Engines that began to run the worst one of the lethal calls later than {@link LATE_MS} after it ended the third one. */
  readonly lateRuns: number
}

interface Attempt {
  readonly call: Call
  readonly gateway: number
}

interface Call {
  readonly fingerprint: identifyCall.CallFingerprint
  readonly isLethal: boolean
  attempts: number
  tries: number
}

interface Engine {
  life: number
  running: Set<Attempt>
  isDown: boolean
}

export const LATE_MS = 3000
const WAVE_MS = 500
const DOWN_MS = 3000
/** A call runs between so many milliseconds. */
const RUN_MS = [400, 2000] as const
/** A lethal call ends its engine so long after it began. */
const LETHAL_MS = [40, 100] as const
const NOTICED_MS = 6
const RETRY_MS = 80
const ATTEMPTS = 2
const TRIES = 2
const MS_IN_SECOND = 1000
const HOUR_MS = 3_600_000

/**
 * Plays an outbreak.
 *
 * @param plan - What happens.
 * @param seed - From 1.
 * @returns What callers and engines got.
 */
export function playOutbreak (plan: OutbreakPlan, seed: number): OutbreakResult {
  const random = standins.createRandom(seed)
  const timeline = standins.createTimeline()
  const { now } = timeline
  const engines: Engine[] = Array.from({ length: plan.engines }, (_, life) => ({ life, running: new Set(), isDown: false }))
  let lives = plan.engines
  const counts = { endedByLethal: 0, endedOtherwise: 0, calls: 0, cut: 0, refused: 0, lethalRefused: 0 }
  const lateRuns = new Map<identifyCall.CallFingerprint, number>()
  const lethalEnds = new Map<identifyCall.CallFingerprint, number[]>()
  const limits: quarantine.QuarantineLimits = { ends: plan.ends ?? Infinity, evidenceMs: HOUR_MS, blockMs: HOUR_MS, maximumBlockMs: HOUR_MS, maximumEnds: 500, maximumBlocks: 500 }
  const quarantines = Array.from({ length: plan.gateways }, () => createQuarantine.createQuarantine({ limits, onBlocked: () => {}, onReleased: () => {}, now }))

  function between ([least, most]: readonly [number, number]): number {
    return least + random() * (most - least)
  }

  function later (delayMs: number, action: () => void): void {
    timeline.at(now() + delayMs, action)
  }

  /** What a gateway notes, the others note a little later, but for what gets lost. */
  function share (gateway: number, note: (quarantine: createQuarantine.Quarantine) => void): void {
    note(quarantines[gateway] as createQuarantine.Quarantine)
    quarantines.forEach((other, at) => {
      if (at !== gateway && random() >= plan.lostPart) later(plan.toldAfterMs * (0.5 + random()), () => { note(other) })
    })
  }

  function ask (call: Call): void {
    call.tries += 1
    call.attempts = 0
    send({ call, gateway: Math.floor(random() * plan.gateways) })
  }

  function send (attempt: Attempt): void {
    const { call, gateway } = attempt
    if (quarantines[gateway]?.findBlock(call.fingerprint) !== null) {
      counts[call.isLethal ? 'lethalRefused' : 'refused'] += 1
      return
    }
    const sound = engines.filter((engine) => !engine.isDown && engine.running.size < plan.slots)
    const engine = sound.sort((left, right) => left.running.size - right.running.size)[Math.floor(random() * Math.min(3, sound.length))]
    if (engine === undefined) return
    call.attempts += 1
    engine.running.add(attempt)
    if (call.isLethal) {
      const ends = lethalEnds.get(call.fingerprint) ?? []
      if (ends.length >= 3 && now() > (ends[2] as number) + LATE_MS) lateRuns.set(call.fingerprint, (lateRuns.get(call.fingerprint) ?? 0) + 1)
      const { life } = engine
      later(between(LETHAL_MS), () => { if (engine.life === life && engine.running.has(attempt)) end(engine, call) })
      return
    }
    later(between(RUN_MS), () => { if (engine.running.delete(attempt)) serve(attempt) })
  }

  function serve ({ call, gateway }: Attempt): void {
    const at = now()
    if (quarantines[gateway]?.noteServed(call.fingerprint, at) === true) share(gateway, (each) => { each.noteServed(call.fingerprint, at) })
  }

  function end (engine: Engine, lethal: Call | null): void {
    const lost = [...engine.running]
    const life = types.brandId<types.BackEndLife>(`i-${engine.life}`)
    counts[lethal === null ? 'endedOtherwise' : 'endedByLethal'] += 1
    if (lethal !== null) lethalEnds.set(lethal.fingerprint, [...lethalEnds.get(lethal.fingerprint) ?? [], now()])
    engine.running = new Set()
    engine.isDown = true
    engine.life = lives++
    later(DOWN_MS, () => { engine.isDown = false })
    later(NOTICED_MS, () => {
      for (let gateway = 0; gateway < plan.gateways; gateway += 1) {
        const calls = new Set(lost.filter((attempt) => attempt.gateway === gateway).map(({ call }) => call.fingerprint))
        const at = now()
        if (calls.size > 0) share(gateway, (each) => { each.noteEnd({ life, at, calls }) })
      }
      for (const attempt of lost) goOn(attempt)
    })
  }

  function goOn (attempt: Attempt): void {
    const { call } = attempt
    if (call.attempts < ATTEMPTS) send(attempt)
    else if (call.tries < TRIES) later(RETRY_MS, () => { ask(call) })
    else if (!call.isLethal) counts.cut += 1
  }

  function createCall (name: string, isLethal = false): Call {
    if (!isLethal) counts.calls += 1
    return { fingerprint: types.brandId<identifyCall.CallFingerprint>(name), isLethal, attempts: 0, tries: 0 }
  }

  for (let index = 0; index < plan.callsPerSecond * plan.seconds; index += 1) later(random() * plan.seconds * MS_IN_SECOND, () => { ask(createCall(`call-${index}`)) })
  for (let index = 0; index < plan.pollsPerSecond * plan.seconds; index += 1) later(random() * plan.seconds * MS_IN_SECOND, () => { ask(createCall('poll')) })
  for (let index = 0; index < plan.otherEndsPerSecond * plan.seconds; index += 1) {
    later(random() * plan.seconds * MS_IN_SECOND, () => {
      const engine = engines[Math.floor(random() * engines.length)] as Engine
      if (!engine.isDown) end(engine, null)
    })
  }
  for (const wave of plan.waves) {
    for (let lethal = 0; lethal < plan.lethalCalls; lethal += 1) {
      for (let copy = 0; copy < plan.copies; copy += 1) later(wave * MS_IN_SECOND + random() * WAVE_MS, () => { ask(createCall(`lethal-${lethal}`, true)) })
    }
  }
  timeline.run(Infinity)
  const blocked = quarantines.map((each) => new Set(each.blocks().map(({ fingerprint }) => fingerprint)))
  const all = new Set(blocked.flatMap((each) => [...each]))
  return {
    ...counts,
    lateRuns: Math.max(0, ...lateRuns.values()),
    blockedEverywhere: [...lethalEnds.keys()].filter((call) => blocked.every((each) => each.has(call))).length,
    blockedOthers: [...all].filter((call) => !lethalEnds.has(call)).length
  }
}
