/** Guards against an entry node that reads on with bodies of calls that it has refused by their head. */
import * as assert from 'node:assert/strict'
import * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as plainHall from '../_lib/plainHall.js'

const LIMIT = { timeout: 20_000 }
const LONG_BODY = 'Content-Length: 4000000\r\n\r\n'
const ENDLESS_BODY = `Transfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(100_000)}`

nodeTest.test('the connection of a call to no service is closed after its answer if the body is long', LIMIT, async (context) => {
  const hall = await plainHall.openPlainHall(context, (_request, response) => { response.end() })
  const entry = await hall.startEntry()
  for (const body of [LONG_BODY, ENDLESS_BODY]) {
    const socket = net.connect({ host: types.LOOPBACK_HOST, port: entry.callerAddress?.port ?? 0, allowHalfOpen: true })
    context.after(() => { socket.destroy() })
    socket.write(`POST /services/none HTTP/1.1\r\nHost:\r\n${body}`)
    let received = ''
    socket.on('data', (bytes: Buffer) => { received += bytes.toString() })
    await new Promise((resolve, reject) => {
      socket.once('end', resolve)
      socket.once('error', reject)
    })
    assert.match(received, /^HTTP\/1.1 404 /)
  }
})
