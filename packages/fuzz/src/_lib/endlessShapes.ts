/** What faulty engines and callers send to a gateway without end. */
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'

/** The route over which a faulty engine is called: without streams, with streams, or with streams that another engine may resume. */
export type EndlessRoute = 'plain' | 'stream' | 'resumable'

/** What an engine answers to a call. */
export interface EngineShape {
  readonly kind: 'engine'
  readonly name: string
  readonly route: EndlessRoute
  /** Begin of the answer to the call with an id. */
  readonly begin: (id: string) => string
  /** Creates the function that returns what follows, each time it is called. */
  readonly createParts: () => () => Buffer
  /** Milliseconds between two parts; they follow as fast as the gateway takes them when absent. */
  readonly intervalMs?: number
}

/** What a caller sends over one connection. */
export interface CallerShape {
  readonly kind: 'caller'
  readonly name: string
  readonly hasKey: boolean
  /** Whether it reads the answers. */
  readonly isReading: boolean
  /** Bytes of the payload of one chunk of the body; null for requests without a body that are sent one after the other, or for a body by length. */
  readonly chunkBytes: number | null
  /** Whether it sends a body of the largest length but for its last byte, and then waits. */
  readonly isUnfinished?: boolean
  /** Whether it asks for metrics, at the address for operators. */
  readonly asksForMetrics?: boolean
}

export type EndlessShape = EngineShape | CallerShape

const BLOCK_BYTES = 64 * types.BYTES_IN_KIBIBYTE
const BLOCK_EVENTS = 1000
const SLOW_INTERVAL_MS = 20
const OK = '200 OK'
const EVENT_STREAM = 'content-type: text/event-stream\r\n'
const CHUNKED = 'transfer-encoding: chunked\r\n'
const ONE_BYTE_CHUNK = '1\r\nx\r\n'
const INTERIM_RESPONSE = 'HTTP/1.1 103 Early Hints\r\n\r\n'

function formatHead (id: string, headers: string, status = OK): string {
  const lines = Object.entries(testing.formatEngineHeaders(id)).map(([name, value]) => `${name}: ${value}\r\n`)
  return `HTTP/1.1 ${status}\r\n${lines.join('')}${headers}\r\n`
}

