import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as types from '@switchridge/types'
import * as createMemberView from './index.js'

function makeFacts (node: string, change: Partial<types.MemberFacts> = {}): types.MemberFacts {
  return {
    node: types.brandId(node),
    role: 'backend',
    dataHall: types.brandId('hall-a'),
    region: types.brandId('region-1'),
    address: { host: '127.0.0.1', port: 1 },
    incarnation: types.brandId('1'),
    factsVersion: 1,
    state: 'live',
    service: types.brandId<types.ServiceName>('llm'),
    memoryBytes: 1,
    serving: [],
    holding: [],
    waitingFor: '',
    revision: 0,
    ...change
  }
}

const NODE = types.brandId<types.NodeId>('b1')
const ENTRY = types.brandId<types.NodeId>('e1')

function createView () {
  const clock = { now: 0 }
  const view = createMemberView.createMemberView({ now: () => clock.now, computeSilenceLimitMs: () => 1000, nodeHoldMs: 10_000, hallHoldMs: 100_000 })
  return { clock, view, condition: (node = NODE) => view.find(node)?.condition }
}

test.describe('createMemberView', () => {
  test.it('marks a node silent after the silence limit, and gone after the hold time', () => {
    const { clock, view, condition } = createView()
    view.applyHeartbeat(makeFacts('b1'))
    clock.now = 1001
    view.applyHeartbeat(makeFacts('b2'))
    view.refresh()
    assert.equal(condition(), 'silent')
    clock.now = 11_002
    view.applyHeartbeat(makeFacts('b2'))
    view.refresh()
    assert.equal(condition(), 'gone')
  })

  test.it('holds the members of a hall that is silent as a whole for longer, since it may be cut off', () => {
    const { clock, view, condition } = createView()
    view.applyHeartbeat(makeFacts('b1'))
    view.applyHeartbeat(makeFacts('b2'))
    clock.now = 50_000
    view.refresh()
    view.refresh()
    assert.equal(condition(), 'silent')
  })

  test.it('reports each process that leaves once, with the source from which that became known first', () => {
    const reported: string[] = []
    const view = createMemberView.createMemberView({ now: () => 0, onLeaving: ({ node, incarnation }, source) => { reported.push(`${node}/${incarnation} ${source}`) } })
    view.applyHeartbeat(makeFacts('b1'))
    view.applyHeartbeat(makeFacts('b1', { state: 'leaving', factsVersion: 2 }))
    view.applyClaims(ENTRY, [{ facts: makeFacts('b1', { state: 'leaving', factsVersion: 3 }), condition: 'live', leaving: false }])
    view.applyHeartbeat(makeFacts('b1', { incarnation: types.brandId<types.IncarnationId>('2') }))
    view.applyClaims(ENTRY, [{ facts: makeFacts('b1', { state: 'leaving', factsVersion: 4 }), condition: 'live', leaving: false }])
    view.applyClaims(ENTRY, [{ facts: makeFacts('b1', { incarnation: types.brandId<types.IncarnationId>('2'), state: 'leaving', factsVersion: 2 }), condition: 'live', leaving: false }])
    assert.deepEqual(reported, ['b1/1 heartbeat', 'b1/2 relay'])
  })

  test.it('takes a refusal as the leaving of that process, until another process of the node is heard of', () => {
    const reported: string[] = []
    const first = types.brandId<types.IncarnationId>('1')
    const second = types.brandId<types.IncarnationId>('2')
    const view = createMemberView.createMemberView({ now: () => 0, onLeaving: ({ node, incarnation }, source) => { reported.push(`${node}/${incarnation} ${source}`) } })
    const isLeaving = (): boolean | undefined => view.find(NODE)?.leaving
    view.noteLeavingRefusal(NODE, first)
    assert.equal(isLeaving(), undefined)
    view.applyHeartbeat(makeFacts('b1'))
    view.noteLeavingRefusal(NODE, first)
    view.noteLeavingRefusal(NODE, first)
    assert.equal(isLeaving(), true)
    view.applyHeartbeat(makeFacts('b1', { factsVersion: 2 }))
    assert.equal(isLeaving(), true)
    view.applyHeartbeat(makeFacts('b1', { state: 'leaving', factsVersion: 3 }))
    view.applyHeartbeat(makeFacts('b1', { incarnation: second }))
    assert.equal(isLeaving(), false)
    view.noteLeavingRefusal(NODE, first)
    assert.equal(isLeaving(), false)
    view.noteLeavingRefusal(NODE, second)
    view.noteLeavingRefusal(NODE, first)
    assert.equal(isLeaving(), true)
    assert.deepEqual(reported, ['b1/1 refusal', 'b1/2 refusal'])
  })

  test.it('does not relay the leaving that it knows from a refusal, since another node may already know a later process', () => {
    const { view } = createView()
    view.applyHeartbeat(makeFacts('b1'))
    view.noteLeavingRefusal(NODE, types.brandId('1'))
    assert.deepEqual(view.changesSince(0, 'all').claims.map(({ leaving }) => leaving), [false])
  })

  test.it('keeps a live node that the node list lacks, and marks one that the list shows as leaving', () => {
    const { view, condition } = createView()
    view.applyHeartbeat(makeFacts('b1'))
    view.applyNodeList([])
    assert.equal(condition(), 'live')
    view.applyNodeList([{ node: NODE, state: 'leaving' }])
    assert.equal(view.find(NODE)?.leaving, true)
  })

  test.it('follows the claims of a relay that it hears, and keeps the last claims when it hears none', () => {
    const { clock, view, condition } = createView()
    view.applyHeartbeat(makeFacts('e1', { role: 'entry' }))
    view.applyClaims(ENTRY, [{ facts: makeFacts('b1'), condition: 'live', leaving: false }])
    assert.equal(condition(), 'live')
    view.applyClaims(ENTRY, [{ facts: makeFacts('b1'), condition: 'silent', leaving: false }])
    assert.equal(condition(), 'silent')
    view.applyClaims(ENTRY, [{ facts: makeFacts('b1'), condition: 'live', leaving: false }])
    clock.now = 5000
    view.refresh()
    assert.equal(condition(), 'live')
  })

  test.it('relays leaving nodes of the node list to daemons that do not read it, until the node restarts', () => {
    const [hub, other] = [createView(), createView()]
    hub.view.applyHeartbeat(makeFacts('b1'))
    const before = hub.view.changesSince(0, 'all').counter
    hub.view.applyNodeList([{ node: NODE, state: 'leaving' }])
    const { claims } = hub.view.changesSince(before, 'all')
    other.view.applyClaims(ENTRY, claims)
    assert.equal(other.view.find(NODE)?.leaving, true)
    other.view.applyClaims(ENTRY, [{ facts: makeFacts('b1', { incarnation: types.brandId<types.IncarnationId>('2') }), condition: 'live', leaving: false }])
    assert.equal(other.view.find(NODE)?.leaving, false)
  })

  test.it('ignores older facts, also those of an earlier incarnation', () => {
    const { view } = createView()
    view.applyHeartbeat(makeFacts('b1', { incarnation: types.brandId<types.IncarnationId>('2'), revision: 7 }))
    view.applyHeartbeat(makeFacts('b1', { incarnation: types.brandId<types.IncarnationId>('1'), factsVersion: 9, revision: 3 }))
    assert.equal(view.find(NODE)?.facts.revision, 7)
  })

  test.it('returns only the claims changed since a counter', () => {
    const { view } = createView()
    view.applyHeartbeat(makeFacts('b1'))
    const first = view.changesSince(0, 'first-hand')
    view.applyHeartbeat(makeFacts('b1'))
    assert.deepEqual(view.changesSince(first.counter, 'first-hand').claims, [])
    view.applyHeartbeat(makeFacts('b1', { factsVersion: 2 }))
    assert.equal(view.changesSince(first.counter, 'first-hand').claims.length, 1)
  })

  test.it('leaves relayed claims out of the first-hand scope, so that claims do not circulate', () => {
    const { view } = createView()
    view.applyClaims(ENTRY, [{ facts: makeFacts('b1'), condition: 'live', leaving: false }])
    assert.equal(view.changesSince(0, 'first-hand').claims.length, 0)
    assert.equal(view.changesSince(0, 'all').claims.length, 1)
  })

  test.it('tells other hubs of a member that it first knew from a relay, as soon as the member reports to it', () => {
    const { view } = createView()
    view.applyClaims(ENTRY, [{ facts: makeFacts('b1'), condition: 'live', leaving: false }])
    const before = view.changesSince(0, 'first-hand')
    view.applyHeartbeat(makeFacts('b1'))
    assert.deepEqual(view.changesSince(before.counter, 'first-hand').claims.map(({ condition }) => condition), ['live'])
  })

  test.it('takes a member that has ended for silent at two hubs that both heard it and told each other so', () => {
    const hubs = [ENTRY, types.brandId<types.NodeId>('e2')].map((node) => ({ node, ...createView(), since: 0 }))

    function exchange (now: number): void {
      for (const { clock, view } of hubs) {
        clock.now = now
        for (const { node } of hubs) view.applyHeartbeat(makeFacts(node, { role: 'entry' }))
        view.refresh()
      }
      for (const hub of hubs) {
        for (const other of hubs.filter(({ node }) => node !== hub.node)) {
          const changes = other.view.changesSince(hub.since, 'first-hand')
          hub.since = changes.counter
          hub.view.applyClaims(other.node, changes.claims.filter(({ facts }) => facts.node !== hub.node))
        }
      }
    }

    for (const { view } of hubs) view.applyHeartbeat(makeFacts('b1'))
    for (let now = 0; now <= 3000; now += 500) exchange(now)
    assert.deepEqual(hubs.map(({ condition }) => condition()), ['silent', 'silent'])
  })

  test.it('takes no member for live by a claim that its relay withdrew, once other hubs had time to report it', () => {
    const { clock, view, condition } = createView()
    view.applyClaims(ENTRY, [{ facts: makeFacts('b1'), condition: 'live', leaving: false }, { facts: makeFacts('b2'), condition: 'live', leaving: false }])
    const conditions: unknown[] = []
    for (const now of [500, 1000, 1600]) {
      clock.now = now
      view.applyHeartbeat(makeFacts('e1', { role: 'entry' }))
      view.applyClaims(ENTRY, now === 500 ? [{ facts: makeFacts('b2'), condition: 'live', leaving: false }] : [], now === 500)
      view.refresh()
      conditions.push([condition(), condition(types.brandId<types.NodeId>('b2'))])
    }
    assert.deepEqual(conditions, [['live', 'live'], ['live', 'live'], ['silent', 'live']])
  })

  test.it('takes no member for live by an earlier claim of an entry node that it hears but no longer asks', () => {
    const { clock, view, condition } = createView()
    const asked = types.brandId<types.NodeId>('e2')
    view.applyClaims(ENTRY, [{ facts: makeFacts('b1'), condition: 'live', leaving: false }])
    for (clock.now = 500; clock.now <= 1500; clock.now += 500) {
      for (const node of [ENTRY, asked]) view.applyHeartbeat(makeFacts(node, { role: 'entry' }))
      view.applyClaims(asked, [])
      view.refresh()
    }
    assert.equal(condition(), 'silent')
  })

  test.it('takes a member whose process has ended for silent until another process of it is heard of, and does not relay that', () => {
    const { clock, view } = createView()
    const ended: string[] = []
    const hub = createMemberView.createMemberView({ now: () => clock.now, computeSilenceLimitMs: () => 1000, onEnded: ({ node, incarnation }) => { ended.push(`${node}/${incarnation}`) } })
    const read = (): unknown => { const { condition, recentlySilent } = hub.find(NODE) ?? {}; return [condition, recentlySilent] }
    for (const each of [view, hub]) each.applyHeartbeat(makeFacts('b1'))
    for (const incarnation of ['1', '2', '1']) hub.noteEndedProcess(NODE, types.brandId(incarnation))
    hub.refresh()
    assert.deepEqual(read(), ['silent', true])
    assert.deepEqual(hub.changesSince(0, 'all').claims, view.changesSince(0, 'all').claims)
    clock.now = 1000
    hub.applyHeartbeat(makeFacts('b1'))
    assert.deepEqual(read(), ['silent', false])
    hub.applyHeartbeat(makeFacts('b1', { incarnation: types.brandId<types.IncarnationId>('2') }))
    assert.deepEqual(read(), ['live', false])
    assert.deepEqual(ended, ['b1/1'])
  })
})
