/** Control traffic of each daemon, by the size of the fleet. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fleetTesting from '../_lib/fleetTesting.js'

/** Bytes per second that control traffic may take in each direction of one daemon. */
const BYTES_PER_SECOND_LIMIT = 16_384
const SETTLE_MS = 3000
const MEASURED_MS = 5000
const CHANGE_MS = 333
const SECOND_MS = 1000
const SAMPLE_MS = 20
/** Maximum age of engine reports on gateways in fleets of up to this size, for the own hall and for other halls. */
const SITE_MEMBERS = 73
const NEAR_AGE_MS = 500
const FAR_AGE_MS = 1000
/** Sizes of fleets to measure; the larger one below runs only with the environment variable EXCHANGE_LARGE. */
const SIZES = [
  { gateways: 7, agents: 9, halls: 3 },
  { gateways: 13, agents: 31, halls: 1 },
  { gateways: 40, agents: 33, halls: 3 },
  { gateways: 98, agents: 85, halls: 5 }
]
const LARGE = { gateways: 370, agents: 910, halls: 8 }
/** Gateways adopt a change within this time of each other; the revisions of their other copies depend on their last answers of the store. */
const ADOPTION_MS = 60
/** Maximum bytes per second that a daemon receives for one change a second: from two broadcasters of its hall, and one of each other hall. */
const ONE_CHANGE_BYTES = 600
const THREE_HALLS = { gateways: 39, agents: 45, halls: 3 }
/** Wake-ups are checked in fleets of more members than this. */
const LARGE_MEMBERS = 100
/** Maximum wake-ups per second, which are ticks and received datagrams, and maximum sent datagrams per second of an idle daemon that is no relay. */
const WAKE_UPS = { gateway: 45, agent: 25 }
const DATAGRAMS_SENT = { gateway: 30, agent: 20 }
const plans = process.env['EXCHANGE_LARGE'] === undefined ? SIZES : [LARGE]

/** Highest traffic of any daemon in bytes per second, and a description of the traffic of all. */
interface TrafficSummary {
  readonly bytesIn: number
  readonly bytesOut: number
  /** The higher one of `bytesIn` and `bytesOut`. */
  readonly worst: number
  readonly text: string
}

function measure (fleet: fleetTesting.TestFleet, label: string): TrafficSummary {
  const rate = (value: number): number => Math.round(value * SECOND_MS / MEASURED_MS)
  const describeRole = (role: string): string => {
    const traffics = fleet.daemons.filter((daemon) => daemon.role === role).map((daemon) => daemon.traffic)
    const formatMeanAndMaximum = (pick: (traffic: fleetTesting.Traffic) => number): string => {
      const values = traffics.map(pick)
      return `${rate(values.reduce((sum, value) => sum + value, 0) / values.length)} (${rate(Math.max(...values))})`
    }
    return `${role} in ${formatMeanAndMaximum((each) => each.bytesIn)} B, ${formatMeanAndMaximum((each) => each.datagramsIn)} datagrams, out ${formatMeanAndMaximum((each) => each.bytesOut)} B, ${formatMeanAndMaximum((each) => each.datagramsOut)} datagrams`
  }
  const bytesIn = rate(Math.max(...fleet.daemons.map(({ traffic }) => traffic.bytesIn)))
  const bytesOut = rate(Math.max(...fleet.daemons.map(({ traffic }) => traffic.bytesOut)))
  const text = `${fleet.daemons.length} members, ${label}, a second, mean (most): ${describeRole('gateway')}; ${describeRole('agent')}; between regions ${rate(fleet.network.counts.interRegionBytes)} B`
  return { bytesIn, bytesOut, worst: Math.max(bytesIn, bytesOut), text }
}

/** Checks the median daemon of a role, since relays and their standbys tick more often. */
function checkWakeUps (fleet: fleetTesting.TestFleet, role: 'gateway' | 'agent', context: nodeTest.TestContext): void {
  const computeMedian = (pick: (traffic: fleetTesting.Traffic) => number): number => {
    const values = fleet.daemons.filter((daemon) => daemon.role === role).map(({ traffic }) => pick(traffic) * SECOND_MS / MEASURED_MS)
    return values.sort((left, right) => left - right)[Math.floor(values.length / 2)] as number
  }
  const wakeUps = computeMedian((traffic) => traffic.ticks + traffic.datagramsIn)
  const sent = computeMedian((traffic) => traffic.datagramsOut)
  context.diagnostic(`${fleet.daemons.length} members: the median ${role} wakes up ${wakeUps} times a second and sends ${sent} datagrams`)
  assert.ok(wakeUps <= WAKE_UPS[role], `${wakeUps} wake-ups a second`)
  assert.ok(sent <= DATAGRAMS_SENT[role], `${sent} datagrams a second`)
}

