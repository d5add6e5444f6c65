/** Waits for the body of a response. */
import type * as stream from 'node:stream'

/**
 * Waits for the first bytes of a body.
 *
 * @param response - The response, of whose body nothing has been read.
 * @returns False if it ends, breaks off or is gone already without any; never rejects.
 */
export async function waitForBody (response: stream.Readable): Promise<boolean> {
  // A response that is gone emits nothing further.
  if (response.readableLength > 0 || response.destroyed) return response.readableLength > 0
  return await new Promise((resolve) => {
    const settle = (): void => {
      response.off('readable', settle)
      response.off('close', settle)
      resolve(response.readableLength > 0)
    }
    response.on('error', () => {})
    response.once('readable', settle)
    response.once('close', settle)
  })
}
