#!/usr/bin/env node
/** Longer fuzzing than CI does: `npm run fuzz -- --seed 7 --runs 100000`. */
import yargs from 'yargs'
import * as fuzz from './index.js'

/** A run of calls goes over sockets and takes some hundred times as long as another run. */
const CALL_RUNS_DIVISOR = 20

const FUZZES: Readonly<Record<string, (options: fuzz.FuzzOptions) => Promise<void>>> = {
  edits: fuzz.fuzzEdits,
  lease: fuzz.fuzzLease,
  spread: fuzz.fuzzSpread,
  calls: async (options) => { await fuzz.fuzzCalls({ ...options, runs: Math.ceil(options.runs / CALL_RUNS_DIVISOR) }) }
}

const options = await yargs(process.argv.slice(2))
  .scriptName('fuzz')
  .option('seed', { type: 'number', default: Date.now() % 1_000_000, describe: 'seed; a failure prints it' })
  .option('runs', { type: 'number', default: 2000, describe: 'runs of each fuzz' })
  .option('only', { choices: Object.keys(FUZZES), describe: 'one fuzz alone' })
  .strict()
  .parseAsync()

for (const [name, run] of Object.entries(FUZZES)) {
  if (options.only !== undefined && options.only !== name) continue
  process.stdout.write(`${name}: seed ${options.seed}, ${options.runs} runs\n`)
  await run(options)
  process.stdout.write(`${name}: ok\n`)
}
