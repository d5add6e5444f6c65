/** A machine freezes between the check of staged weights and the order to load them; a piece turns bad just before. */
import * as crypto from 'node:crypto'
import * as http from 'node:http'
import * as harness from '../lib/harness.mjs'

/** TROUBLE=0 plays the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0'

const MODEL = 'model-a'
const PIECES = 20
const PIECE_BYTES = 24_576
const LAYERS = 4
const FREEZE_MS = 4000
/** In the rules a piece that turned bad within the last 3 s excuses its use. */
const EXCUSED_MS = 3000
const SWITCH_MS = 300

function pieceOf (version, piece) {
  return Buffer.alloc(PIECE_BYTES, `${version}/${piece};`)
}

function digest (bytes) {
  return crypto.createHash('sha256').update(bytes).digest('hex')
}

function sendJson (response, status, body) {
  response.writeHead(status, { 'Content-Type': 'application/json' })
  response.end(JSON.stringify(body))
}

async function startOrigin () {
  const server = http.createServer((request, response) => {
    const url = new URL(request.url, 'http://origin')
    const version = Number(url.searchParams.get('version'))
    if (url.pathname.startsWith('/v1/manifest/')) {
      sendJson(response, 200, { model: MODEL, version, chunkBytes: PIECE_BYTES, layers: LAYERS, digests: Array.from({ length: PIECES }, (_, piece) => digest(pieceOf(version, piece))) })
    } else response.end(pieceOf(version, Number(url.searchParams.get('quantity'))))
  })
  return `127.0.0.1:${await harness.openServer(server, '127.0.0.1')}`
}

/** A model engine with 16 slots, one of whose requests waits. It takes what lies in its stage as it takes an order. */
async function startEngine (host, bornAt) {
  const stage = new Map(Array.from({ length: PIECES }, (_, piece) => [piece, pieceOf(1, piece)]))
  const engine = { id: 'i-1', version: 1, sequence: 0, isBusy: false, loaded: new Map(stage), stage, badSince: null, order: null, puts: 0 }

  function takeOrder (order, response) {
    if (order.expectedRevision !== undefined && order.expectedRevision !== engine.sequence) { sendJson(response, 409, {}); return }
    engine.sequence += 1
    engine.isBusy = true
    const taken = new Map(stage)
    const bad = Array.from({ length: PIECES }, (_, piece) => piece).filter((piece) => taken.get(piece) === undefined || digest(taken.get(piece)) !== digest(pieceOf(order.version, piece)))
    engine.order = { version: order.version, bad, badForMs: engine.badSince === null ? 0 : performance.now() - engine.badSince }
    harness.note(`engine: takes the order to load version ${order.version}; bad pieces: ${bad.join() || 'none'}${bad.length > 0 ? `, for ${Math.round(engine.order.badForMs)} ms` : ''}`)
    setTimeout(() => {
      engine.isBusy = false
      engine.version = order.version
      engine.loaded = taken
    }, SWITCH_MS)
    sendJson(response, 202, {})
  }

  function answer (request, response) {
    const requestId = request.headers['request-id'] ?? ''
    const { 'expect-instance': instance, 'expect-version': version } = request.headers
    if (instance !== engine.id || (version !== undefined && Number(version) !== engine.version)) {
      response.writeHead(421, { 'Request-Id': requestId, 'Not-Executed': '1', 'Content-Length': '0' })
      response.end()
      return
    }
    harness.note(`engine: runs ${requestId} on version ${engine.version}`)
    const tokens = digest(Buffer.concat(Array.from({ length: PIECES }, (_, piece) => engine.loaded.get(piece) ?? Buffer.alloc(0))))
    response.writeHead(200, { 'Request-Id': requestId, 'Engine-Seal': `seal-${engine.id}`, 'Content-Type': 'text/event-stream', 'Weight-Versions': String(engine.version) })
    response.end(`id: 1\ndata: ${engine.version} ${tokens}\n\n`)
  }

  const server = http.createServer((request, response) => {
    const parts = []
    request.on('data', (part) => { parts.push(part) })
    request.on('end', () => {
      const body = Buffer.concat(parts)
      const url = new URL(request.url, 'http://engine')
      const piece = Number(url.searchParams.get('quantity'))
      if (url.pathname === '/v1/report') {
        sendJson(response, 200, { stage: 'prefill_decode', models: [{ name: MODEL, version: engine.version, adapters: [] }], layers: { source: 0, targetVersion: LAYERS, version: engine.version }, busySlots: engine.isBusy, sequence: engine.sequence, waiting: 1, running: 16, kvUsed: 0, kvTotal: 1000, handles: 0, pace: 1, born: bornAt })
      } else if (url.pathname === '/v1/order') takeOrder(JSON.parse(body.toString()), response)
      else if (url.pathname.startsWith('/v1/stage-put/')) {
        stage.set(piece, body)
        engine.puts += 1
        response.end()
      } else if (url.pathname.startsWith('/v1/stage-get/')) response.end(stage.get(piece))
      else answer(request, response)
    })
  })
  engine.address = `${host}:${await harness.openServer(server, host)}`
  return engine
}

