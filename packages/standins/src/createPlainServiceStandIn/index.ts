/** Stand-in of a plain service, such as stock and reservations; it counts how often each request ran. */
import * as timers from 'node:timers/promises'
import Koa from 'koa'
import * as rpc from '@switchridge/rpc'
import * as admin from '../_lib/admin.js'

/** Faults of a plain service. */
export interface PlainServiceFaults {
  /** Milliseconds of work for each request. */
  workMs: number
  /** Runs the request and then breaks the connection, for every n-th; 0 for none. */
  loseEvery: number
}

const MAX_BODY_BYTES = 8 * 1024 * 1024

/**
 * Creates the stand-in of a plain service.
 *
 * @param workMs - Milliseconds of work for each request.
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
    const body = await rpc.readBody(context.req, MAX_BODY_BYTES)
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
