/** Stand-in for a plain service, such as a stock or reservation API; counts how often each request was executed. */
import * as timers from 'node:timers/promises'
import Koa from 'koa'
import * as rpc from '@switchridge/rpc'
import * as admin from '../_lib/admin.js'

/** Faults that a plain service can simulate. */
export interface PlainServiceFaults {
  /** Processing time of a request in milliseconds. */
  workMs: number
  /** Executes every n-th request but closes the connection instead of answering; 0 to disable. */
  loseEvery: number
}

const MAX_BODY_BYTES = 8 * 1024 * 1024

/**
 * Creates the stand-in for a plain service.
 *
 * @param workMs - Processing time of a request in milliseconds, unless its `x-work-ms` header sets another.
 * @returns A koa application.
 */
export function createPlainServiceStandIn (workMs: number): Koa {
  const app = new Koa()
  const faults: PlainServiceFaults = { workMs, loseEvery: 0 }
  const runs = new Map<string, number>()
  let requests = 0

  app.on('error', () => {})
  app.use(admin.createAdmin(faults, () => ({ requests, runs: Object.fromEntries(runs) })))
  app.use(async (context) => {
    requests += 1
    const requestNumber = requests
    const id = context.get('x-request-id')
    const body = await rpc.readBody(context, MAX_BODY_BYTES)
    if (!body.ok) {
      context.status = 413
      return
    }
    const runCount = (runs.get(id) ?? 0) + 1
    runs.set(id, runCount)
    await timers.setTimeout(Number(context.get('x-work-ms')) || faults.workMs)
    if (faults.loseEvery > 0 && requestNumber % faults.loseEvery === 0) {
      context.req.socket.destroy()
      return
    }
    context.body = { id, ran: runCount, method: context.method, path: context.path, body: body.value.toString('utf8') }
  })
  return app
}