/** Samples the ages of engine reports on gateways, and keeps the greatest ones. */
function watchAges (fleet: fleetTesting.TestFleet): { sample: () => void, near: () => number, far: () => number, farMean: () => number } {
  const agents = fleet.daemons.filter((daemon) => daemon.role === 'agent')
  const gateways = fleet.daemons.filter((daemon) => daemon.role === 'gateway')
  const greatest = { near: 0, far: 0 }
  let sum = 0
  let count = 0
  function sample (): void {
    for (const gateway of gateways) {
      for (const agent of agents) {
        const age = Date.now() - (gateway.reports.get(agent.host) ?? 0)
        const where = agent.zone === gateway.zone ? 'near' : 'far'
        greatest[where] = Math.max(greatest[where], age)
        if (where === 'near') continue
        sum += age
        count += 1
      }
    }
  }
  return { sample, near: () => greatest.near, far: () => greatest.far, farMean: () => Math.round(sum / Math.max(1, count)) }
}

nodeTest.test('the control traffic of a daemon stays within its bound, however many members there are', async (context) => {
  for (const plan of plans) {
    const members = plan.gateways + plan.agents
    await context.test(`${members} members`, async (part) => {
      const fleet = await fleetTesting.startFleet(part, plan)
      fleet.advance(SETTLE_MS)
      fleet.resetTraffic()
      const ages = watchAges(fleet)
      fleet.advance(MEASURED_MS, (at) => { if (at % SAMPLE_MS === 0) ages.sample() })
      const idle = measure(fleet, 'idle')
      if (members > LARGE_MEMBERS) for (const role of ['gateway', 'agent'] as const) checkWakeUps(fleet, role, part)
      part.diagnostic(idle.text)
      part.diagnostic(`${members} members: reports at most ${ages.near()} ms old in the hall, ${ages.far()} ms of others (mean ${ages.farMean()} ms)`)
      fleet.resetTraffic()
      let revision = 0
      fleet.advance(MEASURED_MS, (at) => {
        if (at % CHANGE_MS !== 0) return
        revision += 1
        for (const daemon of fleet.daemons) {
          if (daemon.role !== 'gateway') continue
          daemon.state.revision = revision
          daemon.gossip.sendNow()
        }
      })
      const changing = measure(fleet, '3 changes a second')
      part.diagnostic(changing.text)
      if (members <= SITE_MEMBERS) assert.ok(ages.near() <= NEAR_AGE_MS && ages.far() <= FAR_AGE_MS, `reports ${ages.near()} and ${ages.far()} ms old`)
      assert.ok(idle.worst <= BYTES_PER_SECOND_LIMIT, `${idle.worst} bytes a second of one daemon while idle`)
      assert.ok(changing.worst <= BYTES_PER_SECOND_LIMIT, `${changing.worst} bytes a second of one daemon while copies change`)
    })
  }
})

nodeTest.test('a change is announced by a few members only, also while their unchanged copies are at different revisions', async (context) => {
  const fleet = await fleetTesting.startFleet(context, THREE_HALLS)
  const gateways = fleet.daemons.filter((daemon) => daemon.role === 'gateway')
  const random = fleetTesting.createRandom()
  fleet.advance(SETTLE_MS)
  fleet.resetTraffic()
  let adoptions: Array<{ readonly at: number, readonly gateway: fleetTesting.TestDaemon }> = []
  fleet.advance(MEASURED_MS, (at) => {
    if (at % SECOND_MS === 0) adoptions = gateways.map((gateway) => ({ gateway, at: at + 1 + Math.floor(random() * ADOPTION_MS) }))
    for (const { gateway } of adoptions.filter((each) => each.at === at)) {
      gateway.state.revision += 1
      gateway.state.watchedAt += Math.ceil(random() * SECOND_MS)
      gateway.gossip.sendNow()
    }
  })
  const bytes = fleet.daemons.reduce((sum, { traffic }) => sum + traffic.changeBytesIn, 0) / fleet.daemons.length * SECOND_MS / MEASURED_MS
  context.diagnostic(`one change a second costs a daemon ${Math.round(bytes)} bytes a second`)
  assert.ok(bytes <= ONE_CHANGE_BYTES, `${bytes} bytes a second`)
})
