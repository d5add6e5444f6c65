/** Passes a streamed answer on with backpressure; a break on either side breaks the other. */
import * as stream from 'node:stream'
import type * as Koa from 'koa'

/** Sends `source` as the body; resolves with whether all of it was passed on. */
export async function sendStream (context: Koa.Context, source: stream.Readable): Promise<boolean> {
  context.respond = false
  context.res.statusCode = context.status
  context.res.flushHeaders()
  return await new Promise<boolean>((resolve) => {
    stream.pipeline(source, context.res, (error) => { resolve(error == null) })
  })
}
