/** Guards against restrictions that refuse calls without a word in the log, and against a log line for each call or each route. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as clock from '@switchridge/clock'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import * as settings from '@switchridge/settings'
import type * as store from '@switchridge/store'
import * as createFleetParts from './index.js'

const SETTINGS = 'role = "gateway"\nnode = "g"\nzone = "hall-a"\nregion = "a"\nhost = "127.0.0.1"\ninternal_port = 1\n[listen]\ncallers = "127.0.0.1:1"\n[store]\naddress = "127.0.0.1:1"\n'

interface OpenedParts {
  readonly lines: string[]
  /** Brings a configuration into force in which two routes allow the given regions. */
  readonly configure: (version: number, regions: readonly string[]) => void
}

function openParts (regions: string): OpenedParts {
  const parsed = settings.parseFleetSettings(SETTINGS + regions, 'test')
  assert.ok(parsed.ok, parsed.ok ? '' : parsed.error.message)
  const lines: string[] = []
  const parts = createFleetParts.createFleetParts(parsed.value, { clocks: clock.SYSTEM_CLOCKS, writeLine: (line) => { lines.push(line) } })
  const mirror = parts.mirrors.find(({ kind }) => kind === platform.OBJECT_KINDS.configuration) as store.Mirror
  return {
    lines,
    configure: (version, allowedRegions) => {
      const value = testing.createConfiguration('127.0.0.1:1', 1, 'model-a', 'key')
      for (const route of value.routes.slice(0, 2)) route['allowedRegions'] = allowedRegions
      mirror.applyList({ objects: [{ name: platform.CONFIGURATION_NAME, revision: version, value: { ...value, version } }], at: version })
    }
  }
}

function countLines ({ lines }: OpenedParts, pattern: RegExp): number {
  return lines.filter((line) => pattern.test(line)).length
}

nodeTest.test('a region that no data hall is in is logged once for each configuration', () => {
  const opened = openParts('[regions]\nhall-a = "a"\n')
  opened.configure(1, ['a', 'x'])
  assert.equal(countLines(opened, /event=unknown-region .*version=1 region=x/), 1)
  opened.configure(2, ['a', 'x'])
  assert.equal(countLines(opened, /event=unknown-region/), 2)
  opened.configure(3, ['a'])
  assert.equal(countLines(opened, /event=unknown-region/), 2)
  assert.equal(countLines(opened, /event=regions-missing/), 0)
})

nodeTest.test('settings without regions are logged once when a configuration restricts calls', () => {
  const opened = openParts('')
  opened.configure(1, [])
  assert.equal(countLines(opened, /event=regions-missing/), 0)
  opened.configure(2, ['a'])
  opened.configure(3, ['a'])
  assert.equal(countLines(opened, /event=regions-missing/), 1)
})
