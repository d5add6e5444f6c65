/** Types of the platform's object API. */
import type * as types from '@switchridge/types'

/** A value with the version that conditional updates refer to. */
export interface VersionedObject {
  readonly name: string
  readonly version: number
  readonly value: unknown
}

/** Precondition of a write: the object does not exist, or is at a version. */
export type WriteCondition = { readonly absent: true } | { readonly version: number }

export type ReadFailure = types.NotFoundError | types.UnavailableError
/** After an `UnavailableError` it is unknown whether the write took effect. */
export type WriteFailure = types.ConflictError | types.UnavailableError

/** Store of objects by kind and name, with conditional updates and watches. */
export interface ObjectStore {
  readonly read: (kind: string, name: string) => Promise<types.Outcome<VersionedObject, ReadFailure>>
  /** Returns the version written. */
  readonly write: (kind: string, name: string, value: unknown, condition: WriteCondition) => Promise<types.Outcome<number, WriteFailure>>
  readonly remove: (kind: string, name: string, version: number) => Promise<types.Outcome<null, WriteFailure | types.NotFoundError>>
  /** Objects of a kind whose names are at or after `from`, in order of name. */
  readonly list: (kind: string, from: string, limit: number) => Promise<types.Outcome<readonly VersionedObject[], types.UnavailableError>>
  /** Waits until the version of the object differs from `version`; null if the wait ends without a change. */
  readonly watch: (kind: string, name: string, version: number, signal: AbortSignal) => Promise<types.Outcome<VersionedObject | null, types.UnavailableError>>
}
