import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as types from '@switchridge/types'
import type * as createMemberView from '../createMemberView/index.js'
import * as computeReportTargets from './index.js'

function makeMember (node: string, role: types.MemberRole, hall: string, condition: createMemberView.MemberCondition = 'live'): createMemberView.Member {
  const facts = { node, role, dataHall: hall, state: 'live' } as unknown as types.MemberFacts
  return { facts, condition, leaving: false }
}

function makeFleet (halls: number, entryNodes: number, backends: number): createMemberView.Member[] {
  return Array.from({ length: halls }, (_, hall) => [
    ...Array.from({ length: entryNodes }, (_, index) => makeMember(`e${hall}-${index}`, 'entry', `hall-${hall}`)),
    ...Array.from({ length: backends }, (_, index) => makeMember(`b${hall}-${index}`, 'backend', `hall-${hall}`))
  ]).flat()
}

test.describe('computeReportTargets', () => {
  test.it('bounds what any daemon hears and sends at the size of two years from now', () => {
    const fleet = makeFleet(8, 46, 137)
    const heard = new Map<string, number>()
    let mostSent = 0
    for (const member of fleet) {
      const targets = computeReportTargets.computeReportTargets(member.facts, fleet)
      mostSent = Math.max(mostSent, targets.length)
      for (const target of targets) heard.set(target.node, (heard.get(target.node) ?? 0) + 1)
    }
    assert.ok(mostSent <= 21, `sends to ${mostSent}`)
    assert.ok(Math.max(...heard.values()) <= 70, `hears ${Math.max(...heard.values())}`)
  })

  test.it('reaches from every daemon to every other over at most two hubs', () => {
    const fleet = makeFleet(3, 5, 20)
    const targetsOf = (node: string): string[] => computeReportTargets.computeReportTargets(fleet.find((member) => member.facts.node === node)!.facts, fleet).map((facts) => facts.node)
    for (const { facts } of fleet) {
      const homes = targetsOf(facts.node)
      assert.ok(homes.length >= 2)
      const reached = new Set(homes.flatMap(targetsOf))
      const hubs = computeReportTargets.computeHubs(facts.dataHall, fleet).filter((hub) => hub.node !== facts.node)
      for (const hub of hubs) assert.ok(reached.has(hub.node) || homes.includes(hub.node))
    }
  })

  test.it('goes on trying a hall that fell silent', () => {
    const fleet = [makeMember('e1', 'entry', 'a'), makeMember('e2', 'entry', 'b', 'silent')]
    assert.deepEqual(computeReportTargets.computeReportTargets(fleet[0]!.facts, fleet).map((facts) => facts.node), ['e2'])
  })

  test.it('slows down in a large hall', () => {
    assert.equal(computeReportTargets.computeInterval(12), types.HEARTBEAT_INTERVAL_MS)
    assert.ok(computeReportTargets.computeInterval(183) > 2000)
  })
})
