/** Limits the body of a response that got reads. */
import type * as http from 'node:http'
import type * as got from 'got'
import * as boundRedirections from '../boundRedirections/index.js'
import * as createFramingBound from '../createFramingBound/index.js'
import * as openRequest from '../openRequest/index.js'

/** Memory for the objects of one part of a body; got keeps a part for each read that brought some of it. */
const PART_OVERHEAD_BYTES = 512

/**
 * Cancels a request, which then rejects, once the body of its response, the objects that hold its parts or its framing exceed their bounds. Without it got buffers a body of
 * any size.
 *
 * @param request - A request of got, whose bytes are counted after decompression. The result of its methods, such as `json`, can't be cancelled.
 * @param maximumBytes - Largest accepted body, and as much again for its parts.
 * @returns The response.
 * @throws The error of the request, or one that names the limit.
 */
export async function limitDownload<Result extends got.Response | got.Response['body']> (request: got.CancelableRequest<Result>, maximumBytes: number): Promise<Result> {
  let failure: openRequest.ResponseTooLargeError | null = null
  let framing: createFramingBound.FramingBound | null = null
  let receivedBytes = 0
  let overheadBytes = 0

  function startResponse (response: http.IncomingMessage): void {
    framing = createFramingBound.createFramingBound(response, maximumBytes)
    receivedBytes = 0
  }

  function findViolation (partBytes: number): openRequest.ResponseTooLargeError | null {
    if (receivedBytes > maximumBytes) return new openRequest.ResponseTooLargeError('body', maximumBytes)
    if (framing?.accept(partBytes) === false) return new openRequest.ResponseTooLargeError('framing', framing.allowedBytes)
    return overheadBytes > maximumBytes ? new openRequest.ResponseTooLargeError('framing', maximumBytes) : null
  }

  boundRedirections.boundRedirections(request as boundRedirections.RedirectedRequest)
  void request.on('request', (outgoing: http.ClientRequest) => { outgoing.once('response', startResponse) })
  void request.on('downloadProgress', ({ transferred }) => {
    const partBytes = transferred - receivedBytes
    receivedBytes = transferred
    if (partBytes > 0) overheadBytes += PART_OVERHEAD_BYTES
    failure ??= findViolation(partBytes)
    if (failure !== null) request.cancel()
  })
  try {
    return await request
  } catch (thrown) {
    throw failure ?? thrown
  }
}
