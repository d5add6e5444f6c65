#!/usr/bin/env node
/** The load and experiment tool: `npm run measure -- burst --json`. */
import yargs from 'yargs'
import * as output from './_lib/output.js'
import * as runBurst from './runBurst/index.js'

await yargs(process.argv.slice(2))
  .scriptName('measure')
  .option('json', { type: 'boolean', default: false, describe: 'one JSON object a line' })
  .option('out', { type: 'string', describe: 'folder for results' })
  .option('logs', { type: 'string', describe: 'folder in which settings and logs of all processes are kept' })
  .command('burst', 'time until N replicas serve, and copies from the origin', (command) => command
    .option('sizes', { type: 'number', array: true, default: [8, 16, 32, 64], describe: 'numbers of nodes' })
    .option('compare-at', { type: 'number', default: 64, describe: 'nodes for faults and baselines; 0 for none' })
    .option('policies', { type: 'string', array: true, default: ['random-chunk', 'tree', 'chain', 'origin'], describe: 'baselines' })
    .option('mebibytes', { type: 'number', default: 32 })
    .option('chunk-kibibytes', { type: 'number', default: 128 })
    .option('limits', { type: 'string', default: '', describe: 'further lines of the limits in the settings' })
    .option('transfer-seconds', { type: 'number', default: 16, describe: 'T: the origin sends four copies in it, a machine two' }), async (options) => {
    const out = output.createOutput('burst', options.json, options.out)
    const results = await runBurst.runBurst(options, out)
    out.close({ trials: results.length })
  })
  .demandCommand(1)
  .strict()
  .parseAsync()
process.exit(0)
