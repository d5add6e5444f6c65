/** Combines the evidence about calls, and parts of prompts, that crash back ends: what this daemon observed, what peers report and what the store holds. */
import * as quarantine from '@switchridge/quarantine'
import type * as observability from '@switchridge/observability'
import type * as settings from '@switchridge/settings'
import * as types from '@switchridge/types'
import * as createBlockArchive from '../createBlockArchive/index.js'
import * as quarantineFacts from '../_lib/quarantineFacts.js'

/** Options of {@link createSharedQuarantine}. */
export interface SharedQuarantineOptions {
  readonly settings: settings.QuarantineSettings
  readonly store: createBlockArchive.BlockArchiveOptions['store']
  /** Whether this daemon reads the store on behalf of others. */
  readonly mayAskStore: () => boolean
  /** Publishes a fact that was created `ageMs` milliseconds ago to all peers, which keep it until its age is `ttlMs`. */
  readonly publishFact: (content: unknown, ttlMs: number, ageMs: number) => void
  /** Called with terminations of back ends that peers observed, and their monotonic time in milliseconds. */
  readonly onReportedEnd: (life: types.BackEndInstanceId, at: number) => void
  readonly logger: observability.Logger
  readonly count: (name: string, labels?: Readonly<Record<string, string>>) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Wall clock in Unix milliseconds. */
  readonly timeOfDay: () => number
  /** Returns a random number from 0 to 1. */
  readonly random: () => number
}

/** A back end that terminated while it held calls of this daemon. */
export interface EndedBackEnd {
  readonly life: types.BackEndInstanceId
  /** Its name for log lines. */
  readonly name: string
  readonly service: types.ServiceName
}

/** The call quarantine of one daemon. */
export interface SharedQuarantine {
  /** Whether any call is suspected or blocked; while none is, callers can skip computing fingerprints. */
  readonly isActive: () => boolean
  /** Returns the remaining block time of a call, itself or by the parts of its prompt, in milliseconds; null when the call may run. */
  readonly readBlockedMs: (call: quarantine.CallFeatures) => number | null
  /** Records that a back end terminated and lost one call of this daemon. */
  readonly noteEnd: (ended: EndedBackEnd, call: quarantine.CallFeatures) => void
  readonly noteServed: (call: quarantine.CallFeatures) => void
  /** Registers a listener for each block; it gets a function that tells whether the block applies to a call. */
  readonly onBlocked: (listener: (isBlocked: (call: quarantine.CallFeatures) => boolean) => void) => void
  /** Handles a fact that another daemon created at a monotonic time in milliseconds. */
  readonly noteFact: (content: unknown, madeAt: number) => void
  /** Whether this daemon has tried to load the blocks in force from the store, or has had enough time to receive them from peers. */
  readonly isInitialized: () => boolean
  /** Persists the blocks that this daemon caused once more, after the store was restored from a copy that may lack them. */
  readonly saveAgain: () => void
  readonly blocks: () => quarantine.CallBlock[]
  readonly countSuspects: () => number
  /** Number of remembered terminations of back ends, including those that peers reported. */
  readonly countEnds: () => number
  readonly stop: () => void
}

/** Calls lost with the same back end are noticed within milliseconds of each other; collecting them this long publishes them together. */
const END_BATCH_MS = 10
/** Parts that are named of one back end's end. */
const MAXIMUM_REPORTED_PARTS = 24
/** A completed call with a part that a peer suspects is reported within this time, at random, so that one of the gateways that know of such a call does it for the others. */
const SERVED_REPORT_SPREAD_MS = 50
/** Other daemons keep a report of a completed call for so long; one that starts later completes such calls itself. */
const SERVED_REPORT_TTL_MS = 60_000
const MAXIMUM_LOGGED_FINGERPRINTS = 8
const MAXIMUM_LOGGED_PARTS = 8

/** Where the evidence comes from that blocks a call. */
type BlockSource = 'own' | 'peer' | 'store'

function readLimits (limits: settings.QuarantineSettings): quarantine.QuarantineLimits {
  return {
    ends: limits.ends,
    evidenceMs: limits.evidence_seconds * types.MILLISECONDS_IN_SECOND,
    blockMs: limits.block_seconds * types.MILLISECONDS_IN_SECOND,
    maximumBlockMs: limits.block_maximum_seconds * types.MILLISECONDS_IN_SECOND,
    maximumEnds: limits.maximum_ends,
    maximumBlocks: limits.maximum_blocks
  }
}

