/** Guards against calls that go again and again to an engine whose answers are none, at the cost of the gateway, and against an engine that is never tried again. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as createBackEndTracker from '../createBackEndTracker/index.js'
import type * as gateway from '../types/index.js'
import * as chooseBackEnd from './index.js'

const FAULTY = types.brandId<types.NodeId>('i-faulty')
const SOUND = types.brandId<types.NodeId>('i-sound')
const CALL_INTERVAL_MS = 20
const SOUND_ANSWER_MS = 100
/** Time until what the faulty engine sends is given up. */
const GIVEN_UP_MS = 1000
const JUDGED_MS = 60_000
const HEALED_AT_MS = 60_000
/** The longest time for which an engine that has failed is avoided. */
const AVOIDED_MS = 3000

function createBackEnd (id: types.NodeId): gateway.BackEnd {
  return { id, bornAt: null, service: types.brandId<types.ServiceName>('api'), address: { host: types.LOOPBACK_HOST, port: 9 }, zone: 'a', slots: 40, isDraining: false, models: new Map() }
}

interface Ending {
  readonly at: number
  readonly end: () => void
}

interface Attempts {
  /** Times at which a call was sent to the faulty engine, and how many were open there then. */
  readonly faulty: ReadonlyArray<{ readonly at: number, readonly open: number }>
  readonly soundCount: number
}

/** Sends calls in a steady flow to two engines, one of which sends what is no answer until it is healed. */
function sendCalls (endsAt: number): Attempts {
  let time = 0
  const tracker = createBackEndTracker.createBackEndTracker(() => time)
  tracker.noteSuccess(SOUND)
  tracker.noteSuccess(FAULTY)
  const endings: Ending[] = []
  const faulty: Array<{ at: number, open: number }> = []
  let soundCount = 0

  function send (): void {
    const { choice } = chooseBackEnd.chooseBackEnd({
      backEnds: [FAULTY, SOUND].map(createBackEnd),
      tracker,
      figures: null,
      zone: 'a',
      gateways: 1,
      model: null,
      promptTokens: 0,
      answerTokens: 0,
      lastBeginAt: () => Infinity,
      versionBoundAt: () => Infinity,
      endsAt: time + 5000,
      isLeaving: () => false,
      findExclusion: () => null,
      readBackoff: () => ({ waitMs: 0, maximumUnanswered: Infinity }),
      readAllowance: () => null,
      mayRequestPermit: true,
      pinnedVersion: null,
      tried: new Set(),
      now: time,
      random: () => 0
    })
    assert.ok(choice !== null)
    const { id } = choice.backEnd
    const attempt = { promptTokens: 0, answerTokens: 0, sentAt: time, hasResponded: false }
    tracker.noteSent(id, attempt)
    const isFaulty = id === FAULTY && time < HEALED_AT_MS
    if (id === FAULTY) faulty.push({ at: time, open: tracker.read(FAULTY).open.size })
    else soundCount += 1
    endings.push({
      at: time + (isFaulty ? GIVEN_UP_MS : SOUND_ANSWER_MS),
      end: () => {
        tracker.noteEnded(id, attempt)
        if (isFaulty) tracker.noteNoAnswer(id)
        else tracker.noteSuccess(id)
      }
    })
  }

  for (; time < endsAt; time += CALL_INTERVAL_MS) {
    for (const ending of endings.splice(0)) {
      if (ending.at <= time) ending.end()
      else endings.push(ending)
    }
    send()
  }
  return { faulty, soundCount }
}

nodeTest.test('calls go to the sound engine of the same service, and the one whose answers are none is tried again by one call at a time', () => {
  const { faulty, soundCount } = sendCalls(JUDGED_MS)
  const later = faulty.filter(({ at }) => at > GIVEN_UP_MS)
  assert.ok(later.every(({ open }) => open === 1), JSON.stringify(later))
  assert.ok(later.length >= (JUDGED_MS - GIVEN_UP_MS) / (AVOIDED_MS + 2 * GIVEN_UP_MS), String(later.length))
  assert.ok(later.length <= JUDGED_MS / AVOIDED_MS + 4, String(later.length))
  assert.ok(soundCount >= 0.97 * JUDGED_MS / CALL_INTERVAL_MS, String(soundCount))
})

nodeTest.test('an engine that sends answers again gets its part of the calls', () => {
  const { faulty } = sendCalls(HEALED_AT_MS + 20_000)
  const healed = faulty.filter(({ at }) => at > HEALED_AT_MS + 10_000)
  assert.ok(healed.length >= 0.3 * 10_000 / CALL_INTERVAL_MS, String(healed.length))
})
