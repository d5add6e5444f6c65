/** Runs in a thread of its own: an engine whose event streams have no end. Its data is the part that it sends over and over, already framed in chunks; it posts its port. */
import * as net from 'node:net'
import * as workerThreads from 'node:worker_threads'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'

const PARTS_BYTES = 65_536

function sendWithoutEnd (socket: net.Socket, part: string): void {
  const parts = Buffer.from(part.repeat(Math.ceil(PARTS_BYTES / part.length)))
  send()
  socket.on('drain', send)

  function send (): void {
    while (!socket.destroyed && socket.write(parts));
  }
}

function openEngine (part: string, onOpen: (port: number) => void): void {
  const server = net.createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', (bytes: Buffer) => {
      const id = /^request-id: (.*?)\r$/im.exec(bytes.toString('latin1'))?.[1] ?? ''
      const headers = Object.entries({ ...testing.formatEngineHeaders(id), 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked' })
      socket.write(`HTTP/1.1 200 OK\r\n${headers.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`)
      sendWithoutEnd(socket, part)
    })
  })
  server.listen(0, types.LOOPBACK_HOST, () => { onOpen((server.address() as net.AddressInfo).port) })
}

const { parentPort, workerData } = workerThreads
if (parentPort !== null) openEngine(String(workerData), (port) => { parentPort?.postMessage(port) })
