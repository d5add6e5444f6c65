/** Finds a slot for a call that would otherwise be refused. Agents know more recent states of their engines than gateways do. */
import type * as types from '@switchridge/types'
import * as chooseBackEnd from '../chooseBackEnd/index.js'
import type * as createSlotReservations from '../createSlotReservations/index.js'
import type * as callOptions from './callOptions.js'
import type * as callState from './callState.js'

/** What a slot for a call has to satisfy. */
export type SlotSearch = Omit<createSlotReservations.SlotRequest, 'promptTokens'>

/** Number of agents that are asked for one call; asking more would make a refusal late. */
export const MAXIMUM_AGENTS_ASKED = 2

/**
 * Requests a slot from the agents of the best back ends in turn.
 *
 * @param call - The call, before its first attempt.
 * @param best - The best back end.
 * @param search - What the slot has to satisfy.
 * @param chooseNext - Chooses a back end other than the given ones.
 * @param options - Slot reserver and clock.
 * @returns The back end at which a slot is reserved, or null.
 */
export async function reserveSlot (call: callState.CallState, best: chooseBackEnd.Choice, { withinMs, promptDiscount = 0 }: SlotSearch, chooseNext: (tried: ReadonlySet<types.NodeId>) => chooseBackEnd.Choice | null, options: Pick<callOptions.CallHandlerOptions, 'reserver' | 'now'>): Promise<chooseBackEnd.Choice | null> {
  if (call.head.model === null) return null
  const startedAt = options.now()
  const asked = new Set(call.tried)
  let choice: chooseBackEnd.Choice | null = best
  while (choice !== null && asked.size < call.tried.size + MAXIMUM_AGENTS_ASKED) {
    const leftMs = withinMs - (options.now() - startedAt)
    if (leftMs <= 0 || call.isCallerGone() || call.isExpired()) return null
    asked.add(choice.backEnd.id)
    const isReserved = await options.reserver.reserve(choice.backEnd, { promptTokens: call.head.promptTokens, withinMs: leftMs, promptDiscount })
    if (isReserved && !call.isExpired() && chooseBackEnd.mayStillBegin(choice, options.now())) return choice
    choice = chooseNext(asked)
  }
  return null
}
