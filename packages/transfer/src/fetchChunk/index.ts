/** Fetches weights over HTTP: chunks and manifests from peers, byte ranges and manifests from the origin. */
import * as got from 'got'
import * as types from '@switchridge/types'
import * as rpc from '@switchridge/rpc'

/** The node that sends a request. */
export const NODE_HEADER = 'x-switchridge-node'
/** Chunks that the sender of a request or an answer holds: a bitmap in base64. */
export const HAVE_HEADER = 'x-switchridge-have'
/** Other nodes that hold the chunk; sent with a refusal. */
export const HOLDERS_HEADER = 'x-switchridge-holders'
/** Number of uploads that wait or are being sent at the answering node. */
export const BACKLOG_HEADER = 'x-switchridge-backlog'

/** The peer answered without the chunk: it is busy or does not hold it. */
export class ChunkRefusedError extends types.SwitchridgeError {}

/** What a peer reports about itself with an answer. */
export interface PeerReport {
  /** Its bitmap in base64; empty when not reported. */
  readonly have: string
  /** Number of its uploads that wait or are being sent. */
  readonly backlog: number
  /** Other nodes that hold the chunk, if the peer has no free slot. */
  readonly holders: readonly types.NodeId[]
}

/** A peer's answer to a chunk request. */
export interface ChunkAnswer {
  readonly report: PeerReport
  readonly outcome: types.Outcome<Buffer, ChunkRefusedError | types.UnavailableError>
}

/** Options of {@link fetchChunk}. */
export interface FetchOptions {
  readonly agents: rpc.HttpAgents
  readonly identity: rpc.Identity
  readonly self: types.NodeId
  readonly timeoutMs: number
  readonly signal: AbortSignal
}

const OK = 200
/** Room for 250,000 chunks: a terabyte of weights in chunks of 4 MiB. */
export const MAXIMUM_MANIFEST_BYTES = 16 * types.BYTES_IN_MEBIBYTE
/** The text of a refusal may be longer than a small chunk. */
const MAXIMUM_REFUSAL_BYTES = 4096
const EMPTY_REPORT: PeerReport = { have: '', backlog: 0, holders: [] }

/**
 * Fetches one chunk from a peer.
 *
 * @param address - Address of the peer.
 * @param digest - Digest of the manifest.
 * @param chunk - Number of the chunk.
 * @param have - This node's own bitmap in base64, sent along for the peer to record.
 * @param chunkBytes - Size of the chunk in bytes; a longer body is a failure.
 * @param options - Connection pools, identity and limits.
 * @returns The bytes, not verified, and what the peer reports about itself.
 */
export async function fetchChunk (address: types.Address, digest: types.Digest, chunk: number, have: string, chunkBytes: number, options: FetchOptions): Promise<ChunkAnswer> {
  const sent = await rpc.sendRequest(options.agents, {
    base: rpc.formatBaseUrl(options.agents, address),
    path: `/chunks/${digest}/${chunk}`,
    method: 'GET',
    headers: { ...rpc.createIdentityHeaders(options.identity), [NODE_HEADER]: options.self, [HAVE_HEADER]: have },
    timeoutMs: options.timeoutMs,
    signal: options.signal
  }, Math.max(chunkBytes, MAXIMUM_REFUSAL_BYTES))
  if (!sent.ok) return { report: EMPTY_REPORT, outcome: sent }
  const { status, headers, body } = sent.value
  const report = {
    have: String(headers[HAVE_HEADER] ?? ''),
    backlog: Number(headers[BACKLOG_HEADER] ?? 0),
    holders: String(headers[HOLDERS_HEADER] ?? '').split(' ').filter((node) => node !== '').map((node) => types.brandId<types.NodeId>(node))
  }
  return { report, outcome: status === OK ? types.succeed(body) : types.fail(new ChunkRefusedError(`status ${status}`)) }
}

/**
 * Fetches a manifest from a peer.
 *
 * @param address - Address of the peer.
 * @param digest - Digest of the manifest.
 * @param options - Connection pools, identity and limits.
 * @returns The bytes, not verified.
 */
