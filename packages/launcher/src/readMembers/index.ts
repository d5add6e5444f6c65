/** Queries the daemons of a fleet over RPC, mainly for their status. */
import type * as membership from '@switchridge/membership'
import * as rpc from '@switchridge/rpc'
import type * as types from '@switchridge/types'
import type * as startFleet from '../startFleet/index.js'

/** The part of a daemon's status that the demo and the measurements read. */
export interface NodeStatus {
  readonly self: types.MemberFacts
  readonly members: readonly membership.Member[]
  readonly transfers: ReadonlyArray<{ readonly digest: string, readonly counts: Record<string, number> | null }>
  readonly counts: Record<string, number>
  readonly platformCalls: Record<string, number>
  readonly traffic: rpc.TrafficCounters
  readonly process: { readonly cpuSeconds: number, readonly residentBytes: number, readonly peakResidentBytes: number, readonly uptimeSeconds: number }
}

const TIMEOUT_MS = 5000
const agents = rpc.createHttpAgents()

/**
 * Calls an RPC method of a daemon.
 *
 * @param fleet - The fleet.
 * @param node - The daemon.
 * @param method - Name of the method.
 * @param params - Its parameters.
 * @returns The result, or null if the call failed.
 */
export async function callNode<Result> (fleet: Pick<startFleet.Fleet, 'deployment' | 'sharedKey'>, node: Pick<startFleet.FleetNode, 'address'>, method: string, params: unknown): Promise<Result | null> {
  const client = rpc.createRpcClient({ deployment: fleet.deployment, sharedKey: fleet.sharedKey }, agents)
  const answer = await client.call<Result>(node.address, method, params, TIMEOUT_MS)
  return answer.ok ? answer.value : null
}

/**
 * Reads the status of several daemons concurrently.
 *
 * @param fleet - The fleet.
 * @param nodes - The daemons.
 * @returns The statuses of the daemons that answered.
 */
export async function readStatuses (fleet: Pick<startFleet.Fleet, 'deployment' | 'sharedKey'>, nodes: readonly startFleet.FleetNode[]): Promise<NodeStatus[]> {
  const statuses = await Promise.all(nodes.map(async (node) => await callNode<NodeStatus>(fleet, node, 'status', {})))
  return statuses.filter((status) => status !== null)
}

/**
 * Reads the member list of the first entry node that answers.
 *
 * @param fleet - The fleet.
 * @returns The members; empty if no entry node answers.
 */
export async function readMembers (fleet: startFleet.Fleet): Promise<readonly membership.Member[]> {
  for (const entry of fleet.entryNodes) {
    const status = await callNode<NodeStatus>(fleet, entry, 'status', {})
    if (status !== null) return status.members
  }
  return []
}
