/** Cuts a data hall off from the others, and heals it, by the daemons' own drill. */
import * as launcher from '@switchridge/launcher'

/** Cuts a hall off from the other halls, and its daemons from `alsoBlocked`. */
export async function isolateHall (fleet: launcher.Fleet, hall: string, extraEndpoints: readonly string[] = []): Promise<void> {
  const listEndpoints = (isInside: boolean): string[] => fleet.nodes
    .filter((node) => (node.hall === hall) === isInside)
    .map((node) => `${node.address.host}:${node.address.port}`)
  await blockEndpoints(fleet, (node) => node.hall === hall ? [...listEndpoints(false), ...extraEndpoints] : listEndpoints(true))
}

/** Heals every cut. */
export async function reconnectHall (fleet: launcher.Fleet): Promise<void> {
  await blockEndpoints(fleet, () => [])
}

async function blockEndpoints (fleet: launcher.Fleet, listBlocked: (node: launcher.FleetNode) => string[]): Promise<void> {
  await Promise.all(fleet.nodes.map(async (node) => await launcher.callNode(fleet, node, 'drill.cut', { endpoints: listBlocked(node) })))
}
