/**
 * Installs the workspace's dependencies unless the installed ones already match the lock file,
 * so that `npm test` and `npm run demo` work on a fresh clone without a separate install step.
 */
import * as childProcess from 'node:child_process'
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'

const STAMP_FILE = 'node_modules/.install-stamp'
const digest = crypto.createHash('sha256').update(fs.readFileSync('package-lock.json')).digest('hex')
const isInstalled = fs.existsSync(STAMP_FILE) && fs.readFileSync(STAMP_FILE, 'utf8') === digest

if (!isInstalled) {
  const result = childProcess.spawnSync('npm', ['ci', '--no-audit', '--no-fund'], { stdio: ['ignore', 'inherit', 'inherit'] })
  if (result.status !== 0) process.exit(result.status ?? 1)
  fs.writeFileSync(STAMP_FILE, digest)
}
