/** Keeps calls that end back ends from the others: what this gateway sees, what others tell it, and what all keep in the store. */
import * as gateway from '@switchridge/gateway'
import * as quarantine from '@switchridge/quarantine'
import type * as observability from '@switchridge/observability'
import type * as settings from '@switchridge/settings'
import type * as store from '@switchridge/store'
import * as types from '@switchridge/types'
import * as createBlockArchive from '../createBlockArchive/index.js'
import * as quarantineFacts from '../_lib/quarantineFacts.js'

/** Options of {@link createCallQuarantine}. */
export interface CallQuarantineOptions {
  readonly settings: settings.FleetSettings['quarantine']
  readonly store: store.CollectionStore
  /** Whether this gateway asks the store for others, too. */
  readonly mayAskStore: () => boolean
  readonly backEnds: () => readonly gateway.BackEnd[]
  readonly book: Pick<gateway.BackEndBook, 'noteProcessEnded' | 'noteFailure'>
  /** Tells all other gateways a fact. */
  readonly tell: (content: unknown, keptMs: number, ageMs: number) => void
  readonly probe: (address: types.Address, timeoutMs: number) => Promise<quarantine.ProbeResult>
  readonly logger: observability.Logger
  readonly count: (name: string, labels?: Readonly<Record<string, string>>) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Unix milliseconds. */
  readonly timeOfDay: () => number
}

/** The quarantine of a gateway. */
export interface CallQuarantine extends gateway.CallGuard {
  /** Takes what another gateway told. */
  readonly noteFact: (content: unknown, madeAt: number) => void
  /** Whether this gateway had the time to hear of blocks since it started. */
  readonly isSettled: () => boolean
  readonly blocks: () => quarantine.CallBlock[]
  readonly countSuspects: () => number
  readonly stop: () => void
}

/** A call waits no longer for the answer whether its back end lives; regions are within a tenth of it. */
const PROBE_MS = 100
/** Calls that are lost together ask once: they notice within 8 ms of each other, and a connection takes up to 10. */
const PROBE_KEPT_MS = 50
/** Calls of one back end are told together. */
const MERGE_MS = 10
/** Another gateway's word that a back end ended makes it a bad choice if it is not older. */
const FRESH_END_MS = 3000
const LOGGED_CALLS = 8

interface Probe {
  readonly result: Promise<quarantine.ProbeResult>
  readonly at: number
}

function readLimits (limits: settings.FleetSettings['quarantine']): quarantine.QuarantineLimits {
  return {
    ends: limits.ends,
    evidenceMs: limits.evidence_seconds * types.MILLISECONDS_IN_SECOND,
    blockMs: limits.block_seconds * types.MILLISECONDS_IN_SECOND,
    maximumBlockMs: limits.block_maximum_seconds * types.MILLISECONDS_IN_SECOND,
    maximumEnds: limits.maximum_ends,
    maximumBlocks: limits.maximum_blocks
  }
}

/** What a gateway has whose settings switch the quarantine off. */
const NO_QUARANTINE: CallQuarantine = {
  isActive: () => false,
  findBlock: () => null,
  noteCut: async () => {},
  noteServed: () => {},
  onBlocked: () => {},
  noteFact: () => {},
  isSettled: () => true,
  blocks: () => [],
  countSuspects: () => 0,
  stop: () => {}
}

/**
 * Creates the quarantine of a gateway.
 *
 * @param options - Limits, ways to others, and clocks.
 * @returns The quarantine; one that blocks nothing where the settings switch it off.
 */
export function createCallQuarantine (options: CallQuarantineOptions): CallQuarantine {
  return options.settings.enabled ? createEnabled(options) : NO_QUARANTINE
}

