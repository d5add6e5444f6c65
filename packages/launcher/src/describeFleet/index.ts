/** Fleet plans of two deployments, at their current sizes. */

/** A service and the number of its backend servers in each data hall. */
export interface ServicePlan {
  readonly name: string
  readonly kind: 'engine' | 'plain'
  /** Number of backend servers in each data hall, in the order of the halls. */
  readonly perHall: readonly number[]
}

/** Data halls, entry nodes and services of a fleet to start. */
export interface FleetPlan {
  readonly deployment: string
  readonly halls: ReadonlyArray<{ readonly id: string, readonly region: string, readonly entryNodes: number }>
  readonly services: readonly ServicePlan[]
  readonly favour: 'time' | 'origin-bytes'
}

const DEPOZIT: FleetPlan = {
  deployment: 'depozit',
  halls: [
    { id: 'buc-hala-a', region: 'bucuresti', entryNodes: 3 },
    { id: 'cluj-hala-b', region: 'cluj', entryNodes: 2 },
    { id: 'iasi-hala-c', region: 'iasi', entryNodes: 2 }
  ],
  services: [
    { name: 'asistent-llm', kind: 'engine', perHall: [3, 3, 2] },
    { name: 'stoc-api', kind: 'plain', perHall: [1, 1, 1] },
    { name: 'tejghea-apps', kind: 'plain', perHall: [1, 0, 0] }
  ],
  favour: 'time'
}

const FLAGWRIGHT: FleetPlan = {
  deployment: 'flagwright',
  halls: [
    { id: 'amman-ha', region: 'amman', entryNodes: 3 },
    { id: 'irbid-ha', region: 'irbid', entryNodes: 2 },
    { id: 'aqaba-ha', region: 'aqaba', entryNodes: 2 }
  ],
  services: [
    { name: 'llm-pool', kind: 'engine', perHall: [3, 3, 2] },
    { name: 'flag-api', kind: 'plain', perHall: [1, 1, 1] },
    { name: 'ops-misc', kind: 'plain', perHall: [1, 0, 0] }
  ],
  favour: 'origin-bytes'
}

export const DEPLOYMENTS = ['depozit', 'flagwright'] as const
export type DeploymentName = typeof DEPLOYMENTS[number]

/**
 * Returns the fleet plan of a deployment.
 *
 * @param name - Name of the deployment.
 * @returns Its data halls and services.
 */
export function describeFleet (name: DeploymentName): FleetPlan {
  return name === 'depozit' ? DEPOZIT : FLAGWRIGHT
}
