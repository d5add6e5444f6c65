/** Gossip between halls that start, are cut off, or lose their relays or datagrams. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fleetTesting from '../_lib/fleetTesting.js'
import * as rates from '../_lib/rates.js'
import * as relays from '../_lib/relays.js'
import * as wire from '../_lib/wire.js'
import * as createGossip from './index.js'

const SMALL = { gateways: 15, agents: 12, halls: 3 }
const SITE = { gateways: 40, agents: 33, halls: 3 }
/** Three halls of 13 gateways and 15 agents. */
const THREE_HALLS = { gateways: 39, agents: 45, halls: 3 }
/** Two halls of 20 gateways and 15 agents, whose members learn of each other through their relays. */
const RELAYED = { gateways: 40, agents: 30, halls: 2 }
const START_MS = 300
const SETTLE_MS = 4000
/** Maximum age of reports while a hall switches between direct datagrams and relays. */
const CHANGING_AGE_MS = 1600
/** Longer than a member may be silent and still count as live. */
const SILENT_MS = 8000
/** A relay is replaced within this time, and the digests of its hall continue. */
const REPLACED_MS = 1500
/** Maximum age of reports of other halls while all relays are live. */
const USUAL_AGE_MS = 1000
/** All four relay candidates of a hall are replaced within this time: keepalives of the members after them are 1.5 s apart. */
const ALL_REPLACED_MS = 4500
const FROZEN_WATCHED_MS = 12_000
const FROZEN_SAMPLE_MS = 20
/** Longest gap between heartbeats of 27 members that each send one every 2 s, at phases by the hash of their hosts. */
const HEARTBEAT_GAP_MS = 400
/** Gateways of a hall hear of a lost or regained store within this time. */
const STORE_ANNOUNCED_MS = 300
/** Time for the first heartbeat to a seed, its answer, and the answers of the members that it names. */
const RESTARTED_MS = 100
/** Gateways of all halls hear of a pause within this time. */
const PAUSE_MS = 80
/** Three heartbeats in a row are lost once in 8,000 times, and the next one corrects the view. */
const MISJUDGED_FRACTION = 0.0005
/** The same for digests, with one datagram in ten lost on each of up to five hops. */
const FAR_MISJUDGED_FRACTION = 0.005
/** Delay of the late heartbeat, and the bound for the transit of the fastest one. */
const LATE_MS = 400
const FASTEST_MS = 5
/** Shorter than any difference of clocks by which a restart could be told. */
const SHORT_RUN_MS = 900
const DOWN_MS = 2500
const HALL = 'hall-2'

function knowsAll (fleet: fleetTesting.TestFleet, where: 'near' | 'far'): boolean {
  return fleet.daemons.every((daemon) => {
    const others = fleet.daemons.filter((each) => each !== daemon && (each.zone === daemon.zone) === (where === 'near'))
    return fleetTesting.countLive(daemon)[where] === others.length
  })
}

/** Advances the time until a condition holds; returns the milliseconds, or Infinity if it never does. */
function advanceUntil (fleet: fleetTesting.TestFleet, atMostMs: number, isDone: () => boolean): number {
  const STEP_MS = 25
  for (let passed = 0; passed <= atMostMs; passed += STEP_MS) {
    if (isDone()) return passed
    fleet.advance(STEP_MS)
  }
  return Infinity
}

function findRelays (fleet: fleetTesting.TestFleet, zone: string): string[] {
  return relays.rankCandidates(fleet.daemons.map(fleetTesting.describeForRank), zone).map((each) => each.host)
}

async function startSettled (context: nodeTest.TestContext, plan: fleetTesting.FleetPlan): Promise<fleetTesting.TestFleet> {
  const fleet = await fleetTesting.startFleet(context, plan)
  fleet.advance(SETTLE_MS)
  assert.ok(knowsAll(fleet, 'near') && knowsAll(fleet, 'far'), 'every daemon knows all others at first')
  return fleet
}