/** Lists the parts that most of the calls have in common, each with the number of these calls. */
function describeParts (partsOfCalls: ReadonlyArray<readonly types.PromptPartId[]>): string {
  const counts = new Map<types.PromptPartId, number>()
  for (const part of partsOfCalls.flat()) counts.set(part, (counts.get(part) ?? 0) + 1)
  const commonest = [...counts].sort(([, left], [, right]) => right - left).slice(0, MAXIMUM_LOGGED_PARTS)
  return commonest.map(([part, calls]) => `${part}:${calls}`).join()
}

/** Groups calls by the parts of their prompts, with some of the calls of each part. */
function groupByPart (lost: ReadonlyMap<quarantine.CallFingerprint, readonly types.PromptPartId[]>): quarantine.CallsByPart {
  const callsByPart = new Map<types.PromptPartId, Set<quarantine.CallFingerprint>>()
  for (const [call, parts] of lost) {
    for (const part of parts) {
      const calls = types.getOrCreate(callsByPart, part, () => new Set())
      if (calls.size < quarantineFacts.MAXIMUM_CALLS_PER_PART) calls.add(call)
    }
  }
  return callsByPart
}

/** The quarantine of a daemon whose settings disable it. */
const DISABLED_QUARANTINE: SharedQuarantine = {
  isActive: () => false,
  readBlockedMs: () => null,
  noteEnd: () => {},
  noteServed: () => {},
  onBlocked: () => {},
  noteFact: () => {},
  isInitialized: () => true,
  saveAgain: () => {},
  blocks: () => [],
  countSuspects: () => 0,
  countEnds: () => 0,
  stop: () => {}
}

/**
 * Creates the quarantine of one daemon.
 *
 * @param options - Limits, store, connection to peers and clocks.
 * @returns The quarantine; one that blocks nothing if the settings disable it.
 */
export function createSharedQuarantine (options: SharedQuarantineOptions): SharedQuarantine {
  return options.settings.enabled ? createEnabled(options) : DISABLED_QUARANTINE
}

