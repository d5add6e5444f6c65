/**
 * Guards against an answer that is made of several runs of a call: a back end broke off an answer that had begun to reach its caller, and the whole answer of another
 * one followed. Only a stream that may be resumed goes on, and only after the last event that its caller got. All kinds of routes, answers and ends, on both interfaces.
 */
import * as assert from 'node:assert/strict'
import type * as http from 'node:http'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as fleetTesting from './_lib/fleetTesting.js'
import * as plainHall from './_lib/plainHall.js'

const HOST = types.LOOPBACK_HOST
const LIMIT = { timeout: 120_000 }
const ENGINES = 2
const PIECES = 6
const PIECES_BEFORE_END = 3
const PIECE_MS = 10
const TIMEOUT_MS = 2500
/** A silent engine that goes on does so this long after its last byte; another one is asked before. */
const SILENCE_MS = 1300
const STATUS_OK = 200

type Framing = 'chunks' | 'length' | 'connection'
/** What has been sent when the first run of a call ends: no byte, the head, or some pieces. */
type Stage = 'nothing' | 'head' | 'pieces'
/** `crash` closes all connections and the port, `overtaken` is silent until after another engine has gone on, and `returning` goes on while that one is silent. */
type End = 'reset' | 'end' | 'crash' | 'silence' | 'overtaken' | 'returning'

/** Events, events without ids, or no events. */
type Content = 'events' | 'unnamed events' | 'plain'

interface Answer {
  readonly content: Content
  readonly framing: Framing
  readonly stage: Stage
  readonly end: End
}

/** A run as the back end saw it. */
interface Run {
  readonly requestId: string
  readonly resumedAfter: number
  pieces: number
  /** Whether its caller may take what was sent for a whole answer. */
  isEnded: boolean
}

const CONTENTS: readonly Content[] = ['events', 'unnamed events', 'plain']
const ANSWERS: readonly Answer[] = CONTENTS.flatMap((content) => (['chunks', 'length', 'connection'] as const).flatMap((framing) =>
  (['nothing', 'head', 'pieces'] as const).flatMap((stage) => (['reset', 'end', 'crash', 'silence', 'overtaken', 'returning'] as const).map((end) => ({ content, framing, stage, end })))))

function formatPiece (content: Content, run: number, piece: number): string {
  if (content === 'plain') return `${run}/${piece};`
  return `${content === 'events' ? `id: ${piece}\n` : ''}data: ${run}/${piece}\n\n`
}

function formatHead ({ content, framing }: Answer, requestId: string, run: number, length: number): string {
  const framed = { chunks: 'Transfer-Encoding: chunked\r\n', length: `Content-Length: ${length}\r\n`, connection: '' }[framing]
  return `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nEngine-Seal: seal-${run}\r\nContent-Type: ${content === 'plain' ? 'text/plain' : 'text/event-stream'}\r\n${framed}Connection: close\r\n\r\n`
}

interface Request {
  readonly socket: net.Socket
  readonly requestId: string
  readonly lastEventId: number
}

/** Answers a request over its socket: the first run of a call ends as told, and a later one is whole, but silent if the first one returns. */
async function answerRequest ({ socket, requestId, lastEventId }: Request, answer: Answer, runs: Run[], crash: () => void): Promise<void> {
  const run: Run = { requestId, resumedAfter: lastEventId, pieces: 0, isEnded: false }
  runs.push(run)
  const number = runs.length
  const isFirst = number === 1
  const { stage, end, framing, content } = answer
  if (!isFirst && end === 'returning') return
  const all = Array.from({ length: PIECES - lastEventId }, (_, index) => formatPiece(content, number, lastEventId + index + 1))
  const parts = [formatHead(answer, requestId, number, all.join('').length), ...all]
  const stopAt = isFirst ? { nothing: 0, head: 1, pieces: 1 + PIECES_BEFORE_END }[stage] : Infinity
  for (const [index, part] of parts.entries()) {
    if (index === stopAt && !await passEnd()) return
    if (index > 0) run.pieces += 1
    // Its caller knows by the length that nothing follows.
    run.isEnded = framing === 'length' && index === all.length
    await write(index > 0 && framing === 'chunks' ? `${part.length.toString(16)}\r\n${part}\r\n` : part)
    await types.delay(PIECE_MS)
  }
  run.isEnded = true
  await write(framing === 'chunks' ? '0\r\n\r\n' : '')
  socket.end()

  async function write (text: string): Promise<void> {
    await new Promise<void>((resolve) => {
      if (text === '' || !socket.writable) resolve()
      else socket.write(text, () => { resolve() })
    })
  }

  /** Returns whether the run goes on. */
  async function passEnd (): Promise<boolean> {
    // The end of an answer without framing by a process that goes on is that of a whole answer.
    run.isEnded = end === 'end' && framing === 'connection' && stage !== 'nothing'
    if (end === 'reset') socket.resetAndDestroy()
    else if (end === 'end') socket.end()
    else if (end === 'crash') crash()
    else if (end !== 'silence') {
      await types.delay(SILENCE_MS)
      return true
    }
    return false
  }
}

