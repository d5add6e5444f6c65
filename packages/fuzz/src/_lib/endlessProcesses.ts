/** Starts processes of peers that send without end. */
import * as childProcess from 'node:child_process'
import * as url from 'node:url'
import type * as types from '@switchridge/types'
import type * as endlessPeer from './endlessPeer.js'

/** A running peer. */
export interface EndlessProcess {
  /** Addresses at which an engine answers; none for callers. */
  readonly addresses: readonly types.Address[]
  /** Kills the process. */
  readonly stop: () => void
}

const PEER_MODULE = url.fileURLToPath(new URL('./endlessPeer.js', import.meta.url))

/**
 * Starts an engine or callers.
 *
 * @param peer - What it is.
 * @returns The peer, which answers or sends. Rejects if its process ends before.
 */
export async function startEndlessProcess (peer: endlessPeer.PeerProcess): Promise<EndlessProcess> {
  const started = childProcess.fork(PEER_MODULE, [JSON.stringify(peer)])
  return await new Promise((resolve, reject) => {
    started.once('message', (addresses: readonly types.Address[]) => { resolve({ addresses, stop: () => { started.kill('SIGKILL') } }) })
    started.once('exit', (code) => { reject(new Error(`the process of a peer ended with ${code ?? 'a signal'}`)) })
  })
}
