import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as fleetTesting from './fleetTesting.js'
import * as hallCopies from './hallCopies.js'

function hold (host: string, role: 'gateway' | 'agent', at: number, digest = `d${at}`): Parameters<typeof hallCopies.collectCopies>[0][number] {
  return { ...fleetTesting.describeForRank({ host, role, zone: 'hall-1', region: 'region-1' }), copies: { configuration: { at, digest } } }
}

function collect (...members: Parameters<typeof hallCopies.collectCopies>[0]): readonly [string | undefined, number | undefined] {
  const copy = hallCopies.collectCopies(members)['configuration']
  return [copy?.host, copy?.state.at]
}

nodeTest.test('the most recent copy of a hall is announced with a gateway that has it, else with any member that has it', () => {
  assert.deepEqual(collect(hold('a', 'agent', 7), hold('b', 'gateway', 7), hold('c', 'gateway', 7)), ['b', 7])
  assert.deepEqual(collect(hold('a', 'agent', 9, 'same'), hold('b', 'gateway', 7, 'same'), hold('c', 'gateway', 6)), ['b', 7])
  assert.deepEqual(collect(hold('b', 'gateway', 7), hold('a', 'agent', 9)), ['a', 9])
  assert.deepEqual(collect(hold('b', 'gateway', 7), hold('c', 'gateway', 9)), ['c', 9])
})
