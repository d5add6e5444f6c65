/** Guards against an evacuation that the command line does not show. */
import * as assert from 'node:assert/strict'
import * as childProcess from 'node:child_process'
import * as http from 'node:http'
import type * as net from 'node:net'
import * as path from 'node:path'
import * as nodeTest from 'node:test'
import * as url from 'node:url'
import * as util from 'node:util'
import * as types from '@switchridge/types'

const PROGRAM = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../main.js')
const execute = util.promisify(childProcess.execFile)

async function showStatus (context: nodeTest.TestContext, status: unknown): Promise<string> {
  const server = http.createServer((_, response) => { response.end(JSON.stringify(status)) })
  context.after(() => { server.close() })
  await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
  const { port } = server.address() as net.AddressInfo
  return (await execute(process.execPath, [PROGRAM, 'status', '--gateway', `${types.LOOPBACK_HOST}:${port}`])).stdout
}

nodeTest.test('the status of a gateway shows the evacuated data halls', async (context) => {
  const output = await showStatus(context, { evacuations: [{ hall: 'hall-a', revision: 12, ageMs: 61_200 }, { hall: 'hall-b', revision: 13, ageMs: null }] })
  assert.match(output, /^hall-a +12 +61 s$/m)
  assert.match(output, /^hall-b +13 +unknown$/m)
})

nodeTest.test('the status of a gateway says that no data hall is evacuated, also if the gateway is of an earlier version', async (context) => {
  assert.equal(await showStatus(context, { evacuations: [] }), 'no data hall is evacuated\n')
  assert.equal(await showStatus(context, {}), 'no data hall is evacuated\n')
})
