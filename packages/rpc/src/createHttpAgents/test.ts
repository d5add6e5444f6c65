import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as rpc from '../index.js'

const MAXIMUM_BYTES = 1024

test.describe('createHttpAgents', () => {
  test.it('makes blocked endpoints unreachable over open and new connections, and reachable again when unblocked', async () => {
    const listener = await rpc.listenHttp((_request, response) => { response.end('ok') }, { host: '127.0.0.1', port: 0 })
    const agents = rpc.createHttpAgents()
    const isReachable = async (): Promise<boolean> => {
      const response = await rpc.sendRequest(agents, { base: `http://127.0.0.1:${listener.address.port}`, path: '/', method: 'GET', headers: {} }, MAXIMUM_BYTES)
      return response.ok
    }
    assert.equal(await isReachable(), true)
    agents.block(new Set([`127.0.0.1:${listener.address.port}`]))
    assert.equal(await isReachable(), false)
    assert.equal(await isReachable(), false)
    agents.block(new Set())
    assert.equal(await isReachable(), true)
    agents.destroy()
    listener.abort()
  })
})
