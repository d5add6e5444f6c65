/** Decides whether gateways confirm slots with agents before they send calls. */

/** Settings and size of a fleet as one gateway sees it. */
export interface FleetSize {
  /** Live gateways, including this one. */
  readonly gateways: number
  /** Whether the settings ask for it. */
  readonly isEnabled: boolean
  /** Live agents. */
  readonly agents: number
}

/**
 * Decides whether slots must be confirmed. With more gateways than agents, most of the calls at an engine come from gateways other than the one that places the next call, and
 * what they sent since the last report can only be estimated. With fewer gateways, the estimates are good enough to save the request to the agent.
 *
 * @param size - Settings and size of the fleet.
 * @returns Whether calls need a confirmed slot.
 */
export function mustConfirmSlots ({ isEnabled, gateways, agents }: FleetSize): boolean {
  return isEnabled && agents > 0 && gateways > agents
}
