/** UDP datagrams between daemons. */
import * as dgram from 'node:dgram'

/** An open socket. */
export interface DatagramSocket {
  readonly send: (host: string, bytes: Buffer) => void
  readonly close: () => void
}

/** Opens the socket of a daemon and passes on each received datagram with the address of its sender. Rejects if the own address cannot be bound. */
export type OpenDatagrams = (onDatagram: (bytes: Buffer, from: string) => void) => Promise<DatagramSocket>

/**
 * Prepares a UDP socket; the port is the same on all hosts.
 *
 * @param host - Own address.
 * @param port - Port of all daemons.
 * @returns A function that opens the socket; a datagram that cannot be sent counts as lost.
 */
export function openDatagrams (host: string, port: number): OpenDatagrams {
  return async (onDatagram) => {
    const socket = dgram.createSocket('udp4')
    socket.on('error', () => {})
    socket.on('message', (bytes, from) => { onDatagram(bytes, from.address) })
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject)
      socket.bind(port, host, resolve)
    })
    return {
      send: (to, bytes) => { socket.send(bytes, port, to, () => {}) },
      close: () => { socket.close() }
    }
  }
}
