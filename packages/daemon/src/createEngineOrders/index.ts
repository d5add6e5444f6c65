/** Sends orders to the engine beside this daemon, each with a fencing token. */
import * as zod from 'zod'
import * as types from '@switchridge/types'
import type * as platform from '@switchridge/store'
import * as rpc from '@switchridge/rpc'

/** The engine refused an order, or the order couldn't be sent. */
export class OrderError extends types.SwitchridgeError {}

/** A version to load. */
export interface LoadOrder {
  readonly manifest: types.Digest
  /** URL from which the engine reads the bytes. */
  readonly source: string
  readonly bytes: number
  /** SHA-256 of all bytes; if the engine reports a digest, it must match. */
  readonly fileDigest: types.Digest
}

/** Load and unload orders for one engine. */
export interface EngineOrders {
  readonly load: (order: LoadOrder) => Promise<types.Outcome<null, OrderError>>
  readonly unload: (manifest: types.Digest) => Promise<types.Outcome<null, OrderError>>
}

/** Options of {@link createEngineOrders}. */
export interface EngineOrderOptions {
  /** Base URL of the engine. */
  readonly url: string
  /** Whether the engine rejects orders with an outdated fencing token. */
  readonly checksFences: boolean
  readonly lease: platform.Lease
  readonly agents: rpc.HttpAgents
  readonly loadTimeoutMs?: number
}

const DEFAULT_LOAD_TIMEOUT_MS = 120_000
const OK = 200
const CONFLICT = 409
/** An answer holds a digest or an error's text. */
const MAXIMUM_ANSWER_BYTES = 64 * types.BYTES_IN_KIBIBYTE

const orderAnswerSchema = zod.object({ fileDigest: zod.string().nullable() })

/**
 * Creates the orders to an engine.
 *
 * An engine that checks fences receives the lease's generation and an increasing sequence number, even after the
 * lease has lapsed: a successor's higher generation fences this daemon off. Any other engine receives an order
 * only while the lease is certain to hold.
 *
 * @param options - Engine, lease and connections.
 * @returns The orders.
 */
export function createEngineOrders (options: EngineOrderOptions): EngineOrders {
  let generation: number | null = null
  let sequence = 0
  let lastOrder: Promise<unknown> = Promise.resolve()

  async function obtainGeneration (): Promise<types.Outcome<number, OrderError>> {
    if (options.checksFences && generation !== null) return types.succeed(generation)
    const held = options.lease.currentGeneration()
    if (held !== null) return types.succeed(held)
    const acquired = await options.lease.acquire()
    if (!acquired.ok) return types.fail(new OrderError(`no lease: ${acquired.error.message}`))
    generation = acquired.value
    const current = options.lease.currentGeneration()
    if (current === null) return types.fail(new OrderError('the lease came too late to be trusted'))
    return types.succeed(current)
  }

  /** Sends one order at a time, so that the engine receives them in sequence. */
  async function send (order: Record<string, unknown>): Promise<types.Outcome<string | null, OrderError>> {
    const answer = lastOrder.then(async () => await sendNow(order))
    lastOrder = answer
    return await answer
  }

  async function sendNow (order: Record<string, unknown>): Promise<types.Outcome<string | null, OrderError>> {
    const fence = await obtainGeneration()
    if (!fence.ok) return fence
    sequence += 1
    const sent = await rpc.sendRequest(options.agents, {
      base: options.url,
      path: '/orders',
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ ...order, fence: { generation: fence.value, sequence } }),
      timeoutMs: options.loadTimeoutMs ?? DEFAULT_LOAD_TIMEOUT_MS,
      // The lease may lapse while the connection is made.
      mayStillSend: () => options.checksFences || options.lease.currentGeneration() === fence.value
    }, MAXIMUM_ANSWER_BYTES)
    if (!sent.ok) return types.fail(new OrderError(sent.error.code === rpc.UNSENT_CODE ? 'the lease lapsed before the order was sent' : `engine: ${sent.error.message}`))
    const text = sent.value.body.toString()
    if (sent.value.status !== OK) {
      if (sent.value.status === CONFLICT) generation = null
      return types.fail(new OrderError(`engine: status ${sent.value.status} ${text}`))
    }
    try {
      return types.succeed(orderAnswerSchema.parse(JSON.parse(text)).fileDigest)
    } catch (thrown) {
      return types.fail(new OrderError(`engine: ${types.describeError(thrown)}`))
    }
  }

  return {
    load: async (order) => {
      const answer = await send({ order: 'load', manifest: order.manifest, source: order.source, bytes: order.bytes })
      if (!answer.ok) return answer
      const isDigestMismatch = answer.value !== null && answer.value !== '' && answer.value !== order.fileDigest
      return isDigestMismatch ? types.fail(new OrderError(`engine holds ${String(answer.value)}, ordered ${order.fileDigest}`)) : types.succeed(null)
    },
    unload: async (manifest) => {
      const answer = await send({ order: 'unload', manifest })
      return answer.ok ? types.succeed(null) : answer
    }
  }
}
