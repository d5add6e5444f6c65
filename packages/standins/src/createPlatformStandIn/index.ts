/** Stand-in for the platform: object API with versions, conditional updates, watches and rate limits, and a node list that lags behind. */
import * as timers from 'node:timers/promises'
import Koa from 'koa'
import * as platform from '@switchridge/store'
import * as rpc from '@switchridge/rpc'
import * as types from '@switchridge/types'
import * as admin from '../_lib/admin.js'

/** Faults that the platform can simulate. */
export interface PlatformFaults {
  /** Whether every request is answered with status 503. */
  isDown: boolean
  /** Delay of each response in milliseconds. */
  delayMs: number
  /** Number of writes still to come that take effect but whose response is lost. */
  loseAnswers: number
  /** Delay in milliseconds until a change appears in the node list. */
  nodeLagMs: number
}

const READS_PER_SECOND = 2000
const WRITES_PER_SECOND = 100
const WATCH_TIMEOUT_MS = 10_000
const OBJECT_PATH = /^\/objects\/([\w-]+)\/([^/]+)$/
const LIST_PATH = /^\/objects\/([\w-]+)$/
const WATCH_PATH = /^\/watch\/([\w-]+)\/([^/]+)$/

interface NodeChange {
  readonly node: string
  readonly state: 'live' | 'leaving' | 'gone'
  readonly at: number
}

/** Creates a token bucket that holds one second's worth of calls. */
function createRateLimiter (perSecond: number): types.TokenBucket {
  return types.createTokenBucket({ perSecond, capacity: perSecond, tokens: perSecond, now: () => performance.now() })
}

/**
 * Creates the stand-in for the platform.
 *
 * @returns A koa application.
 */
export function createPlatformStandIn (): Koa {
  const app = new Koa()
  const store = platform.createMemoryObjectStore()
  const faults: PlatformFaults = { isDown: false, delayMs: 0, loseAnswers: 0, nodeLagMs: 3000 }
  const counts: Record<string, number> = { read: 0, write: 0, list: 0, watch: 0, nodes: 0, limited: 0 }
  const reads = createRateLimiter(READS_PER_SECOND)
  const writes = createRateLimiter(WRITES_PER_SECOND)
  const nodeChanges: NodeChange[] = []

  const count = (name: string): void => { counts[name] = (counts[name] ?? 0) + 1 }

  function rejectIfLimited (context: Koa.Context): boolean {
    const bucket = context.method === 'GET' ? reads : writes
    if (bucket.tryTake()) return false
    count('limited')
    context.status = 429
    context.set('retry-after', '1')
    return true
  }

  async function readObject (context: Koa.Context, kind: string, name: string): Promise<void> {
    count('read')
    answerObject(context, await store.read(kind, name))
  }

  function answerObject (context: Koa.Context, found: types.Outcome<platform.VersionedObject | null>): void {
    if (!found.ok) {
      context.status = 404
    } else if (found.value === null) {
      context.status = 204
    } else {
      context.set('etag', `"${found.value.version}"`)
      context.body = found.value.value as object
    }
  }

  async function writeObject (context: Koa.Context, kind: string, name: string): Promise<void> {
    count('write')
    const body = await rpc.readJson(context, types.MAXIMUM_OBJECT_BYTES)
    if (!body.ok) {
      context.status = 413
      return
    }
    const condition = context.get('if-none-match') === '*' ? { absent: true } as const : { version: readVersion(context) }
    const written = await store.write(kind, name, body.value, condition)
    if (faults.loseAnswers > 0) {
      faults.loseAnswers -= 1
      context.req.socket.destroy()
      return
    }
    context.status = written.ok ? 200 : 412
    if (written.ok) context.set('etag', `"${written.value}"`)
    context.body = {}
  }

  function readVersion (context: Koa.Context): number {
    return Number(context.get('if-match').replaceAll('"', ''))
  }

  async function removeObject (context: Koa.Context, kind: string, name: string): Promise<void> {
    count('write')
    const removed = await store.remove(kind, name, readVersion(context))
    context.status = removed.ok ? 200 : removed.error instanceof types.NotFoundError ? 404 : 412
    context.body = {}
  }

  async function watchObject (context: Koa.Context, kind: string, name: string): Promise<void> {
    count('watch')
    const abort = new AbortController()
    context.req.once('close', () => { abort.abort() })
    const timer = setTimeout(() => { abort.abort() }, WATCH_TIMEOUT_MS)
    answerObject(context, await store.watch(kind, name, Number(context.query['version'] ?? 0), abort.signal))
    clearTimeout(timer)
  }

  async function listObjects (context: Koa.Context, kind: string): Promise<void> {
    count('list')
    const listed = await store.list(kind, String(context.query['from'] ?? ''), Number(context.query['limit'] ?? 100))
    context.body = listed.ok ? listed.value : []
  }

  function listNodes (context: Koa.Context): void {
    count('nodes')
    const states = new Map<string, NodeChange['state']>()
    for (const change of nodeChanges) if (change.at + faults.nodeLagMs <= performance.now()) states.set(change.node, change.state)
    context.body = [...states.entries()].filter(([, state]) => state !== 'gone').map(([node, state]) => ({ node, state }))
  }

  async function changeNode (context: Koa.Context): Promise<void> {
    const body = await rpc.readJson(context)
    if (body.ok) nodeChanges.push({ ...body.value as { node: string, state: NodeChange['state'] }, at: performance.now() })
    context.body = {}
  }

  app.use(admin.createAdmin(faults, () => counts))
  app.use(async (context) => {
    if (context.path === '/admin/nodes' && context.method === 'POST') {
      await changeNode(context)
      return
    }
    if (faults.isDown) {
      context.status = 503
      return
    }
    if (faults.delayMs > 0) await timers.setTimeout(faults.delayMs)
    if (rejectIfLimited(context)) return
    const object = OBJECT_PATH.exec(context.path)
    const list = LIST_PATH.exec(context.path)
    const watch = WATCH_PATH.exec(context.path)
    if (object !== null) {
      const [kind, name] = [object[1] ?? '', decodeURIComponent(object[2] ?? '')]
      if (context.method === 'PUT') await writeObject(context, kind, name)
      else if (context.method === 'DELETE') await removeObject(context, kind, name)
      else await readObject(context, kind, name)
    } else if (list !== null) {
      await listObjects(context, list[1] ?? '')
    } else if (watch !== null) {
      await watchObject(context, watch[1] ?? '', decodeURIComponent(watch[2] ?? ''))
    } else if (context.path === '/nodes') {
      listNodes(context)
    }
  })
  return app
}
