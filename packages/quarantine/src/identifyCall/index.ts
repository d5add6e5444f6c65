/** Tells whether two calls ask for the same thing. */
import * as crypto from 'node:crypto'
import type * as types from '@switchridge/types'

/** Names what a call asks for, and for whom; calls that are sent again have the same one. */
export type CallFingerprint = types.Branded<'CallFingerprint'>

/** What makes calls the same. Ids, deadlines and hints of a request differ each time that it is sent, and are left out. */
export interface CallIdentity {
  /** The client account; null where a route needs no key. Not its key: an account may change that. */
  readonly account: types.AccountId | null
  readonly method: string
  readonly host: string
  /** Path with query, as sent. */
  readonly path: string
  readonly body: Buffer | null
}

/** 66 bits: among a million calls two share one by chance in one of 10^8 cases. */
const FINGERPRINT_CHARACTERS = 11

/**
 * Works out the fingerprint of a call. The account is part of it, so that nobody can have the calls of others taken for their own.
 *
 * @param identity - What makes calls the same.
 * @returns The fingerprint: 11 letters, digits, hyphens and underscores.
 */
export function identifyCall ({ account, method, host, path, body }: CallIdentity): CallFingerprint {
  const hash = crypto.createHash('sha256').update(JSON.stringify([account, method, host, path]))
  if (body !== null) hash.update(body)
  return hash.digest('base64url').slice(0, FINGERPRINT_CHARACTERS) as CallFingerprint
}
