/** Forwards a streamed response with backpressure. An error or abort on either side ends the other. */
import type * as http from 'node:http'
import * as stream from 'node:stream'
import type * as Koa from 'koa'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'

/**
 * Sends `source` as the response body. A message whose framing exceeds its payload by too much is broken off.
 *
 * @param context - The request to answer.
 * @param source - The body.
 * @param confirmEnd - Called at the end of `source`; resolves with whether it is complete. Without it the end is taken for complete.
 * @returns Whether the body was forwarded completely; the connection is broken off otherwise.
 */
export async function sendStream (context: Koa.Context, source: rpc.FramedMessage, confirmEnd?: () => Promise<boolean>): Promise<boolean> {
  context.respond = false
  context.res.statusCode = context.status
  context.res.flushHeaders()
  // The end of its connection marks the end of a response without a length to a caller of HTTP/1.0.
  if (!context.res.chunkedEncoding && !context.res.hasHeader('content-length')) rpc.resetUnfinished(context.res)
  boundFraming(source)
  const sink = createSink(context.res, source)
  return await new Promise<boolean>((resolve) => {
    const settle = (error: Error | null | undefined): void => { resolve(error == null) }
    if (confirmEnd === undefined) stream.pipeline(source, sink, settle)
    else stream.pipeline(source, createConfirmedEnd(confirmEnd), sink, settle)
  })
}

/** Each chunk is work and memory on the whole way to the caller, however small it is. */
function boundFraming (source: rpc.FramedMessage): void {
  const framing = rpc.createFramingBound(source)
  source.on('data', (bytes: Buffer) => {
    if (!framing.accept(bytes.length)) source.destroy(new rpc.ResponseTooLargeError('framing', framing.allowedBytes))
  })
  source.pause()
}

/** Creates the destination of the body: it gathers small parts, holds the message while the caller doesn't read, and ends as the response does. */
function createSink (response: http.ServerResponse, source: rpc.FramedMessage): stream.Writable {
  const writer = rpc.createGatheredWriter(response)
  const pacer = source.socket === undefined ? null : rpc.paceMessage(source as http.IncomingMessage)
  source.pause()
  const sink = new stream.Writable({
    write: (bytes: Buffer, _, done) => {
      if (writer.write(bytes)) {
        done()
      } else if (pacer === null) {
        writer.onDrain(done)
      } else {
        // Parts that the sink or the message kept would take more memory than gathered ones.
        pacer.hold()
        writer.onDrain(pacer.release)
        done()
      }
    },
    final: (done) => {
      response.once('finish', () => { done() })
      writer.end()
    },
    destroy: (error, done) => {
      if (!response.writableFinished) response.destroy()
      done(error)
    }
  })
  response.once('close', () => { if (!response.writableFinished) sink.destroy(new types.UnavailableError('closed')) })
  return sink
}

/** Passes bytes on, and fails at their end unless that is confirmed. */
function createConfirmedEnd (confirmEnd: () => Promise<boolean>): stream.Transform {
  return new stream.Transform({
    transform: (bytes, _, done) => { done(null, bytes) },
    flush: (done) => {
      void confirmEnd().then((isComplete) => { done(isComplete ? null : new types.UnavailableError('truncated')) })
    }
  })
}
