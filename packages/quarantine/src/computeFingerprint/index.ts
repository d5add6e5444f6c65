/** Computes fingerprints, by which repeated sends of the same call are recognized. */
import * as crypto from 'node:crypto'
import * as types from '@switchridge/types'

/** Identifies the content of a call and its client account; it stays the same when the call is sent again. */
export type CallFingerprint = types.Branded<'CallFingerprint'>

/** The properties that calls must share to count as the same. Request ids, deadlines and hints are left out, since they differ each time a call is sent. */
export interface CallIdentity {
  /** The client account; null if the route needs no API key. The key itself is not used, since an account may change it. */
  readonly account: types.AccountId | null
  readonly method: string
  readonly host: string
  /** Path and query, as sent. */
  readonly path: string
  readonly body: Buffer | null
}

/** 64 bits: the probability that any two of a million calls collide is below 10^-7. */
const DIGEST_CHARACTERS = 16
const FINGERPRINT_BASE = 36
const FINGERPRINT_PATTERN = /^[0-9a-z]{1,13}$/

/**
 * Computes the fingerprint of a call. It includes the account, so that no client can get the calls of another one blocked.
 *
 * @param identity - The properties that calls must share to count as the same.
 * @returns The fingerprint: up to 13 digits and lowercase letters.
 */
export function computeFingerprint ({ account, method, host, path, body }: CallIdentity): CallFingerprint {
  const hash = crypto.createHash('sha256').update(JSON.stringify([account, method, host, path]))
  if (body !== null) hash.update(body)
  const number = BigInt(`0x${hash.digest('hex').slice(0, DIGEST_CHARACTERS)}`)
  return types.brandId<CallFingerprint>(number.toString(FINGERPRINT_BASE))
}

/** Whether a value received from outside this process is a valid fingerprint. */
export function isFingerprint (value: unknown): value is CallFingerprint {
  return typeof value === 'string' && FINGERPRINT_PATTERN.test(value)
}
