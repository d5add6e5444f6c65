/** Parses another daemon's answer to a request for a copy. */
import * as util from 'node:util'
import * as zlib from 'node:zlib'
import * as zod from 'zod'
import * as spread from '@switchridge/spread'
import type * as store from '@switchridge/store'
import * as types from '@switchridge/types'
import type * as copyParts from '../_lib/copyParts.js'

/** Ten times the size of a configuration with thousands of routes; a larger answer could exhaust memory. */
export const MAXIMUM_COPY_BYTES = 16 * types.BYTES_IN_MEBIBYTE

const decompress = util.promisify<zlib.InputType, zlib.ZlibOptions, Buffer>(zlib.gunzip)

const answerSchema = zod.object({
  kind: zod.string(),
  part: zod.string(),
  since: zod.number().min(0),
  at: zod.number().positive(),
  digest: zod.string(),
  objects: zod.array(zod.object({ name: zod.string(), revision: zod.number(), value: zod.unknown() })),
  gone: zod.array(zod.string())
})

/**
 * Decompresses, validates and checks an answer.
 *
 * @param bytes - Compressed JSON.
 * @param request - The request that was sent.
 * @param part - The part that this daemon needs; any other part is rejected.
 * @returns The changes, or the reason why they were rejected.
 */
export async function readCopyAnswer (bytes: Buffer, request: spread.CopyRequest, part: copyParts.CopyPart): Promise<types.Outcome<store.MirrorChanges, spread.InvalidCopyError>> {
  try {
    const text = (await decompress(bytes, { maxOutputLength: MAXIMUM_COPY_BYTES })).toString()
    const parsed = answerSchema.safeParse(JSON.parse(text))
    if (!parsed.success) return types.fail(new spread.InvalidCopyError(`unreadable at ${parsed.error.issues[0]?.path.join('.') ?? ''}`))
    const { part: receivedPart, ...changes } = parsed.data
    if (receivedPart !== part) return types.fail(new spread.InvalidCopyError(`part ${receivedPart}, not ${part}`))
    if (changes.kind !== request.kind) return types.fail(new spread.InvalidCopyError(`a copy of ${changes.kind}`))
    return types.succeed(changes)
  } catch (thrown) {
    return types.fail(new spread.InvalidCopyError(types.describeError(thrown)))
  }
}
