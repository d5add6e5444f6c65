/** Headers that identify and authenticate a daemon to other daemons: deployment, protocol version and shared key. */
import * as crypto from 'node:crypto'
import type * as http from 'node:http'
import * as types from '@switchridge/types'

export const DEPLOYMENT_HEADER = 'x-switchridge-deployment'
export const PROTOCOL_HEADER = 'x-switchridge-protocol'

/** Identity of a process within its deployment. */
export interface Identity {
  readonly deployment: string
  /** Shared key of the deployment; if empty, none is sent or checked. */
  readonly sharedKey: string
}

/** The peer belongs to another deployment, speaks another protocol version or lacks the shared key. */
export class IdentityError extends types.SwitchridgeError {}

/**
 * Creates the headers that identify and authenticate this process.
 *
 * @param identity - The identity of this process.
 * @returns Headers to send with every request to another daemon.
 */
export function createIdentityHeaders (identity: Identity): Record<string, string> {
  const headers: Record<string, string> = {
    [DEPLOYMENT_HEADER]: identity.deployment,
    [PROTOCOL_HEADER]: String(types.PROTOCOL_VERSION)
  }
  if (identity.sharedKey !== '') headers['authorization'] = `Bearer ${identity.sharedKey}`
  return headers
}

/**
 * Checks the headers of a request from another daemon.
 *
 * @param identity - The identity of this process.
 * @param headers - The headers received.
 * @returns Success, or the reason to refuse the request.
 */
export function checkIdentityHeaders (identity: Identity, headers: http.IncomingHttpHeaders): types.Outcome<null, IdentityError> {
  const protocol = headers[PROTOCOL_HEADER]
  if (protocol !== String(types.PROTOCOL_VERSION)) {
    return types.fail(new IdentityError(`protocol version ${String(protocol)} is not ${types.PROTOCOL_VERSION}`))
  }
  const deployment = headers[DEPLOYMENT_HEADER]
  if (deployment !== identity.deployment) {
    return types.fail(new IdentityError(`deployment "${String(deployment)}" is not "${identity.deployment}"`))
  }
  if (identity.sharedKey !== '' && !isSameSecret(headers.authorization ?? '', `Bearer ${identity.sharedKey}`)) {
    return types.fail(new IdentityError('the shared key is wrong or missing'))
  }
  return types.succeed(null)
}

/**
 * Compares two secrets in constant time.
 *
 * @param given - The secret received.
 * @param expected - The correct secret.
 * @returns Whether they are equal.
 */
export function isSameSecret (given: string, expected: string): boolean {
  const digest = (text: string): Buffer => crypto.createHash('sha256').update(text).digest()
  return crypto.timingSafeEqual(digest(given), digest(expected))
}
