/** Brings a backend server to the state that the placement assigns to it: fetches, verifies, loads and serves versions, and unloads replaced ones. */
import * as types from '@switchridge/types'
import type * as membership from '@switchridge/membership'
import type * as observability from '@switchridge/observability'
import * as placement from '@switchridge/placement'
import type * as transfer from '@switchridge/transfer'
import type * as createEngineOrders from '../createEngineOrders/index.js'
import type * as createSelfFacts from '../createSelfFacts/index.js'
import type * as createServedVersions from '../createServedVersions/index.js'
import type * as createTableKeeper from '../createTableKeeper/index.js'
import type * as createWeightsListener from '../createWeightsListener/index.js'
import * as createTransferPlanner from '../_lib/createTransferPlanner.js'

/** Options of {@link createPlacementLoop}. */
export interface PlacementLoopOptions {
  readonly self: createSelfFacts.SelfFacts
  readonly view: membership.MemberView
  readonly keeper: createTableKeeper.TableKeeper
  readonly store: transfer.ChunkStore
  readonly transfer: transfer.TransferManager
  readonly serving: createServedVersions.ServedVersions
  readonly orders: createEngineOrders.EngineOrders
  readonly weights: createWeightsListener.WeightsListener
  readonly plan: createTransferPlanner.TransferPlanner
  readonly logger: observability.Logger
  readonly onServing: () => void
}

/** The reconciliation loop of a backend daemon. */
export interface PlacementLoop {
  /** Re-evaluates the table and the members; steps that had to wait are retried. */
  readonly reconcile: () => void
}

/**
 * Creates the reconciliation loop.
 *
 * @param options - The inputs it reads and the components it controls.
 * @returns The loop.
 */
export function createPlacementLoop (options: PlacementLoopOptions): PlacementLoop {
  const { serving, store, logger } = options
  const loaded = new Map<types.Digest, number>()
  const retiring = new Set<types.Digest>()
  let isRunning = false
  let needsPass = false

  function reconcile (): void {
    const assignments = computeOwnAssignments()
    options.transfer.setWanted(assignments.map((assignment) => options.plan(assignment.row, options.view.members())))
    dropUnwanted(assignments)
    needsPass = true
    if (!isRunning) void runPasses()
  }

  function computeOwnAssignments (): placement.Assignment[] {
    const { node } = options.self.read()
    const placed = placement.computePlacement(options.keeper.current(), options.view.members())
    return placed.assignments.filter((assignment) => assignment.node === node).sort((left, right) => left.order - right.order)
  }

  /** Drops chunks that no assigned version needs, but only once all assigned versions are open in the store, since they may share these chunks. */
  function dropUnwanted (assignments: readonly placement.Assignment[]): void {
    const wanted = new Set(assignments.map((assignment) => assignment.row.manifest))
    const areAllOpen = [...wanted].every((digest) => store.find(digest) !== undefined)
    if (!areAllOpen) return
    for (const digest of store.digests()) if (!wanted.has(digest)) store.drop(digest)
  }

  /** A pass that fails is logged; the next reconciliation starts another one. */
  async function runPasses (): Promise<void> {
    isRunning = true
    try {
      while (needsPass) {
        needsPass = false
        await runPass()
      }
    } catch (thrown) {
      logger.error('placement-failed', { reason: types.describeError(thrown) })
    } finally {
      isRunning = false
    }
  }

  async function runPass (): Promise<void> {
    const assignments = computeOwnAssignments()
    const waiting: string[] = []
    for (const assignment of assignments) {
      const reason = await advanceRow(assignment.row)
      if (reason !== '') waiting.push(`${assignment.row.id}: ${reason}`)
    }
    retireUnassigned(assignments)
    publish(waiting.join('; '))
  }

  /** Takes the next steps for one row; returns what it waits for, or an empty string once the version serves. */
  async function advanceRow (row: types.ModelRow): Promise<string> {
    const current = serving.find(row.id)
    if (current?.manifest === row.manifest) {
      if (current.version !== row.version) serving.set(toServedVersion(row))
      return ''
    }
    const holding = store.find(row.manifest)
    if (holding === undefined) return 'its manifest'
    if (!holding.isComplete()) return `${holding.manifest.chunks.length - holding.count()} of ${holding.manifest.chunks.length} chunks`
    if (row.base !== null && serving.find(row.base) === undefined) return `its base ${row.base}`
    if (!loaded.has(row.manifest)) {
      const reason = await loadVersion(row, holding, current)
      if (reason !== '') return reason
    }
    serving.set(toServedVersion(row))
    logger.info('serving', { row: row.id, version: row.version, manifest: row.manifest })
    options.onServing()
    publish('')
    if (current !== undefined) void retire(current.manifest)
    return ''
  }

  async function loadVersion (row: types.ModelRow, holding: transfer.Holding, current: types.ServedVersion | undefined): Promise<string> {
    if (sumLoadedBytes() + row.bytes > options.self.read().memoryBytes && current !== undefined) {
      if (!placement.mayStopServing(row, options.self.read().node, options.view.members())) return 'its turn to change version'
      serving.remove(row.id)
      publish(`${row.id}: loading`)
      await retire(current.manifest)
    }
    const offer = options.weights.offer(holding)
    const order = { manifest: row.manifest, source: offer.url, bytes: holding.manifest.bytes, fileDigest: holding.manifest.fileDigest }
    const outcome = await options.orders.load(order).finally(offer.withdraw)
    if (!outcome.ok) {
      logger.warn('load-failed', { row: row.id, version: row.version, reason: outcome.error.message })
      return outcome.error.message
    }
    loaded.set(row.manifest, row.bytes)
    return ''
  }

  function sumLoadedBytes (): number {
    return [...loaded.values()].reduce((sum, bytes) => sum + bytes, 0)
  }

  /** Unloads a version that no row serves any more, once the calls pinned to it have ended. */
  async function retire (manifest: types.Digest): Promise<void> {
    if (isServed(manifest) || retiring.has(manifest)) return
    retiring.add(manifest)
    await serving.whenReleased(manifest)
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

function toServedVersion (row: types.ModelRow): types.ServedVersion {
  return { row: row.id, version: row.version, manifest: row.manifest }
}