function createEnabled (options: CallQuarantineOptions): CallQuarantine {
  const { logger, count, now } = options
  const limits = readLimits(options.settings)
  const listeners: Array<(call: quarantine.CallFingerprint) => void> = []
  const probes = new Map<quarantine.BackEndLife, Probe>()
  /** Calls that this gateway lost, by the back ends that ended, until others are told. */
  const lost = new Map<quarantine.BackEndLife, Set<quarantine.CallFingerprint>>()
  /** Where the word comes from that is being noted. */
  let source: 'own' | 'peer' | 'store' = 'peer'
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

  function noteFrom (from: typeof source, note: () => void): void {
    source = from
    note()
    source = 'peer'
  }

  function noteBlocked (block: quarantine.CallBlock, lives: readonly quarantine.BackEndLife[]): void {
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

  /** One connection for all calls that are lost with one back end. */
  async function probe (life: quarantine.BackEndLife, address: types.Address): Promise<quarantine.ProbeResult> {
    const known = probes.get(life)
    if (known !== undefined && now() - known.at < PROBE_KEPT_MS) return await known.result
    for (const [other, { at }] of probes) if (now() - at >= PROBE_KEPT_MS) probes.delete(other)
    const result = options.probe(address, PROBE_MS)
    probes.set(life, { result, at: now() })
    return await result
  }

  function isLeaving ({ id }: gateway.BackEnd): boolean {
    const listed = options.backEnds().find((backEnd) => backEnd.id === id)
    return listed === undefined || listed.isDraining
  }

  async function noteCut (backEnd: gateway.BackEnd, call: quarantine.CallFingerprint): Promise<void> {
    const life = quarantineFacts.formatLife(backEnd.id, backEnd.bornAt)
    const wasLeaving = isLeaving(backEnd)
    const verdict = quarantine.judgeEnd({ isCutByPeer: true, isLeaving: wasLeaving, probe: await probe(life, backEnd.address) })
    count('calls_lost', { verdict })
    if (verdict === 'ended') noteEnd(backEnd, life, call)
  }

  function noteEnd (backEnd: gateway.BackEnd, life: quarantine.BackEndLife, call: quarantine.CallFingerprint): void {
    options.book.noteProcessEnded(backEnd.id)
    const known = lost.get(life)
    if (known === undefined) {
      lost.set(life, new Set([call]))
      setTimeout(() => { tellEnd(backEnd, life) }, MERGE_MS)
    } else {
      known.add(call)
    }
    noteFrom('own', () => { record.noteEnd({ life, at: now(), calls: new Set([call]) }) })
  }

  function tellEnd (backEnd: gateway.BackEnd, life: quarantine.BackEndLife): void {
    const calls = [...lost.get(life) ?? []]
    lost.delete(life)
    count('back_ends_ended', { service: backEnd.service })
    logger.warn('back-end-ended', { backEnd: backEnd.id, service: backEnd.service, calls: calls.length, fingerprints: calls.slice(0, LOGGED_CALLS).join() })
    for (let at = 0; at < calls.length; at += quarantineFacts.MAXIMUM_CALLS) tell({ kind: 'end', life, calls: calls.slice(at, at + quarantineFacts.MAXIMUM_CALLS) }, limits.evidenceMs)
  }

  function noteFact (content: unknown, madeAt: number): void {
    const fact = quarantineFacts.parseFact(content)
    if (fact === null) {
      count('facts_unreadable')
      return
    }
    if (fact.kind === 'end') noteToldEnd(fact.life, fact.calls, madeAt)
    else if (fact.kind === 'served') record.noteServed(fact.call, madeAt)
    else record.noteBlock({ fingerprint: fact.call, count: fact.count, since: madeAt })
  }

  /** Others are believed that a back end is a bad choice; that it may not be chosen at all takes an own look. */
  function noteToldEnd (life: quarantine.BackEndLife, calls: readonly quarantine.CallFingerprint[], at: number): void {
    record.noteEnd({ life, at, calls: new Set(calls) })
    if (now() - at > FRESH_END_MS) return
    const ended = options.backEnds().find(({ id, bornAt }) => quarantineFacts.formatLife(id, bornAt) === life)
    if (ended !== undefined) options.book.noteFailure(ended.id)
  }

  return {
    noteCut,
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
    stop: archive.stop
  }
}
