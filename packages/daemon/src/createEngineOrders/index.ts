/** Orders to the engine beside this daemon, each under a fence. */
import * as got from 'got'
import * as zod from 'zod'
import * as types from '@switchridge/types'
import type * as platform from '@switchridge/store'
import type * as rpc from '@switchridge/rpc'

/** The engine refused an order or could not be given it. */
export class OrderError extends types.SwitchridgeError {}

/** A version to load. */
export interface LoadOrder {
  readonly manifest: types.Digest
  /** Where the engine reads the bytes. */
  readonly source: string
  readonly bytes: number
  /** SHA-256 of all bytes; the engine's own must be the same if it states one. */
  readonly fileDigest: types.Digest
}

/** Orders to one engine. */
export interface EngineOrders {
  readonly load: (order: LoadOrder) => Promise<types.Outcome<null, OrderError>>
  readonly unload: (manifest: types.Digest) => Promise<types.Outcome<null, OrderError>>
}

/** Options of {@link createEngineOrders}. */
export interface EngineOrderOptions {
  readonly url: string
  readonly checksFences: boolean
  readonly lease: platform.Lease
  readonly agents: rpc.HttpAgents
  readonly loadTimeoutMs?: number
}

const DEFAULT_LOAD_TIMEOUT_MS = 120_000

const orderAnswerSchema = zod.object({ fileDigest: zod.string().nullable() })

/**
 * Creates the orders to an engine.
 *
 * An engine that checks fences gets the generation of the lease and a rising sequence, also when the lease
 * has lapsed: a successor's higher generation shuts this daemon out. Any other engine gets an order only
 * while the lease surely holds.
 *
 * @param options - Engine, lease and connections.
 * @returns The orders.
 */
export function createEngineOrders (options: EngineOrderOptions): EngineOrders {
  let generation: number | null = null
  let sequence = 0
  let last: Promise<unknown> = Promise.resolve()

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

  /** Gives one order at a time, so that they reach the engine in the order of their sequence. */
  async function send (order: Record<string, unknown>): Promise<types.Outcome<string | null, OrderError>> {
    const answer = last.then(async () => await sendNow(order))
    last = answer
    return await answer
  }

  async function sendNow (order: Record<string, unknown>): Promise<types.Outcome<string | null, OrderError>> {
    const fence = await obtainGeneration()
    if (!fence.ok) return fence
    sequence += 1
    try {
      const response = await got.got.post(`${options.url}/orders`, {
        json: { ...order, fence: { generation: fence.value, sequence } },
        agent: { http: options.agents.http, https: options.agents.https },
        timeout: { request: options.loadTimeoutMs ?? DEFAULT_LOAD_TIMEOUT_MS },
        retry: { limit: 0 },
        throwHttpErrors: false,
        responseType: 'json'
      })
      if (response.statusCode !== 200) {
        if (response.statusCode === 409) generation = null
        return types.fail(new OrderError(`engine: status ${response.statusCode} ${JSON.stringify(response.body)}`))
      }
      return types.succeed(orderAnswerSchema.parse(response.body).fileDigest)
    } catch (thrown) {
      return types.fail(new OrderError(`engine: ${types.describeError(thrown)}`))
    }
  }

  return {
    load: async (order) => {
      const answer = await send({ order: 'load', manifest: order.manifest, source: order.source, bytes: order.bytes })
      if (!answer.ok) return answer
      const isOther = answer.value !== null && answer.value !== '' && answer.value !== order.fileDigest
      return isOther ? types.fail(new OrderError(`engine holds ${String(answer.value)}, ordered ${order.fileDigest}`)) : types.succeed(null)
    },
    unload: async (manifest) => {
      const answer = await send({ order: 'unload', manifest })
      return answer.ok ? types.succeed(null) : answer
    }
  }
}
