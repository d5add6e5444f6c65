/**
 * Guards against more requests at a cold engine than it can take in any one second, summed over gateways that know it, that have just started and that are cut off, with
 * the real exchange, while 5 in 100 datagrams are lost and the daemon that counts permits ends and starts again.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as platform from '@switchridge/platform'
import * as standins from '@switchridge/standins'
import type * as gateway from '@switchridge/gateway'
import * as simulatedFleet from '../_lib/simulatedFleet.js'

const SHAPES = [
  { halls: 3, gatewaysPerHall: 3, agentsPerHall: 3 },
  { halls: 3, gatewaysPerHall: 12, agentsPerHall: 15 }
]
const COLD_PER_SECOND = 17
const COLD_MS = 12_500
const DEMAND_PER_SECOND = 3 * COLD_PER_SECOND
const WINDOW_MS = 1000
/** Bound of any one second: 1.5 times the rate and five more. */
const ALLOWED_PER_WINDOW = 1.5 * COLD_PER_SECOND + 5
const MINIMUM_USED_SHARE = 0.9
const STARTUP_MS = 8000
/** Gateways learn of the engine within this time after its entry was written. */
const LEARNING_MS = 500
const GATEWAY_RESTART_MS = 1500
const COUNTER_STOP_MS = 3000
const COUNTER_RESTART_MS = 11_000
const SEED = 7
const ENGINE_HOST = '10.1.1.3'
const ENTRY = { service: 'llm', address: `${ENGINE_HOST}:8585`, zone: 'hall-1', version: 'v1', slots: 16, state: 'ready', coldRemainingMs: 0, stage: 'prefill_decode', models: [], sequence: 0, born: 1 }

function configureCold (configuration: { services: Array<Record<string, unknown>> }): void {
  for (const service of configuration.services) if (service.name === 'llm') Object.assign(service, { coldS: COLD_MS / 1000, coldPerS: COLD_PER_SECOND })
}

function countPeak (times: readonly number[]): number {
  return Math.max(0, ...times.map((first) => times.filter((time) => time >= first && time < first + WINDOW_MS).length))
}

async function startFleet (context: nodeTest.TestContext, shape: typeof SHAPES[number], random: () => number): Promise<simulatedFleet.SimulatedFleet> {
  context.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: 1_000_000 })
  const fleet = simulatedFleet.createSimulatedFleet({ ...shape, regionBytesPerMs: 2500, datagramLossRate: 0.05 }, context.mock.timers, random)
  context.after(() => { for (const daemon of fleet.daemons) daemon.stop() })
  fleet.configure(10, configureCold)
  for (const daemon of fleet.daemons) await daemon.start()
  await fleet.advance(STARTUP_MS)
  return fleet
}

/** Sends one call to the engine if the gateway lists it and may send there. */
async function sendCall (daemon: simulatedFleet.SimulatedDaemon, sent: number[], startedAt: number): Promise<void> {
  const limiter = daemon.limiter()
  const [backEnd] = daemon.parts().backEnds()
  if (limiter === null || backEnd === undefined) return
  if ((limiter.readAllowance(backEnd, false)?.waitMs ?? 0) > 0) return
  if ((await limiter.acquire(backEnd, false)).isGranted) sent.push(Date.now() - startedAt)
}