/** Formats a chunk of a chunked body. */
export function formatChunk (text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`
}

/** Creates a function that returns the same text over and over, about {@link BLOCK_BYTES} of it at a time, or once at a time for a slow sender. */
function repeat (text: string): () => () => Buffer {
  const block = Buffer.from(text.repeat(Math.ceil(BLOCK_BYTES / text.length)))
  return () => () => block
}

function repeatSlowly (text: string): () => () => Buffer {
  const part = Buffer.from(text)
  return () => () => part
}

/** Creates events with ascending ids, each in a chunk of its own or many in one. */
function createEvents (isChunkEach: boolean): () => Buffer {
  let id = 0
  return () => {
    const events = Array.from({ length: BLOCK_EVENTS }, (_, index) => `id: ${id + index + 1}\ndata: x\n\n`)
    id += BLOCK_EVENTS
    return Buffer.from(isChunkEach ? events.map(formatChunk).join('') : formatChunk(events.join('')))
  }
}

function streamHead (id: string): string {
  return formatHead(id, EVENT_STREAM + CHUNKED)
}

function plainHead (id: string): string {
  return formatHead(id, CHUNKED)
}

function createEngineShape (name: string, route: EndlessRoute, begin: EngineShape['begin'], createParts: EngineShape['createParts'], intervalMs?: number): EngineShape {
  return { kind: 'engine', name, route, begin, createParts, ...(intervalMs === undefined ? {} : { intervalMs }) }
}

/** Creates the shapes of a stream that one engine may resume, and of one that none may. */
function createStreamShapes (name: string, begin: EngineShape['begin'], createParts: EngineShape['createParts']): EngineShape[] {
  return [createEngineShape(name, 'resumable', begin, createParts), createEngineShape(`${name}, not resumable`, 'stream', begin, createParts)]
}

/** What engines send. */
export const ENGINE_SHAPES: readonly EngineShape[] = [
  createEngineShape('a status line', 'plain', () => 'HTTP/1.1 200 ', repeat('x')),
  createEngineShape('a header name', 'plain', () => 'HTTP/1.1 200 OK\r\n', repeat('x')),
  createEngineShape('a header value', 'plain', () => 'HTTP/1.1 200 OK\r\nname: ', repeat('x')),
  createEngineShape('headers', 'plain', () => 'HTTP/1.1 200 OK\r\n', repeat('name: value\r\n')),
  createEngineShape('interim responses', 'plain', () => '', repeat(INTERIM_RESPONSE)),
  createEngineShape('bytes that are no response', 'plain', () => '', repeat('x')),
  createEngineShape('a body in large chunks', 'plain', plainHead, repeat(formatChunk('x'.repeat(BLOCK_BYTES)))),
  createEngineShape('a body without framing', 'plain', (id) => formatHead(id, ''), repeat('x')),
  createEngineShape('a body in chunks of one byte', 'plain', plainHead, repeat(ONE_BYTE_CHUNK)),
  createEngineShape('a body in chunks of one byte with status 503', 'plain', (id) => formatHead(id, CHUNKED, '503 Service Unavailable'), repeat(ONE_BYTE_CHUNK)),
  createEngineShape('a body in chunks of one byte in place of a stream', 'resumable', plainHead, repeat(ONE_BYTE_CHUNK)),
  createEngineShape('extensions of one chunk', 'plain', (id) => `${plainHead(id)}1;`, repeat('x')),
  createEngineShape('chunks with extensions', 'plain', plainHead, repeat('1;name=value\r\nx\r\n')),
  createEngineShape('trailers', 'plain', (id) => `${plainHead(id)}0\r\n`, repeat('name: value\r\n')),
  createEngineShape('bytes after an answer', 'plain', (id) => `${formatHead(id, 'content-length: 2\r\n')}ok`, repeat('x')),
  createEngineShape('answers after an answer', 'plain', (id) => `${formatHead(id, 'content-length: 2\r\n')}ok`, repeat(`${formatHead('other', 'content-length: 2\r\n')}ok`)),
  ...createStreamShapes('comment lines, each in a chunk', streamHead, repeat(formatChunk(':a\n'))),
  createEngineShape('comment lines without framing', 'stream', (id) => formatHead(id, EVENT_STREAM), repeat(':a\n')),
  ...createStreamShapes('empty comments, each in a chunk', streamHead, repeat(formatChunk(':\n\n'))),
  createEngineShape('empty lines, each in a chunk', 'resumable', streamHead, repeat(formatChunk('\n'))),
  createEngineShape('lines of one event', 'resumable', (id) => `${streamHead(id)}${formatChunk('id: 1\n')}`, repeat(formatChunk('data: x\n'.repeat(BLOCK_BYTES / 8)))),
  ...createStreamShapes('lines of one event, each in a chunk', (id) => `${streamHead(id)}${formatChunk('id: 1\n')}`, repeat(formatChunk('data: x\n'))),
  ...createStreamShapes('a line of one event in chunks of one byte', (id) => `${streamHead(id)}${formatChunk('data: ')}`, repeat(ONE_BYTE_CHUNK)),
  createEngineShape('an event stream in chunks of one byte, not resumable', 'stream', streamHead, repeat([...'data: x\n\n'].map(formatChunk).join(''))),
  ...createStreamShapes('small events', streamHead, () => createEvents(false)),
  ...createStreamShapes('small events, each in a chunk', streamHead, () => createEvents(true)),
  createEngineShape('a head, slowly', 'plain', () => 'HTTP/1.1 200 OK\r\nname: ', repeatSlowly('x'), SLOW_INTERVAL_MS),
  createEngineShape('a body in chunks of one byte, slowly', 'plain', plainHead, repeatSlowly(ONE_BYTE_CHUNK), SLOW_INTERVAL_MS),
  createEngineShape('comment lines, slowly', 'resumable', streamHead, repeatSlowly(formatChunk(':a\n')), SLOW_INTERVAL_MS)
]

/** What callers send. */
export const CALLER_SHAPES: readonly CallerShape[] = [
  { kind: 'caller', name: 'bodies in chunks of one byte', hasKey: true, isReading: true, chunkBytes: 1 },
  { kind: 'caller', name: 'bodies in chunks of 16 bytes', hasKey: true, isReading: true, chunkBytes: 16 },
  { kind: 'caller', name: 'bodies in chunks of one byte with an unknown key', hasKey: false, isReading: true, chunkBytes: 1 },
  { kind: 'caller', name: 'bodies without their last byte', hasKey: true, isReading: true, chunkBytes: null, isUnfinished: true },
  { kind: 'caller', name: 'requests one after the other, reading no answer', hasKey: true, isReading: false, chunkBytes: null },
  { kind: 'caller', name: 'requests one after the other', hasKey: true, isReading: true, chunkBytes: null },
  { kind: 'caller', name: 'requests one after the other with an unknown key, reading no answer', hasKey: false, isReading: false, chunkBytes: null },
  { kind: 'caller', name: 'requests one after the other with an unknown key', hasKey: false, isReading: true, chunkBytes: null },
  { kind: 'caller', name: 'requests for metrics, reading no answer', hasKey: false, isReading: false, chunkBytes: null, asksForMetrics: true }
]
