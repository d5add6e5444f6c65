import * as https from 'node:https'
import * as http from 'node:http'
import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as selfsigned from 'selfsigned'
import Koa from 'koa'
import * as types from '@switchridge/types'
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

/** More than the kernel's buffers take for a peer that doesn't read. */
const BIG_BYTES = 16_000_000

for (const isSecure of [false, true]) {
  test.it(`a server${isSecure ? ' with TLS' : ''} that closes delivers a response that its peer has not read yet`, { timeout: 20_000 }, async (context) => {
    const tls = isSecure ? await createTlsMaterial() : null
    const listener = await rpc.listenHttp((_request, response) => { response.end(Buffer.alloc(BIG_BYTES)) }, { host: HOST, port: 0, ...(tls === null ? {} : { tls }) })
    context.after(listener.abort)
    const options = { ...listener.address, agent: false }
    const request = tls === null ? http.get(options) : https.get({ ...options, cert: tls.certificate, key: tls.privateKey, ca: tls.authority })
    const response = await new Promise<http.IncomingMessage>((resolve) => { request.once('response', resolve) })
    const closed = listener.close()
    await types.delay(100)
    let size = 0
    response.on('error', () => {})
    response.on('data', (bytes: Buffer) => { size += bytes.length })
    await new Promise<void>((resolve) => { response.once('close', resolve) })
    assert.equal(size, BIG_BYTES)
    await closed
  })
}
