/** Chooses the counter of a cold back end, whose bound must hold over all gateways, whether they are in contact with each other or not. */
import * as chooseCounter from '../chooseCounter/index.js'

/**
 * Chooses the counter of a cold back end: the agent on its host, or a gateway as its substitute. A substitute always grants
 * {@link chooseCounter.SUBSTITUTE_FRACTION}, also where no agent is known, since another daemon may know one. A daemon that sees no majority of the known gateways
 * chooses none, and neither does one that has just started and may not know all: each of them could otherwise choose itself.
 *
 * @param backEnd - The back end.
 * @param candidates - All known daemons, including the caller's own.
 * @param knowsFleet - Whether the calling daemon has run long enough to know the other daemons.
 * @returns The counter; null if no daemon qualifies.
 */
export function chooseColdCounter (backEnd: chooseCounter.RateLimitedBackEnd, candidates: readonly chooseCounter.CounterCandidate[], knowsFleet: boolean): chooseCounter.ChosenCounter | null {
  const chosen = chooseCounter.chooseCounter(backEnd, candidates)
  const hasAgent = candidates.some(({ role, host, isLive }) => role === 'agent' && host === backEnd.host && isLive)
  if (chosen === null || hasAgent) return chosen
  const gateways = candidates.filter(({ role, isLeaving }) => role === 'gateway' && !isLeaving)
  const hasMajority = gateways.filter(({ isLive }) => isLive).length * 2 > gateways.length
  return knowsFleet && hasMajority ? { ...chosen, part: chooseCounter.SUBSTITUTE_FRACTION } : null
}
