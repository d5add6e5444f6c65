/**
 * Runs every compiled test file with the runtime's own test runner.
 * Arguments, if any, keep only the files whose path contains one of them.
 */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'

const PACKAGES = 'packages'
const filters = process.argv.slice(2)

function findTestFiles (folder) {
  const entries = fs.readdirSync(folder, { withFileTypes: true, recursive: true })
  return entries
    .filter((entry) => entry.isFile() && (entry.name === 'test.js' || entry.name.endsWith('.test.js')))
    .map((entry) => path.join(entry.parentPath ?? entry.path, entry.name))
}

const files = fs.readdirSync(PACKAGES)
  .map((name) => path.join(PACKAGES, name, 'dist'))
  .filter((folder) => fs.existsSync(folder))
  .flatMap(findTestFiles)
  .filter((file) => filters.length === 0 || filters.some((filter) => file.includes(filter)))
  .sort()

const result = childProcess.spawnSync(process.execPath, ['--enable-source-maps', '--test', '--test-reporter=spec', ...files], { stdio: ['ignore', 'inherit', 'inherit'] })
process.exit(result.status ?? 1)
