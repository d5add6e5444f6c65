#!/usr/bin/env node
/** Command line of the measurements, for example `npm run measure -- burst --json`. */
import yargs from 'yargs'
import * as output from './_lib/output.js'
import type * as controlFleet from './_lib/controlFleet.js'
import * as plotResults from './plotResults/index.js'
import * as runBurst from './runBurst/index.js'
import * as runCapacity from './runCapacity/index.js'
import * as runRouting from './runRouting/index.js'
import * as runConfiguration from './runConfiguration/index.js'

/** Parses fleet shapes such as `3x2+4`: number of halls, entry nodes per hall and backend servers per hall. */
function parseShapes (texts: readonly string[]): controlFleet.FleetShape[] {
  return texts.map((text) => {
    const [halls = 0, entryNodesPerHall = 0, backendsPerHall = 0] = text.split(/[x+]/).map(Number)
    return { halls, entryNodesPerHall, backendsPerHall }
  })
}

await yargs(process.argv.slice(2))
  .scriptName('measure')
  .option('json', { type: 'boolean', default: false, describe: 'one JSON object a line' })
  .option('out', { type: 'string', describe: 'folder for results' })
  .option('logs', { type: 'string', describe: 'folder in which settings and logs of all processes are kept' })
  .command('burst', 'time until N replicas serve, and copies from the origin', (command) => command
    .option('sizes', { type: 'number', array: true, default: [8, 16, 32, 64], describe: 'numbers of nodes; 0 for none' })
    .option('compare-at', { type: 'number', default: 64, describe: 'nodes for faults and baselines; 0 for none' })
    .option('policies', { type: 'string', array: true, default: ['random-chunk', 'tree', 'chain', 'origin'], describe: 'baselines' })
    .option('faults', { type: 'string', array: true, default: Object.keys(runBurst.FAULTS), describe: 'faults and weightings' })
    .option('mebibytes', { type: 'number', default: 32 })
    .option('chunk-kibibytes', { type: 'number', default: 128 })
    .option('limits', { type: 'string', default: '', describe: 'further lines of the limits in the settings' })
    .option('transfer-seconds', { type: 'number', default: 16, describe: 'T: the origin sends four copies in it, a machine two' }), async (options) => {
    const out = output.createOutput('burst', options.json, options.out)
    const results = await runBurst.runBurst(options, out)
    out.close({ trials: results.length })
  })
  .command('routing', 'delay, refusals, retries and fairness of calls', (command) => command
    .option('policies', { type: 'string', array: true, default: ['late-binding', 'least-loaded', 'two-choices', 'least-stated', 'random'] })
    .option('entry-nodes', { type: 'number', array: true, default: [3, 1, 7] })
    .option('loads', { type: 'number', array: true, default: [0.7, 0.9, 1, 1.2] })
    .option('seconds', { type: 'number', default: 10 })
    .option('seed', { type: 'number', default: 7 }), async (options) => {
    const out = output.createOutput('routing', options.json, options.out)
    const results = await runRouting.runRouting(options, out)
    out.close({ loads: results.length })
  })
  .command('configuration', 'time until an edit is in force everywhere', (command) => command
    .option('shapes', { type: 'string', array: true, default: ['3x2+4', '3x4+16'], describe: 'HALLSxENTRY+BACKENDS' })
    .option('edits', { type: 'number', default: 20 }), async (options) => {
    const out = output.createOutput('configuration', options.json, options.out)
    const results = await runConfiguration.runConfiguration({ ...options, shapes: parseShapes(options.shapes) }, out)
    out.close({ scenarios: results.length, slowestSeconds: Math.max(...results.map((result) => result.max)) })
  })
  .command('capacity', 'control cost of each role at the size aimed for', (command) => command
    .option('shapes', { type: 'string', array: true, default: ['3x2+3', '3x3+10', '1x6+60'], describe: 'HALLSxENTRY+BACKENDS' })
    .option('settle-seconds', { type: 'number', default: 20 })
    .option('seconds', { type: 'number', default: 15 })
    .option('page', { type: 'string', describe: 'page whose table is written anew' }), async (options) => {
    const out = output.createOutput('capacity', options.json, options.out)
    const rows = await runCapacity.runCapacity({ ...options, shapes: parseShapes(options.shapes) }, out)
    out.close({ roles: rows.length, cpuPercent: Math.max(...rows.map((row) => row.cpuPercent)), residentMebibytes: Math.max(...rows.map((row) => row.residentMebibytes)) })
  })
  .command('plot <file> <key> <target>', 'draw one number of results as SVG', (command) => command
    .positional('file', { type: 'string', demandOption: true })
    .positional('key', { type: 'string', demandOption: true })
    .positional('target', { type: 'string', demandOption: true }), async ({ file, key, target }) => {
    await plotResults.plotResults(file, key, target)
  })
  .demandCommand(1)
  .strict()
  .parseAsync()
process.exit(0)