function createEnabled (options: SharedQuarantineOptions): SharedQuarantine {
  const { logger, count, now } = options
  const limits = readLimits(options.settings)
  const listeners: Array<(isBlocked: (call: quarantine.CallFeatures) => boolean) => void> = []
  /** Calls that this daemon lost, by terminated back end, until they are published. */
  const lostCalls = new Map<types.BackEndInstanceId, Map<quarantine.CallFingerprint, readonly types.PromptPartId[]>>()
  /** Origin of the evidence that is being recorded; read by the callbacks of the record. */
  let source: BlockSource = 'peer'
  const record = quarantine.createQuarantine({ limits, onBlocked: noteBlocked, onReleased: noteReleased, now })
  const archive = createBlockArchive.createBlockArchive({
    store: options.store,
    limits,
    mayAskStore: options.mayAskStore,
    onBlock: recordStoredBlock,
    isInForce: ({ fingerprint, since }) => record.blocks().some((block) => block.fingerprint === fingerprint && block.since === since),
    logger,
    now,
    timeOfDay: options.timeOfDay
  })

  function recordFrom (from: BlockSource, update: () => void): void {
    source = from
    update()
    source = 'peer'
  }

  function noteBlocked (block: quarantine.CallBlock, lives: readonly types.BackEndInstanceId[]): void {
    const { fingerprint, count: times, since } = block
    const leftMs = since + quarantine.computeBlockMs(times, limits) - now()
    count('call_blocks', { source })
    logger.warn('call-blocked', { fingerprint, source, times, seconds: Math.round(leftMs / types.MILLISECONDS_IN_SECOND), ends: lives.length, backEnds: lives.slice(-limits.ends).join() })
    if (source === 'own') archive.save(block)
    if (source !== 'peer') publishBlock(block)
    for (const listener of listeners) listener((call) => quarantine.matchesSuspect(fingerprint, call))
  }

  /** Calls lost with one back end are recorded one by one, so what is blocked after the first of them may be released with the last one. */
  function publishBlock (block: quarantine.CallBlock): void {
    const { fingerprint, count: times, since } = block
    setTimeout(() => {
      if (record.readBlockedMs(fingerprint) !== null) publish({ kind: 'block', call: fingerprint, count: times }, quarantine.computeBlockRetentionMs(times, limits), now() - since)
    }, END_BATCH_MS)
  }

  function noteReleased ({ fingerprint }: quarantine.CallBlock, reason: quarantine.ReleaseReason): void {
    count('call_releases', { reason })
    logger.warn('call-released', { fingerprint, reason })
  }

  function recordStoredBlock (block: quarantine.CallBlock): void {
    recordFrom('store', () => { record.noteBlock(block) })
  }

  function publish (fact: quarantineFacts.QuarantineFact, ttlMs: number, ageMs = 0): void {
    options.publishFact(quarantineFacts.formatFact(fact), ttlMs, ageMs)
  }

  function noteEnd (ended: EndedBackEnd, call: quarantine.CallFeatures): void {
    const { life } = ended
    const fingerprint = call.fingerprint()
    if (!lostCalls.has(life)) setTimeout(() => { publishEnd(ended) }, END_BATCH_MS)
    types.getOrCreate(lostCalls, life, () => new Map()).set(fingerprint, call.parts)
    const callsByPart = new Map(call.parts.map((part) => [part, new Set([fingerprint])]))
    recordFrom('own', () => { record.noteEnd({ life, at: now(), calls: new Set([fingerprint]), callsByPart }) })
  }

  function publishEnd ({ life, name, service }: EndedBackEnd): void {
    const lost = lostCalls.get(life) ?? new Map<quarantine.CallFingerprint, readonly types.PromptPartId[]>()
    const calls = [...lost.keys()]
    lostCalls.delete(life)
    count('back_ends_ended', { service })
    logger.warn('back-end-ended', { backEnd: name, service, calls: calls.length, fingerprints: calls.slice(0, MAXIMUM_LOGGED_FINGERPRINTS).join(), parts: describeParts([...lost.values()]) })
    for (let at = 0; at < calls.length; at += quarantineFacts.MAXIMUM_CALLS_PER_FACT) publish({ kind: 'end', life, calls: calls.slice(at, at + quarantineFacts.MAXIMUM_CALLS_PER_FACT) }, limits.evidenceMs)
    const suspicious = [...groupByPart(lost)].filter(([part]) => record.isSuspicious(part)).slice(0, MAXIMUM_REPORTED_PARTS)
    for (let at = 0; at < suspicious.length; at += quarantineFacts.MAXIMUM_PARTS_PER_FACT) publish({ kind: 'end-of-parts', life, callsByPart: new Map(suspicious.slice(at, at + quarantineFacts.MAXIMUM_PARTS_PER_FACT)) }, limits.evidenceMs)
  }

  /** Tells other daemons of completed calls with parts that they may suspect. */
  function reportServed (parts: readonly types.PromptPartId[]): void {
    for (const { part, at } of record.takeServedToReport(parts)) {
      logger.info('part-cleared', { part, ageMs: Math.round(now() - at) })
      publish({ kind: 'part-served', part }, SERVED_REPORT_TTL_MS, now() - at)
    }
  }

  function noteServed (call: quarantine.CallFeatures): void {
    record.notePartsServed(call.parts, now())
    if (!record.isActive()) return
    const fingerprint = call.fingerprint()
    if (record.noteServed(fingerprint, now())) publish({ kind: 'served', call: fingerprint }, limits.evidenceMs)
    reportServed(call.parts)
  }

  function noteFact (content: unknown, madeAt: number): void {
    const fact = quarantineFacts.parseFact(content)
    if (fact === null) {
      count('facts_unreadable')
      return
    }
    switch (fact.kind) {
      case 'served':
        record.noteServed(fact.call, madeAt)
        break
      case 'part-served':
        record.noteServedReport({ part: fact.part, at: madeAt })
        break
      case 'block':
        record.noteBlock({ fingerprint: fact.call, count: fact.count, since: madeAt })
        break
      case 'end':
        record.noteEnd({ life: fact.life, at: madeAt, calls: new Set(fact.calls) })
        options.onReportedEnd(fact.life, madeAt)
        break
      case 'end-of-parts':
        noteEndOfParts(fact.life, fact.callsByPart, madeAt)
        break
    }
  }

  /** Records the parts of calls that a peer lost, and tells it of those that this daemon knows to be harmless. */
  function noteEndOfParts (life: types.BackEndInstanceId, callsByPart: quarantine.CallsByPart, at: number): void {
    const calls = new Set([...callsByPart.values()].flatMap((callsOfPart) => [...callsOfPart]))
    record.noteEnd({ life, at, calls, callsByPart })
    setTimeout(() => { reportServed([...callsByPart.keys()]) }, SERVED_REPORT_SPREAD_MS * options.random())
  }

  return {
    noteEnd,
    noteFact,
    noteServed,
    isActive: record.isActive,
    readBlockedMs: record.readCallBlockedMs,
    onBlocked: (listener) => { listeners.push(listener) },
    isInitialized: archive.isInitialized,
    saveAgain: archive.saveAgain,
    blocks: record.blocks,
    countSuspects: record.countSuspects,
    countEnds: record.countEnds,
    stop: archive.stop
  }
}
