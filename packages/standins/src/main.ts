#!/usr/bin/env node
/** Runs one kind of stand-in as a process, for example `main.js platform --port 6000`. */
import yargs from 'yargs'
import type koa from 'koa'
import * as rpc from '@switchridge/rpc'
import * as standins from './index.js'

const HOST = '127.0.0.1'

async function serve (app: koa, port: number): Promise<void> {
  await rpc.listenHttp(app.callback(), { host: HOST, port })
}

async function serveEngines (ports: readonly number[], options: standins.EngineOptions): Promise<void> {
  for (const port of ports) await serve(standins.createEngineStandIn(options), port)
}

await yargs(process.argv.slice(2))
  .option('port', { type: 'number', array: true, demandOption: true, describe: 'port to listen on, on loopback; several for engines' })
  .command('platform', 'object API and node list', () => {}, async ({ port }) => { await serve(standins.createPlatformStandIn(), port[0] ?? 0) })
  .command('origin', 'origin of weights', (command) => command.option('rate', { type: 'number', default: 0, describe: 'bytes a second; 0 for no limit' }),
    async ({ port, rate }) => { await serve(standins.createOriginStandIn(rate), port[0] ?? 0) })
  .command('engine', 'model engines on ports from --port on', (command) => command
    .option('fences', { type: 'boolean', default: true, describe: 'checks the fence of orders' })
    .option('token-ms', { type: 'number', default: 5 })
    .option('reads-weights', { type: 'boolean', default: true }),
  async ({ port, count, fences, tokenMs, readsWeights }) => { await serveEngines(port as number[], { checksFences: fences, tokenMs, readsWeights }) })
  .command('plain', 'a plain service', (command) => command.option('work-ms', { type: 'number', default: 5 }),
    async ({ port, workMs }) => { await serve(standins.createPlainServiceStandIn(workMs), port[0] ?? 0) })
  .demandCommand(1)
  .strict()
  .parseAsync()
process.on('SIGTERM', () => { process.exit(0) })
process.on('SIGINT', () => { process.exit(0) })
