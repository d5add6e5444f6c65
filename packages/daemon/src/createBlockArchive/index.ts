/** Persists blocks of calls in the platform's store, so that they survive a simultaneous restart of all daemons. */
import * as zod from 'zod'
import * as platform from '@switchridge/platform'
import * as quarantine from '@switchridge/quarantine'
import type * as observability from '@switchridge/observability'
import * as store from '@switchridge/store'
import * as types from '@switchridge/types'

/** Options of {@link createBlockArchive}. */
export interface BlockArchiveOptions {
  readonly store: Pick<store.CollectionStore, 'listAll' | 'put' | 'remove'>
  readonly limits: Pick<quarantine.QuarantineLimits, 'blockMs' | 'maximumBlockMs'>
  /** Whether this daemon currently reads the store on behalf of others; only such daemons load blocks. */
  readonly mayAskStore: () => boolean
  /** Called with each loaded block that may still be in force. */
  readonly onBlock: (block: quarantine.CallBlock) => void
  /** Whether a block is still in force. */
  readonly isInForce: (block: quarantine.CallBlock) => boolean
  readonly logger: observability.Logger
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Wall clock in Unix milliseconds, for times that outlast this process. */
  readonly timeOfDay: () => number
}

/** The stored blocks. */
export interface BlockArchive {
  /** Persists a block that this daemon's own evidence caused, unless it is lifted within a short delay. */
  readonly save: (block: quarantine.CallBlock) => void
  /** Persists the blocks in force that this daemon has saved once more, after the store was restored from a copy that may lack them. */
  readonly saveAgain: () => void
  /** Whether the load was attempted, or enough time has passed to have received the blocks from peers. */
  readonly isInitialized: () => boolean
  readonly stop: () => void
}

/** A block that a peer's report lifts was premature and is not saved; such reports arrive within about 10 ms. */
const SAVE_DELAY_MS = 500
const RETRY_DELAY_MINIMUM_MS = 500
const RETRY_DELAY_MAXIMUM_MS = 10_000
/** After its start a daemon checks at this interval, for this long, whether it has to read blocks for others; later it has received them from peers. */
const ROLE_CHECK_INTERVAL_MS = 250
const ROLE_CHECK_WINDOW_MS = 30_000
/** A daemon that doesn't read the store itself receives the blocks from peers within this time, and accepts calls after it. */
const PEER_REPORT_TIMEOUT_MS = 1000

const blockSchema = zod.object({ fingerprint: zod.string().refine(quarantine.isSuspectId, 'a fingerprint or parts of prompts'), count: zod.int().min(1), blockedAt: zod.number() })

/**
 * Starts loading the blocks from the store.
 *
 * @param options - Store, limits and clocks.
 * @returns The archive; it loads once and retries until that succeeds.
 */
export function createBlockArchive (options: BlockArchiveOptions): BlockArchive {
  const { limits, logger, now } = options
  const startedAt = now()
  const stopping = new AbortController()
  let hasTriedStore = false
  /** Blocks that this daemon has saved. */
  const saved = new Set<quarantine.CallBlock>()

  /** The ids of parts begin with a character that names of objects may not have. */
  function formatName ({ fingerprint, count }: quarantine.CallBlock): string {
    const parts = quarantine.listPartsOf(fingerprint).map((part) => part.slice(1))
    return `${parts.length === 0 ? fingerprint : ['parts', ...parts].join('.')}-${count}`
  }

  /** Clocks of two machines differ: a block with a start time in the future is taken to start now. */
  function read (object: store.StoredObject): void {
    const parsed = blockSchema.safeParse(object.value)
    if (!parsed.success) {
      logger.warn('object-unreadable', { kind: platform.OBJECT_KINDS.blocks, name: object.name, revision: object.revision, error: parsed.error.message, omitted: store.readOmission(object.value) })
      return
    }
    const { fingerprint, count, blockedAt } = parsed.data
    const ageMs = Math.max(0, options.timeOfDay() - blockedAt)
    if (ageMs < quarantine.computeBlockRetentionMs(count, limits)) options.onBlock({ fingerprint: types.brandId<quarantine.PartSetId>(fingerprint), count, since: now() - ageMs })
    else void remove(object)
  }

  async function remove ({ name, revision }: store.StoredObject): Promise<void> {
    const removed = await options.store.remove(platform.OBJECT_KINDS.blocks, name, revision)
    if (!removed.ok) logger.info('block-not-removed', { name, error: removed.error.message })
  }

  async function load (): Promise<void> {
    let retryDelayMs = RETRY_DELAY_MINIMUM_MS
    while (!stopping.signal.aborted) {
      if (!options.mayAskStore()) {
        if (now() - startedAt >= ROLE_CHECK_WINDOW_MS) return
        await types.delay(ROLE_CHECK_INTERVAL_MS)
        continue
      }
      const listed = await options.store.listAll(platform.OBJECT_KINDS.blocks)
      hasTriedStore = true
      if (listed.ok) {
        for (const object of listed.value.objects) read(object)
        return
      }
      logger.info('blocks-not-read', { error: listed.error.message })
      await types.delay(retryDelayMs)
      retryDelayMs = Math.min(RETRY_DELAY_MAXIMUM_MS, retryDelayMs * 2)
    }
  }

  async function write (block: quarantine.CallBlock): Promise<void> {
    await types.delay(SAVE_DELAY_MS)
    for (let retryDelayMs = RETRY_DELAY_MINIMUM_MS; !stopping.signal.aborted && options.isInForce(block); retryDelayMs = Math.min(RETRY_DELAY_MAXIMUM_MS, retryDelayMs * 2)) {
      const { fingerprint, count, since } = block
      const written = await options.store.put(platform.OBJECT_KINDS.blocks, formatName(block), { fingerprint, count, blockedAt: options.timeOfDay() - (now() - since) }, null)
      if (written.ok || written.error instanceof types.ConflictError) return
      logger.info('block-not-saved', { fingerprint, count, error: written.error.message })
      await types.delay(retryDelayMs)
    }
  }

  void load()
  return {
    save: (block) => {
      saved.add(block)
      void write(block)
    },
    saveAgain: () => {
      for (const block of saved) {
        if (options.isInForce(block)) void write(block)
        else saved.delete(block)
      }
    },
    isInitialized: () => hasTriedStore || now() - startedAt >= PEER_REPORT_TIMEOUT_MS,
    stop: () => { stopping.abort() }
  }
}