/** Parses the pieces of a body; null if it holds anything else, but for a part of a piece at the end of an answer that was cut. */
function parsePieces (content: Content, { body, isWhole }: testing.CallerAnswer): Array<readonly [run: number, piece: number]> | null {
  const pattern = content === 'plain' ? /^(\d+)\/(\d+);/ : /^(?:id: \d+\n)?data: (\d+)\/(\d+)\n\n/
  const pieces: Array<readonly [number, number]> = []
  for (let rest = body; rest !== '';) {
    const match = pattern.exec(rest)
    if (match === null) return isWhole || rest.length > formatPiece(content, 1, PIECES).length ? null : pieces
    pieces.push([Number(match[1]), Number(match[2])])
    rest = rest.slice(match[0].length)
  }
  return pieces
}

interface Judged {
  readonly answer: Answer
  readonly runs: readonly Run[]
  readonly received: testing.CallerAnswer
  readonly isRepeatable: boolean
  readonly isResumable: boolean
  /** Whether an answer that is no stream begins to reach its caller only when it is whole. */
  readonly isBuffered: boolean
}

function findFaults ({ answer, runs, received, isRepeatable, isResumable, isBuffered }: Judged): string[] {
  const faults: string[] = []
  const { content, stage, end, framing } = answer
  const isContinued = isResumable && content === 'events'
  if (runs.length === 0) faults.push(`not run: ${received.status} ${received.body}`)
  if (!isRepeatable && runs.length > 1) faults.push(`run more than once: ${runs.map(({ requestId }) => requestId).join()}`)
  const isBroken = end === 'reset' || end === 'crash' || (end === 'end' && (framing !== 'connection' || stage === 'nothing'))
  const mustBeServed = isRepeatable && isBuffered && (isBroken || (end === 'overtaken' && isContinued)) && (isContinued || content === 'plain' || stage !== 'pieces')
  if (mustBeServed && !(received.status === STATUS_OK && received.isWhole)) faults.push(`not served: ${received.status} ${received.body}`)
  if (received.status !== STATUS_OK) return faults
  const pieces = parsePieces(content, received)
  if (pieces === null) return [...faults, `other bytes: ${JSON.stringify(received.body)}`]
  for (const [index, [run, piece]] of pieces.entries()) {
    const before = pieces[index - 1]?.[0] ?? run
    if (piece !== index + 1) faults.push(`piece ${piece} after ${index}`)
    if (run !== before && !(isContinued && runs[run - 1]?.resumedAfter === index)) faults.push(`run ${run} after run ${before}`)
  }
  const last = runs[(pieces.at(-1)?.[0] ?? runs.length) - 1]
  if (received.isWhole && (last?.isEnded !== true || pieces.length !== last.pieces + last.resumedAfter)) faults.push(`looks whole with ${pieces.length} pieces of ${last?.pieces ?? 0}`)
  return faults
}

function describe ({ content, framing, stage, end }: Answer): string {
  return `${content} by ${framing}, ${end} after ${stage}`
}

/** Reads requests from a connection. */
function readRequests (socket: net.Socket, onRequest: (head: string) => void): void {
  let text = ''
  socket.on('error', () => {})
  socket.on('data', (bytes: Buffer) => {
    text += bytes.toString('latin1')
    const headEnd = text.indexOf('\r\n\r\n')
    if (headEnd < 0 || text.length < headEnd + 4 + Number(/\r\ncontent-length: (\d+)/i.exec(text)?.[1] ?? 0)) return
    const head = text.slice(0, headEnd)
    text = ''
    onRequest(head)
  })
}

