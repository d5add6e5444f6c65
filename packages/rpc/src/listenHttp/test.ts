import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as selfsigned from 'selfsigned'
import Koa from 'koa'
import * as rpc from '../index.js'

const IDENTITY = { deployment: 'depozit', sharedKey: '' }
const HOST = '127.0.0.1'

async function makeMaterial (): Promise<rpc.TlsMaterial> {
  const made = await selfsigned.generate([{ name: 'commonName', value: HOST }], {
    extensions: [
      { name: 'basicConstraints', cA: true },
      { name: 'subjectAltName', altNames: [{ type: 7, ip: HOST }] }
    ]
  })
  return { certificate: made.cert, privateKey: made.private, authority: made.cert }
}

test.describe('listenHttp with keys', () => {
  test.it('lets daemons of one authority in and no others', async () => {
    const [home, strange] = await Promise.all([makeMaterial(), makeMaterial()])
    const app = new Koa()
    app.use(rpc.createRpcServer(IDENTITY, { echo: (params) => params }))
    const listener = await rpc.listenHttp(app.callback(), { host: HOST, port: 0, tls: home })
    const call = async (tls: rpc.TlsMaterial | undefined): Promise<boolean> => {
      const agents = rpc.createHttpAgents(tls)
      const answer = await rpc.createRpcClient(IDENTITY, agents).call(listener.address, 'echo', [1])
      agents.destroy()
      return answer.ok
    }
    assert.equal(await call(home), true)
    assert.equal(await call({ ...strange, authority: home.authority }), false)
    assert.equal(await call(strange), false)
    assert.equal(await call(undefined), false)
    listener.abort()
  })
})
