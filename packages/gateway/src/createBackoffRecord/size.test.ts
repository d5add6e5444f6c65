/** Guards against a burst of calls at a back end at the end of the time for which it asked all gateways to leave it alone. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'
import type * as gateway from '../types/index.js'
import * as createBackoffRecord from './index.js'

const SLOTS = 16
const BACKOFF_MS = 3000
/** The back end turns away one call of each gateway within this time. */
const TOLD_WITHIN_MS = 100
const RESPONSE_MS = 150
/** Calls a second that each gateway would send to the back end, which looks idle. */
const CALLS_PER_SECOND = 20
const WINDOW_MS = 200
const DURATION_MS = 12_000
const SEEDS = 20

const BACK_END: gateway.BackEnd = { id: types.brandId<types.NodeId>('i-1'), bornAt: 1, service: types.brandId<types.ServiceName>('api'), address: { host: types.LOOPBACK_HOST, port: 9 }, zone: 'a', slots: SLOTS, isDraining: false, models: new Map() }

/** Returns the times at which calls reach the back end after it asked all gateways to leave it alone. */
function simulateReturn (gateways: number, seed: number): number[] {
  const clock = standins.createVirtualClock()
  const random = standins.createSeededRandom(seed)
  const arrivals: number[] = []
  for (let index = 0; index < gateways; index += 1) {
    const record = createBackoffRecord.createBackoffRecord({ onBackoff: () => {}, onUnreadable: () => {}, countGateways: () => gateways, now: clock.now, random })
    let unanswered = 0
    const call = (): void => {
      clock.at(clock.now() - Math.log(1 - random()) * types.MILLISECONDS_IN_SECOND / CALLS_PER_SECOND, call)
      const { waitMs, maximumUnanswered } = record.read(BACK_END)
      if (waitMs > 0 || unanswered >= maximumUnanswered) return
      unanswered += 1
      arrivals.push(clock.now())
      clock.at(clock.now() + RESPONSE_MS, () => {
        unanswered -= 1
        record.noteResponse(BACK_END, { kind: 'none' }, true)
      })
    }
    clock.at(random() * TOLD_WITHIN_MS, () => {
      record.noteResponse(BACK_END, { kind: 'named', forMs: BACKOFF_MS }, false)
      call()
    })
  }
  clock.run(DURATION_MS)
  return arrivals
}

for (const gateways of [7, 85]) {
  nodeTest.test(`after a backoff of ${gateways} gateways the back end gets no more calls within 0.2 s than it has slots`, (context) => {
    const counts = Array.from({ length: SEEDS }, (_, seed) => {
      const arrivals = simulateReturn(gateways, seed + 1)
      const firstAt = Math.min(...arrivals)
      assert.ok(firstAt >= BACKOFF_MS)
      return arrivals.filter((at) => at < firstAt + WINDOW_MS).length
    })
    context.diagnostic(`at most ${Math.max(...counts)} calls within ${WINDOW_MS} ms`)
    assert.ok(Math.max(...counts) <= SLOTS, counts.join())
  })
}