/** Advances the time and returns the greatest age of reports of one hall's engines on gateways of other halls. */
function watchFarAge (fleet: fleetTesting.TestFleet, zone: string, milliseconds: number): number {
  let greatest = 0
  fleet.advance(milliseconds, () => {
    for (const gateway of fleet.daemons) {
      if (gateway.role !== 'gateway' || gateway.zone === zone) continue
      for (const agent of fleet.daemons) if (agent.role === 'agent' && agent.zone === zone) greatest = Math.max(greatest, Date.now() - (gateway.reports.get(agent.host) ?? 0))
    }
  })
  return greatest
}

const STARTS: ReadonlyArray<{ readonly name: string, readonly plan: fleetTesting.FleetPlan, readonly dead?: number }> = [
  { name: 'with seeds in all halls', plan: SITE },
  { name: 'with all seeds in one hall', plan: { ...SITE, seedsOf: (_, all) => all.filter((each) => each.zone === HALL).slice(0, 2).map((each) => each.host) } },
  { name: 'with one seed of three dead', plan: SITE, dead: 1 },
  { name: 'without gateways in any hall', plan: { gateways: 0, agents: 24, halls: 3 } }
]

for (const { name, plan, dead } of STARTS) {
  nodeTest.test(`a fleet that starts within 0.3 s knows its own halls within 1 s and all other halls within 2 s, ${name}`, async (context) => {
    const fleet = await fleetTesting.startFleet(context, dead === undefined ? plan : { ...plan, seedsOf: (_, all) => ['10.40.9.9', ...all.slice(1, 3).map((each) => each.host)] })
    const nearMs = advanceUntil(fleet, SETTLE_MS, () => knowsAll(fleet, 'near')) + START_MS
    const farMs = advanceUntil(fleet, SETTLE_MS, () => knowsAll(fleet, 'far')) + nearMs
    context.diagnostic(`${name}: own hall after ${nearMs} ms, others after ${farMs} ms`)
    assert.ok(nearMs <= 1000, `own hall known after ${nearMs} ms`)
    assert.ok(farMs <= 2000, `others known after ${farMs} ms`)
  })
}

nodeTest.test('members of a hall that is cut off still know each other, and all halls know each other again after the cut', async (context) => {
  const fleet = await startSettled(context, SMALL)
  const zones = new Map(fleet.daemons.map((daemon) => [daemon.host, daemon.zone]))
  fleet.block((from, to) => (zones.get(from) === HALL) !== (zones.get(to) === HALL))
  fleet.advance(SILENT_MS)
  assert.ok(knowsAll(fleet, 'near'), 'members of each hall still know each other')
  for (const daemon of fleet.daemons) {
    const others = fleet.daemons.filter((each) => each.zone !== daemon.zone && each.zone !== HALL)
    assert.equal(fleetTesting.countLive(daemon).far, daemon.zone === HALL ? 0 : others.length)
  }
  fleet.block(() => false)
  const healedMs = advanceUntil(fleet, SILENT_MS, () => knowsAll(fleet, 'far'))
  context.diagnostic(`all known ${healedMs} ms after the cut ended`)
  assert.ok(healedMs <= 3000, `${healedMs} ms`)
})

nodeTest.test('halls that were cut off for longer than the expiry of members find each other, with seeds of one hall only', async (context) => {
  const plan = { ...SMALL, seedsOf: (_: unknown, all: readonly fleetTesting.PlannedDaemon[]) => all.filter((each) => each.zone === 'hall-1').slice(0, 2).map((each) => each.host) }
  const fleet = await startSettled(context, plan)
  const zones = new Map(fleet.daemons.map((daemon) => [daemon.host, daemon.zone]))
  fleet.block((from, to) => zones.get(from) !== zones.get(to))
  fleet.advance(65_000)
  assert.ok(fleet.daemons.every((daemon) => daemon.gossip.peers().every((peer) => peer.heartbeat.zone === daemon.zone)), 'members of other halls have expired')
  fleet.block(() => false)
  const healedMs = advanceUntil(fleet, SILENT_MS, () => knowsAll(fleet, 'far'))
  context.diagnostic(`all known ${healedMs} ms after the cut ended`)
  assert.ok(healedMs <= 5000, `${healedMs} ms`)
})

