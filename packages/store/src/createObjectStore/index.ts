/** The platform's object API over HTTP: entity tags, If-Match and If-None-Match (RFC 9110). */
import * as got from 'got'
import * as types from '@switchridge/types'
import type * as rpc from '@switchridge/rpc'
import type * as platform from '../types/index.js'

/** Options of {@link createObjectStore}. */
export interface ObjectStoreOptions {
  readonly url: string
  /** Milliseconds until a call counts as unanswered; watches wait longer. */
  readonly timeoutMs: number
  /** Key of this process at the platform. */
  readonly key?: string
  readonly agents: rpc.HttpAgents
  /** Told of each call, a waiting watch included. */
  readonly onCall?: (operation: 'read' | 'write' | 'list' | 'watch' | 'remove') => void
}

const WATCH_TIMEOUT_MS = 15_000
const RETRY_AFTER_DEFAULT_MS = 1000

/**
 * Creates a client of the object API.
 *
 * @param options - Address, time limits and key.
 * @returns The store; outcomes are values and nothing is retried here.
 */
export function createObjectStore (options: ObjectStoreOptions): platform.ObjectStore {
  const client = got.got.extend({
    prefixUrl: options.url,
    agent: { http: options.agents.http, https: options.agents.https },
    headers: options.key === undefined ? {} : { authorization: `Bearer ${options.key}` },
    timeout: { request: options.timeoutMs },
    retry: { limit: 0 },
    throwHttpErrors: false,
    responseType: 'json'
  })
  const announce = options.onCall ?? (() => {})

  async function send (path: string, request: got.OptionsOfJSONResponseBody): Promise<types.Outcome<got.Response<unknown>, types.UnavailableError>> {
    try {
      const response = await client(path, request) as got.Response<unknown>
      if (response.statusCode === 429 || response.statusCode >= 500) return types.fail(describeUnavailable(response))
      return types.succeed(response)
    } catch (thrown) {
      return types.fail(new types.UnavailableError(`platform: ${types.describeError(thrown)}`))
    }
  }

  return {
    read: async (kind, name) => {
      announce('read')
      const sent = await send(formatPath(kind, name), { method: 'GET' })
      if (!sent.ok) return sent
      if (sent.value.statusCode === 404) return types.fail(new types.NotFoundError(`${kind}/${name} does not exist`))
      return types.succeed(readObject(name, sent.value))
    },
    write: async (kind, name, value, condition) => {
      announce('write')
      const headers = 'absent' in condition ? { 'if-none-match': '*' } : { 'if-match': formatTag(condition.version) }
      const sent = await send(formatPath(kind, name), { method: 'PUT', json: value, headers })
      if (!sent.ok) return sent
      if (sent.value.statusCode === 412) return types.fail(new types.ConflictError(`${kind}/${name} has another version`))
      if (sent.value.statusCode === 413) return types.fail(new types.ConflictError(`${kind}/${name} is larger than the platform takes`))
      return types.succeed(readTag(sent.value))
    },
    remove: async (kind, name, version) => {
      announce('remove')
      const sent = await send(formatPath(kind, name), { method: 'DELETE', headers: { 'if-match': formatTag(version) } })
      if (!sent.ok) return sent
      if (sent.value.statusCode === 404) return types.fail(new types.NotFoundError(`${kind}/${name} does not exist`))
      if (sent.value.statusCode === 412) return types.fail(new types.ConflictError(`${kind}/${name} has another version`))
      return types.succeed(null)
    },
    list: async (kind, from, limit) => {
      announce('list')
      const sent = await send(`objects/${kind}`, { method: 'GET', searchParams: { from, limit } })
      if (!sent.ok) return sent
      return types.succeed(sent.value.body as platform.VersionedObject[])
    },
    watch: async (kind, name, version, signal) => {
      announce('watch')
      const sent = await send(`watch/${kind}/${encodeURIComponent(name)}`, { method: 'GET', searchParams: { version }, signal, timeout: { request: WATCH_TIMEOUT_MS } })
      if (!sent.ok) return sent
      return types.succeed(sent.value.statusCode === 200 ? readObject(name, sent.value) : null)
    }
  }
}

function formatPath (kind: string, name: string): string {
  return `objects/${kind}/${encodeURIComponent(name)}`
}

function formatTag (version: number): string {
  return `"${version}"`
}

function readTag (response: got.Response<unknown>): number {
  return Number((response.headers.etag ?? '').replaceAll('"', ''))
}

function readObject (name: string, response: got.Response<unknown>): platform.VersionedObject {
  return { name, version: readTag(response), value: response.body }
}

function describeUnavailable (response: got.Response<unknown>): types.UnavailableError {
  const seconds = Number(response.headers['retry-after'])
  const retryAfterMs = Number.isFinite(seconds) ? seconds * types.MILLISECONDS_IN_SECOND : RETRY_AFTER_DEFAULT_MS
  return new types.UnavailableError(`platform: status ${response.statusCode}`, retryAfterMs)
}
