/** Process of a faulty engine or of callers: it sends without end, whatever else the process of the test does. Its argument is what it is, as JSON. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as endlessShapes from './endlessShapes.js'

/** A process that is an engine. */
export interface EngineProcess {
  readonly role: 'engine'
  /** Name of its shape; an engine without one answers each call at once. */
  readonly shape: string | null
  /** Number of addresses at which it answers. */
  readonly addresses: number
}

/** A process with callers, each with one connection at a time. */
export interface CallersProcess {
  readonly role: 'callers'
  readonly address: types.Address
  readonly connections: number
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  /** Names of the headers with the id of a request. */
  readonly idHeaders: readonly string[]
  /** What they send; without one they send calls and read the answers. */
  readonly shape: endlessShapes.CallerShape | null
  /** Size of the bodies in bytes. */
  readonly bodyBytes: number
}

export type PeerProcess = EngineProcess | CallersProcess

/** A caller begins again so long after its connection has ended. */
const PAUSE_MS = 50
const BLOCK_BYTES = 64 * types.BYTES_IN_KIBIBYTE
const REQUESTS_IN_BLOCK = 200

/** Writes what `next` returns, as fast as the peer reads or at an interval, until it returns null. */
function send (socket: net.Socket, next: () => Buffer | null, intervalMs: number | undefined): void {
  if (intervalMs !== undefined) {
    const timer = setInterval(() => { socket.write(next() ?? Buffer.alloc(0)) }, intervalMs)
    socket.once('close', () => { clearInterval(timer) })
    return
  }
  function fill (): void {
    for (;;) {
      const part = socket.destroyed ? null : next()
      if (part === null || !socket.write(part)) return
    }
  }
  socket.on('drain', fill)
  fill()
}

function answer (socket: net.Socket, shape: endlessShapes.EngineShape): void {
  let head = ''
  socket.on('error', () => {})
  socket.on('data', function readHead (bytes: Buffer) {
    head += bytes.toString('latin1')
    if (!head.includes('\r\n\r\n')) return
    socket.off('data', readHead)
    socket.resume()
    socket.write(shape.begin(/^request-id: (.*?)\r$/im.exec(head)?.[1] ?? ''))
    send(socket, shape.createParts(), shape.intervalMs)
  })
}

function createServer (shape: endlessShapes.EngineShape | null): net.Server {
  if (shape !== null) return net.createServer((socket) => { answer(socket, shape) })
  return http.createServer((request, response) => {
    request.resume()
    request.on('end', () => { response.writeHead(200, testing.formatEngineHeaders(String(request.headers['request-id']))).end('ok') })
  })
}

async function startEngine ({ shape: name, addresses }: EngineProcess): Promise<types.Address[]> {
  const shape = name === null ? null : endlessShapes.ENGINE_SHAPES.find((each) => each.name === name)
  if (shape === undefined) throw new Error(`no shape "${name ?? ''}"`)
  return await Promise.all(Array.from({ length: addresses }, async () => {
    const server = createServer(shape)
    await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
    return { host: types.LOOPBACK_HOST, port: (server.address() as net.AddressInfo).port }
  }))
}

function createHeaders ({ headers, idHeaders }: CallersProcess, id: string): Record<string, string> {
  return { ...headers, ...Object.fromEntries(idHeaders.map((name) => [name, id])) }
}

/** Sends calls one after the other, and reads their answers. */
function callAgain (callers: CallersProcess, caller: number, turn = 0): void {
  const outgoing = http.request({ host: callers.address.host, port: callers.address.port, path: callers.path, headers: createHeaders(callers, `faulty-${caller}-${turn}`), agent: false }, (response) => {
    response.on('error', () => {})
    response.resume()
  })
  outgoing.on('error', () => {})
  outgoing.once('close', () => { setTimeout(() => { callAgain(callers, caller, turn + 1) }, PAUSE_MS) })
  outgoing.end()
}

function formatRequest (callers: CallersProcess, method: string, id: string, framing = ''): string {
  const lines = Object.entries(createHeaders(callers, id)).map(([name, value]) => `${name}: ${value}\r\n`)
  return `${method} ${callers.path} HTTP/1.1\r\n${lines.join('')}${framing}\r\n`
}

/** Creates the bytes of a connection; they end if it has a single body. */
function createBytes (callers: CallersProcess, { chunkBytes, isUnfinished = false }: endlessShapes.CallerShape, id: string): () => Buffer | null {
  if (isUnfinished) {
    const parts = [Buffer.from(formatRequest(callers, 'POST', id, `content-length: ${callers.bodyBytes}\r\n`)), Buffer.alloc(callers.bodyBytes - 1, 'x')]
    return () => parts.shift() ?? null
  }
  if (chunkBytes === null) {
    const block = Buffer.from(Array.from({ length: REQUESTS_IN_BLOCK }, (_, index) => formatRequest(callers, 'GET', `${id}-${index}`)).join(''))
    return () => block
  }
  const chunk = endlessShapes.formatChunk('x'.repeat(chunkBytes))
  const chunksInBlock = Math.ceil(BLOCK_BYTES / chunk.length)
  const block = Buffer.from(chunk.repeat(chunksInBlock))
  const parts = [Buffer.from(formatRequest(callers, 'POST', id, 'transfer-encoding: chunked\r\n')), ...new Array<Buffer>(Math.floor(callers.bodyBytes / (chunksInBlock * chunkBytes))).fill(block), Buffer.from('0\r\n\r\n')]
  return () => parts.shift() ?? null
}

/** Opens a connection over and over, and sends the shape over it. */
function sendAgain (callers: CallersProcess, shape: endlessShapes.CallerShape, caller: number, turn = 0): void {
  const socket = net.connect(callers.address.port, callers.address.host)
  socket.on('error', () => {})
  socket.once('connect', () => { send(socket, createBytes(callers, shape, `faulty-${caller}-${turn}`), undefined) })
  socket.once('close', () => { setTimeout(() => { sendAgain(callers, shape, caller, turn + 1) }, PAUSE_MS) })
  if (!shape.isReading) socket.pause()
  // The answer to a single body is the end of its connection.
  else if (shape.chunkBytes !== null) socket.once('data', () => { socket.destroy() })
  else socket.resume()
}

function startCallers (callers: CallersProcess): void {
  for (let caller = 0; caller < callers.connections; caller += 1) {
    if (callers.shape === null) callAgain(callers, caller)
    else sendAgain(callers, callers.shape, caller)
  }
}

// The channel to the process of the test is absent when the module is only imported.
if (process.send !== undefined) {
  const peer = JSON.parse(process.argv[2] ?? '') as PeerProcess
  process.once('disconnect', () => { process.exit() })
  if (peer.role === 'engine') {
    process.send(await startEngine(peer))
  } else {
    startCallers(peer)
    process.send([])
  }
}
