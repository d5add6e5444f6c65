/** A lease on a name, stored in the platform's object API, with a generation that serves as fencing token. */
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

/** Another process holds the lease, or may still consider it valid. */
export class LeaseHeldError extends types.SwitchridgeError {
  /** Milliseconds until the lease can be acquired, if its holder does not renew it. */
  readonly waitMs: number

  constructor (holder: string, waitMs: number) {
    super(`held by ${holder} for up to ${Math.ceil(waitMs)} ms`)
    this.waitMs = waitMs
  }
}

/** A lease that this process can hold on one name. */
export interface Lease {
  /** Acquires or renews the lease; returns its generation. After an `UnavailableError` the lease may have been written nevertheless; acquiring it again is safe. */
  readonly acquire: () => Promise<types.Outcome<number, LeaseHeldError | types.UnavailableError>>
  /** The generation while the lease is valid by the monotonic clock, otherwise null. */
  readonly currentGeneration: () => number | null
  /** Releases the lease, so that the next holder need not wait for it to expire. Failures are ignored: the lease then expires. */
  readonly release: () => Promise<void>
}

/** Options of {@link createLease}. */
export interface LeaseOptions {
  /** Milliseconds until the lease expires unless it is renewed. */
  readonly durationMs: number
  /** Safety margin: the holder stops using its lease this many milliseconds before it expires. */
  readonly marginMs: number
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Takes the lease from its holder without waiting for expiry; safe only if the protected resource checks the generation. */
  readonly preemptsHolder?: boolean
}

/** A version of another holder's lease and when it was first seen, by the local clock. */
interface ObservedVersion {
  readonly version: number
  readonly observedAt: number
}

/**
 * Creates a lease without acquiring it.
 *
 * @param store - The platform's object API.
 * @param name - Name that the lease is held on.
 * @param holder - Id of this process, different after each restart.
 * @param options - Duration, safety margin and clock.
 * @returns The lease.
 * @example
 * const lease = createLease(store, 'engine/node-1', incarnation, { durationMs: 10_000, marginMs: 2000, now: () => performance.now() })
 */
export function createLease (store: platform.ObjectStore, name: string, holder: string, options: LeaseOptions): Lease {
  let held: { generation: number, version: number, trustedUntil: number } | null = null
  let observed: ObservedVersion | null = null

  async function acquire (): Promise<types.Outcome<number, LeaseHeldError | types.UnavailableError>> {
    const found = await store.read(LEASE_KIND, name)
    if (!found.ok && found.error instanceof types.UnavailableError) return types.fail(found.error)
    if (!found.ok) return await writeLease(1, { absent: true })
    const record = leaseSchema.safeParse(found.value.value)
    if (!record.success) return types.fail(new types.UnavailableError(`lease ${name} is unreadable`))
    const isOwn = record.data.holder === holder && !record.data.released
    if (isOwn) return await writeLease(record.data.generation, { version: found.value.version })
    const waitMs = computeWaitMs(record.data, found.value.version)
    if (waitMs > 0) return types.fail(new LeaseHeldError(record.data.holder, waitMs))
    return await writeLease(record.data.generation + 1, { version: found.value.version })
  }

  /** Milliseconds until the lease has expired, counted by the local clock from when its current version was first seen. */
  function computeWaitMs (record: LeaseRecord, version: number): number {
    if (record.released || options.preemptsHolder === true) return 0
    if (observed?.version !== version) observed = { version, observedAt: options.now() }
    return observed.observedAt + record.durationMs - options.now()
  }

  async function writeLease (generation: number, condition: platform.WriteCondition): Promise<types.Outcome<number, LeaseHeldError | types.UnavailableError>> {
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
