/**
 * Runs the compiled test files with the Node.js test runner.
 * With arguments, it runs only the files whose path contains one of them.
 * Failures of tests listed in KNOWN-RED.txt are printed but don't fail the run; any other failure does.
 */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as nodeTest from 'node:test'
import * as reporters from 'node:test/reporters'

const FOLDERS = ['packages', 'platform']
const KNOWN_FAILURES_FILE = 'KNOWN-RED.txt'
/** Separates the test name, the cause and the issue in a line of the file. */
const SEPARATOR = ' | '
const SpecReporter = reporters.spec
const filters = process.argv.slice(2)

function findTestFiles (folder) {
  const entries = fs.readdirSync(folder, { withFileTypes: true, recursive: true })
  return entries
    .filter((entry) => entry.isFile() && (entry.name === 'test.js' || entry.name.endsWith('.test.js')))
    .map((entry) => path.join(entry.parentPath ?? entry.path, entry.name))
}

function readKnownFailures () {
  if (!fs.existsSync(KNOWN_FAILURES_FILE)) return new Map()
  const lines = fs.readFileSync(KNOWN_FAILURES_FILE, 'utf8').split('\n').filter((line) => line.trim() !== '')
  return new Map(lines.map((line) => {
    const parts = line.split(SEPARATOR)
    if (parts.length !== 3) throw new Error(`${KNOWN_FAILURES_FILE}: "${line}" is not "test${SEPARATOR}cause${SEPARATOR}issue"`)
    return [parts[0], line]
  }))
}

/** A test that failed only because of its subtests is not counted; the failed subtests are. */
function isFailedBySubtests (event) {
  return event.details.error?.failureType === 'subtestsFailed'
}

const files = FOLDERS
  .flatMap((folder) => ['.', ...fs.readdirSync(folder)].map((name) => path.join(folder, name, 'dist')))
  .filter((folder) => fs.existsSync(folder))
  .flatMap(findTestFiles)
  .filter((file) => filters.length === 0 || filters.some((filter) => file.includes(filter)))
  .map((file) => path.resolve(file))
  .sort()

const knownFailures = readKnownFailures()
const failedAsKnown = []
const unexpectedPasses = []
let failedCount = 0

process.execArgv.push('--enable-source-maps')
const stream = nodeTest.run({ files, concurrency: true })
stream.on('test:fail', (event) => {
  if (isFailedBySubtests(event)) return
  if (knownFailures.has(event.name)) failedAsKnown.push(event.name)
  else failedCount += 1
})
stream.on('test:pass', (event) => { if (knownFailures.has(event.name)) unexpectedPasses.push(event.name) })
const report = stream.compose(new SpecReporter())
report.pipe(process.stdout, { end: false })
report.on('end', () => {
  for (const name of failedAsKnown) process.stdout.write(`known red: ${knownFailures.get(name)}\n`)
  for (const name of unexpectedPasses) process.stdout.write(`listed in ${KNOWN_FAILURES_FILE}, but passed this time: ${name}\n`)
  if (failedCount === 0) process.stdout.write(`no other test failed; ${failedAsKnown.length} known red\n`)
  process.exitCode = failedCount > 0 ? 1 : 0
})
