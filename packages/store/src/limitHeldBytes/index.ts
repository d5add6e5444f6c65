/** Keeps the objects of a kind within a bound of memory. */
import * as types from '@switchridge/types'
import type * as createMirror from '../createMirror/index.js'
import type * as scanJson from '../scanJson/index.js'
import * as omitValue from '../omitValue/index.js'
import * as selectLargest from '../selectLargest/index.js'

/** Memory that the values of one kind may take, less than a copy of them for peers may have; the longest list is that of the back ends, with about 2.5 KB for each. */
export const MAXIMUM_HELD_BYTES = 12 * types.BYTES_IN_MEBIBYTE

/** Levels of nesting of an object with its metadata; configurations have six. Functions that walk through a value recurse once a level. */
export const MAXIMUM_DEPTH = 64
/** Largest memory that an object or array takes beyond its text and what is in it. */
const BYTES_PER_CONTAINER = 64
/** The same for a number, a literal, a text or the key of a member. */
const BYTES_PER_SCALAR = 24

/**
 * Estimates the memory that a value takes once it is parsed.
 *
 * @param extent - Where its JSON text stands.
 * @returns Bytes, about the largest that such a value takes.
 */
export function estimateHeldBytes ({ start, end, containers, scalars }: scanJson.Extent): number {
  return end - start + containers * BYTES_PER_CONTAINER + scalars * BYTES_PER_SCALAR
}

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
