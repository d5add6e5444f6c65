import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as rpc from '../index.js'

test.describe('createHttpAgents', () => {
  test.it('makes blocked hosts unreachable, on open and on new connections, and reachable again', async () => {
    const listener = await rpc.listenHttp((_request, response) => { response.end('ok') }, { host: '127.0.0.1', port: 0 })
    const agents = rpc.createHttpAgents()
    const ask = async (): Promise<boolean> => {
      const answer = await rpc.sendRequest(agents, { base: `http://127.0.0.1:${listener.address.port}`, path: '/', method: 'GET', headers: {} })
      return answer.ok
    }
    assert.equal(await ask(), true)
    agents.block(new Set([`127.0.0.1:${listener.address.port}`]))
    assert.equal(await ask(), false)
    assert.equal(await ask(), false)
    agents.block(new Set())
    assert.equal(await ask(), true)
    agents.destroy()
    listener.abort()
  })
})
