import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as quarantine from '@switchridge/quarantine'
import * as createBackEndState from './index.js'

nodeTest.test('each termination of a back end has its own identifier, however often it is read', async () => {
  let probe: quarantine.ProbeResult = 'taken'
  const asked: string[] = []
  const state = createBackEndState.createBackEndState({
    url: 'http://127.0.0.1:8080',
    name: 'node/life',
    probe: async ({ host, port }) => {
      asked.push(`${host}:${port}`)
      return probe
    }
  })
  assert.equal(await state.findTerminatedInstance(), null)
  probe = 'silent'
  assert.equal(await state.findTerminatedInstance(), null)
  probe = 'refused'
  assert.equal(await state.findTerminatedInstance(), 'node/life/1')
  assert.equal(await state.findTerminatedInstance(), 'node/life/1')
  state.noteAnswer()
  assert.equal(await state.findTerminatedInstance(), 'node/life/2')
  assert.ok(asked.every((address) => address === '127.0.0.1:8080'))
})