nodeTest.test('a relay that freezes is replaced, and the reports of its hall continue', async (context) => {
  const fleet = await startSettled(context, SMALL)
  const [first] = findRelays(fleet, HALL)
  fleet.network.disconnectHost(first as string)
  const age = watchFarAge(fleet, HALL, SILENT_MS)
  context.diagnostic(`reports of the hall at most ${age} ms old in others`)
  assert.ok(age <= REPLACED_MS, `${age} ms`)
  fleet.network.reconnectHost(first as string)
  assert.ok(advanceUntil(fleet, SILENT_MS, () => knowsAll(fleet, 'far') && knowsAll(fleet, 'near')) <= SILENT_MS)
})

nodeTest.test('two relays that freeze at once are replaced by their standbys', async (context) => {
  const fleet = await startSettled(context, SMALL)
  const frozen = findRelays(fleet, HALL).slice(0, relays.RELAYS_PER_HALL)
  for (const host of frozen) fleet.network.disconnectHost(host)
  const age = watchFarAge(fleet, HALL, SILENT_MS)
  context.diagnostic(`reports of the hall at most ${age} ms old in others`)
  assert.ok(age <= REPLACED_MS + USUAL_AGE_MS, `${age} ms`)
  for (const daemon of fleet.daemons) {
    if (frozen.includes(daemon.host)) continue
    const live = new Set(daemon.gossip.peers().filter(daemon.gossip.isLive).map((peer) => peer.heartbeat.host))
    for (const other of fleet.daemons) if (other !== daemon) assert.equal(live.has(other.host), !frozen.includes(other.host), `${daemon.host} of ${other.host}`)
  }
})

nodeTest.test('a hall whose first four gateways freeze at once exchanges digests with other halls again long before these gateways expire', async (context) => {
  const fleet = await startSettled(context, THREE_HALLS)
  const frozen = findRelays(fleet, HALL)
  assert.equal(frozen.length, relays.RELAY_CANDIDATES)
  for (const host of frozen) fleet.network.disconnectHost(host)
  const greatest = { out: 0, into: 0 }
  fleet.advance(FROZEN_WATCHED_MS, (at) => {
    if (at % FROZEN_SAMPLE_MS !== 0) return
    for (const gateway of fleet.daemons) {
      if (gateway.role !== 'gateway' || frozen.includes(gateway.host)) continue
      for (const agent of fleet.daemons) {
        if (agent.role !== 'agent' || (agent.zone === HALL) === (gateway.zone === HALL)) continue
        const direction = agent.zone === HALL ? 'out' : 'into'
        greatest[direction] = Math.max(greatest[direction], Date.now() - (gateway.reports.get(agent.host) ?? 0))
      }
    }
  })
  context.diagnostic(`reports of the hall at most ${greatest.out} ms old in others, those of others ${greatest.into} ms in the hall`)
  assert.ok(greatest.out <= ALL_REPLACED_MS, `${greatest.out} ms out of the hall`)
  assert.ok(greatest.into <= ALL_REPLACED_MS, `${greatest.into} ms into the hall`)
})

/** Advances the time and returns the greatest age of reports of a hall's engines on its own gateways that are not frozen. */
function watchNearAge (fleet: fleetTesting.TestFleet, zone: string, frozen: ReadonlySet<string>, milliseconds: number): number {
  const hall = fleet.daemons.filter((daemon) => daemon.zone === zone && !frozen.has(daemon.host))
  const gateways = hall.filter(({ role }) => role === 'gateway')
  const agents = hall.filter(({ role }) => role === 'agent')
  let greatest = 0
  fleet.advance(milliseconds, (at) => {
    if (at % FROZEN_SAMPLE_MS !== 0) return
    for (const { reports } of gateways) for (const { host } of agents) greatest = Math.max(greatest, Date.now() - (reports.get(host) ?? 0))
  })
  return greatest
}

