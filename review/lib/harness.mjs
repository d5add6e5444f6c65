/** What the scripts of the review share: free ports, processes of the program, a store, a caller and the record. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as readline from 'node:readline'

const START_TIMEOUT_MS = 20_000
const EXIT_HELD = 0
const EXIT_BROKEN = 1
const EXIT_NOT_RUN = 2
/** Longest time for a whole script. */
const LIMIT_MS = 110_000
const ROOT = path.resolve(import.meta.dirname, '../..')

export const HOST = 'app.example'
export const KEY = 'key-of-tenant-one'

const startedAt = performance.now()
const lines = []
const children = new Set()
const closers = []
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'switchridge-review-'))

/** Adds a line to the record. */
export function note (text) {
  lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`)
}

export async function delay (ms) {
  await new Promise((resolve) => { setTimeout(resolve, ms) })
}

export async function waitUntil (condition, what, timeoutMs = START_TIMEOUT_MS) {
  const endsAt = performance.now() + timeoutMs
  while (!await condition()) {
    if (performance.now() > endsAt) throw new Error(`not in time: ${what}`)
    await delay(50)
  }
}

async function listen (server, host, port = 0) {
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return server.address().port
}

async function findPort (host) {
  const server = net.createServer()
  const port = await listen(server, host)
  await new Promise((resolve) => { server.close(resolve) })
  return port
}

/** Starts a server that is closed at the end of the script. */
export async function openServer (server, host, port = 0) {
  closers.push(() => {
    server.close()
    server.closeAllConnections?.()
  })
  return await listen(server, host, port)
}

/** Starts a store that follows the pages: pages of a list, watches, revisions and its era. */
export async function startStore (host = '127.0.0.1') {
  const kinds = new Map()
  const history = []
  const watchers = new Set()
  let revision = 0

  function put (kind, name, spec) {
    revision += 1
    const objects = kinds.get(kind) ?? new Map()
    kinds.set(kind, objects)
    const object = { metadata: { name, revision, made: revision, finalizers: [], deleting: false }, spec, status: null }
    objects.set(name, object)
    history.push({ kind, revision, gone: false, object })
    for (const notify of [...watchers]) notify()
  }

  function remove (kind, name) {
    const object = kinds.get(kind)?.get(name)
    if (object === undefined) return
    revision += 1
    kinds.get(kind).delete(name)
    history.push({ kind, revision, gone: true, object })
    for (const notify of [...watchers]) notify()
  }

  function send (response, status, body) {
    response.writeHead(status, { 'content-type': 'application/json', 'store-era': '1' })
    response.end(JSON.stringify(body))
  }

  const server = http.createServer((request, response) => {
    const url = new URL(request.url, 'http://store')
    const kind = url.pathname.split('/')[3]
    request.resume()
    if (request.method !== 'GET') { send(response, 409, {}); return }
    if (!url.searchParams.has('watch')) {
      send(response, 200, { items: [...(kinds.get(kind)?.values() ?? [])], more: false, at: revision })
      return
    }
    const from = Number(url.searchParams.get('watch'))
    const respond = (isOver) => {
      const events = history.filter((change) => change.kind === kind && change.revision > from)
      if (events.length === 0 && !isOver) return
      clearTimeout(timer)
      watchers.delete(notify)
      send(response, 200, { events: events.map(({ gone, object }) => ({ gone, object })), at: revision })
    }
    const notify = () => { respond(false) }
    const timer = setTimeout(() => { respond(true) }, Number(url.searchParams.get('waitMs') ?? 0))
    response.on('close', () => {
      clearTimeout(timer)
      watchers.delete(notify)
    })
    watchers.add(notify)
    notify()
  })
  const port = await openServer(server, host)
  return { address: `${host}:${port}`, put, remove }
}

/** A configuration with one tenant, whose routes go to plain services. */
export function createConfiguration (routes, services) {
  return {
    version: 1,
    routes: routes.map((route) => ({ hostname: HOST, timeoutMs: 6000, targetLatencyMs: 500, priority: 1, public: false, maxAttempts: 2, ...route })),
    services: services.map((name) => ({ name, healthPath: '/health', maxConnections: 100 })),
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
    tenants: [{ name: 'tenant-one', apiKeys: [KEY], priority: 1 }]
  }
}

/** The entry of an engine in service discovery. */
export function describeEngine (service, address, bornAt, more = {}) {
  return { service, address, zone: 'zone-a', version: 'v1', slots: 16, state: 'ready', coldRemainingMs: 0, sequence: 0, born: bornAt, ...more }
}

/** Finds a port that is free at all hosts. */
async function findCommonPort (hosts) {
  for (;;) {
    const port = await findPort(hosts[0])
    const isFree = await Promise.all(hosts.slice(1).map(async (host) => {
      const server = net.createServer()
      try {
        await listen(server, host, port)
        return true
      } catch {
        return false
      } finally {
        server.close()
      }
    }))
    if (!isFree.includes(false)) return port
  }
}

/** Starts gateways of one data hall, each at a loopback address of its own. */
export async function startGateways (count, options) {
  const hosts = Array.from({ length: count }, (_, index) => `127.${80 + process.pid % 100}.0.${index + 1}`)
  const [internal, control] = [await findCommonPort(hosts), await findCommonPort(hosts)]
  const seeds = hosts.map((host) => `${host}:${control}`)
  return await Promise.all(hosts.map(async (host, index) => await startGateway({ ...options, host, node: `front-a-${index + 1}`, internal, control, seeds })))
}

/** Starts a gateway with the command of the deploy file, with the settings of its template. */
export async function startGateway ({ store, host = '127.0.0.1', node = 'front-a-1', limits = '', ...fixed }) {
  const [callers, readiness, metrics] = await Promise.all(Array.from({ length: 3 }, async () => await findPort(host)))
  const internal = fixed.internal ?? await findPort(host)
  const control = fixed.control ?? await findPort(host)
  const seeds = fixed.seeds ?? [`${host}:${control}`]
  const file = path.join(folder, `${node}.toml`)
  fs.writeFileSync(file, `role = "gateway"
node = "${node}"
zone = "zone-a"
region = "region-a"
zones = ["zone-a"]
host = "${host}"
seeds = [${seeds.map((seed) => `"${seed}"`).join()}]
internal_port = ${internal}
[listen]
callers = "${host}:${callers}"
readiness = "${host}:${readiness}"
control = "${host}:${control}"
[store]
address = "${store}"
[regions]
"zone-a" = "region-a"
[limits]
link_megabits_per_second = 1000
grace_seconds = 8
memory_megabytes = 350
${limits}[bounds]
version_ms = 8000
contact_ms = 3000
configuration_ms = 2000
retry_ratio = 0.2
retry_slack = 102
retry_window_seconds = 10
[metrics]
port = ${metrics}
`)
  const logFile = path.join(folder, `${node}.log`)
  const log = fs.openSync(logFile, 'w')
  const child = childProcess.spawn('node', ['--max-old-space-size=160', 'target/switchridged.js', '--settings', file], { cwd: ROOT, stdio: ['ignore', log, log] })
  children.add(child)
  const exited = new Promise((resolve) => { child.once('exit', (code, signal) => { resolve({ code, signal }) }) })
  const gateway = { host, port: callers, child, exited, internal, seeds, readLog: () => fs.readFileSync(logFile, 'utf8') }
  await waitUntil(async () => {
    if (child.exitCode !== null) throw new Error(`the gateway ended: ${gateway.readLog()}`)
    return await isReady(host, readiness)
  }, 'a gateway that is ready')
  note(`gateway ${node} is ready`)
  return gateway
}

/** Starts an agent beside an engine with the command of the deploy file, with the settings of its template. `onLog` gets each line of its log. */
export async function startAgent ({ store, host, engine, service, node = 'side-a-1', onLog, ...fixed }) {
  const file = path.join(folder, `${node}.toml`)
  const metrics = await findPort(host)
  fs.writeFileSync(file, `role = "agent"
node = "${node}"
zone = "zone-a"
region = "region-a"
zones = ["zone-a"]
host = "${host}"
seeds = [${fixed.seeds.map((seed) => `"${seed}"`).join()}]
internal_port = ${fixed.internal}
[listen]
[store]
address = "${store}"
[engine]
address = "${engine}"
service = "${service}"
[regions]
"zone-a" = "region-a"
[limits]
link_megabits_per_second = 7.3
grace_seconds = 8
memory_megabytes = 218
[bounds]
version_ms = 8000
contact_ms = 3000
configuration_ms = 2000
retry_ratio = 0.2
retry_slack = 102
retry_window_seconds = 10
[metrics]
port = ${metrics}
`)
  const child = childProcess.spawn('node', ['--max-old-space-size=96', 'target/switchridged.js', '--settings', file], { cwd: ROOT, stdio: ['ignore', 'pipe', 'ignore'] })
  children.add(child)
  readline.createInterface({ input: child.stdout }).on('line', onLog)
  note(`agent ${node} started`)
  return { child }
}

async function isReady (host, port) {
  return await new Promise((resolve) => {
    const request = http.get({ host, port, path: '/v1/readiness', agent: false }, (response) => {
      response.resume()
      resolve(response.statusCode === 200)
    })
    request.on('error', () => { resolve(false) })
  })
}

/** Formats the head of a request; headers are added to those that every caller sends. */
export function formatHead (method, target, id, headers = {}) {
  const all = { Host: HOST, 'Request-Id': id, 'Deadline-Remaining': '6000', Authorization: `Bearer ${KEY}`, ...headers }
  return `${method} ${target} HTTP/1.1\r\n${Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`
}

/**
 * Opens a caller's connection and collects what arrives. `ending` tells how it ended: `open`, `closed` in an orderly way, or `reset`.
 */
export function openCaller ({ host, port }) {
  const socket = net.connect({ host, port })
  const caller = { socket, bytes: Buffer.alloc(0), ending: 'open' }
  caller.ended = new Promise((resolve) => {
    socket.on('end', () => { if (caller.ending === 'open') caller.ending = 'closed' })
    socket.on('error', () => { caller.ending = 'reset' })
    socket.on('close', resolve)
  })
  socket.on('data', (part) => { caller.bytes = Buffer.concat([caller.bytes, part]) })
  caller.read = () => parseResponse(caller)
  closers.push(() => { socket.destroy() })
  return caller
}

/** Describes results in their order, those that repeat once with their number. */
export function formatRuns (results) {
  const runs = []
  for (const result of results) {
    const last = runs.at(-1)
    if (last?.result === result) last.count += 1
    else runs.push({ result, count: 1 })
  }
  return runs.map(({ result, count }) => `${result} x${count}`).join(', ')
}

/**
 * Reads a response as RFC 9112 (section 6.3) tells: it is whole by its chunks, by its length, or, with neither, by the orderly close of its connection.
 */
export function parseResponse ({ bytes, ending }) {
  const text = bytes.toString('latin1')
  const headEnd = text.indexOf('\r\n\r\n')
  if (headEnd < 0) return { status: 0, headers: {}, body: '', framing: 'none', isWhole: false }
  const [statusLine, ...headerLines] = text.slice(0, headEnd).split('\r\n')
  const headers = Object.fromEntries(headerLines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const rest = text.slice(headEnd + 4)
  const status = Number(statusLine.split(' ')[1])
  if (headers['transfer-encoding'] === 'chunked') return { status, headers, framing: 'chunks', ...parseChunks(rest) }
  if (headers['content-length'] !== undefined) return { status, headers, framing: 'length', body: rest, isWhole: rest.length === Number(headers['content-length']) }
  return { status, headers, framing: 'connection', body: rest, isWhole: ending === 'closed' }
}

function parseChunks (rest) {
  let body = ''
  let at = 0
  for (;;) {
    const lineEnd = rest.indexOf('\r\n', at)
    if (lineEnd < 0) return { body, isWhole: false }
    const size = parseInt(rest.slice(at, lineEnd), 16)
    if (size === 0) return { body, isWhole: true }
    body += rest.slice(lineEnd + 2, lineEnd + 2 + size)
    at = lineEnd + 2 + size + 2
  }
}

/**
 * Runs a script, with or without its disruption: `play` returns whether the rule held. Ends what was started, writes the record beside the script and exits with 0 if the rule held, 1 if it was
 * broken and 2 if the script could not run.
 */
export async function runScript (scriptFolder, hasTrouble, play) {
  const watchdog = setTimeout(() => { finish(EXIT_NOT_RUN, 'the script took too long') }, LIMIT_MS)
  let code = EXIT_NOT_RUN
  let text = ''
  try {
    const held = await play()
    code = held ? EXIT_HELD : EXIT_BROKEN
    text = held ? 'the rule held' : 'the rule was broken'
  } catch (thrown) {
    text = `could not run: ${thrown.stack}`
  }
  finish(code, text)

  function finish (exitCode, result) {
    clearTimeout(watchdog)
    note(result)
    // A stopped process is ended by it, too.
    for (const child of children) child.kill('SIGKILL')
    for (const close of closers) close()
    fs.writeFileSync(path.join(scriptFolder, 'record.txt'), `${hasTrouble ? 'with' : 'without'} the disruption\n${lines.join('\n')}\n`)
    fs.rmSync(folder, { recursive: true, force: true })
    process.stdout.write(`${result}\n`)
    process.exit(exitCode)
  }
}
