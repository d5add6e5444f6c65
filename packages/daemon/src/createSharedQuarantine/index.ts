/** What daemons that send calls know together of those that end back ends: what this one saw, what others tell it, and what all keep in the store. */
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
  /** Whether this daemon asks the store for others, too. */
  readonly mayAskStore: () => boolean
  /** Tells all others a fact. */
  readonly tell: (content: unknown, keptMs: number, ageMs: number) => void
  /** Told of ends that others saw, with the monotonic time in milliseconds. */
  readonly onToldEnd: (life: types.BackEndLife, at: number) => void
  readonly logger: observability.Logger
  readonly count: (name: string, labels?: Readonly<Record<string, string>>) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Unix milliseconds. */
  readonly timeOfDay: () => number
}

/** A back end that ended while calls of this daemon were there. */
export interface EndedBackEnd {
  readonly life: types.BackEndLife
  /** Its name in logs. */
  readonly name: string
  readonly service: types.ServiceName
}

/** The quarantine of one daemon. */
export interface SharedQuarantine {
  /** Whether any call is suspected or blocked; otherwise nobody needs to know which call is which. */
  readonly isActive: () => boolean
  /** Milliseconds for which a call is still blocked; null when it may run. */
  readonly findBlock: (call: quarantine.CallFingerprint) => number | null
  /** Notes a back end's end with one call of this daemon that it took along. */
  readonly noteEnd: (ended: EndedBackEnd, call: quarantine.CallFingerprint) => void
  readonly noteServed: (call: quarantine.CallFingerprint) => void
  /** Registers who is told of each call that is blocked. */
  readonly onBlocked: (listener: (call: quarantine.CallFingerprint) => void) => void
  /** Takes what another daemon told. */
  readonly noteFact: (content: unknown, madeAt: number) => void
  /** Whether this daemon had the time to hear of blocks since it started. */
  readonly isSettled: () => boolean
  readonly blocks: () => quarantine.CallBlock[]
  readonly countSuspects: () => number
  /** Ends of back ends that are remembered, those that others told included. */
  readonly countEnds: () => number
  readonly stop: () => void
}

/** Calls that are lost with one back end are noticed within milliseconds of each other, and told together. */
const MERGE_MS = 10
const LOGGED_CALLS = 8

/** Where the word comes from by which a call is blocked. */
type Source = 'own' | 'peer' | 'store'

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

/** What a daemon has whose settings switch the quarantine off. */
const NO_QUARANTINE: SharedQuarantine = {
  isActive: () => false,
  findBlock: () => null,
  noteEnd: () => {},
  noteServed: () => {},
  onBlocked: () => {},
  noteFact: () => {},
  isSettled: () => true,
  blocks: () => [],
  countSuspects: () => 0,
  countEnds: () => 0,
  stop: () => {}
}

/**
 * Creates the quarantine of one daemon.
 *
 * @param options - Limits, ways to others, and clocks.
 * @returns The quarantine; one that blocks nothing where the settings switch it off.
 */
export function createSharedQuarantine (options: SharedQuarantineOptions): SharedQuarantine {
  return options.settings.enabled ? createEnabled(options) : NO_QUARANTINE
}

function createEnabled (options: SharedQuarantineOptions): SharedQuarantine {
  const { logger, count, now } = options
  const limits = readLimits(options.settings)
  const listeners: Array<(call: quarantine.CallFingerprint) => void> = []
  /** Calls that this daemon lost, by the back ends that ended, until others are told. */
  const lost = new Map<types.BackEndLife, Set<quarantine.CallFingerprint>>()
  /** Of the word that is being noted. */
  let source: Source = 'peer'
  const record = quarantine.createQuarantine({ limits, onBlocked: noteBlocked, onReleased: noteReleased, now })
  const archive = createBlockArchive.createBlockArchive({
    store: options.store,
    limits,
    mayAsk: options.mayAskStore,
    onBlock: noteStored,
    isInForce: ({ fingerprint, since }) => record.blocks().some((block) => block.fingerprint === fingerprint && block.since === since),
    logger,
    now,
    timeOfDay: options.timeOfDay
  })

  function noteFrom (from: Source, note: () => void): void {
    source = from
    note()
    source = 'peer'
  }

  function noteBlocked (block: quarantine.CallBlock, lives: readonly types.BackEndLife[]): void {
    const { fingerprint, count: times, since } = block
    const leftMs = since + quarantine.computeBlockMs(times, limits) - now()
    count('call_blocks', { source })
    logger.warn('call-blocked', { fingerprint, source, times, seconds: Math.round(leftMs / types.MILLISECONDS_IN_SECOND), ends: lives.length, backEnds: lives.slice(-limits.ends).join() })
    if (source === 'own') archive.save(block)
    if (source !== 'peer') tell({ kind: 'block', call: fingerprint, count: times }, quarantine.computeBlockKeptMs(times, limits), now() - since)
    for (const listener of listeners) listener(fingerprint)
  }

  function noteReleased ({ fingerprint }: quarantine.CallBlock, reason: quarantine.ReleaseReason): void {
    count('call_releases', { reason })
    logger.warn('call-released', { fingerprint, reason })
  }

  function noteStored (block: quarantine.CallBlock): void {
    noteFrom('store', () => { record.noteBlock(block) })
  }

  function tell (fact: quarantineFacts.QuarantineFact, keptMs: number, ageMs = 0): void {
    options.tell(quarantineFacts.formatFact(fact), keptMs, ageMs)
  }

  function noteEnd (ended: EndedBackEnd, call: quarantine.CallFingerprint): void {
    const { life } = ended
    const known = lost.get(life)
    if (known === undefined) {
      lost.set(life, new Set([call]))
      setTimeout(() => { tellEnd(ended) }, MERGE_MS)
    } else {
      known.add(call)
    }
    noteFrom('own', () => { record.noteEnd({ life, at: now(), calls: new Set([call]) }) })
  }

  function tellEnd ({ life, name, service }: EndedBackEnd): void {
    const calls = [...lost.get(life) ?? []]
    lost.delete(life)
    count('back_ends_ended', { service })
    logger.warn('back-end-ended', { backEnd: name, service, calls: calls.length, fingerprints: calls.slice(0, LOGGED_CALLS).join() })
    for (let at = 0; at < calls.length; at += quarantineFacts.MAXIMUM_CALLS) tell({ kind: 'end', life, calls: calls.slice(at, at + quarantineFacts.MAXIMUM_CALLS) }, limits.evidenceMs)
  }

  function noteFact (content: unknown, madeAt: number): void {
    const fact = quarantineFacts.parseFact(content)
    if (fact === null) count('facts_unreadable')
    else if (fact.kind === 'served') record.noteServed(fact.call, madeAt)
    else if (fact.kind === 'block') record.noteBlock({ fingerprint: fact.call, count: fact.count, since: madeAt })
    else {
      record.noteEnd({ life: fact.life, at: madeAt, calls: new Set(fact.calls) })
      options.onToldEnd(fact.life, madeAt)
    }
  }

  return {
    noteEnd,
    noteFact,
    noteServed: (call) => {
      if (record.noteServed(call, now())) tell({ kind: 'served', call }, limits.evidenceMs)
    },
    isActive: record.isActive,
    findBlock: record.findBlock,
    onBlocked: (listener) => { listeners.push(listener) },
    isSettled: archive.isSettled,
    blocks: record.blocks,
    countSuspects: record.countSuspects,
    countEnds: record.countEnds,
    stop: archive.stop
  }
}
