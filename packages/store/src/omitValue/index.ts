/** Stands in place of the value of an object that is not held; the object's name and revision are. */
import * as zod from 'zod'

const omissionSchema = zod.strictObject({ omitted: zod.string() })

/**
 * Creates what is held in place of a value.
 *
 * @param reason - Why the value is not held.
 * @returns A value that no parser of objects takes for a sound one, and that peers can hand on as JSON.
 */
export function omitValue (reason: string): { readonly omitted: string } {
  return { omitted: reason }
}

/**
 * Reads why a value was omitted.
 *
 * @param value - The value of an object.
 * @returns The reason; undefined for a value that is held.
 */
export function readOmission (value: unknown): string | undefined {
  return omissionSchema.safeParse(value).data?.omitted
}
