import * as assert from 'node:assert/strict'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as nodeTest from 'node:test'
import * as url from 'node:url'

/** Header, path and field names of the platform's protocols, which only the adapter may contain. */
const WIRE_NAMES = /expect-instance|not-executed|server-limit|server-leaving|store-era|engine-seal|deadline-remaining|token-count|length-hint|(?<!x-)prompt-prefix|weight-versions|request-urgency|expect-version|\/v1\/(objects|order|report|piece|manifest|stage|readiness)|routeType|trafficSplit|apiKeys|maxAttempts|busySlots/i
const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../../..')

function listSources (folder: string): string[] {
  return fs.readdirSync(folder, { withFileTypes: true, recursive: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith('.ts') && !/^test\.ts$|\.test\.ts$/.test(entry.name))
    .map((entry) => path.join(entry.parentPath, entry.name))
    .filter((file) => !file.includes('/node_modules/') && !file.includes('/dist/'))
}

function countLines (files: readonly string[]): number {
  return files.reduce((sum, file) => sum + fs.readFileSync(file, 'utf8').split('\n').length, 0)
}

nodeTest.test('no source outside the adapter contains names of the platform\'s protocols', () => {
  const offenders = listSources(path.join(ROOT, 'packages')).filter((file) => WIRE_NAMES.test(fs.readFileSync(file, 'utf8')))
  assert.deepEqual(offenders.map((file) => path.relative(ROOT, file)), [])
})

nodeTest.test('the adapter has less than a tenth of the lines of code', () => {
  const adapter = countLines(listSources(path.join(ROOT, 'platform/src')))
  const product = countLines(listSources(path.join(ROOT, 'packages')))
  assert.ok(adapter * 10 < adapter + product, `${adapter} of ${adapter + product} lines`)
})
