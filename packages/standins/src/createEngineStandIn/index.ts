/** Stand-in for a model engine: loads and unloads versions on fenced orders, and computes answers from the weights that it holds. */
import * as crypto from 'node:crypto'
import * as stream from 'node:stream'
import * as timers from 'node:timers/promises'
import Koa from 'koa'
import * as got from 'got'
import * as zod from 'zod'
import * as rpc from '@switchridge/rpc'
import * as admin from '../_lib/admin.js'
import * as computeAnswer from '../computeAnswer/index.js'

/** Faults that an engine can simulate. */
export interface EngineFaults {
  /** Factor applied to the time per token. */
  slowFactor: number
  /** Whether it accepts calls but never answers. */
  isStuck: boolean
  /** Number of tokens after which it closes the connection; -1 to disable. */
  breakAfterTokens: number
}

/** Options of {@link createEngineStandIn}. */
export interface EngineOptions {
  /** Whether it refuses orders whose fence is not newer than the last one. */
  readonly checksFences: boolean
  /** Time per token in milliseconds. */
  readonly tokenMs: number
  /** Whether it reads the weights on load; if not, it relies on the daemon for them. Measurements of many nodes on one machine turn it off. */
  readonly readsWeights: boolean
}

const orderSchema = zod.object({
  order: zod.enum(['load', 'unload']),
  manifest: zod.string(),
  source: zod.string().optional(),
  bytes: zod.number().optional(),
  fence: zod.object({ generation: zod.number(), sequence: zod.number() })
})

const generateSchema = zod.object({
  prompt: zod.string(),
  tokens: zod.int().min(1).max(10_000).default(8),
  /** Total processing time in milliseconds, set by load generators; overrides the time per token. */
  workMs: zod.number().min(0).optional()
})

type Order = zod.infer<typeof orderSchema>

interface LoadedVersion {
  readonly bytes: Buffer | null
  readonly fileDigest: string
}

/**
 * Creates the stand-in for an engine.
 *
 * @param options - Behaviour of the engine.
 * @returns A koa application.
 */
export function createEngineStandIn (options: EngineOptions): Koa {
  const app = new Koa()
  const versions = new Map<string, LoadedVersion>()
  const faults: EngineFaults = { slowFactor: 1, isStuck: false, breakAfterTokens: -1 }
  const counts = { running: 0, answered: 0, cancelled: 0, fenced: 0, loads: 0 }
  const runs = new Map<string, number>()
  let fence = { generation: 0, sequence: 0 }

  function isStale (given: Order['fence']): boolean {
    if (given.generation !== fence.generation) return given.generation < fence.generation
    return given.sequence <= fence.sequence
  }

  async function handleOrder (context: Koa.Context): Promise<void> {
    const body = await rpc.readJson(context)
    const order = body.ok ? orderSchema.safeParse(body.value) : null
    if (order?.success !== true) {
      context.status = 400
      context.body = { error: 'an order needs order, manifest and fence' }
      return
    }
    if (options.checksFences && isStale(order.data.fence)) {
      counts.fenced += 1
      context.status = 409
      context.body = { error: `fenced: ${fence.generation}.${fence.sequence} came before` }
      return
    }
    fence = order.data.fence
    if (order.data.order === 'unload') versions.delete(order.data.manifest)
    else versions.set(order.data.manifest, await load(order.data))
    context.body = { fileDigest: versions.get(order.data.manifest)?.fileDigest ?? null }
  }

  async function load (order: Order): Promise<LoadedVersion> {
    counts.loads += 1
    if (!options.readsWeights || order.source === undefined) return { bytes: null, fileDigest: '' }
    const hash = crypto.createHash('sha256')
    const bytes = Buffer.allocUnsafe(order.bytes ?? 0)
    let offset = 0
    for await (const part of got.got.stream(order.source, { retry: { limit: 0 }, decompress: false }) as AsyncIterable<Buffer>) {
      hash.update(part)
      part.copy(bytes, offset)
      offset += part.length
    }
    return { bytes, fileDigest: hash.digest('hex') }
  }

  async function generate (context: Koa.Context): Promise<void> {
    const manifest = context.get('x-engine-version')
    const version = versions.get(manifest)
    const body = await rpc.readJson(context)
    const parsed = body.ok ? generateSchema.safeParse(body.value) : null
    if (version === undefined || parsed?.success !== true) {
      context.status = version === undefined ? 409 : 400
      context.body = { error: version === undefined ? 'the version is not loaded' : 'a call needs a prompt' }
      return
    }
    const id = context.get('x-request-id')
    runs.set(id, (runs.get(id) ?? 0) + 1)
    context.set('x-engine-version', manifest)
    context.type = 'application/x-ndjson'
    context.body = stream.Readable.from(streamTokens(version, manifest, parsed.data), { objectMode: false })
  }

  async function * streamTokens (version: LoadedVersion, manifest: string, call: zod.infer<typeof generateSchema>): AsyncGenerator<string> {
    const tokenMs = (call.workMs === undefined ? options.tokenMs : call.workMs / call.tokens) * faults.slowFactor
    let sent = 0
    counts.running += 1
    try {
      for (; sent < call.tokens; sent += 1) {
        if (faults.isStuck) await timers.setTimeout(3_600_000, undefined, { ref: false })
        if (sent === faults.breakAfterTokens) throw new Error('simulated fault: connection closed after the configured number of tokens')
        if (tokenMs > 0) await timers.setTimeout(tokenMs)
        const token = version.bytes === null ? 'token' : computeAnswer.computeToken(version.bytes, call.prompt, sent)
        yield JSON.stringify({ token }) + '\n'
      }
      yield JSON.stringify({ done: true, manifest, fileDigest: version.fileDigest }) + '\n'
      counts.answered += 1
    } finally {
      counts.running -= 1
      if (sent < call.tokens) counts.cancelled += 1
    }
  }

  app.on('error', () => {})
  app.use(admin.createAdmin(faults, () => ({ ...counts, versions: [...versions.keys()], repeatedRuns: [...runs.values()].filter((count) => count > 1).length })))
  app.use(async (context) => {
    if (context.path === '/orders' && context.method === 'POST') await handleOrder(context)
    else if (context.path === '/generate' && context.method === 'POST') await generate(context)
    else if (context.path === '/load') context.body = { running: counts.running }
  })
  return app
}
