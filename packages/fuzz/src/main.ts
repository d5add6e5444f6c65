#!/usr/bin/env node
/** Command line for fuzzing longer than CI does, for example `npm run fuzz -- --seed 7 --runs 100000`. */
import yargs from 'yargs'
import * as fuzz from './index.js'

/** Runs of the call fuzzer are divided by this: they use sockets and take some hundred times as long as the others. */
const CALL_RUNS_DIVISOR = 20

/** Milliseconds in which the disturbances of one soak begin. */
const SOAK_DURATION_MS = 10_000
/** One fault can break a promise hundreds of times. */
const PRINTED_PROBLEMS = 5

/** Soaks one fleet after the other, with the seeds from the given one on, and prints every broken promise. */
async function soak ({ seed, runs }: fuzz.FuzzOptions): Promise<void> {
  let failedSeeds = 0
  for (let each = seed; each < seed + runs; each += 1) {
    const { calls, disturbances, problems } = await fuzz.soakFleet({ seed: each, durationMs: SOAK_DURATION_MS })
    process.stdout.write(`seed ${each}: ${disturbances} disturbances, ${problems.length} broken promises; ${JSON.stringify(calls)}\n`)
    for (const problem of problems.slice(0, PRINTED_PROBLEMS)) process.stdout.write(`  ${problem}\n`)
    if (problems.length > 0) failedSeeds += 1
  }
  if (failedSeeds > 0) throw new Error(`${failedSeeds} of ${runs} seeds failed`)
}

/** Soaks fleets of gateways and agents, one after the other, and prints every broken promise. */
async function soakGateways ({ seed, runs, processes }: fuzz.FuzzOptions & { readonly processes: number | undefined }): Promise<void> {
  let failedSeeds = 0
  for (let each = seed; each < seed + runs; each += 1) {
    const { calls, excused, disturbances, problems, ownEnds, keptFolder, longestStallMs } = await fuzz.soakGateways({ seed: each, ...(processes === undefined ? {} : { processes }) })
    const counts: Record<string, number> = {}
    for (const { rule, logged } of problems) counts[`${rule} ${logged}`] = (counts[`${rule} ${logged}`] ?? 0) + 1
    process.stdout.write(`seed ${each}: ${problems.length} broken promises ${JSON.stringify(counts)}; ${JSON.stringify(disturbances)}; ${JSON.stringify(calls)}; cut as the rules allow ${JSON.stringify(excused)}; ${ownEnds} own ends; longest stall of the soak ${longestStallMs} ms; ${keptFolder ?? 'nothing kept'}\n`)
    const firstOfEach = problems.filter((problem, index) => problems.findIndex(({ rule, logged }) => rule === problem.rule && logged === problem.logged) === index)
    for (const { rule, text } of firstOfEach) process.stdout.write(`  ${rule} ${text}\n`)
    if (problems.length > 0) failedSeeds += 1
  }
  if (failedSeeds > 0) throw new Error(`${failedSeeds} of ${runs} seeds failed`)
}

/** Runs the rows whose name contains all texts, some at a time, and prints what came of each. */
async function runEndlessPeers ({ rows: texts, parallel, program }: { readonly rows: readonly string[], readonly parallel: number, readonly program: string | undefined }): Promise<void> {
  const rows = fuzz.ENDLESS_ROWS.filter(({ name }) => texts.every((text) => name.includes(text)))
  const left = [...rows]
  let failedRows = 0
  await Promise.all(Array.from({ length: parallel }, async () => {
    for (let row = left.shift(); row !== undefined; row = left.shift()) {
      const { problems, ...observed } = await fuzz.runEndlessPeer(row, program)
      process.stdout.write(`${problems.length === 0 ? 'ok' : 'FAILED'}: ${row.name}: ${problems.join('; ')} ${JSON.stringify(observed)}\n`)
      if (problems.length > 0) failedRows += 1
    }
  }))
  if (failedRows > 0) throw new Error(`${failedRows} of ${rows.length} rows failed`)
}

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
  .option('soak', { type: 'boolean', default: false, describe: 'soaks fleets of processes instead, one for each run' })
  .option('soak-gateways', { type: 'boolean', default: false, describe: 'soaks fleets of gateways and agents instead, one for each run' })
  .option('processes', { type: 'number', describe: 'number of gateways and agents of such a fleet' })
  .option('endless-peers', { type: 'boolean', default: false, describe: 'runs gateways beside peers that send without end instead' })
  .option('rows', { type: 'string', array: true, default: [], describe: 'texts that the names of the rows of endless peers to run contain' })
  .option('parallel', { type: 'number', default: 2, describe: 'rows of endless peers to run at a time' })
  .option('program', { type: 'string', describe: 'bundled program of the gateway beside endless peers' })
  .strict()
  .parseAsync()

async function fuzzAll (): Promise<void> {
  for (const [name, run] of Object.entries(FUZZERS)) {
    if (options.only !== undefined && options.only !== name) continue
    process.stdout.write(`${name}: seed ${options.seed}, ${options.runs} runs\n`)
    await run(options)
    process.stdout.write(`${name}: ok\n`)
  }
}

async function run (): Promise<void> {
  if (options.soak) await soak(options)
  else if (options.soakGateways) await soakGateways(options)
  else if (options.endlessPeers) await runEndlessPeers({ rows: options.rows, parallel: options.parallel, program: options.program })
  else await fuzzAll()
}

await run()
