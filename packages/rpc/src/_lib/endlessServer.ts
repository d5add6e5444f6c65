/** Starts servers that send bytes without end, for tests. */
import * as net from 'node:net'
import type * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as rpc from '../index.js'

/** What a server can send at most; far more than a client may read. */
const AVAILABLE_BYTES = 300 * types.BYTES_IN_MEBIBYTE

/** A server that sends bytes without end, and connection pools of its client. */
export interface EndlessServer {
  readonly base: string
  readonly agents: rpc.HttpAgents
  /** Bytes that were handed to the operating system or wait for it. */
  readonly sentBytes: () => number
  /** Resolves once the client has closed all connections. */
  readonly waitUntilClosed: () => Promise<void>
}

/**
 * Starts a server that answers each connection's first bytes with the same part over and over, until it has sent 300 MiB or its client closes.
 *
 * @param context - The test; the server is closed when it ends.
 * @param part - The part.
 * @param head - Sent before the first part.
 * @param pauseMs - Milliseconds between the head and the first part.
 * @returns The server.
 */
export async function openEndlessServer (context: nodeTest.TestContext, part: string, head = '', pauseMs = 0): Promise<EndlessServer> {
  const sockets = new Set<net.Socket>()
  let sentBytes = 0
  const server = net.createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('close', () => { sockets.delete(socket) })
    socket.once('data', () => {
      socket.write(head)
      setTimeout(() => {
        send()
        socket.on('drain', send)
      }, pauseMs)
    })

    function send (): void {
      while (!socket.destroyed && sentBytes < AVAILABLE_BYTES) {
        sentBytes += part.length
        if (!socket.write(part)) return
      }
    }
  })
  const agents = rpc.createHttpAgents()
  await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
  context.after(() => {
    agents.destroy()
    server.close()
    for (const socket of sockets) socket.destroy()
  })
  return {
    base: `http://${types.LOOPBACK_HOST}:${(server.address() as net.AddressInfo).port}`,
    agents,
    sentBytes: () => sentBytes,
    waitUntilClosed: async () => { while (sockets.size > 0) await new Promise((resolve) => { setImmediate(resolve) }) }
  }
}
