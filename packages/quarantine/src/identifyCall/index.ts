/** Tells whether two calls ask for the same thing. */
import * as crypto from 'node:crypto'
import * as types from '@switchridge/types'

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

/** 64 bits: two of a million calls share a fingerprint by chance in one of 10^7 cases. */
const DIGEST_CHARACTERS = 16
const FINGERPRINT_BASE = 36
const FINGERPRINT_PATTERN = /^[0-9a-z]{1,13}$/

/**
 * Works out the fingerprint of a call. The account is part of it, so that nobody can have the calls of others taken for their own.
 *
 * @param identity - What makes calls the same.
 * @returns The fingerprint: up to 13 digits and small letters.
 */
export function identifyCall ({ account, method, host, path, body }: CallIdentity): CallFingerprint {
  const hash = crypto.createHash('sha256').update(JSON.stringify([account, method, host, path]))
  if (body !== null) hash.update(body)
  const number = BigInt(`0x${hash.digest('hex').slice(0, DIGEST_CHARACTERS)}`)
  return types.brandId<CallFingerprint>(number.toString(FINGERPRINT_BASE))
}

/** Whether a value that somebody told is a fingerprint. */
export function isFingerprint (value: unknown): value is CallFingerprint {
  return typeof value === 'string' && FINGERPRINT_PATTERN.test(value)
}