for (const shape of SHAPES) {
  const count = shape.halls * (shape.gatewaysPerHall + shape.agentsPerHall)
  nodeTest.test(`${count} daemons keep the bound of an engine that starts during traffic, and use it`, async (context) => {
    const random = standins.createSeededRandom(SEED)
    const fleet = await startFleet(context, shape, random)
    const agent = fleet.daemons.find(({ host }) => host === ENGINE_HOST) as simulatedFleet.SimulatedDaemon
    const cutOff = fleet.gateways.slice(-2)
    const restarted = fleet.gateways.slice(0, -2).filter((_, index) => index % 3 === 0)
    for (const { host } of cutOff) fleet.network.disconnectHost(host)
    fleet.put(platform.OBJECT_KINDS.backEnds, 'i-cold', { ...ENTRY, coldRemainingMs: COLD_MS })
    const sent: number[] = []
    const startedAt = Date.now()
    for (let passed = 0; passed < COLD_MS; passed += 1) {
      if (passed === LEARNING_MS) for (const { host } of cutOff) fleet.network.reconnectHost(host)
      if (passed === GATEWAY_RESTART_MS) {
        for (const each of restarted) {
          each.stop()
          await each.start()
        }
        for (const { host } of cutOff) fleet.network.disconnectHost(host)
      }
      if (passed === COUNTER_STOP_MS) agent.stop()
      if (passed === COUNTER_RESTART_MS) await agent.start()
      if (random() < DEMAND_PER_SECOND / 1000) void sendCall(fleet.gateways[Math.floor(random() * fleet.gateways.length)] as simulatedFleet.SimulatedDaemon, sent, startedAt)
      await fleet.advance(1)
    }
    const used = sent.filter((at) => at >= LEARNING_MS && at < COUNTER_STOP_MS).length * 1000 / (COLD_PER_SECOND * (COUNTER_STOP_MS - LEARNING_MS))
    const withSubstitute = sent.filter((at) => at >= COUNTER_STOP_MS && at < COUNTER_RESTART_MS).length
    context.diagnostic(`used ${used.toFixed(2)}, ${withSubstitute} while the agent was dead, most ${countPeak(sent)} of ${ALLOWED_PER_WINDOW}`)
    assert.ok(countPeak(sent) <= ALLOWED_PER_WINDOW, `${countPeak(sent)} of ${ALLOWED_PER_WINDOW}`)
    assert.ok(used >= MINIMUM_USED_SHARE, `used ${used.toFixed(2)}`)
    assert.ok(withSubstitute > 0, 'no gateway substituted for the agent')
  })
}

nodeTest.test('entries that are warm, or of a service whose cold engines are not limited, limit nothing', async (context) => {
  const fleet = await startFleet(context, SHAPES[0] as typeof SHAPES[number], standins.createSeededRandom(SEED))
  fleet.put(platform.OBJECT_KINDS.backEnds, 'i-warm', ENTRY)
  fleet.put(platform.OBJECT_KINDS.backEnds, 'i-plain', { ...ENTRY, service: 'api', address: '10.1.1.2:80', coldRemainingMs: COLD_MS })
  await fleet.advance(2000)
  for (const daemon of fleet.gateways) {
    assert.equal(daemon.parts().backEnds().length, 2)
    for (const backEnd of daemon.parts().backEnds()) assert.equal(daemon.limiter()?.readAllowance(backEnd, false), null)
  }
})

/** Guards against calls that are sent without a permit to a restarted engine before its entry is known, to an engine that the agent finds cold, and to one of a hall that was evacuated. */
nodeTest.test('an engine is cold as well if its agent reports it, if it reports a restart, and after its hall was taken back', async (context) => {
  const fleet = await startFleet(context, SHAPES[0] as typeof SHAPES[number], standins.createSeededRandom(SEED))
  fleet.put(platform.OBJECT_KINDS.backEnds, 'i-1', ENTRY)
  fleet.put(platform.OBJECT_KINDS.backEnds, 'i-2', { ...ENTRY, zone: 'hall-0', address: '10.0.1.2:8585' })
  await fleet.advance(2000)
  const [reported, restarted, returned] = fleet.gateways as [simulatedFleet.SimulatedDaemon, simulatedFleet.SimulatedDaemon, simulatedFleet.SimulatedDaemon]
  const find = (daemon: simulatedFleet.SimulatedDaemon, id: string): gateway.BackEnd => daemon.parts().backEnds().find((each) => each.id === id) as gateway.BackEnd
  const readIsCold = (daemon: simulatedFleet.SimulatedDaemon, id: string): boolean => daemon.limiter()?.readAllowance(find(daemon, id), false)?.isCold ?? false
  reported.limiter()?.noteReportedCold(find(reported, 'i-1'), { bornAt: 1, coldMs: 3000 }, reported.parts().now())
  restarted.limiter()?.noteReportedCold(find(restarted, 'i-1'), { bornAt: 2 }, restarted.parts().now())
  returned.limiter()?.noteTakenBack('hall-1')
  for (const daemon of [reported, restarted, returned]) {
    assert.equal(readIsCold(daemon, 'i-1'), true)
    assert.equal(readIsCold(daemon, 'i-2'), false)
  }
  await fleet.advance(3100)
  assert.equal(readIsCold(reported, 'i-1'), true, 'there is a margin for clocks')
  await fleet.advance(200)
  assert.equal(readIsCold(reported, 'i-1'), false)
  assert.equal(readIsCold(returned, 'i-1'), true)
  await fleet.advance(COLD_MS)
  assert.equal(readIsCold(restarted, 'i-1') || readIsCold(returned, 'i-1'), false)
})
