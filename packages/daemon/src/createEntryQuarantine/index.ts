/** Keeps calls that crash back ends away from the other back ends. An entry node asks the daemon beside a back end whether the back end terminated, and shares facts with other entry nodes by JSON-RPC. */
import * as quarantine from '@switchridge/quarantine'
import type * as rpc from '@switchridge/rpc'
import * as spread from '@switchridge/spread'
import type * as store from '@switchridge/store'
import * as types from '@switchridge/types'
import type * as createCommonParts from '../createCommonParts/index.js'
import * as createSharedQuarantine from '../createSharedQuarantine/index.js'
import * as schemas from '../_lib/schemas.js'

/** The part of the quarantine that an entry node uses while it handles a call. */
export interface EntryGuard extends Pick<createSharedQuarantine.SharedQuarantine, 'isActive' | 'readBlockedMs' | 'noteServed' | 'onBlocked'> {
  /** Records a call that was lost at a backend daemon; resolves once it is known whether the back end there terminated. */
  readonly noteLost: (backend: types.MemberFacts, call: quarantine.CallFeatures) => Promise<void>
}

/** The quarantine of an entry node. */
export interface EntryQuarantine {
  readonly guard: EntryGuard
  /** RPC methods that other entry nodes call. */
  readonly methods: Record<string, rpc.RpcMethod>
  /** Whether this entry node has tried to load the blocks in force, or has had enough time to receive them from peers. */
  readonly isInitialized: () => boolean
  /** Counters for operators: remembered terminations of back ends, and blocked calls. */
  readonly counts: () => { readonly 'quarantine.ends': number, readonly 'quarantine.blocked': number }
  readonly stop: () => void
}

/** Options of {@link createEntryQuarantine}. */
export interface EntryQuarantineOptions {
  readonly parts: createCommonParts.CommonParts
  /** Whether this entry node reads the platform's store on behalf of others. */
  readonly mayAskStore: () => boolean
}

export const FACTS_METHOD = 'facts'
export const ENDED_METHOD = 'back-end.ended'
/** Longest wait for the answer whether a back end terminated; a busy daemon needs some time, and an undetected termination costs one more back end. */
const ENDED_CALL_TIMEOUT_MS = 1000
const FACTS_CALL_TIMEOUT_MS = 1000
const TICK_INTERVAL_MS = 250
/** Page size of the list; there are few blocks, since expired ones are removed. */
const BLOCK_LIST_LIMIT = 1000

/**
 * Creates the quarantine of an entry node.
 *
 * @param options - The daemon's parts.
 * @returns The quarantine.
 */
export function createEntryQuarantine ({ parts, mayAskStore }: EntryQuarantineOptions): EntryQuarantine {
  const { logger, now, settings, view } = parts
  const count = (name: string, labels: Readonly<Record<string, string>> = {}): void => { parts.metrics.increment(`quarantine.${[name, ...Object.values(labels)].join('.')}`) }
  const shared = createSharedQuarantine.createSharedQuarantine({
    settings: settings.quarantine,
    store: adaptStore(parts.store),
    mayAskStore,
    publishFact: (content, ttlMs, ageMs) => { facts.publish(content, ttlMs, ageMs) },
    onReportedEnd: () => {},
    logger,
    count,
    now,
    timeOfDay: Date.now,
    random: parts.random
  })
  let isStopped = false
  const facts = spread.createFactExchange({
    zone: settings.data_hall,
    peers: () => listEntryNodes().map(({ node, dataHall }) => ({ host: node, zone: dataHall })),
    send: (node, bytes) => { void sendFacts(node, bytes) },
    onFact: shared.noteFact,
    onDrop: () => { count('facts_unreadable') },
    schedule: (delayMs, action) => { setTimeout(() => { if (!isStopped) action() }, delayMs) },
    now,
    random: parts.random
  })
  const timer = setInterval(facts.tick, TICK_INTERVAL_MS)

  function listEntryNodes (): types.MemberFacts[] {
    return view.members().filter((member) => member.facts.role === 'entry' && member.condition === 'live' && member.facts.node !== settings.node).map((member) => member.facts)
  }

  /** Not retried: entry nodes compare their facts regularly, which makes up for lost messages. */
  async function sendFacts (node: string, bytes: Buffer): Promise<void> {
    const member = view.find(types.brandId<types.NodeId>(node))
    if (member === undefined || isStopped) return
    const sent = await parts.client.call(member.facts.address, FACTS_METHOD, { node: settings.node, text: bytes.toString() }, FACTS_CALL_TIMEOUT_MS)
    if (!sent.ok) logger.debug('facts-not-sent', { node, error: sent.error.message })
  }

  async function noteLost (backend: types.MemberFacts, call: quarantine.CallFeatures): Promise<void> {
    if (!settings.quarantine.enabled || backend.service === null) return
    const response = await parts.client.call<string | null>(backend.address, ENDED_METHOD, {}, ENDED_CALL_TIMEOUT_MS)
    const verdict = !response.ok ? 'unknown' : response.value === null ? 'lives' : 'ended'
    count('calls_lost', { verdict })
    if (!response.ok || typeof response.value !== 'string') return
    shared.noteEnd({ life: types.brandId<types.BackEndInstanceId>(response.value), name: backend.node, service: backend.service }, call)
  }

  return {
    guard: { isActive: shared.isActive, readBlockedMs: shared.readBlockedMs, noteServed: shared.noteServed, onBlocked: shared.onBlocked, noteLost },
    methods: {
      [FACTS_METHOD]: (params) => {
        const { node, text } = schemas.factsMessageSchema.parse(params)
        facts.receive(Buffer.from(text), node)
        return null
      }
    },
    isInitialized: shared.isInitialized,
    counts: () => ({ 'quarantine.ends': shared.countEnds(), 'quarantine.blocked': shared.blocks().length }),
    stop: () => {
      isStopped = true
      clearInterval(timer)
      shared.stop()
    }
  }
}

/** Adapts the object API to the store interface of the block archive. */
function adaptStore (objects: store.ObjectStore): createSharedQuarantine.SharedQuarantineOptions['store'] {
  return {
    listAll: async (kind) => {
      const listed = await objects.list(kind, '', BLOCK_LIST_LIMIT)
      if (!listed.ok) return listed
      return types.succeed({ at: 0, objects: listed.value.map(({ name, version, value }) => ({ name, revision: version, value })) })
    },
    put: async (kind, name, value, revision) => await objects.write(kind, name, value, revision === null ? { absent: true } : { version: revision }),
    remove: async (kind, name, revision) => {
      const removed = await objects.remove(kind, name, revision)
      if (removed.ok || removed.error instanceof types.NotFoundError) return types.succeed(null)
      return types.fail(removed.error)
    }
  }
}