for (const { name, count, boundMs } of [{ name: 'no member', count: 0, boundMs: 800 }, { name: 'a relay', count: 1, boundMs: 1600 }, { name: 'both relays', count: 2, boundMs: 4000 }]) {
  nodeTest.test(`reports within a relayed hall continue when ${name} freezes`, async (context) => {
    const fleet = await startSettled(context, RELAYED)
    const frozen = new Set(findRelays(fleet, HALL).slice(0, count))
    for (const host of frozen) fleet.network.disconnectHost(host)
    const age = watchNearAge(fleet, HALL, frozen, SILENT_MS)
    context.diagnostic(`reports at most ${age} ms old`)
    assert.ok(age <= boundMs, `${age} ms`)
    for (const host of frozen) fleet.network.reconnectHost(host)
    assert.ok(advanceUntil(fleet, SILENT_MS, () => knowsAll(fleet, 'far') && knowsAll(fleet, 'near')) <= SILENT_MS)
  })
}

/** The hall has one gateway more than the limit for direct datagrams, and one gateway freezes: members switch between both modes at different times. */
nodeTest.test('reports continue in a hall that stops using relays, and when it uses them again', async (context) => {
  const fleet = await startSettled(context, { gateways: rates.DIRECT_GATEWAYS + 1, agents: 12, halls: 1 })
  const frozen = new Set(fleet.daemons.filter(({ role }) => role === 'gateway').slice(-1).map(({ host }) => host))
  for (const host of frozen) fleet.network.disconnectHost(host)
  const out = watchNearAge(fleet, 'hall-1', frozen, FROZEN_WATCHED_MS)
  for (const host of frozen) fleet.network.reconnectHost(host)
  const back = watchNearAge(fleet, 'hall-1', frozen, SILENT_MS)
  context.diagnostic(`reports at most ${out} ms old while it stops, ${back} ms while it begins`)
  assert.ok(out <= CHANGING_AGE_MS && back <= CHANGING_AGE_MS, `${out} and ${back} ms`)
})

nodeTest.test('a relayed hall misjudges almost no live member as silent while one datagram in twenty is lost', async (context) => {
  const SAMPLE_MS = 100
  const fleet = await fleetTesting.startFleet(context, { ...RELAYED, loss: 0.05 })
  fleet.advance(SETTLE_MS)
  const counts = { live: 0, all: 0 }
  fleet.advance(SILENT_MS, (at) => {
    if (at % SAMPLE_MS !== 0) return
    for (const daemon of fleet.daemons) {
      counts.live += fleetTesting.countLive(daemon).near
      counts.all += fleet.daemons.filter((each) => each !== daemon && each.zone === daemon.zone).length
    }
  })
  context.diagnostic(`${counts.live} of ${counts.all} judgements that a live member of the own hall is live`)
  assert.ok(1 - counts.live / counts.all <= MISJUDGED_FRACTION)
})

nodeTest.test('heartbeats that reach a member are distributed over the interval, also after a common start', async (context) => {
  const fleet = await startSettled(context, THREE_HALLS)
  const [member, ...others] = fleet.daemons.filter((daemon) => daemon.zone === HALL) as [fleetTesting.TestDaemon, ...fleetTesting.TestDaemon[]]
  const last = new Map<string, number>()
  const gaps: number[] = []
  let lastAt = Date.now()
  fleet.advance(SILENT_MS, () => {
    const received = member.heartbeats.filter(({ host, at }) => at > (last.get(host) ?? 0))
    for (const { host, at } of received) last.set(host, at)
    if (received.length === 0) return
    gaps.push(Date.now() - lastAt)
    lastAt = Date.now()
  })
  const longest = Math.max(...gaps)
  context.diagnostic(`heartbeats of ${others.length} others come at most ${longest} ms apart`)
  assert.ok(longest <= HEARTBEAT_GAP_MS, `${longest} ms`)
})

nodeTest.test('a gateway that loses the store, or regains it, announces it to the gateways of its hall at once', async (context) => {
  const fleet = await startSettled(context, THREE_HALLS)
  const lost = fleet.daemons.find((daemon) => daemon.host === findRelays(fleet, HALL)[0]) as fleetTesting.TestDaemon
  const next = fleet.daemons.filter((daemon) => daemon !== lost && daemon.zone === HALL && daemon.role === 'gateway')
  for (const isStoreLost of [true, false]) {
    lost.state.isStoreLost = isStoreLost
    const announcedMs = advanceUntil(fleet, SILENT_MS, () => next.every((daemon) => daemon.gossip.peers().find((peer) => peer.heartbeat.host === lost.host)?.heartbeat.isStoreLost === isStoreLost))
    context.diagnostic(`announced after ${announcedMs} ms`)
    assert.ok(announcedMs <= STORE_ANNOUNCED_MS, `${announcedMs} ms`)
  }
})

