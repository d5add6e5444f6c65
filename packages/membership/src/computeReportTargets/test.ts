import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as types from '@switchridge/types'
import type * as createMemberView from '../createMemberView/index.js'
import * as computeReportTargets from './index.js'

function makeMember (node: string, role: types.MemberRole, hall: string, condition: createMemberView.MemberCondition = 'live'): createMemberView.Member {
  const facts = { node, role, dataHall: hall, state: 'live' } as unknown as types.MemberFacts
  return { facts, condition, leaving: false, recentlySilent: false }
}

function makeFleet (halls: number, entryNodes: number, backends: number): createMemberView.Member[] {
  return Array.from({ length: halls }, (_, hall) => [
    ...Array.from({ length: entryNodes }, (_, index) => makeMember(`e${hall}-${index}`, 'entry', `hall-${hall}`)),
    ...Array.from({ length: backends }, (_, index) => makeMember(`b${hall}-${index}`, 'backend', `hall-${hall}`))
  ]).flat()
}

test.describe('computeReportTargets', () => {
  test.it('bounds the heartbeats that a daemon receives and sends in a fleet of 8 halls and 1464 members', () => {
    const fleet = makeFleet(8, 46, 137)
    const received = new Map<string, number>()
    let mostSent = 0
    for (const member of fleet) {
      const targets = computeReportTargets.computeReportTargets(member.facts, fleet)
      mostSent = Math.max(mostSent, targets.length)
      for (const target of targets) received.set(target.node, (received.get(target.node) ?? 0) + 1)
    }
    assert.ok(mostSent <= 21, `sends to ${mostSent}`)
    assert.ok(Math.max(...received.values()) <= 70, `hears ${Math.max(...received.values())}`)
  })

  test.it('reaches every daemon from every other one through at most two hubs', () => {
    const fleet = makeFleet(3, 5, 20)
    const targetsOf = (node: string): string[] => computeReportTargets.computeReportTargets(fleet.find((member) => member.facts.node === node)!.facts, fleet).map((facts) => facts.node)
    for (const { facts } of fleet) {
      const targetHosts = targetsOf(facts.node)
      assert.ok(targetHosts.length >= 2)
      const reached = new Set(targetHosts.flatMap(targetsOf))
      const hubs = computeReportTargets.computeHubs(facts.dataHall, fleet).filter((hub) => hub.node !== facts.node)
      for (const hub of hubs) assert.ok(reached.has(hub.node) || targetHosts.includes(hub.node))
    }
  })

  test.it('keeps sending to a hall that became silent', () => {
    const fleet = [makeMember('e1', 'entry', 'a'), makeMember('e2', 'entry', 'b', 'silent')]
    assert.deepEqual(computeReportTargets.computeReportTargets(fleet[0]!.facts, fleet).map((facts) => facts.node), ['e2'])
  })

  test.it('reports to an entry node that is leaving or silent, too, where only one is live', () => {
    const backend = makeMember('b1', 'backend', 'a')
    const targetsBeside = (other: createMemberView.Member): string[] => computeReportTargets.computeReportTargets(backend.facts, [backend, makeMember('e1', 'entry', 'a'), other]).map((facts) => facts.node)
    const leaving = makeMember('e2', 'entry', 'a')
    assert.deepEqual(targetsBeside({ ...leaving, facts: { ...leaving.facts, state: 'leaving' }, leaving: true }), ['e1', 'e2'])
    assert.deepEqual(targetsBeside(makeMember('e2', 'entry', 'a', 'silent')), ['e1', 'e2'])
    assert.deepEqual(targetsBeside(makeMember('e2', 'entry', 'a', 'gone')), ['e1'])
  })

  test.it('lengthens the interval in a large hall', () => {
    assert.equal(computeReportTargets.computeHeartbeatInterval(12), types.HEARTBEAT_INTERVAL_MS)
    assert.ok(computeReportTargets.computeHeartbeatInterval(183) > 2000)
  })
})
