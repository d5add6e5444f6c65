/**
 * Installs the workspace's dependencies unless the lock file's digest is already installed,
 * so that `npm test` and `npm run demo` work alone on a fresh clone.
 */
import * as childProcess from 'node:child_process'
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'

const STAMP = 'node_modules/.install-stamp'
const digest = crypto.createHash('sha256').update(fs.readFileSync('package-lock.json')).digest('hex')
const installed = fs.existsSync(STAMP) && fs.readFileSync(STAMP, 'utf8') === digest

if (!installed) {
  const result = childProcess.spawnSync('npm', ['ci', '--no-audit', '--no-fund'], { stdio: ['ignore', 'inherit', 'inherit'] })
  if (result.status !== 0) process.exit(result.status ?? 1)
  fs.writeFileSync(STAMP, digest)
}
