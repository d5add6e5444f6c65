/** What an entry node reads from a caller's request before it is sent anywhere. */
import * as crypto from 'node:crypto'
import type * as Koa from 'koa'
import * as quarantine from '@switchridge/quarantine'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import type * as sendAttempt from '../sendAttempt/index.js'
import * as callHeaders from './callHeaders.js'

const READ_METHODS = new Set(['GET', 'HEAD'])
const BEARER = 'Bearer '
const ANONYMOUS: types.AccountRow = { id: types.brandId('anonymous'), keyDigest: types.brandId(''), share: 1, callsPerSecond: 0, priority: 'interactive' }

/** Worked out once for each call, whose body may have megabytes. */
const fingerprints = new WeakMap<sendAttempt.OutgoingCall, quarantine.CallFingerprint>()

/** Names what a call asks for, so that it is known when it is sent again. */
export function identify (call: sendAttempt.OutgoingCall): quarantine.CallFingerprint {
  const { account, method, service, row, path, body } = call
  const fingerprint = fingerprints.get(call) ?? quarantine.identifyCall({ account: account.id, method, host: `${service}/${row}`, path, body })
  fingerprints.set(call, fingerprint)
  return fingerprint
}

/** Whether a service's calls of a method may run more than once. */
export function isRepeatable (service: types.ServiceRow, method: string): boolean {
  return service.repeatable === 'all' || (service.repeatable === 'reads' && READ_METHODS.has(method))
}

/** The account of a caller by its key; any caller's where no accounts are set, none for a key that is not known. */
export function findAccount (table: types.Table, authorization: string): types.AccountRow | undefined {
  if (table.accounts.length === 0) return ANONYMOUS
  if (!authorization.startsWith(BEARER)) return undefined
  const digest = crypto.createHash('sha256').update(authorization.slice(BEARER.length)).digest('hex')
  return table.accounts.find((account) => rpc.isSameSecret(account.keyDigest, digest))
}

/** Milliseconds that a caller waits, no more than the service allows. */
export function readTimeout (context: Koa.Context, service: types.ServiceRow): number {
  const wanted = Number(context.get(callHeaders.TIMEOUT_HEADER))
  return wanted > 0 ? Math.min(wanted, service.deadlineMs) : service.deadlineMs
}
