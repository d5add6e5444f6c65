/** Confirms an admitted call with the agents of the best back ends before it is sent. */
import type * as types from '@switchridge/types'
import * as chooseBackEnd from '../chooseBackEnd/index.js'
import type * as callOptions from './callOptions.js'
import type * as callState from './callState.js'
import type * as reserveSlot from './reserveSlot.js'

/** Number of agents that are asked for one call; a further one would find few slots that the others don't have, and would make a refusal later. */
export const MAXIMUM_AGENTS_ASKED = 3

/**
 * Asks the agents of the best back ends in turn for a slot. The predictions of gateways are based on reports of different ages and on estimates of what other gateways sent; an
 * agent counts the calls of all gateways. A call is sent as predicted if an agent doesn't answer.
 *
 * @param call - The call, before its first attempt.
 * @param best - The best back end.
 * @param search - What the slot has to satisfy: `withinMs` is not positive for a call that is late already.
 * @param chooseNext - Chooses a back end other than the given ones.
 * @param options - Slot reserver and clock.
 * @returns The back end to send the call to; null if all agents that were asked refused, or the call has ended meanwhile.
 */
export async function confirmSlot (call: callState.CallState, best: chooseBackEnd.Choice, { withinMs, promptDiscount = 0 }: reserveSlot.SlotSearch, chooseNext: (tried: ReadonlySet<types.NodeId>) => chooseBackEnd.Choice | null, options: Pick<callOptions.CallHandlerOptions, 'reserver' | 'now'>): Promise<chooseBackEnd.Choice | null> {
  if (call.head.model === null) return best
  const startedAt = options.now()
  const asked = new Set(call.tried)
  // A late call is held to the target of a new one, so that it is sent only where it is not queued.
  const firstEventWithinMs = withinMs > 0 ? withinMs : call.route.targetMs
  for (let choice: chooseBackEnd.Choice | null = best; choice !== null && asked.size < call.tried.size + MAXIMUM_AGENTS_ASKED; choice = chooseNext(asked)) {
    const leftMs = firstEventWithinMs - (options.now() - startedAt)
    if (leftMs <= 0) return null
    asked.add(choice.backEnd.id)
    const answer = await options.reserver.ask(choice.backEnd, { promptTokens: call.head.promptTokens, withinMs: leftMs, promptDiscount })
    if (call.isCallerGone() || call.isExpired()) return null
    if (answer !== 'refused' && chooseBackEnd.mayStillBegin(choice, options.now())) return choice
  }
  return null
}
