/** Helpers with which an entry node interprets a caller's request before it forwards it. */
import * as crypto from 'node:crypto'
import type * as Koa from 'koa'
import * as quarantine from '@switchridge/quarantine'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import type * as sendAttempt from '../sendAttempt/index.js'
import * as callHeaders from './callHeaders.js'

const SAFE_METHODS = new Set(['GET', 'HEAD'])
const BEARER_PREFIX = 'Bearer '
const ANONYMOUS_ACCOUNT: types.AccountRow = { id: types.brandId('anonymous'), keyDigest: types.brandId(''), share: 1, callsPerSecond: 0, priority: 'interactive' }

/** Computed once for each call, since bodies may have several megabytes. */
const fingerprintCache = new WeakMap<sendAttempt.OutgoingCall, quarantine.CallFingerprint>()

/** Computes the fingerprint of a call, by which a repetition of the same call is recognised. */
export function fingerprintCall (call: sendAttempt.OutgoingCall): quarantine.CallFingerprint {
  const { account, method, service, row, path, body } = call
  const fingerprint = fingerprintCache.get(call) ?? quarantine.computeFingerprint({ account: account.id, method, host: `${service}/${row}`, path, body })
  fingerprintCache.set(call, fingerprint)
  return fingerprint
}

/** Describes a call to the quarantine. The prefix of a prompt, which a caller may name, is a part that other calls share. */
export function describeCall (call: sendAttempt.OutgoingCall): quarantine.CallFeatures {
  const prefix = call.headers[callHeaders.PROMPT_PREFIX_HEADER]
  return { fingerprint: () => fingerprintCall(call), parts: typeof prefix === 'string' && prefix !== '' ? [types.createPromptPartId(prefix)] : [] }
}

/** Returns whether calls of a service with this HTTP method may be executed more than once. */
export function isRepeatable (service: types.ServiceRow, method: string): boolean {
  return service.repeatable === 'all' || (service.repeatable === 'reads' && SAFE_METHODS.has(method))
}

/** Finds the account of a caller by its API key. Returns the anonymous account if no accounts are configured, and undefined if the key is missing or unknown. */
export function findAccount (table: types.Table, authorization: string): types.AccountRow | undefined {
  if (table.accounts.length === 0) return ANONYMOUS_ACCOUNT
  if (!authorization.startsWith(BEARER_PREFIX)) return undefined
  const digest = crypto.createHash('sha256').update(authorization.slice(BEARER_PREFIX.length)).digest('hex')
  return table.accounts.find((account) => rpc.isSameSecret(account.keyDigest, digest))
}

/** Returns the timeout that the caller requests, limited to the service's deadline, in milliseconds. */
export function computeTimeoutMs (context: Koa.Context, service: types.ServiceRow): number {
  const requestedMs = Number(context.get(callHeaders.TIMEOUT_HEADER))
  return requestedMs > 0 ? Math.min(requestedMs, service.deadlineMs) : service.deadlineMs
}
