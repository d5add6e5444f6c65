/** Answers JSON-RPC 2.0 calls of other daemons, as a koa middleware. */
import * as jsonRpc from 'json-rpc-2.0'
import type * as Koa from 'koa'
import * as types from '@switchridge/types'
import * as identity from '../createIdentity/index.js'
import * as client from '../createRpcClient/index.js'

/** Answers one method; what it throws becomes a JSON-RPC error. */
export type RpcMethod = (params: unknown) => Promise<unknown> | unknown

const MAXIMUM_BODY_BYTES = 2 * types.BYTES_IN_MEBIBYTE

/**
 * Creates the middleware.
 *
 * @param self - Identity that callers must share.
 * @param methods - Methods by name; each checks its own parameters.
 * @param traffic - Where exchanges are counted.
 * @returns A koa middleware for `POST /rpc`.
 */
export function createRpcServer (self: identity.Identity, methods: Readonly<Record<string, RpcMethod>>, traffic: client.Traffic = { exchanges: 0, bytes: 0 }): Koa.Middleware {
  const server = new jsonRpc.JSONRPCServer({ errorListener: () => {} })
  for (const [name, method] of Object.entries(methods)) server.addMethod(name, method)

  return async (context, next) => {
    if (context.path !== client.RPC_PATH || context.method !== 'POST') {
      await next()
      return
    }
    const admitted = identity.checkIdentityHeaders(self, context.headers)
    if (!admitted.ok) {
      context.status = 403
      context.body = { error: admitted.error.message }
      return
    }
    const body = await readJson(context.req)
    if (!body.ok) {
      context.status = 400
      context.body = { error: body.error.message }
      return
    }
    const answer = JSON.stringify(await server.receive(body.value as jsonRpc.JSONRPCRequest))
    traffic.exchanges += 1
    traffic.bytes += Number(context.get('content-length')) + answer.length
    context.type = 'application/json'
    context.body = answer
  }
}

/**
 * Reads a bounded JSON body.
 *
 * @param stream - The request.
 * @param limit - Most bytes taken.
 * @returns The value, or why it cannot be read.
 */
export async function readJson (stream: AsyncIterable<Buffer | string>, limit = MAXIMUM_BODY_BYTES): Promise<types.Outcome<unknown, types.SwitchridgeError>> {
  const body = await readBody(stream, limit)
  if (!body.ok) return body
  try {
    return types.succeed(JSON.parse(body.value.toString('utf8')) as unknown)
  } catch (thrown) {
    return types.fail(new types.SwitchridgeError(`the body is not JSON: ${types.describeError(thrown)}`))
  }
}

/**
 * Reads a bounded body.
 *
 * @param stream - The request.
 * @param limit - Most bytes taken.
 * @returns The bytes, or why they cannot be had.
 */
export async function readBody (stream: AsyncIterable<Buffer | string>, limit: number): Promise<types.Outcome<Buffer, types.SwitchridgeError>> {
  const parts: Buffer[] = []
  let size = 0
  try {
    for await (const part of stream) {
      const bytes = typeof part === 'string' ? Buffer.from(part) : part
      size += bytes.length
      if (size > limit) return types.fail(new types.SwitchridgeError(`the body exceeds ${limit} bytes`))
      parts.push(bytes)
    }
  } catch (thrown) {
    return types.fail(new types.SwitchridgeError(`the body broke off: ${types.describeError(thrown)}`))
  }
  return types.succeed(parts.length === 1 ? parts[0] as Buffer : Buffer.concat(parts))
}
