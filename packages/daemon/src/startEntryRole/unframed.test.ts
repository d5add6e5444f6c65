/** Guards against a part of an answer that looks whole because its back end sent neither a length nor chunks. */
import * as assert from 'node:assert/strict'
import type * as net from 'node:net'
import * as nodeTest from 'node:test'
import type * as testing from '@switchridge/platform-testing'
import type * as types from '@switchridge/types'
import * as fleetTesting from '../_lib/fleetTesting.js'
import * as plainHall from '../_lib/plainHall.js'

const LIMIT = { timeout: 60_000 }
const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'
const RESET_DELAY_MS = 20

/** How the service answers, by its path. */
const SERVE: Readonly<Record<string, (socket: net.Socket) => void>> = {
  '/ended': (socket) => { socket.end(`${HEAD}whole`) },
  '/reset': (socket) => { socket.write(`${HEAD}part`, () => { socket.resetAndDestroy() }) },
  '/reset-later': (socket) => { socket.write(`${HEAD}part`, () => { setTimeout(() => { socket.resetAndDestroy() }, RESET_DELAY_MS) }) },
  '/no-content': (socket) => { socket.write('HTTP/1.1 204 No Content\r\n\r\n') },
  '/not-modified': (socket) => { socket.write('HTTP/1.1 304 Not Modified\r\n\r\n') },
  '/head': (socket) => { socket.write('HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n') }
}

nodeTest.test('an answer without a length or chunks is whole only if its connection ended in an orderly way or it can have no body', LIMIT, async (context) => {
  const hall = await plainHall.openPlainHall(context, ({ url = '', socket }) => { SERVE[url]?.(socket) })
  await hall.addService()
  const entry = await hall.startEntry()
  await hall.startBackend(entry)
  let count = 0
  const call = async (path: string, method = 'GET'): Promise<testing.CallerAnswer> => await fleetTesting.call(entry.callerAddress as types.Address, { method, path: `/services/api${path}`, id: `c-${count++}` })
  await fleetTesting.waitUntil(async () => (await call('/ended')).isWhole)
  for (const path of ['/reset', '/reset-later']) {
    assert.equal((await call(path)).isWhole, false)
    await fleetTesting.waitUntil(async () => (await call('/ended')).isWhole)
  }
  const answers = [await call('/ended'), await call('/no-content'), await call('/not-modified'), await call('/head', 'HEAD')]
  assert.deepEqual(answers.map(({ status, body, isWhole }) => [status, body, isWhole]), [[200, 'whole', true], [204, '', true], [304, '', true], [200, '', true]])
})
