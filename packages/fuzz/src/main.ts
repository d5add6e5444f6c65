#!/usr/bin/env node
/** Command line for fuzzing longer than CI does, for example `npm run fuzz -- --seed 7 --runs 100000`. */
import yargs from 'yargs'
import * as fuzz from './index.js'

/** Runs of the call fuzzer are divided by this: they use sockets and take some hundred times as long as the others. */
const CALL_RUNS_DIVISOR = 20

const FUZZERS: Readonly<Record<string, (options: fuzz.FuzzOptions) => Promise<void>>> = {
  edits: fuzz.fuzzEdits,
  lease: fuzz.fuzzLease,
  spread: fuzz.fuzzSpread,
  calls: async (options) => { await fuzz.fuzzCalls({ ...options, runs: Math.ceil(options.runs / CALL_RUNS_DIVISOR) }) }
}

const options = await yargs(process.argv.slice(2))
  .scriptName('fuzz')
  .option('seed', { type: 'number', default: Date.now() % 1_000_000, describe: 'seed; a failure prints it' })
  .option('runs', { type: 'number', default: 2000, describe: 'runs of each fuzz' })
  .option('only', { choices: Object.keys(FUZZERS), describe: 'one fuzz alone' })
  .strict()
  .parseAsync()

for (const [name, run] of Object.entries(FUZZERS)) {
  if (options.only !== undefined && options.only !== name) continue
  process.stdout.write(`${name}: seed ${options.seed}, ${options.runs} runs\n`)
  await run(options)
  process.stdout.write(`${name}: ok\n`)
}
