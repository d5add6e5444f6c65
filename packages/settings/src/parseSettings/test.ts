import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as parseSettings from './index.js'

const ENTRY = `
role = "entry"
deployment = "depozit"
node = "buc-entry-1"
data_hall = "buc-hala-a"
region = "bucharest"
[listen]
host = "127.0.0.1"
port = 7000
caller_port = 8000
[platform]
url = "http://127.0.0.1:6000"
[origin]
url = "http://127.0.0.1:6001"
`

test.describe('parseSettings', () => {
  test.it('fills in defaults', () => {
    const outcome = parseSettings.parseSettings(ENTRY, 'entry.toml')
    assert.ok(outcome.ok)
    assert.equal(outcome.value.limits.requests_in_flight, 16)
  })

  test.it('reports every violation with file, key, value and what is allowed', () => {
    const text = ENTRY.replace('port = 7000', 'port = 70000\ncolour = 3').replace('"entry"', '"leader"')
    const outcome = parseSettings.parseSettings(text, 'entry.toml')
    assert.ok(!outcome.ok)
    assert.deepEqual(outcome.error.problems.map((problem) => problem.place).sort(), ['listen.colour', 'listen.port', 'role'])
    assert.match(outcome.error.message, /^entry\.toml: .*listen\.port: got 70000/)
  })

  test.it('does not print the value of a secret', () => {
    const outcome = parseSettings.parseSettings(ENTRY + '[security]\nshared_key = "short"\n', 'entry.toml')
    assert.ok(!outcome.ok)
    assert.ok(!outcome.error.message.includes('short"'))
  })

  test.it('requires a back end for the role backend', () => {
    const outcome = parseSettings.parseSettings(ENTRY.replace('"entry"', '"backend"'), 'b.toml')
    assert.ok(!outcome.ok)
    assert.equal(outcome.error.problems[0]?.place, 'back_end')
  })

  test.it('reports malformed TOML as one violation', () => {
    const outcome = parseSettings.parseSettings('role = ', 'b.toml')
    assert.ok(!outcome.ok)
    assert.equal(outcome.error.problems[0]?.allowed, 'TOML 1.0')
  })
})
