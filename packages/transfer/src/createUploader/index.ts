/** Serves chunks and manifests to peers, with a bounded queue, a paced uplink and this node's bitmap on every answer about a chunk. */
import type * as Koa from 'koa'
import * as types from '@switchridge/types'
import * as rpc from '@switchridge/rpc'
import * as bitmaps from '../_lib/bitmap.js'
import * as createManifest from '../createManifest/index.js'
import type * as createChunkStore from '../createChunkStore/index.js'
import type * as createLinkPacer from '../createLinkPacer/index.js'
import * as fetchChunk from '../fetchChunk/index.js'

/** Options of {@link createUploader}. */
export interface UploaderOptions {
  readonly identity: rpc.Identity
  readonly store: createChunkStore.ChunkStore
  readonly uplink: createLinkPacer.LinkPacer
  /** Uploads that may wait at a time; further requests are refused at once. */
  readonly slots: number
  /** Called with the bitmap, in base64, that a peer sent along with its request. */
  readonly onHave: (digest: types.Digest, node: types.NodeId, have: string) => void
  /** Called when a chunk is sent to a peer. */
  readonly onSent: (digest: types.Digest, node: types.NodeId, chunk: number) => void
  /** Returns other nodes known to hold a chunk, to which a requester is referred when all slots are taken. */
  readonly findHolders: (digest: types.Digest, chunk: number) => readonly types.NodeId[]
}

/** The upload middleware and its load. */
export interface Uploader {
  readonly middleware: Koa.Middleware
  /** Number of uploads that wait or are being sent. */
  readonly backlog: () => number
  readonly sentBytes: () => number
}

interface QueuedUpload {
  /** Number of chunks that the requester holds. */
  readonly held: number
  /** Number of times that another upload was sent before this one. */
  timesSkipped: number
  readonly isGone: () => boolean
  readonly resolve: (isWanted: boolean) => void
}

/** Uploads that use the link at a time: one being sent and one ready to follow. */
const MAXIMUM_CONCURRENT_UPLOADS = 2
const CHUNK_PATH = /^\/chunks\/([0-9a-f]{64})\/(\d+)$/
const MANIFEST_PATH = /^\/manifests\/([0-9a-f]{64})$/

/** Chunks by which the rank of a waiting upload improves each time it is skipped. */
const CHUNKS_PER_SKIP = 2

function computeRank (upload: QueuedUpload | undefined): number {
  return upload === undefined ? Infinity : upload.held - CHUNKS_PER_SKIP * upload.timesSkipped
}

/**
 * Creates the uploader of a node.
 *
 * @param options - Store, uplink and limits.
 * @returns A koa middleware for `GET /chunks/DIGEST/NUMBER` and `GET /manifests/DIGEST`. It answers 403 to a requester of another identity, 404 if
 * this node does not hold the chunk or the manifest, and 503 with other holders if all slots are taken.
 */
export function createUploader (options: UploaderOptions): Uploader {
  const manifests = new WeakMap<createChunkStore.Holding, Buffer>()
  const waiting: QueuedUpload[] = []
  let sending = 0
  let sentBytes = 0

  const backlog = (): number => waiting.length + sending

  async function sendChunk (context: Koa.Context, digest: types.Digest, chunk: number): Promise<void> {
    const holding = options.store.find(digest)
    context.set(fetchChunk.BACKLOG_HEADER, String(backlog()))
    if (holding === undefined) {
      context.status = 404
      return
    }
    noteRequester(context, digest)
    context.set(fetchChunk.HAVE_HEADER, bitmaps.encodeBitmap(holding.bitmap))
    const bytes = holding.get(chunk)
    if (bytes === undefined) {
      context.status = 404
    } else if (waiting.length >= options.slots) {
      context.status = 503
      context.set(fetchChunk.HOLDERS_HEADER, options.findHolders(digest, chunk).join(' '))
    } else {
      await sendBytes(context, holding, chunk, bytes)
    }
  }

  async function sendBytes (context: Koa.Context, holding: createChunkStore.Holding, chunk: number, bytes: Buffer): Promise<void> {
    const isWanted = await waitForTurn(context, holding.manifest.chunks.length)
    if (!isWanted) return
    await options.uplink.waitToSend(bytes.length)
    sending -= 1
    startNext()
    context.set(fetchChunk.HAVE_HEADER, bitmaps.encodeBitmap(holding.bitmap))
    context.set(fetchChunk.BACKLOG_HEADER, String(backlog()))
    sentBytes += bytes.length
    context.type = 'application/octet-stream'
    context.body = bytes
    const node = context.get(fetchChunk.NODE_HEADER)
    if (node !== '') options.onSent(holding.digest, types.brandId<types.NodeId>(node), chunk)
  }

  /** Takes the upload whose requester holds the fewest chunks, so that all peers complete at about the same time; skipped uploads gain rank, so that none starves. */
  function takeNext (): QueuedUpload | undefined {
    let best = 0
    for (let index = 1; index < waiting.length; index += 1) {
      if (computeRank(waiting[index]) < computeRank(waiting[best])) best = index
    }
    const [taken] = waiting.splice(best, 1)
    for (const upload of waiting) upload.timesSkipped += 1
    return taken
  }

  /** Resolves with true when the upload may use the link, or with false when its requester has disconnected. */
  async function waitForTurn (context: Koa.Context, size: number): Promise<boolean> {
    const held = bitmaps.countBits(bitmaps.decodeBitmap(context.get(fetchChunk.HAVE_HEADER), size))
    return await new Promise<boolean>((resolve) => {
      waiting.push({ held, timesSkipped: 0, isGone: () => context.req.destroyed || context.res.destroyed, resolve })
      startNext()
    })
  }

  function startNext (): void {
    while (sending < MAXIMUM_CONCURRENT_UPLOADS) {
      const next = takeNext()
      if (next === undefined) return
      const isWanted = !next.isGone()
      if (isWanted) sending += 1
      next.resolve(isWanted)
    }
  }

  function noteRequester (context: Koa.Context, digest: types.Digest): void {
    const node = context.get(fetchChunk.NODE_HEADER)
    const have = context.get(fetchChunk.HAVE_HEADER)
    if (node !== '' && have !== '') options.onHave(digest, types.brandId<types.NodeId>(node), have)
  }

  function sendManifest (context: Koa.Context, digest: types.Digest): void {
    const holding = options.store.find(digest)
    if (holding === undefined) {
      context.status = 404
      return
    }
    const bytes = manifests.get(holding) ?? createManifest.formatManifest(holding.manifest)
    manifests.set(holding, bytes)
    context.type = 'application/json'
    context.body = bytes
  }

  const middleware: Koa.Middleware = async (context, next) => {
    const chunkMatch = CHUNK_PATH.exec(context.path)
    const manifestMatch = MANIFEST_PATH.exec(context.path)
    if (context.method !== 'GET' || (chunkMatch === null && manifestMatch === null)) {
      await next()
      return
    }
    const identityCheck = rpc.checkIdentityHeaders(options.identity, context.headers)
    if (!identityCheck.ok) {
      context.status = 403
      context.body = { error: identityCheck.error.message }
    } else if (chunkMatch !== null) {
      await sendChunk(context, types.brandId<types.Digest>(chunkMatch[1] ?? ''), Number(chunkMatch[2]))
    } else {
      sendManifest(context, types.brandId<types.Digest>(manifestMatch?.[1] ?? ''))
    }
  }

  return { middleware, backlog, sentBytes: () => sentBytes }
}
