/** Fleets for measurements of the control traffic, without weights or calls. */
import * as launcher from '@switchridge/launcher'
import * as types from '@switchridge/types'

/** Size of a fleet. */
export interface FleetShape {
  readonly halls: number
  readonly entryNodesPerHall: number
  readonly backendsPerHall: number
}

const ENGINES_PER_PROCESS = 64

/** Starts a fleet of the given shape. */
export async function startControlFleet (processes: launcher.Launcher, shape: FleetShape): Promise<launcher.Fleet> {
  const halls = Array.from({ length: shape.halls }, (_, index) => ({ id: `hall-${index}`, region: 'region', entryNodes: shape.entryNodesPerHall }))
  return await launcher.startFleet(processes, {
    plan: { deployment: 'control', halls, services: [{ name: 'llm', kind: 'engine', perHall: halls.map(() => shape.backendsPerHall) }], favour: 'time' },
    originBytesPerSecond: 0,
    linkBytesPerSecond: 0,
    tokenMs: 0,
    plainWorkMs: 0,
    enginesPerProcess: ENGINES_PER_PROCESS,
    readsWeights: false,
    chunkMemoryBytes: types.BYTES_IN_MEBIBYTE,
    engineMemoryBytes: types.BYTES_IN_MEBIBYTE,
    extraSettings: '[experiments]\ndrills = true\n'
  })
}

/** Resource usage of an idle daemon. */
export interface IdleCost {
  readonly role: types.MemberRole
  readonly members: number
  readonly exchangesPerSecond: number
  readonly bytesPerSecond: number
  readonly cpuPercent: number
  readonly residentMebibytes: number
  readonly platformCallsPerSecond: number
}

/** Size of the headers of one exchange in bytes, both directions together, taken from a captured exchange. */
const HEADER_BYTES = 480
const PERCENT = 100

/** Measures the idle usage of every daemon of a fleet over `seconds`. */
export async function measureIdle (fleet: launcher.Fleet, seconds: number): Promise<IdleCost[]> {
  const read = async (): Promise<Map<string, launcher.NodeStatus>> => {
    const statuses = await launcher.readStatuses(fleet, fleet.nodes)
    return new Map(statuses.map((status) => [status.self.node, status]))
  }
  const before = await read()
  await types.delay(seconds * types.MILLISECONDS_IN_SECOND)
  const after = await read()
  const countCalls = (status: launcher.NodeStatus): number => Object.values(status.platformCalls).reduce((sum, count) => sum + count, 0)
  return fleet.nodes.flatMap((node) => {
    const [first, last] = [before.get(node.node), after.get(node.node)]
    if (first === undefined || last === undefined) return []
    const exchanges = last.traffic.exchanges - first.traffic.exchanges
    return [{
      role: node.role,
      members: fleet.nodes.length,
      exchangesPerSecond: exchanges / seconds,
      bytesPerSecond: (last.traffic.bytes - first.traffic.bytes + exchanges * HEADER_BYTES) / seconds,
      cpuPercent: PERCENT * (last.process.cpuSeconds - first.process.cpuSeconds) / seconds,
      residentMebibytes: last.process.residentBytes / types.BYTES_IN_MEBIBYTE,
      platformCallsPerSecond: (countCalls(last) - countCalls(first)) / seconds
    }]
  })
}
