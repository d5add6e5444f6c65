/** Stand-in of the origin of weights: ranges (RFC 9110) over one rate-limited link. */
import * as stream from 'node:stream'
import * as timers from 'node:timers/promises'
import Koa from 'koa'
import * as rpc from '@switchridge/rpc'
import * as transfer from '@switchridge/transfer'
import * as admin from '../_lib/admin.js'
import * as computeWeights from '../computeWeights/index.js'

/** Faults of the origin. */
export interface OriginFaults {
  /** Answers with this status instead of bytes; 0 for none. */
  status: number
  /** Answers that stop in the middle and stay open. */
  stall: boolean
  /** Every n-th answer closes in the middle; 0 for none. */
  closeEvery: number
  /** Every n-th answer has a wrong byte; 0 for none. */
  corruptEvery: number
}

/** What a publisher puts at the origin. */
interface PublishedFile {
  readonly name: string
  readonly parts: readonly computeWeights.WeightsPart[]
  readonly chunkBytes: number
  /** Keeps the manifest and changes only the bytes, as a careless publisher would. */
  readonly keepManifest?: boolean
}

interface StoredFile {
  readonly bytes: Buffer
  readonly manifest: Buffer
}

const SLICE_BYTES = 64 * 1024
const RANGE = /^bytes=(\d+)-(\d+)$/
const STALL_MS = 120_000

/**
 * Creates the origin's stand-in.
 *
 * @param bytesPerSecond - Limit of its link; 0 for none.
 * @returns A koa application.
 */
export function createOriginStandIn (bytesPerSecond: number): Koa {
  const app = new Koa()
  const files = new Map<string, StoredFile>()
  const faults: OriginFaults = { status: 0, stall: false, closeEvery: 0, corruptEvery: 0 }
  const counts = { requests: 0, bytes: 0, refused: 0 }
  const link = transfer.createLinkPacer(bytesPerSecond, () => performance.now())

  async function publish (context: Koa.Context): Promise<void> {
    const body = await rpc.readJson(context.req)
    if (!body.ok) {
      context.status = 400
      return
    }
    const file = body.value as PublishedFile
    const bytes = computeWeights.computeWeights(file.parts)
    const existing = files.get(file.name)
    const manifest = file.keepManifest === true && existing !== undefined
      ? existing.manifest
      : transfer.formatManifest(await transfer.createManifest([bytes], file.chunkBytes))
    files.set(file.name, { bytes, manifest })
    context.body = { manifest: transfer.computeDigest(manifest), bytes: bytes.length }
  }

  async function * streamSlices (bytes: Buffer, number: number): AsyncGenerator<Buffer> {
    const breakAt = bytes.length / 2
    for (let offset = 0; offset < bytes.length; offset += SLICE_BYTES) {
      if (offset >= breakAt && faults.stall) await timers.setTimeout(STALL_MS, undefined, { ref: false })
      if (offset >= breakAt && isEveryNth(number, faults.closeEvery)) throw new Error('closed in mid-range')
      const slice = bytes.subarray(offset, offset + SLICE_BYTES)
      await link.take(slice.length)
      counts.bytes += slice.length
      yield isEveryNth(number, faults.corruptEvery) && offset === 0 ? flipFirstBit(slice) : slice
    }
  }

  function sendRange (context: Koa.Context, file: StoredFile): void {
    counts.requests += 1
    const range = RANGE.exec(context.get('range'))
    const from = Number(range?.[1] ?? 0)
    const to = Math.min(Number(range?.[2] ?? file.bytes.length - 1), file.bytes.length - 1)
    if (from > to) {
      context.status = 416
      return
    }
    context.status = range === null ? 200 : 206
    context.length = to - from + 1
    context.set('content-range', `bytes ${from}-${to}/${file.bytes.length}`)
    context.type = 'application/octet-stream'
    context.body = stream.Readable.from(streamSlices(file.bytes.subarray(from, to + 1), counts.requests), { objectMode: false, highWaterMark: SLICE_BYTES })
  }

  app.on('error', () => {})
  app.use(admin.createAdmin(faults, () => counts))
  app.use(async (context) => {
    if (context.path === '/admin/files' && context.method === 'POST') {
      await publish(context)
      return
    }
    const isManifest = context.path.endsWith('.manifest.json')
    const name = decodeURIComponent(context.path.slice(1)).replace(/\.manifest\.json$/, '')
    const file = files.get(name)
    if (faults.status !== 0) {
      counts.refused += 1
      context.status = faults.status
    } else if (file === undefined) {
      context.status = 404
    } else if (isManifest) {
      context.type = 'application/json'
      context.body = file.manifest
    } else {
      sendRange(context, file)
    }
  })
  return app
}

function isEveryNth (number: number, every: number): boolean {
  return every > 0 && number % every === 0
}

function flipFirstBit (slice: Buffer): Buffer {
  const corrupted = Buffer.from(slice)
  corrupted[0] = (corrupted[0] ?? 0) ^ 1
  return corrupted
}
