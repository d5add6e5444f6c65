/** Kills a gateway while it passes on a stream that its engine sends with neither a length nor chunks. */
import * as net from 'node:net'
import * as harness from '../lib/harness.mjs'

/** TROUBLE=0 plays the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0'

const EVENTS = 20
const EVENT_MS = 150
const GATEWAYS = 3
const STREAMS_EACH = 2

/** Sends a stream whose end is that of its connection, as the pages allow. */
function answerStream (socket, id, runs) {
  let sent = 0
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nEngine-Seal: seal-${id}\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n`)
  const timer = setInterval(() => {
    sent += 1
    socket.write(`id: ${sent}\ndata: piece-${sent}\n\n`)
    if (sent < EVENTS) return
    clearInterval(timer)
    socket.end()
    runs.set(id, 'whole')
    harness.note(`engine: ${id} answered with ${EVENTS} events`)
  }, EVENT_MS)
  socket.on('close', () => { clearInterval(timer) })
}

async function startEngine (runs) {
  const server = net.createServer((socket) => {
    let text = ''
    let isAnswered = false
    socket.on('error', () => {})
    socket.on('data', (part) => {
      text += part.toString('latin1')
      const id = /\r\nRequest-Id: (.*?)\r\n/i.exec(text)?.[1]
      if (isAnswered || id === undefined || !text.includes('\r\n\r\n')) return
      isAnswered = true
      runs.set(id, 'begun')
      harness.note(`engine: ${id} begun`)
      answerStream(socket, id, runs)
    })
  })
  return await harness.openServer(server, '127.0.0.1')
}

await harness.runScript(import.meta.dirname, hasTrouble, async () => {
  const runs = new Map()
  const store = await harness.startStore()
  const port = await startEngine(runs)
  store.put('config', 'main', harness.createConfiguration([{ name: 'talk', pathPrefix: '/talk/', routeType: 'stream', service: 'chat', gapTargetMs: 400 }], ['chat']))
  store.put('servers', 'i-1', harness.describeEngine('chat', `127.0.0.1:${port}`, Date.now()))
  const gateways = await harness.startGateways(GATEWAYS, { store: store.address })
  const callers = gateways.flatMap((gateway, at) => Array.from({ length: STREAMS_EACH }, (_, index) => {
    const caller = harness.openCaller(gateway)
    const id = `stream-${at + 1}-${index + 1}`
    harness.note(`caller: ${id} sent to gateway ${at + 1}`)
    caller.socket.write(harness.formatHead('POST', '/talk/1', id, { 'Content-Length': '2' }) + '{}')
    return { id, caller }
  }))
  await harness.waitUntil(() => callers.every(({ caller }) => caller.read().body.split('\n\n').length > 4), 'streams that have begun')
  if (hasTrouble) {
    gateways[0].child.kill('SIGKILL')
    harness.note('gateway 1 killed')
  }
  await Promise.all(callers.map(async ({ caller }) => { await Promise.race([caller.ended, harness.delay(8000)]) }))
  let held = true
  for (const { id, caller } of callers) {
    const { status, headers, body, framing, isWhole } = caller.read()
    const events = body.split('\n\n').length - 1
    harness.note(`caller: ${id} got status ${status}, seal ${headers['engine-seal']}, end marked by ${framing}, connection ${caller.ending}, ${events} of ${EVENTS} events, looks ${isWhole ? 'whole' : 'cut'}; at the engine: ${runs.get(id)}`)
    if (isWhole && events < EVENTS) held = false
    if (!hasTrouble && (!isWhole || events < EVENTS)) held = false
  }
  return held
})
