import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as types from '@switchridge/types'
import * as createTickets from './index.js'

const TICKET = types.brandId<types.TicketId>('t1')

test.describe('createTickets', () => {
  test.it('refuses an attempt that arrives after a query for it', () => {
    const tickets = createTickets.createTickets()
    assert.equal(tickets.resolve(TICKET), 'not-run')
    assert.equal(tickets.open(TICKET), false)
    assert.equal(tickets.resolve(TICKET), 'not-run')
  })

  test.it('runs an attempt that is delivered twice only once', () => {
    const tickets = createTickets.createTickets()
    assert.equal(tickets.open(TICKET), true)
    assert.equal(tickets.open(TICKET), false)
    assert.equal(tickets.resolve(TICKET), 'running')
    tickets.finish(TICKET)
    assert.equal(tickets.open(TICKET), false)
    assert.equal(tickets.resolve(TICKET), 'ran')
  })

  test.it('reports not-run for a refused attempt', () => {
    const tickets = createTickets.createTickets()
    tickets.open(TICKET)
    tickets.refuse(TICKET)
    assert.equal(tickets.resolve(TICKET), 'not-run')
    assert.equal(tickets.open(TICKET), false)
  })

  test.it('evicts ended tickets beyond the maximum, but never running ones', () => {
    const tickets = createTickets.createTickets({ maximumEnded: 10 })
    tickets.open(TICKET)
    for (let index = 0; index < 100; index += 1) tickets.resolve(types.brandId<types.TicketId>(`other-${index}`))
    assert.equal(tickets.resolve(TICKET), 'running')
    assert.equal(tickets.size(), 11)
  })
})
