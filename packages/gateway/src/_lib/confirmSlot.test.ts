import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as chooseBackEnd from '../chooseBackEnd/index.js'
import type * as reservers from '../types/reserver.js'
import type * as callState from './callState.js'
import * as confirmSlot from './confirmSlot.js'

const TARGET_MS = 400

interface Confirmed {
  readonly backEnd: string | null
  /** Time to the first event that each agent was asked for. */
  readonly askedWithinMs: readonly number[]
}

function createChoice (id: string): chooseBackEnd.Choice {
  return { backEnd: { id }, firstEventMs: 100, mustBeginBy: Infinity } as unknown as chooseBackEnd.Choice
}

/** Confirms a call whose agents answer one after the other; each answer takes 10 ms. */
async function confirm (answers: readonly reservers.ReservationAnswer[], { withinMs = 300, isGoneAfter = Infinity } = {}): Promise<Confirmed> {
  const askedWithinMs: number[] = []
  let time = 0
  const call = { head: { model: 'm', promptTokens: 100 }, route: { targetMs: TARGET_MS }, tried: new Set(), isCallerGone: () => askedWithinMs.length > isGoneAfter, isExpired: () => false } as unknown as callState.CallState
  const reserver: reservers.SlotReserver = {
    reserve: async () => { throw new Error('not used') },
    ask: async (_backEnd, request) => {
      const answer = answers[askedWithinMs.length] ?? 'refused'
      askedWithinMs.push(request.withinMs)
      time += 10
      return answer
    }
  }
  const choice = await confirmSlot.confirmSlot(call, createChoice('engine-0'), { withinMs }, (tried) => createChoice(`engine-${tried.size}`), { reserver, now: () => time })
  return { backEnd: choice === null ? null : choice.backEnd.id, askedWithinMs }
}

/** Guards against refusals while another engine has room. */
nodeTest.test('a call goes to the first back end whose agent reserves a slot', async () => {
  assert.deepEqual(await confirm(['refused', 'reserved']), { backEnd: 'engine-1', askedWithinMs: [300, 290] })
})

/** Guards against refusals because an agent is gone or a datagram was lost. */
nodeTest.test('a call is sent as predicted if the agent does not answer', async () => {
  assert.deepEqual(await confirm(['unanswered']), { backEnd: 'engine-0', askedWithinMs: [300] })
})

/** Guards against a refusal that comes late because one agent after the other is asked. */
nodeTest.test('a call is refused after a bounded number of agents have refused it', async () => {
  assert.deepEqual(await confirm([]), { backEnd: null, askedWithinMs: [300, 290, 280] })
})

/** Guards against late calls that are refused although an engine would begin them at once. */
nodeTest.test('a call that is late already is held to the target of a new call', async () => {
  assert.deepEqual(await confirm(['reserved'], { withinMs: -50 }), { backEnd: 'engine-0', askedWithinMs: [TARGET_MS] })
})

/** Guards against calls that are sent after their caller has left. */
nodeTest.test('a call whose caller leaves meanwhile is not sent', async () => {
  assert.deepEqual(await confirm(['reserved'], { isGoneAfter: 0 }), { backEnd: null, askedWithinMs: [300] })
})
