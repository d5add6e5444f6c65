/** Brings a backend server to what the placement asks of it: fetch, check, load, serve, and retire what is replaced. */
import * as types from '@switchridge/types'
import type * as membership from '@switchridge/membership'
import type * as observability from '@switchridge/observability'
import * as placement from '@switchridge/placement'
import type * as transfer from '@switchridge/transfer'
import type * as createEngineOrders from '../createEngineOrders/index.js'
import type * as createSelfFacts from '../createSelfFacts/index.js'
import type * as createServing from '../createServing/index.js'
import type * as createTableKeeper from '../createTableKeeper/index.js'
import type * as createWeightsListener from '../createWeightsListener/index.js'
import * as planTransfer from '../_lib/planTransfer.js'

/** Options of {@link createPlacementLoop}. */
export interface PlacementLoopOptions {
  readonly self: createSelfFacts.SelfFacts
  readonly view: membership.MemberView
  readonly keeper: createTableKeeper.TableKeeper
  readonly store: transfer.ChunkStore
  readonly transfer: transfer.Transfer
  readonly serving: createServing.Serving
  readonly orders: createEngineOrders.EngineOrders
  readonly weights: createWeightsListener.WeightsListener
  readonly plan: planTransfer.PlanTransfer
  readonly logger: observability.Logger
  readonly onServing: () => void
}

/** The loop of a backend daemon. */
export interface PlacementLoop {
  /** Looks at the table and the members again; steps that wait for something are taken up when it is there. */
  readonly reconcile: () => void
}

/**
 * Creates the loop.
 *
 * @param options - What it looks at and acts on.
 * @returns The loop.
 */
export function createPlacementLoop (options: PlacementLoopOptions): PlacementLoop {
  const { serving, store, logger } = options
  const loaded = new Map<types.Digest, number>()
  const retiring = new Set<types.Digest>()
  let isActing = false
  let isStale = false

  function reconcile (): void {
    const assignments = computeOwn()
    options.transfer.setWanted(assignments.map((assignment) => options.plan(assignment.row, options.view.members())))
    dropUnwanted(assignments)
    isStale = true
    if (!isActing) void act()
  }

  function computeOwn (): placement.Assignment[] {
    const { node } = options.self.read()
    const placed = placement.computePlacement(options.keeper.current(), options.view.members())
    return placed.assignments.filter((assignment) => assignment.node === node).sort((left, right) => left.order - right.order)
  }

  /** Gives up chunks that nothing needs, once versions that may share them are open. */
  function dropUnwanted (assignments: readonly placement.Assignment[]): void {
    const wanted = new Set(assignments.map((assignment) => assignment.row.manifest))
    const areOpen = [...wanted].every((digest) => store.find(digest) !== undefined)
    if (!areOpen) return
    for (const digest of store.digests()) if (!wanted.has(digest)) store.drop(digest)
  }

  async function act (): Promise<void> {
    isActing = true
    while (isStale) {
      isStale = false
      const assignments = computeOwn()
      const waiting: string[] = []
      for (const assignment of assignments) {
        const reason = await advance(assignment.row)
        if (reason !== '') waiting.push(`${assignment.row.id}: ${reason}`)
      }
      retireUnassigned(assignments)
      publish(waiting.join('; '))
    }
    isActing = false
  }

  /** Takes the next steps of one row; returns what it waits for, or nothing when it serves. */
  async function advance (row: types.ModelRow): Promise<string> {
    const current = serving.find(row.id)
    if (current?.manifest === row.manifest) {
      if (current.version !== row.version) serving.set(toServed(row))
      return ''
    }
    const holding = store.find(row.manifest)
    if (holding === undefined) return 'its manifest'
    if (!holding.isComplete()) return `${holding.manifest.chunks.length - holding.count()} of ${holding.manifest.chunks.length} chunks`
    if (row.base !== null && serving.find(row.base) === undefined) return `its base ${row.base}`
    if (!loaded.has(row.manifest)) {
      const reason = await load(row, holding, current)
      if (reason !== '') return reason
    }
    serving.set(toServed(row))
    logger.info('serving', { row: row.id, version: row.version, manifest: row.manifest })
    options.onServing()
    publish('')
    if (current !== undefined) void retire(current.manifest)
    return ''
  }

  async function load (row: types.ModelRow, holding: transfer.Holding, current: types.ServedVersion | undefined): Promise<string> {
    if (usedMemory() + row.bytes > options.self.read().memoryBytes && current !== undefined) {
      if (!placement.mayLeaveVersion(row, options.self.read().node, options.view.members())) return 'its turn to change version'
      serving.remove(row.id)
      publish(`${row.id}: loading`)
      await retire(current.manifest)
    }
    const offer = options.weights.offer(holding)
    const order = { manifest: row.manifest, source: offer.url, bytes: holding.manifest.bytes, fileDigest: holding.manifest.fileDigest }
    const outcome = await options.orders.load(order)
    offer.withdraw()
    if (!outcome.ok) {
      logger.warn('load-failed', { row: row.id, version: row.version, reason: outcome.error.message })
      return outcome.error.message
    }
    loaded.set(row.manifest, row.bytes)
    return ''
  }

  function usedMemory (): number {
    return [...loaded.values()].reduce((sum, bytes) => sum + bytes, 0)
  }

  /** Unloads a version that no row serves any more, after the calls that hold it have ended. */
  async function retire (manifest: types.Digest): Promise<void> {
    if (isServed(manifest) || retiring.has(manifest)) return
    retiring.add(manifest)
    await serving.drained(manifest)
    retiring.delete(manifest)
    const bytes = loaded.get(manifest)
    if (isServed(manifest) || bytes === undefined) return
    loaded.delete(manifest)
    const outcome = await options.orders.unload(manifest)
    if (outcome.ok) return
    logger.warn('unload-failed', { manifest, reason: outcome.error.message })
    loaded.set(manifest, bytes)
  }

  function isServed (manifest: types.Digest): boolean {
    return serving.list().some((served) => served.manifest === manifest)
  }

  function retireUnassigned (assignments: readonly placement.Assignment[]): void {
    const rows = new Set(assignments.map((assignment) => assignment.row.id))
    for (const served of serving.list()) if (!rows.has(served.row)) serving.remove(served.row)
    const wanted = new Set(assignments.map((assignment) => assignment.row.manifest))
    for (const manifest of loaded.keys()) if (!wanted.has(manifest)) void retire(manifest)
  }

  function publish (waitingFor: string): void {
    options.self.update({ serving: serving.list(), holding: store.digests(), waitingFor })
  }

  return { reconcile }
}

function toServed (row: types.ModelRow): types.ServedVersion {
  return { row: row.id, version: row.version, manifest: row.manifest }
}
