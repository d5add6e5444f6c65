/** A lease on a name, kept in the platform's object API, with a generation that fences orders. */
import * as zod from 'zod'
import * as types from '@switchridge/types'
import type * as platform from '../types/index.js'

const LEASE_KIND = 'leases'

const leaseSchema = zod.object({
  holder: zod.string(),
  generation: zod.int().positive(),
  durationMs: zod.number().positive(),
  released: zod.boolean()
})

type LeaseRecord = zod.infer<typeof leaseSchema>

/** Another holder has the lease, or may still believe so. */
export class LeaseHeldError extends types.SwitchridgeError {
  /** Milliseconds until the lease may be taken, if its holder does not renew it. */
  readonly waitMs: number

  constructor (holder: string, waitMs: number) {
    super(`held by ${holder} for up to ${Math.ceil(waitMs)} ms`)
    this.waitMs = waitMs
  }
}

/** A lease of this process on one name. */
export interface Lease {
  /** Takes or renews the lease; returns its generation. */
  readonly acquire: () => Promise<types.Outcome<number, LeaseHeldError | types.UnavailableError>>
  /** The generation while the lease surely holds by the monotonic clock, else null. */
  readonly currentGeneration: () => number | null
  /** Gives the lease back so that a successor need not wait. */
  readonly release: () => Promise<void>
}

/** Options of {@link createLease}. */
export interface LeaseOptions {
  readonly durationMs: number
  /** Milliseconds before expiry from which the holder no longer trusts its lease. */
  readonly marginMs: number
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Takes the lease from its holder at once; only where the generation is checked by what the lease protects. */
  readonly takesOver?: boolean
}

interface Sighting {
  readonly version: number
  readonly seenAt: number
}

/**
 * Creates a lease; nothing is taken yet.
 *
 * @param store - The platform's object API.
 * @param name - What the lease is on.
 * @param holder - Id of this process, unique over its restarts.
 * @param options - Duration, margin and clock.
 * @returns The lease.
 * @example
 * const lease = createLease(store, 'engine/cluj-1', incarnation, { durationMs: 10_000, marginMs: 2000, now: () => performance.now() })
 */
export function createLease (store: platform.ObjectStore, name: string, holder: string, options: LeaseOptions): Lease {
  let held: { generation: number, version: number, trustedUntil: number } | null = null
  let sighting: Sighting | null = null

  async function acquire (): Promise<types.Outcome<number, LeaseHeldError | types.UnavailableError>> {
    const found = await store.read(LEASE_KIND, name)
    if (!found.ok && found.error instanceof types.UnavailableError) return types.fail(found.error)
    if (!found.ok) return await take(1, { absent: true })
    const record = leaseSchema.safeParse(found.value.value)
    if (!record.success) return types.fail(new types.UnavailableError(`lease ${name} is unreadable`))
    const isOwn = record.data.holder === holder && !record.data.released
    if (isOwn) return await take(record.data.generation, { version: found.value.version })
    const waitMs = remainingWait(record.data, found.value.version)
    if (waitMs > 0) return types.fail(new LeaseHeldError(record.data.holder, waitMs))
    return await take(record.data.generation + 1, { version: found.value.version })
  }

  function remainingWait (record: LeaseRecord, version: number): number {
    if (record.released || options.takesOver === true) return 0
    if (sighting?.version !== version) sighting = { version, seenAt: options.now() }
    return sighting.seenAt + record.durationMs - options.now()
  }

  async function take (generation: number, condition: platform.WriteCondition): Promise<types.Outcome<number, LeaseHeldError | types.UnavailableError>> {
    const sentAt = options.now()
    const record: LeaseRecord = { holder, generation, durationMs: options.durationMs, released: false }
    const written = await store.write(LEASE_KIND, name, record, condition)
    if (!written.ok) {
      return types.fail(written.error instanceof types.UnavailableError ? written.error : new LeaseHeldError('another process', options.durationMs))
    }
    held = { generation, version: written.value, trustedUntil: sentAt + options.durationMs - options.marginMs }
    return types.succeed(generation)
  }

  function currentGeneration (): number | null {
    if (held === null || options.now() >= held.trustedUntil) return null
    return held.generation
  }

  async function release (): Promise<void> {
    if (held === null) return
    const { generation, version } = held
    held = null
    const record: LeaseRecord = { holder, generation, durationMs: options.durationMs, released: true }
    await store.write(LEASE_KIND, name, record, { version })
  }

  return { acquire, currentGeneration, release }
}