/** Starts an engine for the calls of one path; another process may send its own to a port that was a listener of its tests before. */
async function startEngine (context: nodeTest.TestContext, path: string, answer: Answer, runs: Run[]): Promise<types.Address> {
  const sockets = new Set<net.Socket>()
  const server = net.createServer((socket) => {
    sockets.add(socket)
    socket.on('close', () => { sockets.delete(socket) })
    readRequests(socket, (head) => {
      if (head.split(' ')[1] !== path) {
        context.diagnostic(`request of another process: ${JSON.stringify(head)}`)
        socket.destroy()
        return
      }
      const requestId = /\r\nRequest-Id: (.*)/i.exec(head)?.[1] ?? ''
      const lastEventId = Number(/\r\nLast-Event-Id: (\d+)/i.exec(head)?.[1] ?? 0)
      void answerRequest({ socket, requestId, lastEventId }, answer, runs, () => {
        server.close()
        for (const each of sockets) each.end()
      })
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, HOST, resolve) })
  context.after(() => {
    server.close()
    for (const socket of sockets) socket.destroy()
  })
  return { host: HOST, port: (server.address() as net.AddressInfo).port }
}

const ROUTES = {
  'an idempotent route': { routeType: 'idempotent', resumable: false },
  'a route whose calls run once': { routeType: 'non_idempotent', resumable: false },
  'a route of streams': { routeType: 'stream', resumable: false },
  'a route of resumable streams': { routeType: 'stream', resumable: true }
} as const

for (const [name, { routeType, resumable }] of Object.entries(ROUTES)) {
  nodeTest.test(`an answer holds one run, or is cut, whatever its back end does (${name})`, LIMIT, async (context) => {
    const fleet = await fleetTesting.createTestFleet(context)
    const prefix = (index: number): string => `/one-run-${process.pid}-${index}/`
    const path = (index: number): string => `${prefix(index)}x`
    const runs = ANSWERS.map((): Run[] => [])
    for (const [index, answer] of ANSWERS.entries()) {
      for (let engine = 0; engine < ENGINES; engine += 1) {
        const address = await startEngine(context, path(index), answer, runs[index] as Run[])
        fleet.store.put(platform.OBJECT_KINDS.backEnds, `i-${index}-${engine}`, testing.describeEngine({ address } as unknown as testing.EngineStandIn, `s-${index}`, 'zone-a'))
      }
    }
    fleet.configure((configuration) => {
      for (const index of ANSWERS.keys()) {
        configuration.services.push({ name: `s-${index}`, healthPath: '/health', maxConnections: 50 })
        configuration.routes.push({ name: `r-${index}`, hostname: 'app.example', pathPrefix: prefix(index), routeType, timeoutMs: TIMEOUT_MS, targetLatencyMs: 100, priority: 1, service: `s-${index}`, maxAttempts: 3, public: true, resumable, gapTargetMs: 100 })
      }
    })
    // Each call has room for its retries at once.
    const gateway = await fleet.startGateway(HOST, [], undefined, { bounds: 'retry_ratio = 10\n' })
    await fleet.waitForRevision(platform.OBJECT_KINDS.backEnds, fleet.store.copy().revision)
    const faults = await Promise.all(ANSWERS.map(async (answer, index) => {
      const received = await fleetTesting.call(gateway, { method: 'POST', path: path(index), id: `c-${process.pid}-${index}`, body: 'ask' })
      const isRepeatable = routeType === 'idempotent' || resumable
      return findFaults({ answer, runs: runs[index] as Run[], received, isRepeatable, isResumable: resumable, isBuffered: true }).map((fault) => `${describe(answer)}: ${fault}`)
    }))
    assert.deepEqual(faults.flat(), [])
  })
}

/** Answers that fail at once would keep entry nodes from sending calls to the back ends of others. */
const GROUPS = CONTENTS.flatMap((content) => (['chunks', 'length', 'connection'] as const).map((framing) => ANSWERS.filter((answer) => answer.content === content && answer.framing === framing)))
const SOUND_ANSWER: Answer = { content: 'plain', framing: 'length', stage: 'nothing', end: 'silence' }

function isSilent ({ end }: Answer): boolean {
  return end === 'silence' || end === 'overtaken' || end === 'returning'
}

async function findFaultsOfOwnInterface (context: nodeTest.TestContext, repeatable: string, answers: readonly Answer[]): Promise<string[]> {
  const runs = answers.map((): Run[] => [])
  const hall = await plainHall.openPlainHall(context, (request: http.IncomingMessage) => {
    const index = Number(request.url?.slice(1))
    request.resume()
    // A run that is not the first one is whole.
    request.once('end', () => { void answerRequest({ socket: request.socket, requestId: 'r', lastEventId: 0 }, answers[index] ?? SOUND_ANSWER, runs[index] ?? [{ requestId: 'r', resumedAfter: 0, pieces: 0, isEnded: true }], hall.crashService) })
  })
  await hall.addService({ repeatable })
  const entry = await hall.startEntry()
  for (let backend = 0; backend < ENGINES; backend += 1) await hall.startBackend(entry)

  async function call (index: number): Promise<testing.CallerAnswer> {
    return await fleetTesting.call(entry.callerAddress as types.Address, { method: 'POST', path: `/services/api/${index}`, id: `c-${index}`, body: 'ask', headers: { 'x-request-timeout-ms': String(TIMEOUT_MS) } })
  }

  async function ask (answer: Answer, index: number): Promise<string[]> {
    const received = await call(index)
    return findFaults({ answer, runs: runs[index] as Run[], received, isRepeatable: repeatable === 'all', isResumable: false, isBuffered: false }).map((fault) => `${describe(answer)}: ${fault}`)
  }

  const waitUntilServed = async (): Promise<void> => { await fleetTesting.waitUntil(async () => (await call(answers.length)).status === STATUS_OK) }
  await waitUntilServed()
  const faults = await Promise.all(answers.map(async (answer, index) => isSilent(answer) ? await ask(answer, index) : []))
  for (const [index, answer] of answers.entries()) {
    if (isSilent(answer)) continue
    await waitUntilServed()
    faults.push(await ask(answer, index))
    await hall.reopenService()
  }
  return faults.flat()
}

for (const repeatable of ['all', 'none']) {
  nodeTest.test(`an answer of the own interface holds one run, or is cut, whatever its back end does (repeatable: ${repeatable})`, LIMIT, async (context) => {
    assert.deepEqual((await Promise.all(GROUPS.map(async (answers) => await findFaultsOfOwnInterface(context, repeatable, answers)))).flat(), [])
  })
}
