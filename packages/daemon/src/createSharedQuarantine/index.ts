/** Combines the evidence about calls that crash back ends: what this daemon observed, what peers report and what the store holds. */
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
  /** Returns the remaining block time of a call in milliseconds; null when the call may run. */
  readonly readBlockedMs: (call: quarantine.CallFingerprint) => number | null
  /** Records that a back end terminated and lost one call of this daemon. */
  readonly noteEnd: (ended: EndedBackEnd, call: quarantine.CallFeatures) => void
  readonly noteServed: (call: quarantine.CallFingerprint) => void
  /** Registers a listener for each call that becomes blocked. */
  readonly onBlocked: (listener: (call: quarantine.CallFingerprint) => void) => void
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
  const listeners: Array<(call: quarantine.CallFingerprint) => void> = []
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
    if (source !== 'peer') publish({ kind: 'block', call: fingerprint, count: times }, quarantine.computeBlockRetentionMs(times, limits), now() - since)
    for (const listener of listeners) listener(fingerprint)
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
    recordFrom('own', () => { record.noteEnd({ life, at: now(), calls: new Set([fingerprint]) }) })
  }

  function publishEnd ({ life, name, service }: EndedBackEnd): void {
    const lost = lostCalls.get(life) ?? new Map<quarantine.CallFingerprint, readonly types.PromptPartId[]>()
    const calls = [...lost.keys()]
    lostCalls.delete(life)
    count('back_ends_ended', { service })
    logger.warn('back-end-ended', { backEnd: name, service, calls: calls.length, fingerprints: calls.slice(0, MAXIMUM_LOGGED_FINGERPRINTS).join(), parts: describeParts([...lost.values()]) })
    for (let at = 0; at < calls.length; at += quarantineFacts.MAXIMUM_CALLS_PER_FACT) publish({ kind: 'end', life, calls: calls.slice(at, at + quarantineFacts.MAXIMUM_CALLS_PER_FACT) }, limits.evidenceMs)
  }

  function noteFact (content: unknown, madeAt: number): void {
    const fact = quarantineFacts.parseFact(content)
    if (fact === null) count('facts_unreadable')
    else if (fact.kind === 'served') record.noteServed(fact.call, madeAt)
    else if (fact.kind === 'block') record.noteBlock({ fingerprint: fact.call, count: fact.count, since: madeAt })
    else {
      record.noteEnd({ life: fact.life, at: madeAt, calls: new Set(fact.calls) })
      options.onReportedEnd(fact.life, madeAt)
    }
  }

  return {
    noteEnd,
    noteFact,
    noteServed: (call) => {
      if (record.noteServed(call, now())) publish({ kind: 'served', call }, limits.evidenceMs)
    },
    isActive: record.isActive,
    readBlockedMs: record.readBlockedMs,
    onBlocked: (listener) => { listeners.push(listener) },
    isInitialized: archive.isInitialized,
    saveAgain: archive.saveAgain,
    blocks: record.blocks,
    countSuspects: record.countSuspects,
    countEnds: record.countEnds,
    stop: archive.stop
  }
}
