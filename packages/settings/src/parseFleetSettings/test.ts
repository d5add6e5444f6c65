import * as assert from 'node:assert/strict'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as nodeTest from 'node:test'
import * as url from 'node:url'
import * as parseFleetSettings from './index.js'

const EXAMPLES = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../../../../examples')

function readExample (name: string): string {
  return fs.readFileSync(path.join(EXAMPLES, name), 'utf8')
}

for (const name of ['gateway.toml', 'agent.toml']) {
  nodeTest.test(`the example ${name} is valid`, () => {
    const parsed = parseFleetSettings.parseFleetSettings(readExample(name), name)
    assert.ok(parsed.ok, parsed.ok ? '' : parsed.error.message)
    assert.ok(parseFleetSettings.isFleetSettings(readExample(name)))
  })
}

nodeTest.test('every violation is reported with its path', () => {
  const text = readExample('gateway.toml').replace(/^callers/m, 'caller').replace('9464', '"high"')
  const parsed = parseFleetSettings.parseFleetSettings(text, 'gateway.toml')
  assert.ok(!parsed.ok)
  assert.deepEqual(parsed.error.problems.map(({ place }) => place).sort(), ['listen.caller', 'metrics.port'])
})

nodeTest.test('an agent needs an engine address, and other roles are not fleet settings', () => {
  const parsed = parseFleetSettings.parseFleetSettings(readExample('agent.toml').replace(/^address = "10.2.0.43:8001"$/m, ''), 'agent.toml')
  assert.ok(!parsed.ok)
  assert.deepEqual(parsed.error.problems.map(({ place }) => place), ['engine.address'])
  assert.ok(!parseFleetSettings.isFleetSettings(readExample('entry.toml')))
  assert.ok(!parseFleetSettings.isFleetSettings('role = '))
})

/** Guards against a process that starts and then fails with each request to an address of its settings. */
nodeTest.test('an address with a port that does not exist is rejected with its path', () => {
  for (const port of ['0', '65536', '70000', '99999999999']) {
    const parsed = parseFleetSettings.parseFleetSettings(readExample('agent.toml').replace('10.2.0.43:8001', `10.2.0.43:${port}`), 'agent.toml')
    assert.ok(!parsed.ok, port)
    assert.deepEqual(parsed.error.problems.map(({ place }) => place), ['engine.address'])
  }
})

nodeTest.test('quarantine limits have defaults and are validated', () => {
  const example = readExample('gateway.toml')
  const parsed = parseFleetSettings.parseFleetSettings(example, 'gateway.toml')
  assert.ok(parsed.ok)
  assert.deepEqual(parsed.value.quarantine, { enabled: true, ends: 3, evidence_seconds: 600, block_seconds: 600, block_maximum_seconds: 86_400, maximum_ends: 500, maximum_blocks: 500 })
  const wrong = parseFleetSettings.parseFleetSettings(`${example}\n[quarantine]\nends = 1\nblock_seconds = 100\nblock_maximum_seconds = 10\n`, 'gateway.toml')
  assert.ok(!wrong.ok)
  assert.deepEqual(wrong.error.problems.map(({ place }) => place).sort(), ['quarantine.block_maximum_seconds', 'quarantine.ends'])
})

/** Guards against a bound of cold engines that is not the one of the deployment. */
nodeTest.test('the tolerance of cold engines has defaults and is validated', () => {
  const example = readExample('gateway.toml')
  const read = (lines: string): unknown => {
    const parsed = parseFleetSettings.parseFleetSettings(`${example}\n[bounds]\n${lines}\n`, 'gateway.toml')
    return parsed.ok ? [parsed.value.bounds.cold_overage, parsed.value.bounds.cold_slack] : parsed.error.problems.map(({ place }) => place)
  }
  assert.deepEqual(read(''), [1.5, 5])
  assert.deepEqual(read('cold_overage = 1.2\ncold_slack = 3'), [1.2, 3])
  assert.deepEqual(read('cold_overage = 0.5\ncold_slack = -1'), ['bounds.cold_overage', 'bounds.cold_slack'])
})

nodeTest.test('regions of data halls are optional, and each needs a name', () => {
  const example = readExample('gateway.toml')
  const without = parseFleetSettings.parseFleetSettings(example.replace(/\[regions\]\n(.+\n)+/, ''), 'gateway.toml')
  assert.ok(without.ok)
  assert.deepEqual(without.value.regions, {})
  const parsed = parseFleetSettings.parseFleetSettings(example, 'gateway.toml')
  assert.ok(parsed.ok)
  assert.equal(parsed.value.regions['cluj-hala-b'], 'cluj')
  const wrong = parseFleetSettings.parseFleetSettings(example.replace('"cluj-hala-b" = "cluj"', '"cluj-hala-b" = ""'), 'gateway.toml')
  assert.ok(!wrong.ok)
  assert.deepEqual(wrong.error.problems.map(({ place }) => place), ['regions.cluj-hala-b'])
})

/** Guards against a deployment that cannot switch the part off, or holds bodies without bound because of a typing error. */
nodeTest.test('calls wait only where the settings ask for it, 0 calls are allowed, and negative limits are not', () => {
  const example = readExample('gateway.toml')
  const parsed = parseFleetSettings.parseFleetSettings(example, 'gateway.toml')
  assert.ok(parsed.ok)
  assert.deepEqual(parsed.value.waiting, { maximum_calls: 0, maximum_bytes: 8_000_000 })
  assert.ok(parseFleetSettings.parseFleetSettings(`${example}\n[waiting]\nmaximum_calls = 0\n`, 'gateway.toml').ok)
  const wrong = parseFleetSettings.parseFleetSettings(`${example}\n[waiting]\nmaximum_calls = -1\nmaximum_bytes = 0.5\n`, 'gateway.toml')
  assert.ok(!wrong.ok)
  assert.deepEqual(wrong.error.problems.map(({ place }) => place).sort(), ['waiting.maximum_bytes', 'waiting.maximum_calls'])
})
