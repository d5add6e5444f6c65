/** Claims on idempotency keys in the platform's store: a call that is sent again, through any entry node, runs once. */
import * as crypto from 'node:crypto'
import * as zod from 'zod'
import * as types from '@switchridge/types'
import type * as platform from '@switchridge/store'

const CLAIM_KIND = 'claims'
/** A key whose answer is longer stays claimed without it. */
export const MAXIMUM_STORED_ANSWER_BYTES = 16 * types.BYTES_IN_KIBIBYTE
const RETENTION_MS = 24 * 3600 * types.MILLISECONDS_IN_SECOND
const SWEEP_PAGE_SIZE = 200

/** An answer as stored in a claim. */
export interface StoredAnswer {
  readonly status: number
  readonly contentType: string
  /** Version header of the answer; empty for a plain service. */
  readonly version: string
  readonly body: Buffer
}

/** Result of trying to claim a key. */
export type ClaimResult =
  | { readonly kind: 'taken', readonly claim: Claim }
  | { readonly kind: 'answered', readonly answer: StoredAnswer }
  /** Another request holds the key, and its outcome is unknown or its answer was too long to store. */
  | { readonly kind: 'held' }
  /** The platform did not confirm the claim, so the call must not run. */
  | { readonly kind: 'unavailable' }

/** A claim that this process holds. */
export interface Claim {
  /** Stores the answer, to be replayed to repeated requests; a body of more than {@link MAXIMUM_STORED_ANSWER_BYTES} is not stored. */
  readonly finish: (answer: StoredAnswer) => Promise<void>
  /** Releases the key because the call did not run. */
  readonly release: () => Promise<void>
}

/** The idempotency claims of an entry node. */
export interface Claims {
  readonly acquire: (account: types.AccountId, service: types.ServiceName, key: string) => Promise<ClaimResult>
  /** Removes claims older than a day, and unreadable ones, among the first 200 that the platform lists; returns how many. */
  readonly sweep: () => Promise<number>
}

const claimSchema = zod.object({
  nonce: zod.string(),
  at: zod.number(),
  answer: zod.object({ status: zod.number(), contentType: zod.string(), version: zod.string(), body: zod.string() }).nullable()
})

type ClaimRecord = zod.infer<typeof claimSchema>

/**
 * Creates the claims of an entry node.
 *
 * @param store - The platform's object API.
 * @param readTime - Milliseconds since the epoch.
 * @returns The claims.
 */
export function createClaims (store: platform.ObjectStore, readTime: () => number): Claims {
  async function acquire (account: types.AccountId, service: types.ServiceName, key: string): Promise<ClaimResult> {
    const name = formatName(account, service, key)
    const record: ClaimRecord = { nonce: crypto.randomUUID(), at: readTime(), answer: null }
    const written = await store.write(CLAIM_KIND, name, record, { absent: true })
    if (written.ok) return { kind: 'taken', claim: createClaim(name, record, written.value) }
    return await readExisting(name, record)
  }

  /** Reads the existing claim. It may be this request's own, if its write succeeded but the answer to the write was lost. */
  async function readExisting (name: string, ownRecord: ClaimRecord): Promise<ClaimResult> {
    const found = await store.read(CLAIM_KIND, name)
    const parsed = found.ok ? claimSchema.safeParse(found.value.value) : null
    if (!found.ok || parsed?.success !== true) return { kind: 'unavailable' }
    if (parsed.data.nonce === ownRecord.nonce) return { kind: 'taken', claim: createClaim(name, ownRecord, found.value.version) }
    const { answer } = parsed.data
    return answer === null ? { kind: 'held' } : { kind: 'answered', answer: { ...answer, body: Buffer.from(answer.body, 'base64') } }
  }

  function createClaim (name: string, record: ClaimRecord, version: number): Claim {
    return {
      finish: async (answer) => {
        if (answer.body.length > MAXIMUM_STORED_ANSWER_BYTES) return
        await store.write(CLAIM_KIND, name, { ...record, answer: { ...answer, body: answer.body.toString('base64') } }, { version })
      },
      release: async () => { await store.remove(CLAIM_KIND, name, version) }
    }
  }

  async function sweep (): Promise<number> {
    const listed = await store.list(CLAIM_KIND, '', SWEEP_PAGE_SIZE)
    const expired = (listed.ok ? listed.value : []).filter((object) => {
      const parsed = claimSchema.safeParse(object.value)
      return !parsed.success || parsed.data.at < readTime() - RETENTION_MS
    })
    for (const object of expired) await store.remove(CLAIM_KIND, object.name, object.version)
    return expired.length
  }

  return { acquire, sweep }
}

function formatName (account: types.AccountId, service: types.ServiceName, key: string): string {
  return crypto.createHash('sha256').update(JSON.stringify([account, service, key])).digest('hex')
}
