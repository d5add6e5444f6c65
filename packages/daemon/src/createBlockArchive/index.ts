/** Blocks of calls in the platform's store, so that they outlast a return of all daemons at once. */
import * as zod from 'zod'
import * as platform from '@switchridge/platform'
import * as quarantine from '@switchridge/quarantine'
import type * as observability from '@switchridge/observability'
import type * as store from '@switchridge/store'
import * as types from '@switchridge/types'

/** Options of {@link createBlockArchive}. */
export interface BlockArchiveOptions {
  readonly store: Pick<store.CollectionStore, 'listAll' | 'put' | 'remove'>
  readonly limits: Pick<quarantine.QuarantineLimits, 'blockMs' | 'maximumBlockMs'>
  /** Whether this daemon asks the store for others, too; only such a one reads blocks. */
  readonly mayAsk: () => boolean
  /** Told of each block that is read and may still matter. */
  readonly onBlock: (block: quarantine.CallBlock) => void
  /** Whether a block is still in force. */
  readonly isInForce: (block: quarantine.CallBlock) => boolean
  readonly logger: observability.Logger
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Unix milliseconds, for times that outlast this process. */
  readonly timeOfDay: () => number
}

/** The blocks in the store. */
export interface BlockArchive {
  /** Writes a block that this daemon itself gave rise to, once it has held for a moment. */
  readonly save: (block: quarantine.CallBlock) => void
  /** Whether blocks were read, or can't be for now. */
  readonly isSettled: () => boolean
  readonly stop: () => void
}

/** A block that another daemon's word takes back was hasty; such words take some ten milliseconds. */
const SETTLE_MS = 500
const RETRY_MINIMUM_MS = 500
const RETRY_MAXIMUM_MS = 10_000
/** A daemon looks so often, and for so long after its start, whether it is to read blocks for others; later it has heard of them. */
const LOOK_MS = 250
const LOOK_FOR_MS = 30_000
/** A daemon that does not read the store itself hears of blocks from others within this, and takes calls then. */
const HEARSAY_MS = 1000

const blockSchema = zod.object({ fingerprint: zod.string().refine(quarantine.isFingerprint, 'a fingerprint'), count: zod.int().min(1), blockedAt: zod.number() })

/**
 * Begins to read the blocks that the store holds.
 *
 * @param options - Store, limits and clocks.
 * @returns The archive; it reads once, and goes on trying until it has.
 */
export function createBlockArchive (options: BlockArchiveOptions): BlockArchive {
  const { limits, logger, now } = options
  const startedAt = now()
  const stopping = new AbortController()
  let hasAsked = false

  function nameOf ({ fingerprint, count }: quarantine.CallBlock): string {
    return `${fingerprint}-${count}`
  }

  /** Clocks of two machines differ; a block that seems to lie ahead begins now. */
  function read (object: store.StoredObject): void {
    const parsed = blockSchema.safeParse(object.value)
    if (!parsed.success) {
      logger.warn('object-unreadable', { kind: platform.KINDS.blocks, name: object.name, revision: object.revision, error: parsed.error.message })
      return
    }
    const { fingerprint, count, blockedAt } = parsed.data
    const ageMs = Math.max(0, options.timeOfDay() - blockedAt)
    if (ageMs < quarantine.computeBlockKeptMs(count, limits)) options.onBlock({ fingerprint: types.brandId<quarantine.CallFingerprint>(fingerprint), count, since: now() - ageMs })
    else void remove(object)
  }

  async function remove ({ name, revision }: store.StoredObject): Promise<void> {
    const removed = await options.store.remove(platform.KINDS.blocks, name, revision)
    if (!removed.ok) logger.info('block-not-removed', { name, error: removed.error.message })
  }

  async function load (): Promise<void> {
    let pauseMs = RETRY_MINIMUM_MS
    while (!stopping.signal.aborted) {
      if (!options.mayAsk()) {
        if (now() - startedAt >= LOOK_FOR_MS) return
        await types.delay(LOOK_MS)
        continue
      }
      const listed = await options.store.listAll(platform.KINDS.blocks)
      hasAsked = true
      if (listed.ok) {
        for (const object of listed.value.objects) read(object)
        return
      }
      logger.info('blocks-not-read', { error: listed.error.message })
      await types.delay(pauseMs)
      pauseMs = Math.min(RETRY_MAXIMUM_MS, pauseMs * 2)
    }
  }

  async function write (block: quarantine.CallBlock): Promise<void> {
    await types.delay(SETTLE_MS)
    for (let pauseMs = RETRY_MINIMUM_MS; !stopping.signal.aborted && options.isInForce(block); pauseMs = Math.min(RETRY_MAXIMUM_MS, pauseMs * 2)) {
      const { fingerprint, count, since } = block
      const written = await options.store.put(platform.KINDS.blocks, nameOf(block), { fingerprint, count, blockedAt: options.timeOfDay() - (now() - since) }, null)
      if (written.ok || written.error instanceof types.ConflictError) return
      logger.info('block-not-saved', { fingerprint, count, error: written.error.message })
      await types.delay(pauseMs)
    }
  }

  void load()
  return {
    save: (block) => { void write(block) },
    isSettled: () => hasAsked || now() - startedAt >= HEARSAY_MS,
    stop: () => { stopping.abort() }
  }
}
