/** Outcomes as values: what may fail returns one instead of throwing. */

/** A success with its value or a failure with its error. */
export type Outcome<Value, Failure extends Error = Error> =
  | { readonly ok: true, readonly value: Value }
  | { readonly ok: false, readonly error: Failure }

/**
 * Wraps a value as a success.
 *
 * @param value - What the operation yields.
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
