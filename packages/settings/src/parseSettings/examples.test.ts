import * as test from 'node:test'
import * as assert from 'node:assert/strict'
import * as fs from 'node:fs'
import * as url from 'node:url'
import * as parseFleetSettings from '../parseFleetSettings/index.js'
import * as parseSettings from './index.js'

const EXAMPLES = new URL('../../../../examples/', import.meta.url)

test.describe('examples', () => {
  for (const name of fs.readdirSync(EXAMPLES).filter((file) => file.endsWith('.toml'))) {
    test.it(`${name} is accepted`, () => {
      const file = url.fileURLToPath(new URL(name, EXAMPLES))
      const text = fs.readFileSync(file, 'utf8')
      const outcome = parseFleetSettings.isFleetSettings(text) ? parseFleetSettings.parseFleetSettings(text, name) : parseSettings.parseSettings(text, name)
      assert.ok(outcome.ok, outcome.ok ? '' : outcome.error.message)
    })
  }
})
