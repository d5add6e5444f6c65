import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as routing from '@switchridge/routing'
import * as tables from '@switchridge/table'
import * as types from '@switchridge/types'
import * as fuzz from './index.js'

const SEED = 20_261_202

test.describe('fuzz', () => {
  test.it('finds no edit lost, doubled or missing in the audit', async () => {
    await fuzz.fuzzEdits({ seed: SEED, runs: 300 })
  })

  test.it('finds an editor that retries blindly with a new id', async () => {
    let attempt = 0
    const retryWithNewId: fuzz.EditTable = async (store, edit, options) => {
      const first = await tables.editTable(store, { ...edit, editId: types.brandId(`${edit.editId}/${attempt++}`) }, { ...options, attempts: 1 })
      if (first.ok || !(first.error instanceof tables.EditUnknownError)) return first
      return await tables.editTable(store, edit, options)
    }
    await assert.rejects(fuzz.fuzzEdits({ seed: SEED, runs: 300 }, retryWithNewId))
  })

  test.it('finds no order of a holder whose lease has lapsed', async () => {
    await fuzz.fuzzLease({ seed: SEED, runs: 5000 })
  })

  test.it('finds a lease without a margin', async () => {
    await assert.rejects(fuzz.fuzzLease({ seed: SEED, runs: 5000 }, { ...fuzz.SAFE_TIMINGS, marginMs: 0 }))
  })

  test.it('finds no call that runs twice, is refused untruly or gets the answer of another', async () => {
    await fuzz.fuzzCalls({ seed: SEED, runs: 25 })
  })

  test.it('finds tickets that call a running attempt not run', async () => {
    const alwaysNotRun = (): routing.Tickets => ({ ...routing.createTickets(), resolve: () => 'not-run' })
    await assert.rejects(fuzz.fuzzCalls({ seed: SEED, runs: 60 }, alwaysNotRun))
  })

  test.it('finds no daemon that goes back to an older revision', async () => {
    await fuzz.fuzzSpread({ seed: SEED, runs: 500 })
  })

  test.it('finds a daemon that accepts a lower revision', async () => {
    const acceptAnyRevision = (): ReturnType<typeof fuzz.createSilentKeeper> => {
      let current = types.EMPTY_TABLE
      const offer = (table: types.Table): 'adopted' => {
        current = table
        return 'adopted'
      }
      const offerUnchecked = (value: unknown): 'adopted' | 'invalid' => {
        const parsed = tables.parseTable(value)
        return parsed.ok ? offer(parsed.value) : 'invalid'
      }
      return { current: () => current, offer, offerUnchecked, onAdopt: () => {} }
    }
    await assert.rejects(fuzz.fuzzSpread({ seed: SEED, runs: 500 }, acceptAnyRevision))
  })
})
