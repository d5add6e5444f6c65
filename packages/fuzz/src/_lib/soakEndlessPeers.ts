/** Peers of a soak that send bytes without end: an engine of a service of its own, and callers. */
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import type * as endlessPeer from './endlessPeer.js'
import * as endlessProcesses from './endlessProcesses.js'
import * as endlessShapes from './endlessShapes.js'

/** How bytes without end are sent. */
export interface EndlessBytes {
  readonly gateway: types.Address
  /** Between 0 and 1; picks the shape. */
  readonly target: number
  readonly connections: number
  readonly forMs: number
}

/** Peers that send nothing until they are asked to. */
export interface EndlessPeers {
  /** Lists an engine, calls it over the gateway, and takes it off the list after a time. */
  readonly sendFromEngine: (bytes: EndlessBytes) => Promise<void>
  readonly sendFromCallers: (bytes: EndlessBytes) => Promise<void>
}

/** Route, service and model of the engines. */
export interface EndlessRouteNames {
  readonly path: string
  readonly service: string
  readonly model: string | null
}

const MODEL = 'model-of-endless-engines'
const DEADLINE_MS = 7000
const BODY_BYTES = 900_000
const UNKNOWN_KEY = 'no-key'
const SLOTS = 64
/** Time from the entry of an engine to the first calls for it. */
const LISTING_MS = 300

/** Routes to engines that send without end. */
export const ENDLESS_ROUTES: Readonly<Record<endlessShapes.EndlessRoute, EndlessRouteNames>> = {
  plain: { path: '/endless/', service: 'endless', model: null },
  stream: { path: '/endless-talk/', service: 'endless-llm', model: MODEL },
  resumable: { path: '/endless-stream/', service: 'endless-llm', model: MODEL }
}

/**
 * Creates the peers.
 *
 * @param store - Holds the entries of the engines.
 * @param zone - Zone of the engines.
 * @param key - API key of the callers that have one.
 * @returns The peers.
 */
export function createEndlessPeers (store: testing.StoreStandIn, zone: string, key: string): EndlessPeers {
  let engines = 0

  function describeCallers ({ gateway, connections }: EndlessBytes, route: endlessShapes.EndlessRoute, shape: endlessShapes.CallerShape | null): endlessPeer.CallersProcess {
    const { path, model } = ENDLESS_ROUTES[route]
    const ownKey = shape?.hasKey === false ? UNKNOWN_KEY : key
    return {
      role: 'callers',
      address: gateway,
      connections,
      path: `${path}call`,
      headers: { ...testing.formatCallerHeaders(ownKey, DEADLINE_MS), ...(model === null ? {} : testing.formatModelHeaders(model)) },
      idHeaders: ['request-id'],
      shape,
      bodyBytes: BODY_BYTES
    }
  }

  async function runCallers (callers: endlessPeer.CallersProcess, forMs: number): Promise<void> {
    const peer = await endlessProcesses.startEndlessProcess(callers)
    await types.delay(forMs)
    peer.stop()
  }

  return {
    sendFromEngine: async (bytes) => {
      const shape = pick(endlessShapes.ENGINE_SHAPES, bytes.target)
      const { service, model } = ENDLESS_ROUTES[shape.route]
      const { stop, addresses: [address] } = await endlessProcesses.startEndlessProcess({ role: 'engine', shape: shape.name, addresses: 1 })
      if (address === undefined) throw new Error('an engine without an address')
      const id = `i-endless-${engines++}`
      const entry = testing.describeEngine({ address }, service, zone, model === null ? undefined : { name: model, version: 1 }) as object
      store.put(platform.OBJECT_KINDS.backEnds, id, { ...entry, slots: SLOTS })
      await types.delay(LISTING_MS)
      await runCallers(describeCallers(bytes, shape.route, null), bytes.forMs)
      store.remove(platform.OBJECT_KINDS.backEnds, id)
      stop()
    },
    sendFromCallers: async (bytes) => {
      const shape = pick(endlessShapes.CALLER_SHAPES, bytes.target)
      await runCallers(describeCallers(bytes, 'plain', shape), bytes.forMs)
    }
  }
}

/**
 * Adds the routes and services of engines that send without end to a configuration.
 *
 * @param configuration - The configuration, which has a route and a service with streams.
 */
export function addEndlessRoutes (configuration: testing.Configuration): void {
  const read = configuration.routes.find((route) => !testing.isStreamRoute(route))
  const stream = configuration.routes.find(testing.isStreamRoute)
  const streamService = configuration.services.find(({ name }) => name === stream?.['service'])
  const engine = streamService?.['engine'] as object | undefined
  for (const [kind, { path, service, model }] of Object.entries(ENDLESS_ROUTES)) {
    const name = path.replaceAll('/', '')
    configuration.routes.push({ ...(model === null ? read : stream), name, pathPrefix: path, service, ...(model === null ? {} : { resumable: kind === 'resumable' }) })
  }
  configuration.services.push(
    { ...streamService, name: ENDLESS_ROUTES.plain.service, engine: undefined },
    { ...streamService, name: ENDLESS_ROUTES.stream.service, engine: { ...engine, models: [{ name: MODEL }] } }
  )
}

function pick<Item> (items: readonly Item[], target: number): Item {
  return items[Math.floor(target * items.length)] as Item
}
