import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as routing from '@switchridge/routing'
import * as tables from '@switchridge/table'
import * as types from '@switchridge/types'
import * as fuzz from './index.js'

const SEED = 20_261_202

test.describe('fuzz', () => {
  test.it('finds no edit that is lost, applied twice or missing in the audit trail', async () => {
    await fuzz.fuzzEdits({ seed: SEED, runs: 300 })
  })

  test.it('detects an editor that retries an unknown edit with a new id', async () => {
    let attempt = 0
    const retryWithNewId: fuzz.EditTable = async (store, edit, options) => {
      const first = await tables.editTable(store, { ...edit, editId: types.brandId(`${edit.editId}/${attempt++}`) }, { ...options, attempts: 1 })
      if (first.ok || !(first.error instanceof tables.EditUnknownError)) return first
      return await tables.editTable(store, edit, options)
    }
    await assert.rejects(fuzz.fuzzEdits({ seed: SEED, runs: 300 }, retryWithNewId))
  })

  test.it('finds no order from a holder whose lease has expired', async () => {
    await fuzz.fuzzLease({ seed: SEED, runs: 5000 })
  })

  test.it('detects a lease without a safety margin', async () => {
    await assert.rejects(fuzz.fuzzLease({ seed: SEED, runs: 5000 }, { ...fuzz.SAFE_TIMINGS, marginMs: 0 }))
  })

  test.it('finds no call that runs twice, is wrongly reported as not run or gets the answer of another call', async () => {
    await fuzz.fuzzCalls({ seed: SEED, runs: 25 })
  })

  test.it('detects tickets that report a running attempt as not run', async () => {
    const alwaysNotRun = (): routing.Tickets => ({ ...routing.createTickets(), resolve: () => 'not-run' })
    await assert.rejects(fuzz.fuzzCalls({ seed: SEED, runs: 60 }, alwaysNotRun))
  })

  test.it('finds no daemon that reverts to an older revision', async () => {
    await fuzz.fuzzSpread({ seed: SEED, runs: 500 })
  })

  test.it('detects a daemon that accepts an older revision', async () => {
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
