/** Answers other daemons that request the changes in a local copy of the store's objects. */
import * as util from 'node:util'
import * as zlib from 'node:zlib'
import type Koa from 'koa'
import * as rpc from '@switchridge/rpc'
import type * as spread from '@switchridge/spread'
import type * as store from '@switchridge/store'
import * as copyParts from '../_lib/copyParts.js'

/** Options of {@link createCopyAnswers}. */
export interface CopyAnswersOptions {
  readonly mirrors: readonly store.Mirror[]
  readonly role: spread.Heartbeat['role']
  readonly identity: rpc.Identity
}

/** The copies that one daemon serves. */
export interface CopyAnswers {
  /** Returns the changes as compressed JSON; null when this daemon has no copy of the kind or doesn't hold that part of it. */
  readonly answer: (kind: string, part: string, since: number) => Promise<Buffer | null>
  readonly middleware: Koa.Middleware
}

interface CachedAnswer {
  readonly at: number
  readonly bytes: Promise<Buffer>
}

/** Small, because after a change a hall's daemons request the same changes, few kinds change at a time, and one answer takes up to about 100 KB. */
const MAXIMUM_CACHED_ANSWERS = 16
const BAD_REQUEST = 400
const FORBIDDEN = 403
/** A revision of the store, which includes its era; the fraction allows 0.5, the revision of a copy of a kind without objects. */
const REVISION = /^\d{1,16}(\.\d{1,3})?$/

const compress = util.promisify(zlib.gzip)

/**
 * Creates the answers of a daemon to requests for its copies.
 *
 * @param options - The copies to serve, this daemon's role and its identity.
 * @returns The answers; each is compressed once for all requests for the same changes.
 */
export function createCopyAnswers (options: CopyAnswersOptions): CopyAnswers {
  const cache = new Map<string, CachedAnswer>()

  async function answer (kind: string, part: string, since: number): Promise<Buffer | null> {
    const mirror = options.mirrors.find((each) => each.kind === kind)
    const isCopyPart = part === 'whole' || part === 'services'
    if (mirror === undefined || !isCopyPart || !mirror.isInitialized() || !copyParts.includesPart(copyParts.partForRole(kind, options.role), part)) return null
    const changes = mirror.changesSince(since)
    const key = JSON.stringify([kind, part, changes.since, changes.digest])
    const existing = cache.get(key)
    if (existing !== undefined && existing.at > since) return await existing.bytes
    const bytes = compress(JSON.stringify({ ...changes, part, objects: copyParts.extractPart(changes.objects, part) }))
    cacheAnswer(key, { at: changes.at, bytes })
    return await bytes
  }

  function cacheAnswer (key: string, cached: CachedAnswer): void {
    cache.delete(key)
    cache.set(key, cached)
    const [oldest] = cache.keys()
    if (cache.size > MAXIMUM_CACHED_ANSWERS && oldest !== undefined) cache.delete(oldest)
  }

  async function middleware (context: Koa.Context, next: Koa.Next): Promise<void> {
    if (!context.path.startsWith(copyParts.COPIES_PATH)) {
      await next()
      return
    }
    const admitted = rpc.checkIdentityHeaders(options.identity, context.headers)
    if (!admitted.ok) {
      context.status = FORBIDDEN
      context.body = admitted.error.message
      return
    }
    const [kind = '', part = '', ...rest] = context.path.slice(copyParts.COPIES_PATH.length).split('/')
    const since = rest.join('/')
    if (!REVISION.test(since)) {
      context.status = BAD_REQUEST
      context.body = `"${since}" is no revision`
      return
    }
    const bytes = await answer(kind, part, Number(since))
    if (bytes === null) return
    context.set('content-encoding', 'gzip')
    context.type = 'application/json'
    context.body = bytes
  }

  return { answer, middleware }
}