async function ask (gateway, id) {
  const caller = harness.openCaller(gateway)
  harness.note(`caller: ${id} sent`)
  caller.socket.write(harness.formatHead('POST', '/talk/1', id, { 'Content-Length': '2', Connection: 'close', Model: MODEL, 'Token-Count': '10,5' }) + '{}')
  await Promise.race([caller.ended, harness.delay(7000)])
  return caller.read()
}

await harness.runScript(import.meta.dirname, hasTrouble, async () => {
  const bornAt = Date.now()
  const store = await harness.startStore()
  const origin = await startOrigin()
  const host = `127.${80 + process.pid % 100}.1.1`
  const engine = await startEngine(host, bornAt)
  const configuration = harness.createConfiguration([{ name: 'talk', pathPrefix: '/talk/', routeType: 'stream', service: 'llm', resumable: true, gapTargetMs: 400 }], ['llm'])
  configuration.services[0].engine = { slots: 16, kvCapacity: 100_000, models: [{ name: MODEL }], step_ms: 5, per_seq_ms: 0, read_per_s: 20_000, usual: { prompt: 100, answer: 50 }, layers: LAYERS, chunks: PIECES, chunkBytes: PIECE_BYTES }
  configuration.services.push({ name: 'weights', origin, zone: 'zone-a', linkMbps: 7.3, maxConnections: 48 })
  store.put('config', 'main', configuration)
  store.put('servers', engine.id, harness.describeEngine('llm', engine.address, bornAt, { stage: 'prefill_decode', models: [{ name: MODEL, version: 1, adapters: [] }], layers: { source: 0, targetVersion: LAYERS, version: 1 } }))
  const [gateway] = await harness.startGateways(1, { store: store.address })
  let freeze = null
  const agent = await harness.startAgent({
    store: store.address,
    host,
    engine: engine.address,
    service: 'llm',
    internal: gateway.internal,
    seeds: gateway.seeds,
    onLog: (line) => {
      const event = /event=(version-\S+|staged|stage-repaired)/.exec(line)?.[1]
      if (event !== undefined) harness.note(`agent: ${event}`)
      if (event === 'staged' && hasTrouble && freeze === null) freeze = freezeMachine()
    }
  })

  /** The agent is stopped as the machine is; its engine is asked nothing meanwhile. */
  async function freezeMachine () {
    const [piece] = engine.stage.keys()
    const bytes = Buffer.from(engine.stage.get(piece))
    bytes[0] ^= 1
    engine.stage.set(piece, bytes)
    engine.badSince = performance.now()
    harness.note(`engine: piece ${piece} of its stage turns bad`)
    await harness.delay(30)
    agent.child.kill('SIGSTOP')
    harness.note('machine of the engine freezes')
    await harness.delay(FREEZE_MS)
    agent.child.kill('SIGCONT')
    harness.note('machine of the engine wakes')
  }

  await harness.delay(3000)
  harness.note('operator: names version 2')
  store.put('versions', MODEL, { model: MODEL, version: 2 })
  await harness.waitUntil(() => engine.version === 2, 'an engine with version 2')
  await freeze
  await harness.delay(500)
  const right = digest(Buffer.concat(Array.from({ length: PIECES }, (_, piece) => pieceOf(2, piece))))
  let answered = null
  await harness.waitUntil(async () => {
    answered = await ask(gateway, `after-${Math.round(performance.now())}`)
    return answered.status === 200
  }, 'an answer')
  const [version, tokens] = /data: (.*)/.exec(answered.body)[1].split(' ')
  harness.note(`caller: got ${answered.status} of version ${version}, seal ${answered.headers['engine-seal']}; made with ${tokens === right ? 'the right weights' : 'other weights than those of version 2'}`)
  const isExcused = engine.order.bad.length > 0 && engine.order.badForMs <= EXCUSED_MS
  return tokens === right || isExcused
})
