/** A call whose caller reads only the head of the answer until it is told to read on, for tests. */
import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as net from 'node:net'
import type * as types from '@switchridge/types'
import * as fleetTesting from './fleetTesting.js'

/** An answer whose head has arrived. */
export interface UnreadCall {
  readonly status: number
  readonly socket: net.Socket
  /** Reads the rest and returns the size of the body in bytes; null if the connection broke before its end. */
  readonly readOn: () => Promise<number | null>
}

/**
 * Sends a call and waits for the head of its answer.
 *
 * @param address - Address for callers.
 * @param path - Path of the call.
 * @param headers - Headers of the call.
 * @returns The call. Rejects if the connection breaks before the head arrives.
 */
export async function openUnreadCall ({ host, port }: types.Address, path: string, headers: http.OutgoingHttpHeaders): Promise<UnreadCall> {
  const request = http.get({ host, port, path, headers, agent: new http.Agent({ keepAlive: true }) })
  const response = await new Promise<http.IncomingMessage>((resolve, reject) => {
    request.once('response', resolve)
    request.once('error', reject)
  })
  let size = 0
  const ended = new Promise<number | null>((resolve) => {
    response.on('error', () => {})
    response.on('close', () => { resolve(response.complete ? size : null) })
  })
  return {
    status: response.statusCode ?? 0,
    socket: response.socket,
    readOn: async () => {
      response.on('data', (bytes: Buffer) => { size += bytes.length })
      return await ended
    }
  }
}

/** Waits until an address accepts no connections any more; fails if it still does after the limit of {@link fleetTesting.waitWithLimit}. */
export async function waitUntilRefused ({ host, port }: types.Address): Promise<void> {
  await fleetTesting.waitWithLimit(async () => await new Promise((resolve) => {
    const socket = net.connect(port, host)
    socket.once('connect', () => {
      socket.destroy()
      resolve(false)
    })
    socket.once('error', (error: NodeJS.ErrnoException) => {
      assert.equal(error.code, 'ECONNREFUSED')
      resolve(true)
    })
  }))
}
