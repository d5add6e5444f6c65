/** Isolates a data hall from the others and reconnects it, through the daemons' RPC method `drill.cut`. */
import * as launcher from '@switchridge/launcher'

/** Blocks the traffic between a hall and the other halls, and between the hall's daemons and `extraEndpoints`. */
export async function isolateHall (fleet: launcher.Fleet, hall: string, extraEndpoints: readonly string[] = []): Promise<void> {
  const listEndpoints = (isInside: boolean): string[] => fleet.nodes
    .filter((node) => (node.hall === hall) === isInside)
    .map((node) => `${node.address.host}:${node.address.port}`)
  await blockEndpoints(fleet, (node) => node.hall === hall ? [...listEndpoints(false), ...extraEndpoints] : listEndpoints(true))
}

/** Removes all blocks. */
export async function reconnectHall (fleet: launcher.Fleet): Promise<void> {
  await blockEndpoints(fleet, () => [])
}

async function blockEndpoints (fleet: launcher.Fleet, listBlocked: (node: launcher.FleetNode) => string[]): Promise<void> {
  await Promise.all(fleet.nodes.map(async (node) => await launcher.callNode(fleet, node, 'drill.cut', { endpoints: listBlocked(node) })))
}
