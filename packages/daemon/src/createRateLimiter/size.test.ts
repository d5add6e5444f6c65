/** Checks the rate limit of one back end in simulated fleets of 18, 85 and 183 daemons with the real exchange, while 5% of the datagrams are lost and the daemon that counts permits restarts. */
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
const LIMIT_PER_SECOND = 6
const CALLS_PER_SECOND = 18
const WINDOW_MS = 4000
const ALLOWED_PER_WINDOW = 6 * LIMIT_PER_SECOND + 5
/** Within this time, even after a failure, each daemon must know what its peers know. */
const CONVERGENCE_MS = 3000
const STARTUP_MS = 8000
const SIMULATED_MS = 12_000
const COUNTER_STOP_MS = 4000
const COUNTER_RESTART_MS = 6000
/** After the restart of the daemon that counts permits, gateways must find it within this time. */
const REDISCOVERY_MS = 1000
/** Minimum share of the permitted rate that must be used while a daemon counts the permits. */
const MINIMUM_USED_SHARE = 0.9
const SEED = 7
const COUNTER_HOST = '10.1.1.3'
const ENTRY = { service: 'llm', address: `${COUNTER_HOST}:8585`, zone: 'hall-1', version: 'v1', slots: 16, state: 'ready', coldRemainingMs: 0, stage: 'prefill_decode', models: [], sequence: 0 }

function countPeak (times: readonly number[]): number {
  return Math.max(0, ...times.map((first) => times.filter((time) => time >= first && time < first + WINDOW_MS).length))
}

for (const shape of SHAPES) {
  const count = shape.halls * (shape.gatewaysPerHall + shape.agentsPerHall)
  nodeTest.test(`${count} daemons enforce the rate limit of a back end`, async (context) => {
    context.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: 1_000_000 })
    const random = standins.createSeededRandom(SEED)
    const fleet = simulatedFleet.createSimulatedFleet({ ...shape, regionBytesPerMs: 2500, datagramLossRate: 0.05 }, context.mock.timers, random)
    context.after(() => { for (const daemon of fleet.daemons) daemon.stop() })
    fleet.configure(10)
    fleet.put(platform.OBJECT_KINDS.backEnds, 'i-limited', ENTRY)
    for (const daemon of fleet.daemons) await daemon.start()
    await fleet.advance(STARTUP_MS)
    const limiters = fleet.gateways.map((each) => each.limiter())
    const [backEnd] = fleet.gateways[0]?.parts().backEnds() as [gateway.BackEnd]
    limiters[0]?.noteResponse(backEnd, { kind: 'named', perSecond: LIMIT_PER_SECOND }, 0)
    const knownMs = await fleet.advanceUntil(() => limiters.every((limiter) => limiter?.inForce().length === 1), CONVERGENCE_MS)
    assert.ok(knownMs <= CONVERGENCE_MS, `known everywhere after ${knownMs} ms`)

    const sent: number[] = []
    const agent = fleet.daemons.find(({ host }) => host === COUNTER_HOST) as simulatedFleet.SimulatedDaemon
    const startedAt = Date.now()
    async function call (): Promise<void> {
      const limiter = limiters[Math.floor(random() * limiters.length)] as NonNullable<typeof limiters[number]>
      if ((limiter.readAllowance(backEnd, false)?.waitMs ?? 0) > 0) return
      if ((await limiter.acquire(backEnd, false)).isGranted) sent.push(Date.now() - startedAt)
    }
    for (let passed = 0; passed < SIMULATED_MS; passed += 1) {
      if (passed === COUNTER_STOP_MS) agent.stop()
      if (passed === COUNTER_RESTART_MS) await agent.start()
      if (random() < CALLS_PER_SECOND / 1000) void call()
      await fleet.advance(1)
    }
    const hasCounter = (at: number): boolean => at < COUNTER_STOP_MS || at >= COUNTER_RESTART_MS + REDISCOVERY_MS
    const used = sent.filter(hasCounter).length * 1000 / (LIMIT_PER_SECOND * (SIMULATED_MS - COUNTER_RESTART_MS - REDISCOVERY_MS + COUNTER_STOP_MS))
    context.diagnostic(`known after ${knownMs} ms, used ${used.toFixed(2)}, most ${countPeak(sent)} of ${ALLOWED_PER_WINDOW}`)
    assert.ok(countPeak(sent) <= ALLOWED_PER_WINDOW, `${countPeak(sent)} of ${ALLOWED_PER_WINDOW}`)
    assert.ok(used >= MINIMUM_USED_SHARE, `used ${used.toFixed(2)}`)
  })
}