nodeTest.test('a daemon that restarts at once knows its hall as soon as a new one', async (context) => {
  const fleet = await startSettled(context, SMALL)
  const old = fleet.daemons.find((daemon) => daemon.role === 'agent' && daemon.zone === HALL) as fleetTesting.TestDaemon
  const restarted = await fleet.restart(old)
  const hall = fleet.daemons.filter((daemon) => daemon !== old && daemon.zone === HALL)
  const knownMs = advanceUntil(fleet, SILENT_MS, () => fleetTesting.countLive(restarted).near === hall.length)
  context.diagnostic(`the hall is known ${knownMs} ms after the start`)
  assert.ok(knownMs <= RESTARTED_MS, `${knownMs} ms`)
})

nodeTest.test('the other daemons still know each other if all seeds die after the start', async (context) => {
  const fleet = await startSettled(context, SMALL)
  const seeds = fleet.daemons.filter((daemon) => ['10.40.0.1', '10.40.0.2', '10.40.0.3'].includes(daemon.host))
  for (const { host } of seeds) fleet.network.disconnectHost(host)
  fleet.advance(SILENT_MS)
  for (const daemon of fleet.daemons) {
    if (seeds.includes(daemon)) continue
    const { near, far } = fleetTesting.countLive(daemon)
    assert.equal(near + far, fleet.daemons.length - 1 - seeds.length)
  }
})

nodeTest.test('a fleet that loses one datagram in twenty misjudges almost no live member as silent', async (context) => {
  const SAMPLE_MS = 100
  const fleet = await fleetTesting.startFleet(context, { ...SMALL, loss: 0.05 })
  fleet.advance(SETTLE_MS)
  let live = 0
  let samples = 0
  fleet.advance(SILENT_MS, (at) => {
    if (at % SAMPLE_MS !== 0) return
    for (const daemon of fleet.daemons) {
      const { near, far } = fleetTesting.countLive(daemon)
      live += near + far
      samples += fleet.daemons.length - 1
    }
  })
  const misjudged = 1 - live / samples
  context.diagnostic(`${misjudged} of all judgements that a live peer is not live`)
  assert.ok(misjudged <= MISJUDGED_FRACTION, `${misjudged} of all judgements`)
})

nodeTest.test('agents consider agents of other halls live, although digests are rare and one datagram in ten is lost', async (context) => {
  const SAMPLE_MS = 100
  const fleet = await fleetTesting.startFleet(context, { ...THREE_HALLS, loss: 0.1 })
  fleet.advance(SETTLE_MS)
  const counts = { live: 0, within: 0, all: 0 }
  fleet.advance(SILENT_MS, (at) => {
    if (at % SAMPLE_MS !== 0) return
    for (const daemon of fleet.daemons) {
      if (daemon.role !== 'agent') continue
      const far = daemon.gossip.peers().filter(({ heartbeat }) => heartbeat.role === 'agent' && heartbeat.zone !== daemon.zone)
      counts.all += fleet.daemons.filter((each) => each.role === 'agent' && each.zone !== daemon.zone).length
      counts.live += far.filter(daemon.gossip.isLive).length
      counts.within += far.filter(({ heardAt }) => Date.now() - heardAt <= createGossip.PEER_LIVE_MS).length
    }
  })
  context.diagnostic(`${counts.live} of ${counts.all} judgements that a far agent is live, ${counts.within} by the time of near ones`)
  assert.ok(counts.live / counts.all >= 1 - FAR_MISJUDGED_FRACTION)
})

