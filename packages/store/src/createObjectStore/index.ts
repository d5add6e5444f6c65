/** HTTP client of the platform's object API, with conditional requests by ETag, If-Match and If-None-Match (RFC 9110). */
import type * as http from 'node:http'
import * as got from 'got'
import * as types from '@switchridge/types'
import * as rpc from '@switchridge/rpc'
import type * as platform from '../types/index.js'
import * as limitHeldBytes from '../limitHeldBytes/index.js'
import * as omitValue from '../omitValue/index.js'
import * as scanJson from '../scanJson/index.js'
import * as selectLargest from '../selectLargest/index.js'

/** Options of {@link createObjectStore}. */
export interface ObjectStoreOptions {
  readonly url: string
  /** Timeout of a request in milliseconds; watches have a longer one. */
  readonly timeoutMs: number
  /** API key of this process at the platform, sent as bearer token. */
  readonly key?: string
  readonly agents: rpc.HttpAgents
  /** Called at the start of each operation, such as a watch that waits. */
  readonly onCall?: (operation: 'read' | 'write' | 'list' | 'watch' | 'remove') => void
}

/** A response with its parsed body. */
interface ObjectResponse {
  readonly statusCode: number
  readonly headers: http.IncomingHttpHeaders
  readonly body: unknown
}

const WATCH_TIMEOUT_MS = 15_000
const DEFAULT_RETRY_AFTER_MS = 1000
/** Room for sixteen objects of the largest size; those that are listed, of call blocks, have a few hundred bytes each. */
const MAXIMUM_RESPONSE_BYTES = 16 * types.MAXIMUM_OBJECT_BYTES

/**
 * Creates a client of the object API.
 *
 * @param options - URL, timeout, API key and connection pools.
 * @returns The store; failures are returned as outcomes and nothing is retried.
 */
export function createObjectStore (options: ObjectStoreOptions): platform.ObjectStore {
  const client = got.got.extend({
    prefixUrl: options.url,
    agent: { http: options.agents.http, https: options.agents.https },
    headers: options.key === undefined ? {} : { authorization: `Bearer ${options.key}` },
    timeout: { request: options.timeoutMs },
    retry: { limit: 0 },
    throwHttpErrors: false,
    responseType: 'buffer'
  })
  const reportCall = options.onCall ?? (() => {})

  async function send (path: string, request: got.OptionsOfBufferResponseBody, parseBody = parseJson): Promise<types.Outcome<ObjectResponse, types.UnavailableError>> {
    try {
      const response = await rpc.limitDownload(client(path, request), MAXIMUM_RESPONSE_BYTES)
      if (response.statusCode === 429 || response.statusCode >= 500) return types.fail(createUnavailableError(response))
      return types.succeed({ statusCode: response.statusCode, headers: response.headers, body: response.ok ? parseBody(response.body) : null })
    } catch (thrown) {
      return types.fail(new types.UnavailableError(`platform: ${types.describeError(thrown)}`))
    }
  }

  return {
    read: async (kind, name) => {
      reportCall('read')
      const sent = await send(formatPath(kind, name), { method: 'GET' })
      if (!sent.ok) return sent
      if (sent.value.statusCode === 404) return types.fail(new types.NotFoundError(`${kind}/${name} does not exist`))
      return types.succeed(parseObject(name, sent.value))
    },
    write: async (kind, name, value, condition) => {
      reportCall('write')
      const headers = 'absent' in condition ? { 'if-none-match': '*' } : { 'if-match': formatETag(condition.version) }
      const sent = await send(formatPath(kind, name), { method: 'PUT', json: value, headers })
      if (!sent.ok) return sent
      if (sent.value.statusCode === 412) return types.fail(new types.ConflictError(`${kind}/${name} has another version`))
      if (sent.value.statusCode === 413) return types.fail(new types.ConflictError(`${kind}/${name} is larger than the platform takes`))
      return types.succeed(parseETag(sent.value))
    },
    remove: async (kind, name, version) => {
      reportCall('remove')
      const sent = await send(formatPath(kind, name), { method: 'DELETE', headers: { 'if-match': formatETag(version) } })
      if (!sent.ok) return sent
      if (sent.value.statusCode === 404) return types.fail(new types.NotFoundError(`${kind}/${name} does not exist`))
      if (sent.value.statusCode === 412) return types.fail(new types.ConflictError(`${kind}/${name} has another version`))
      return types.succeed(null)
    },
    list: async (kind, from, limit) => {
      reportCall('list')
      const sent = await send(`objects/${kind}`, { method: 'GET', searchParams: { from, limit } }, parseList)
      if (!sent.ok) return sent
      return types.succeed(sent.value.body as platform.VersionedObject[])
    },
    watch: async (kind, name, version, signal) => {
      reportCall('watch')
      const sent = await send(`watch/${kind}/${encodeURIComponent(name)}`, { method: 'GET', searchParams: { version }, signal, timeout: { request: WATCH_TIMEOUT_MS } })
      if (!sent.ok) return sent
      return types.succeed(sent.value.statusCode === 200 ? parseObject(name, sent.value) : null)
    }
  }
}

function formatPath (kind: string, name: string): string {
  return `objects/${kind}/${encodeURIComponent(name)}`
}

function formatETag (version: number): string {
  return `"${version}"`
}

function parseETag (response: ObjectResponse): number {
  return Number((response.headers.etag ?? '').replaceAll('"', ''))
}

function parseObject (name: string, response: ObjectResponse): platform.VersionedObject {
  return { name, version: parseETag(response), value: response.body }
}

function createUnavailableError (response: ObjectResponse): types.UnavailableError {
  const seconds = Number(response.headers['retry-after'])
  const retryAfterMs = Number.isFinite(seconds) ? seconds * types.MILLISECONDS_IN_SECOND : DEFAULT_RETRY_AFTER_MS
  return new types.UnavailableError(`platform: status ${response.statusCode}`, retryAfterMs)
}

function parseJson (body: Buffer): unknown {
  return body.length === 0 ? null : JSON.parse(body.toString())
}

/** Parses a list; the values of objects that are nested too deeply, or of the largest if all together take too much memory, are omitted. */
function parseList (body: Buffer): unknown {
  const elements = scanJson.findElements(body, 0)
  if (elements === null) throw new SyntaxError('the body is no list')
  const tooLarge = selectLargest.selectLargest(elements.map(limitHeldBytes.estimateHeldBytes), limitHeldBytes.MAXIMUM_HELD_BYTES)
  return elements.map((element, index) => {
    const isOmitted = tooLarge.has(index) || element.depth > limitHeldBytes.MAXIMUM_DEPTH
    return isOmitted ? parseWithoutValue(body, element) : scanJson.parseExtent(body, element)
  })
}

function parseWithoutValue (body: Buffer, { start }: scanJson.Extent): unknown {
  const members = [...scanJson.findMembers(body, start) ?? []].filter(([, { depth }]) => depth === 0)
  return { ...Object.fromEntries(members.map(([key, extent]) => [key, scanJson.parseExtent(body, extent)])), value: omitValue.omitValue('too large, or nested too deeply') }
}
