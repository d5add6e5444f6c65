import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as selfsigned from 'selfsigned'
import Koa from 'koa'
import * as rpc from '../index.js'

const IDENTITY = { deployment: 'depozit', sharedKey: '' }
const HOST = '127.0.0.1'

async function createTlsMaterial (): Promise<rpc.TlsMaterial> {
  const generated = await selfsigned.generate([{ name: 'commonName', value: HOST }], {
    extensions: [
      { name: 'basicConstraints', cA: true },
      { name: 'subjectAltName', altNames: [{ type: 7, ip: HOST }] }
    ]
  })
  return { certificate: generated.cert, privateKey: generated.private, authority: generated.cert }
}

test.describe('listenHttp with TLS', () => {
  test.it('accepts only clients with a certificate of the same authority', async () => {
    const [trusted, untrusted] = await Promise.all([createTlsMaterial(), createTlsMaterial()])
    const app = new Koa()
    app.use(rpc.createRpcServer(IDENTITY, { echo: (params) => params }))
    const listener = await rpc.listenHttp(app.callback(), { host: HOST, port: 0, tls: trusted })
    const isAccepted = async (tls: rpc.TlsMaterial | undefined): Promise<boolean> => {
      const agents = rpc.createHttpAgents(tls)
      const outcome = await rpc.createRpcClient(IDENTITY, agents).call(listener.address, 'echo', [1])
      agents.destroy()
      return outcome.ok
    }
    assert.equal(await isAccepted(trusted), true)
    assert.equal(await isAccepted({ ...untrusted, authority: trusted.authority }), false)
    assert.equal(await isAccepted(untrusted), false)
    assert.equal(await isAccepted(undefined), false)
    listener.abort()
  })
})
