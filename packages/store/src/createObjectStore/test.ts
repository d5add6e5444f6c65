/** Guards against entry nodes that end, or read a list no longer, because of what another writer left in it. */
import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import type * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import * as omitValue from '../omitValue/index.js'
import * as createObjectStore from './index.js'

const LIMIT = { timeout: 20_000 }
const OBJECTS = 15
const DEPTH = 500_000
/** Memory of 15 MB of brackets, once it was parsed, is 400 MB. */
const MAXIMUM_GROWTH_BYTES = 150_000_000
const SOUND = { name: 'sound', version: 7, value: { is: 'sound' } }

type ObjectStore = ReturnType<typeof createObjectStore.createObjectStore>

async function openStore (context: nodeTest.TestContext, status: number, body: string): Promise<ObjectStore> {
  const server = http.createServer((_request, response) => {
    response.statusCode = status
    response.end(body)
  })
  await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
  const agents = rpc.createHttpAgents()
  context.after(() => {
    agents.destroy()
    server.close()
  })
  return createObjectStore.createObjectStore({ url: `http://${types.LOOPBACK_HOST}:${(server.address() as net.AddressInfo).port}`, timeoutMs: LIMIT.timeout, agents })
}

async function list (context: nodeTest.TestContext, body: string): Promise<Awaited<ReturnType<ObjectStore['list']>>> {
  return await (await openStore(context, 200, body)).list('claims', '', OBJECTS)
}

nodeTest.test('refusals hold whatever their body is', LIMIT, async (context) => {
  for (const body of ['', 'no JSON', '{}']) {
    const missing = await (await openStore(context, 404, body)).read('claims', 'a')
    assert.ok(!missing.ok && missing.error instanceof types.NotFoundError)
    const conflict = await (await openStore(context, 412, body)).write('claims', 'a', {}, { absent: true })
    assert.ok(!conflict.ok && conflict.error instanceof types.ConflictError)
  }
})

nodeTest.test('a list is read as the platform wrote it', LIMIT, async (context) => {
  const objects = [SOUND, { name: 'other', version: 8, value: null }]
  assert.deepEqual(await list(context, JSON.stringify(objects, null, 1)), types.succeed(objects))
  for (const body of ['', '{}', '[', '[{]']) assert.equal((await list(context, body)).ok, false, body)
})

nodeTest.test('values without bound are left out of a list, and the other objects hold', LIMIT, async (context) => {
  const spec = '['.repeat(DEPTH) + ']'.repeat(DEPTH)
  const odd = Array.from({ length: OBJECTS - 1 }, (_, index) => `{"name":"odd-${index}","version":1,"value":${spec}}`)
  const body = `[${odd.join()},${JSON.stringify(SOUND)}]`
  const before = process.memoryUsage().heapUsed
  const listed = await list(context, body)
  assert.ok(process.memoryUsage().heapUsed - before < MAXIMUM_GROWTH_BYTES)
  assert.ok(listed.ok && listed.value.length === OBJECTS)
  assert.deepEqual(listed.value.at(-1), SOUND)
  assert.ok(listed.value.slice(0, -1).every(({ name, version, value }) => name.startsWith('odd-') && version === 1 && omitValue.readOmission(value) !== undefined))
})
