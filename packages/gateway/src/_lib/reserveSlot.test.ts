import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as chooseBackEnd from '../chooseBackEnd/index.js'
import type * as callState from './callState.js'
import * as reserveSlot from './reserveSlot.js'

/** Requests a slot, which is granted, for a call that may expire meanwhile. */
async function reserve (expiresMeanwhile: boolean): Promise<chooseBackEnd.Choice | null> {
  let isExpired = false
  const call = { head: { model: 'm', promptTokens: 100 }, tried: new Set(), isCallerGone: () => false, isExpired: () => isExpired } as unknown as callState.CallState
  const choice = { backEnd: { id: 'engine-1' }, firstEventMs: 100, mustBeginBy: Infinity } as unknown as chooseBackEnd.Choice
  const reserver = {
    reserve: async () => {
      isExpired = expiresMeanwhile
      return true
    },
    ask: async () => { throw new Error('not used') }
  }
  return await reserveSlot.reserveSlot(call, choice, { withinMs: 300 }, () => null, { reserver, now: () => 0 })
}

nodeTest.test('a call that expires while a slot is requested is not sent', async () => {
  assert.notEqual(await reserve(false), null)
  assert.equal(await reserve(true), null)
})
