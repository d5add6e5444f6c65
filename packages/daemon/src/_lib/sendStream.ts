/** Forwards a streamed response with backpressure. An error or abort on either side ends the other. */
import * as stream from 'node:stream'
import type * as Koa from 'koa'

/** Sends `source` as the response body. Resolves with whether it was forwarded completely. */
export async function sendStream (context: Koa.Context, source: stream.Readable): Promise<boolean> {
  context.respond = false
  context.res.statusCode = context.status
  context.res.flushHeaders()
  return await new Promise<boolean>((resolve) => {
    stream.pipeline(source, context.res, (error) => { resolve(error == null) })
  })
}
