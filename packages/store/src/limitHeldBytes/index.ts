/** Keeps the objects of a kind within a bound of memory. */
import * as types from '@switchridge/types'
import type * as createMirror from '../createMirror/index.js'
import * as omitValue from '../omitValue/index.js'
import * as selectLargest from '../selectLargest/index.js'

/** Memory that the values of one kind may take; the longest list is that of the back ends, with about 4 KB for each. */
export const MAXIMUM_HELD_BYTES = 16 * types.BYTES_IN_MEBIBYTE

/** Kept beside the objects, since they are compared and handed on to peers. */
const heldBytes = new WeakMap<createMirror.StoredObject, number>()

/**
 * Records the memory that the value of an object takes; that of others counts as nothing.
 *
 * @param object - The object.
 * @param bytes - Estimate of the memory.
 * @returns The object.
 */
export function noteHeldBytes (object: createMirror.StoredObject, bytes: number): createMirror.StoredObject {
  heldBytes.set(object, bytes)
  return object
}

/**
 * Omits the values of the largest objects if all together take too much memory.
 *
 * @param objects - Objects of one kind.
 * @param maximumBytes - Largest sum of what was recorded for them.
 * @returns The objects, all with their names and revisions.
 */
export function limitHeldBytes (objects: readonly createMirror.StoredObject[], maximumBytes = MAXIMUM_HELD_BYTES): readonly createMirror.StoredObject[] {
  const omitted = selectLargest.selectLargest(objects.map((object) => heldBytes.get(object) ?? 0), maximumBytes)
  if (omitted.size === 0) return objects
  const value = omitValue.omitValue(`all objects of the kind exceed ${maximumBytes} bytes of memory`)
  return objects.map((object, index) => omitted.has(index) ? { name: object.name, revision: object.revision, value } : object)
}
