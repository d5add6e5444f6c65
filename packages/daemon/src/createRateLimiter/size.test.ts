/** The rate of one back end, kept by fleets of 18, 85 and 183 daemons with their real exchange, while 5 in 100 datagrams are lost and the daemon that counts ends. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as platform from '@switchridge/platform'
import * as standins from '@switchridge/standins'
import type * as gateway from '@switchridge/gateway'
import * as simulatedFleet from '../_lib/simulatedFleet.js'

const SHAPES = [
  { halls: 3, gatewaysPerHall: 3, agentsPerHall: 3 },
  { halls: 3, gatewaysPerHall: 13, agentsPerHall: 15 },
  { halls: 5, gatewaysPerHall: 20, agentsPerHall: 17 }
]
const PER_SECOND = 6
const CALLS_PER_SECOND = 18
const WINDOW_MS = 4000
const ALLOWED = 6 * PER_SECOND + 5
/** Within this after trouble a daemon is bound by what others know. */
const CONTACT_MS = 3000
const SETTLED_MS = 8000
const PLAYED_MS = 12_000
const COUNTER_ENDS_MS = 4000
const COUNTER_AGAIN_MS = 6000
/** Gateways find the counter again within this. */
const FOUND_MS = 1000
/** Of the rate, while there is a counter. */
const USED_PART = 0.9
const SEED = 7
const COUNTED_HOST = '10.1.1.3'
const ENTRY = { service: 'llm', address: `${COUNTED_HOST}:8585`, zone: 'hall-1', version: 'v1', slots: 16, state: 'ready', coldRemainingMs: 0, stage: 'prefill_decode', models: [], sequence: 0 }

function countMost (times: readonly number[]): number {
  return Math.max(0, ...times.map((first) => times.filter((time) => time >= first && time < first + WINDOW_MS).length))
}

for (const shape of SHAPES) {
  const count = shape.halls * (shape.gatewaysPerHall + shape.agentsPerHall)
  nodeTest.test(`${count} daemons keep the rate of a back end`, async (context) => {
    context.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: 1_000_000 })
    const random = standins.createRandom(SEED)
    const fleet = simulatedFleet.createSimulatedFleet({ ...shape, regionBytesPerMs: 2500, lostPart: 0.05 }, context.mock.timers, random)
    context.after(() => { for (const daemon of fleet.daemons) daemon.stop() })
    fleet.configure(10)
    fleet.put(platform.KINDS.backEnds, 'i-limited', ENTRY)
    for (const daemon of fleet.daemons) await daemon.start()
    await fleet.pass(SETTLED_MS)
    const limiters = fleet.gateways.map((each) => each.limiter())
    const [backEnd] = fleet.gateways[0]?.parts().backEnds() as [gateway.BackEnd]
    limiters[0]?.noteAnswer(backEnd, { kind: 'named', perSecond: PER_SECOND }, 0)
    const knownMs = await fleet.passUntil(() => limiters.every((limiter) => limiter?.inForce().length === 1), CONTACT_MS)
    assert.ok(knownMs <= CONTACT_MS, `known everywhere after ${knownMs} ms`)

    const sent: number[] = []
    const agent = fleet.daemons.find(({ host }) => host === COUNTED_HOST) as simulatedFleet.SimulatedDaemon
    const startedAt = Date.now()
    async function call (): Promise<void> {
      const limiter = limiters[Math.floor(random() * limiters.length)] as NonNullable<typeof limiters[number]>
      if ((limiter.readRoom(backEnd, false)?.waitMs ?? 0) > 0) return
      if ((await limiter.acquire(backEnd, false)).isGranted) sent.push(Date.now() - startedAt)
    }
    for (let passed = 0; passed < PLAYED_MS; passed += 1) {
      if (passed === COUNTER_ENDS_MS) agent.stop()
      if (passed === COUNTER_AGAIN_MS) await agent.start()
      if (random() < CALLS_PER_SECOND / 1000) void call()
      await fleet.pass(1)
    }
    const isCounted = (at: number): boolean => at < COUNTER_ENDS_MS || at >= COUNTER_AGAIN_MS + FOUND_MS
    const used = sent.filter(isCounted).length * 1000 / (PER_SECOND * (PLAYED_MS - COUNTER_AGAIN_MS - FOUND_MS + COUNTER_ENDS_MS))
    context.diagnostic(`known after ${knownMs} ms, used ${used.toFixed(2)}, most ${countMost(sent)} of ${ALLOWED}`)
    assert.ok(countMost(sent) <= ALLOWED, `${countMost(sent)} of ${ALLOWED}`)
    assert.ok(used >= USED_PART, `used ${used.toFixed(2)}`)
  })
}