nodeTest.test('the ages of versions in a heartbeat include its delay', async (context) => {
  const fleet = await startSettled(context, { gateways: 2, agents: 1, halls: 1 })
  const [broadcaster, receiver] = fleet.daemons as [fleetTesting.TestDaemon, fleetTesting.TestDaemon]
  const heartbeat = { ...fleetTesting.describeForRank(broadcaster), versions: [{ model: 'base', version: 9, ageMs: 100 }] }
  fleet.inject(broadcaster.host, receiver.host, Buffer.from(wire.formatHeartbeat({ sentAt: Date.now() - LATE_MS, incarnation: null }, heartbeat, 0, 'nobody')))
  const age = receiver.versionAges.get(9) ?? 0
  assert.ok(age >= 100 + LATE_MS - FASTEST_MS && age <= 100 + LATE_MS, `${age} ms`)
})

nodeTest.test('a pause reaches the gateways of all halls at once, a suspicion all agents, and the leaving of a daemon all members', async (context) => {
  const fleet = await startSettled(context, SITE)
  const agent = fleet.daemons.find((daemon) => daemon.role === 'agent') as fleetTesting.TestDaemon
  agent.state.isPaused = true
  agent.gossip.sendNow('gateway')
  fleet.advance(PAUSE_MS)
  assert.ok(fleet.daemons.every((daemon) => daemon.role === 'agent' || daemon.pauses.has(agent.host)), 'each gateway knows of the pause')
  agent.state.suspects.push('agent-x')
  agent.gossip.sendNow('agent')
  fleet.advance(PAUSE_MS)
  const otherAgents = fleet.daemons.filter((daemon) => daemon !== agent && daemon.role === 'agent')
  assert.ok(otherAgents.every((daemon) => daemon.gossip.peers().some((peer) => peer.heartbeat.host === agent.host && peer.heartbeat.suspects.includes('agent-x'))))
  agent.state.isLeaving = true
  agent.gossip.sendNow()
  fleet.advance(PAUSE_MS)
  assert.ok(fleet.daemons.every((daemon) => daemon === agent || daemon.gossip.peers().some((peer) => peer.heartbeat.host === agent.host && peer.heartbeat.isLeaving)))
  const before = agent.traffic.datagramsOut
  agent.gossip.sendNow()
  assert.equal(agent.traffic.datagramsOut, before, 'later calls are merged like any change')
})

nodeTest.test('a change that one gateway sees reaches its hall at once, and other halls with the host of a member that holds it', async (context) => {
  const fleet = await startSettled(context, SITE)
  const gateway = fleet.daemons.find((daemon) => daemon.role === 'gateway' && daemon.zone === HALL) as fleetTesting.TestDaemon
  gateway.state.revision = 1
  gateway.gossip.sendNow()
  fleet.advance(1000)
  for (const daemon of fleet.daemons) if (daemon !== gateway) assert.equal(daemon.newestRevision.host, gateway.host)
})

nodeTest.test('datagrams that are malformed or of an unknown sender are dropped and counted by reason', async (context) => {
  const fleet = await startSettled(context, { gateways: 2, agents: 1, halls: 1 })
  const [daemon] = fleet.daemons as [fleetTesting.TestDaemon]
  const bad = ['{', '["x"]', '["h",1]', '{}', '["d",1,0,1]\n["hall-1"]', '["r",0]', '["n",1,[]]']
  for (const text of bad) fleet.inject('10.40.9.9', daemon.host, Buffer.from(text))
  assert.deepEqual(daemon.dropped, ['not-json', 'unknown-kind', 'bad-shape', 'bad-shape', 'bad-shape', 'unknown-sender', 'unknown-sender'])
})

nodeTest.test('the reports of a daemon that is killed within a second of its start and started again do not count as delayed', async (context) => {
  const fleet = await startSettled(context, SMALL)
  const old = fleet.daemons.find((daemon) => daemon.role === 'agent' && daemon.zone === HALL) as fleetTesting.TestDaemon
  const first = await fleet.restart(old)
  fleet.advance(SHORT_RUN_MS)
  first.gossip.stop()
  fleet.advance(DOWN_MS)
  await fleet.restart(first)
  fleet.advance(SETTLE_MS)
  for (const receiver of fleet.daemons) {
    if (receiver === old) continue
    const delayMs = receiver.delays.get(old.host) ?? Infinity
    assert.ok(delayMs <= FASTEST_MS, `${receiver.host} counts them as ${delayMs} ms late`)
  }
})
