/** Finds free ports on the loopback interface, below the ephemeral range that the system uses for outgoing connections. */
import * as net from 'node:net'
import * as types from '@switchridge/types'

const LOWEST_PORT = 10_000
const HIGHEST_PORT = 31_000

/**
 * Finds ports that are currently free.
 *
 * @param count - Number of ports.
 * @returns The ports.
 */
export async function findPorts (count: number): Promise<number[]> {
  const ports: number[] = []
  let next = LOWEST_PORT + Math.floor(Math.random() * (HIGHEST_PORT - LOWEST_PORT))
  while (ports.length < count) {
    next = next >= HIGHEST_PORT ? LOWEST_PORT : next + 1
    if (await isFree(next)) ports.push(next)
  }
  return ports
}

async function isFree (port: number): Promise<boolean> {
  const server = net.createServer()
  return await new Promise<boolean>((resolve) => {
    server.once('error', () => { resolve(false) })
    server.listen(port, types.LOOPBACK_HOST, () => { server.close(() => { resolve(true) }) })
  })
}
