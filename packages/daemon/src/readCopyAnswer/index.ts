/** Reads what another daemon answered to a request for a copy. */
import * as util from 'node:util'
import * as zlib from 'node:zlib'
import * as zod from 'zod'
import * as spread from '@switchridge/spread'
import type * as store from '@switchridge/store'
import * as types from '@switchridge/types'
import type * as copyParts from '../_lib/copyParts.js'

/** Ten times a configuration of thousands of routes; a larger answer could fill the memory. */
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
 * Reads an answer.
 *
 * @param bytes - Compressed JSON.
 * @param request - What was asked for.
 * @param part - The part that this daemon needs; another one is refused.
 * @returns The changes, or why they can't be taken.
 */
export async function readCopyAnswer (bytes: Buffer, request: spread.CopyRequest, part: copyParts.CopyPart): Promise<types.Outcome<store.CopyChanges, spread.InvalidCopyError>> {
  try {
    const text = (await decompress(bytes, { maxOutputLength: MAXIMUM_COPY_BYTES })).toString()
    const parsed = answerSchema.safeParse(JSON.parse(text))
    if (!parsed.success) return types.fail(new spread.InvalidCopyError(`unreadable at ${parsed.error.issues[0]?.path.join('.') ?? ''}`))
    const { part: told, ...changes } = parsed.data
    if (told !== part) return types.fail(new spread.InvalidCopyError(`part ${told}, not ${part}`))
    if (changes.kind !== request.kind) return types.fail(new spread.InvalidCopyError(`a copy of ${changes.kind}`))
    return types.succeed(changes)
  } catch (thrown) {
    return types.fail(new spread.InvalidCopyError(types.describeError(thrown)))
  }
}
