import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as types from '@switchridge/types'
import * as createTickets from './index.js'

const TICKET = types.brandId<types.TicketId>('t1')

test.describe('createTickets', () => {
  test.it('refuses a delivery that arrives after the question about it', () => {
    const tickets = createTickets.createTickets()
    assert.equal(tickets.resolve(TICKET), 'not-run')
    assert.equal(tickets.open(TICKET), false)
    assert.equal(tickets.resolve(TICKET), 'not-run')
  })

  test.it('runs a delivery that comes twice only once', () => {
    const tickets = createTickets.createTickets()
    assert.equal(tickets.open(TICKET), true)
    assert.equal(tickets.open(TICKET), false)
    assert.equal(tickets.resolve(TICKET), 'running')
    tickets.finish(TICKET)
    assert.equal(tickets.open(TICKET), false)
    assert.equal(tickets.resolve(TICKET), 'ran')
  })

  test.it('says not-run for an attempt that was refused', () => {
    const tickets = createTickets.createTickets()
    tickets.open(TICKET)
    tickets.refuse(TICKET)
    assert.equal(tickets.resolve(TICKET), 'not-run')
    assert.equal(tickets.open(TICKET), false)
  })

  test.it('forgets ended tickets beyond its bound, running ones never', () => {
    const tickets = createTickets.createTickets({ maximumEnded: 10 })
    tickets.open(TICKET)
    for (let index = 0; index < 100; index += 1) tickets.resolve(types.brandId<types.TicketId>(`other-${index}`))
    assert.equal(tickets.resolve(TICKET), 'running')
    assert.equal(tickets.size(), 11)
  })
})
