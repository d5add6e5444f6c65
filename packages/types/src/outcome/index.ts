/** Result type: operations that can fail return an outcome instead of throwing. */

/** Either a success with a value or a failure with an error. */
export type Outcome<Value, Failure extends Error = Error> =
  | { readonly ok: true, readonly value: Value }
  | { readonly ok: false, readonly error: Failure }

/**
 * Wraps a value as a success.
 *
 * @param value - Result of the operation.
 * @returns A successful outcome.
 */
export function succeed<Value> (value: Value): { readonly ok: true, readonly value: Value } {
  return { ok: true, value }
}

/**
 * Wraps an error as a failure.
 *
 * @param error - Why the operation failed.
 * @returns A failed outcome.
 */
export function fail<Failure extends Error> (error: Failure): { readonly ok: false, readonly error: Failure } {
  return { ok: false, error }
}
