/** Claims on idempotency keys at the platform: a call that is sent again, through whichever entry node, runs once. */
import * as crypto from 'node:crypto'
import * as zod from 'zod'
import * as types from '@switchridge/types'
import type * as platform from '@switchridge/store'

const CLAIM_KIND = 'claims'
const MAXIMUM_KEPT_ANSWER_BYTES = 16 * types.BYTES_IN_KIBIBYTE
const KEEP_MS = 24 * 3600 * types.MILLISECONDS_IN_SECOND
const SWEEP_PAGE = 200

/** An answer as a claim keeps it. */
export interface KeptAnswer {
  readonly status: number
  readonly contentType: string
  /** Version header of the answer; empty for a plain service. */
  readonly version: string
  readonly body: Buffer
}

/** What became of the wish to run a call under a key. */
export type ClaimResult =
  | { readonly kind: 'taken', readonly claim: Claim }
  | { readonly kind: 'answered', readonly answer: KeptAnswer }
  /** Another request has the key, and what became of it is not known, or its answer was too long to keep. */
  | { readonly kind: 'held' }
  /** The platform did not confirm the claim; the call must not run. */
  | { readonly kind: 'unavailable' }

/** A claim of this process. */
export interface Claim {
  /** Keeps the answer for requests that come again. */
  readonly finish: (answer: KeptAnswer) => Promise<void>
  /** Gives the key back: the call did not run. */
  readonly withdraw: () => Promise<void>
}

/** Claims of an entry node. */
export interface Claims {
  readonly take: (account: types.AccountId, service: types.ServiceName, key: string) => Promise<ClaimResult>
  /** Removes claims older than a day; returns how many. */
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
  async function take (account: types.AccountId, service: types.ServiceName, key: string): Promise<ClaimResult> {
    const name = formatName(account, service, key)
    const record: ClaimRecord = { nonce: crypto.randomUUID(), at: readTime(), answer: null }
    const written = await store.write(CLAIM_KIND, name, record, { absent: true })
    if (written.ok) return { kind: 'taken', claim: createClaim(name, record, written.value) }
    return await readHeld(name, record)
  }

  /** Finds out who has the claim; it may be this request itself, when only the answer to its write was lost. */
  async function readHeld (name: string, own: ClaimRecord): Promise<ClaimResult> {
    const found = await store.read(CLAIM_KIND, name)
    const parsed = found.ok ? claimSchema.safeParse(found.value.value) : null
    if (!found.ok || parsed?.success !== true) return { kind: 'unavailable' }
    if (parsed.data.nonce === own.nonce) return { kind: 'taken', claim: createClaim(name, own, found.value.version) }
    const { answer } = parsed.data
    return answer === null ? { kind: 'held' } : { kind: 'answered', answer: { ...answer, body: Buffer.from(answer.body, 'base64') } }
  }

  function createClaim (name: string, record: ClaimRecord, version: number): Claim {
    return {
      finish: async (answer) => {
        if (answer.body.length > MAXIMUM_KEPT_ANSWER_BYTES) return
        await store.write(CLAIM_KIND, name, { ...record, answer: { ...answer, body: answer.body.toString('base64') } }, { version })
      },
      withdraw: async () => { await store.remove(CLAIM_KIND, name, version) }
    }
  }

  async function sweep (): Promise<number> {
    const listed = await store.list(CLAIM_KIND, '', SWEEP_PAGE)
    const old = (listed.ok ? listed.value : []).filter((object) => {
      const parsed = claimSchema.safeParse(object.value)
      return !parsed.success || parsed.data.at < readTime() - KEEP_MS
    })
    for (const object of old) await store.remove(CLAIM_KIND, object.name, object.version)
    return old.length
  }

  return { take, sweep }
}

function formatName (account: types.AccountId, service: types.ServiceName, key: string): string {
  return crypto.createHash('sha256').update(JSON.stringify([account, service, key])).digest('hex')
}
