/** Server for JSON-RPC 2.0 calls from other daemons, as koa middleware. */
import * as jsonRpc from 'json-rpc-2.0'
import type * as Koa from 'koa'
import * as types from '@switchridge/types'
import * as closeAfterResponse from '../closeAfterResponse/index.js'
import * as identity from '../createIdentity/index.js'
import * as client from '../createRpcClient/index.js'
import * as discardBody from '../discardBody/index.js'
import * as readBoundedBody from '../readBoundedBody/index.js'

/** Handler of one method; a thrown error is returned as a JSON-RPC error. */
export type RpcMethod = (params: unknown) => Promise<unknown> | unknown

const MAXIMUM_BODY_BYTES = 2 * types.BYTES_IN_MEBIBYTE

/**
 * Creates the RPC middleware.
 *
 * @param self - Identity that the headers of callers must match.
 * @param methods - Handlers by method name; each validates its own parameters.
 * @param traffic - Counters that each exchange is added to.
 * @returns A koa middleware for `POST /rpc`.
 */
export function createRpcServer (self: identity.Identity, methods: Readonly<Record<string, RpcMethod>>, traffic: client.TrafficCounters = { exchanges: 0, bytes: 0 }): Koa.Middleware {
  const server = new jsonRpc.JSONRPCServer({ errorListener: () => {} })
  for (const [name, method] of Object.entries(methods)) server.addMethod(name, method)

  return async (context, next) => {
    if (context.path !== client.RPC_PATH || context.method !== 'POST') {
      await next()
      return
    }
    const checked = identity.checkIdentityHeaders(self, context.headers)
    if (!checked.ok) {
      discardBody.discardBody(context.req, context.res)
      context.status = 403
      context.body = { error: checked.error.message }
      return
    }
    const body = await readJson(context)
    if (!body.ok) {
      context.status = 400
      context.body = { error: body.error.message }
      return
    }
    const response = JSON.stringify(await server.receive(body.value as jsonRpc.JSONRPCRequest))
    traffic.exchanges += 1
    traffic.bytes += Number(context.get('content-length')) + response.length
    context.type = 'application/json'
    context.body = response
  }
}

/**
 * Reads a JSON body of limited size.
 *
 * @param exchange - The request and its response.
 * @param limit - Largest accepted size in bytes.
 * @returns The parsed value, or the reason for the failure.
 */
export async function readJson (exchange: Pick<Koa.Context, 'req' | 'res'>, limit = MAXIMUM_BODY_BYTES): Promise<types.Outcome<unknown, types.SwitchridgeError>> {
  const body = await readBody(exchange, limit)
  if (!body.ok) return body
  try {
    return types.succeed(JSON.parse(body.value.toString('utf8')) as unknown)
  } catch (thrown) {
    return types.fail(new types.SwitchridgeError(`the body is not JSON: ${types.describeError(thrown)}`))
  }
}

/**
 * Reads a body of limited size. The connection of one whose framing exceeds its bound is closed after the response.
 *
 * @param exchange - The request and its response.
 * @param limit - Largest accepted size in bytes.
 * @param mayHold - Called for each part with the memory in bytes that is needed for the body so far; returns whether it may be held.
 * @returns The bytes, or the reason for the failure; an {@link types.UnavailableError} if they may not be held.
 */
export async function readBody ({ req: request, res: response }: Pick<Koa.Context, 'req' | 'res'>, limit: number, mayHold?: (heldBytes: number) => boolean): Promise<types.Outcome<Buffer, types.SwitchridgeError>> {
  const read = await readBoundedBody.readBoundedBody(request, limit, mayHold === undefined ? {} : { mayHold })
  if (read.kind === 'whole') return types.succeed(read.body)
  if (read.kind === 'not-held') return types.fail(new types.UnavailableError('no memory for the request body'))
  if (read.kind === 'broken') return types.fail(new types.SwitchridgeError(`the body broke off: ${types.describeError(read.error)}`))
  if (read.kind !== 'over-framed') return types.fail(new types.SwitchridgeError(`the body exceeds ${limit} bytes`))
  closeAfterResponse.closeAfterResponse(request, response)
  return types.fail(new types.SwitchridgeError(`the framing of the body exceeds it by more than ${read.allowedBytes} bytes`))
}
