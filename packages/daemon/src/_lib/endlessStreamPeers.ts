/** Runs in a thread of its own: an engine whose event streams have no end, and the callers that read them. */
import * as net from 'node:net'
import * as workerThreads from 'node:worker_threads'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'

/** What the thread is started with. */
export interface StreamPeers {
  /** Sent over and over as the body of each answer, already framed in chunks. */
  readonly part: string
  /** Callers that read such a stream at any time. */
  readonly callers: number
  /** Head of a caller's request. */
  readonly request: string
}

const REOPEN_DELAY_MS = 50
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

/** Opens a caller that calls again whenever its connection has closed. */
function openCaller (address: types.Address, request: string): void {
  const socket = net.connect(address.port, address.host)
  socket.on('error', () => {})
  socket.on('data', () => {})
  socket.on('close', () => { setTimeout(() => { openCaller(address, request) }, REOPEN_DELAY_MS) })
  socket.write(request)
}

const { parentPort, workerData } = workerThreads
if (parentPort !== null) {
  const { part, callers, request } = workerData as StreamPeers
  openEngine(part, (port) => { parentPort?.postMessage(port) })
  parentPort.on('message', (gateway: types.Address) => {
    for (let caller = 0; caller < callers; caller += 1) openCaller(gateway, request)
  })
}
