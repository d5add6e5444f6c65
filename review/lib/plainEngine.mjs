/** A plain engine of the review: checks for whom a request is, runs it for some time and answers it whole. */
import * as http from 'node:http'
import * as harness from './harness.mjs'

const STATUS_MISDIRECTED = 421

/**
 * Starts an engine and returns what it ran.
 *
 * @param id - Its id, which requests must name.
 * @param workMs - Milliseconds that a request runs.
 */
export async function startPlainEngine (id, workMs, host = '127.0.0.1') {
  const runs = []
  const server = http.createServer((request, response) => {
    const requestId = request.headers['request-id'] ?? ''
    const parts = []
    request.on('data', (part) => { parts.push(part) })
    request.on('end', () => {
      if (request.headers['expect-instance'] !== id) {
        response.writeHead(STATUS_MISDIRECTED, { 'Request-Id': requestId, 'Not-Executed': '1', 'Content-Length': '0' })
        response.end()
        return
      }
      const run = { requestId, bytes: Buffer.concat(parts).length, isWhole: false }
      runs.push(run)
      const timer = setTimeout(() => {
        const body = `answer to ${requestId}`
        response.writeHead(200, { 'Request-Id': requestId, 'Engine-Seal': `seal-${id}`, 'Content-Type': 'text/plain', 'Content-Length': String(body.length) })
        response.end(body)
        run.isWhole = true
      }, workMs)
      response.on('close', () => { clearTimeout(timer) })
    })
    request.on('error', () => {})
    response.on('error', () => {})
  })
  server.keepAliveTimeout = 30_000
  const port = await harness.openServer(server, host)
  return { id, address: `${host}:${port}`, runs }
}