export async function fetchManifest (address: types.Address, digest: types.Digest, options: FetchOptions): Promise<types.Outcome<Buffer, types.UnavailableError>> {
  const url = `${rpc.formatBaseUrl(options.agents, address)}/manifests/${digest}`
  return await fetchBody(url, rpc.createIdentityHeaders(options.identity), options)
}

/**
 * Fetches the manifest stored next to a weights file at the origin.
 *
 * @param url - The weights file.
 * @param options - Connection pools and limits.
 * @returns The bytes, not verified.
 */
export async function fetchOriginManifest (url: string, options: Omit<FetchOptions, 'identity' | 'self'>): Promise<types.Outcome<Buffer, types.UnavailableError>> {
  return await fetchBody(`${url}.manifest.json`, {}, options)
}

/** A byte range from the origin, as far as it was received. */
export interface OriginAnswer {
  readonly bytes: Buffer
  /** Why the range is incomplete; undefined when it is complete. */
  readonly error?: types.UnavailableError
}

/**
 * Fetches a byte range from the origin. Bytes received before a failure are returned, so that they need not be read twice.
 *
 * @param url - The weights file.
 * @param from - Offset of the first byte.
 * @param length - Number of bytes.
 * @param options - Connection pools and limits.
 * @returns The bytes received, not verified, with an error if the range is incomplete.
 */
export async function fetchOriginRange (url: string, from: number, length: number, options: Omit<FetchOptions, 'identity' | 'self'>): Promise<OriginAnswer> {
  const collector = rpc.createByteCollector(length)
  let framing: rpc.FramingBound | null = null
  try {
    const stream = got.got.stream(url, { ...createRequestOptions(options), throwHttpErrors: true, headers: { range: `bytes=${from}-${from + length - 1}` } })
    stream.on('error', ignoreLateError)
    rpc.boundRedirections(stream)
    stream.on('response', (response: got.Response) => {
      framing = rpc.createFramingBound(response, length)
      if (response.statusCode !== 206) stream.destroy(new types.UnavailableError(`status ${response.statusCode} for a range`))
    })
    for await (const part of stream as AsyncIterable<Buffer>) {
      // Breaking off closes the connection.
      if (collector.readLength() + part.length > length) throw new types.UnavailableError(`more than the ${length} bytes of a range`)
      if ((framing as rpc.FramingBound | null)?.accept(part.length) === false) throw new types.UnavailableError('the framing of a range exceeds it')
      collector.append(part)
    }
    const bytes = collector.take()
    return bytes.length === length ? { bytes } : { bytes, error: new types.UnavailableError(`${bytes.length} of ${length} bytes`) }
  } catch (thrown) {
    return { bytes: collector.take(), error: new types.UnavailableError(types.describeError(thrown)) }
  }
}

/** A request that is aborted after its end emits an error that nothing awaits any more; without a listener it would be thrown. */
function ignoreLateError (): void {}

async function fetchBody (url: string, headers: Record<string, string>, options: Omit<FetchOptions, 'identity' | 'self'>): Promise<types.Outcome<Buffer, types.UnavailableError>> {
  try {
    const response = await rpc.limitDownload(got.got(url, { ...createRequestOptions(options), headers, responseType: 'buffer' }), MAXIMUM_MANIFEST_BYTES)
    if (response.statusCode === 200) return types.succeed(response.rawBody)
    return types.fail(new types.UnavailableError(`status ${response.statusCode} for ${url}`))
  } catch (thrown) {
    return types.fail(new types.UnavailableError(types.describeError(thrown)))
  }
}

function createRequestOptions (options: Pick<FetchOptions, 'agents' | 'timeoutMs' | 'signal'>) {
  return {
    agent: { http: options.agents.http, https: options.agents.https },
    timeout: { request: options.timeoutMs },
    retry: { limit: 0 },
    decompress: false,
    throwHttpErrors: false,
    signal: AbortSignal.any([options.signal])
  }
}
