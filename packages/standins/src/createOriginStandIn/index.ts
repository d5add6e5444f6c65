/** Stand-in for the origin server of weights: serves byte ranges (RFC 9110) over one rate-limited link. */
import * as stream from 'node:stream'
import * as timers from 'node:timers/promises'
import Koa from 'koa'
import * as rpc from '@switchridge/rpc'
import * as transfer from '@switchridge/transfer'
import * as admin from '../_lib/admin.js'
import * as computeWeights from '../computeWeights/index.js'

/** Faults that the origin can simulate. */
export interface OriginFaults {
  /** HTTP status to answer every request with instead of bytes; 0 to disable. */
  status: number
  /** Whether responses stall in the middle with the connection left open. */
  stall: boolean
  /** Closes the connection in the middle of every n-th response; 0 to disable. */
  closeEvery: number
  /** Corrupts one byte of every n-th response; 0 to disable. */
  corruptEvery: number
}

/** Body of a request to publish a file. */
interface PublishedFile {
  readonly name: string
  readonly parts: readonly computeWeights.WeightsPart[]
  readonly chunkBytes: number
  /** Replaces the bytes but keeps the existing manifest, so that the two no longer match, as after a publisher's mistake. */
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
 * Creates the stand-in for the origin.
 *
 * @param bytesPerSecond - Bandwidth of its link; 0 for no limit.
 * @returns A koa application.
 */
export function createOriginStandIn (bytesPerSecond: number): Koa {
  const app = new Koa()
  const files = new Map<string, StoredFile>()
  const faults: OriginFaults = { status: 0, stall: false, closeEvery: 0, corruptEvery: 0 }
  const counts = { requests: 0, bytes: 0, refused: 0 }
  const link = transfer.createLinkPacer(bytesPerSecond, () => performance.now())

  async function publish (context: Koa.Context): Promise<void> {
    const body = await rpc.readJson(context)
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

  async function * streamSlices (bytes: Buffer, requestNumber: number): AsyncGenerator<Buffer> {
    const breakAt = bytes.length / 2
    for (let offset = 0; offset < bytes.length; offset += SLICE_BYTES) {
      if (offset >= breakAt && faults.stall) await timers.setTimeout(STALL_MS, undefined, { ref: false })
      if (offset >= breakAt && isEveryNth(requestNumber, faults.closeEvery)) throw new Error('simulated fault: connection closed in the middle of a range')
      const slice = bytes.subarray(offset, offset + SLICE_BYTES)
      await link.waitToSend(slice.length)
      counts.bytes += slice.length
      yield isEveryNth(requestNumber, faults.corruptEvery) && offset === 0 ? flipFirstBit(slice) : slice
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
