/** Writes results as lines of JSON, with the commit and the date of the run. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'

/** Collects and prints the results of one experiment. */
export interface Output {
  readonly add: (result: object) => void
  readonly close: (summary: object) => void
}

const SHORT_HASH_ARGS = ['rev-parse', '--short', 'HEAD']

/** Creates the output of an experiment; results are also written to `folder` if it is given. */
export function createOutput (name: string, isJson: boolean, folder: string | undefined): Output {
  const lines: string[] = []
  const print = (result: object): void => {
    const line = JSON.stringify(result)
    lines.push(line)
    process.stdout.write((isJson ? line : formatForTerminal(result)) + '\n')
  }
  return {
    add: (result) => { print({ name, ...result }) },
    close: (summary) => {
      print({ name, summary: true, commit: readCommit(), date: new Date().toISOString(), ...summary })
      if (folder === undefined) return
      fs.mkdirSync(folder, { recursive: true })
      fs.writeFileSync(path.join(folder, `${name}.jsonl`), lines.join('\n') + '\n')
    }
  }
}

function formatForTerminal (result: object): string {
  return Object.entries(result)
    .filter(([, value]) => typeof value !== 'object')
    .map(([key, value]) => `${key}=${typeof value === 'number' ? Number(value.toPrecision(4)) : String(value)}`)
    .join(' ')
}

/** Returns the short hash of the measured commit, with `+` appended if there are uncommitted changes. */
export function readCommit (): string {
  try {
    const hash = childProcess.execFileSync('git', SHORT_HASH_ARGS, { encoding: 'utf8' }).trim()
    const changes = childProcess.execFileSync('git', ['status', '--porcelain', '--', 'packages'], { encoding: 'utf8' }).trim()
    return changes === '' ? hash : `${hash}+`
  } catch {
    return 'unknown'
  }
}
