/** Limits the body of a response that got reads. */
import type * as got from 'got'
import * as openRequest from '../openRequest/index.js'

/**
 * Cancels a request, which then rejects, once the body of its response exceeds a size. Without it got buffers a body of any size.
 *
 * @param request - A request of got, whose bytes are counted after decompression. The result of its methods, such as `json`, can't be cancelled.
 * @param maximumBytes - Largest accepted body.
 * @returns The response.
 * @throws The error of the request, or one that names the limit.
 */
export async function limitDownload<Result extends got.Response | got.Response['body']> (request: got.CancelableRequest<Result>, maximumBytes: number): Promise<Result> {
  let isTooLarge = false
  void request.on('downloadProgress', ({ transferred }) => {
    if (transferred <= maximumBytes) return
    isTooLarge = true
    request.cancel()
  })
  try {
    return await request
  } catch (thrown) {
    throw isTooLarge ? new openRequest.ResponseTooLargeError('body', maximumBytes) : thrown
  }
}
