/** Serves complete versions to the engine on the same node, each under a random URL that only the engine's load order contains. */
import * as crypto from 'node:crypto'
import * as stream from 'node:stream'
import Koa from 'koa'
import type * as transfer from '@switchridge/transfer'
import * as rpc from '@switchridge/rpc'

/** The listener. */
export interface WeightsListener {
  /** Creates a URL from which the engine reads the version, and a function that revokes it. */
  readonly offer: (holding: transfer.Holding) => { readonly url: string, readonly withdraw: () => void }
  readonly close: () => void
}

const LOOPBACK = '127.0.0.1'
const TOKEN_BYTES = 18

/**
 * Opens the listener on the node's loopback address.
 *
 * @returns The listener.
 */
export async function createWeightsListener (): Promise<WeightsListener> {
  const offers = new Map<string, transfer.Holding>()
  const app = new Koa()
  app.on('error', () => {})
  app.use((context) => {
    const holding = offers.get(context.path.slice(1))
    if (holding === undefined) return
    context.length = holding.manifest.bytes
    context.type = 'application/octet-stream'
    context.body = stream.Readable.from(readChunks(holding), { objectMode: false })
  })
  const listener = await rpc.listenHttp(app.callback(), { host: LOOPBACK, port: 0 })
  return {
    offer: (holding) => {
      const token = crypto.randomBytes(TOKEN_BYTES).toString('base64url')
      offers.set(token, holding)
      return { url: `http://${LOOPBACK}:${listener.address.port}/${token}`, withdraw: () => { offers.delete(token) } }
    },
    close: () => { listener.abort() }
  }
}

function * readChunks (holding: transfer.Holding): Generator<Buffer> {
  for (let chunk = 0; chunk < holding.manifest.chunks.length; chunk += 1) {
    const bytes = holding.get(chunk)
    if (bytes === undefined) throw new Error(`chunk ${chunk} was evicted from the store while the engine read the version`)
    yield bytes
  }
}
