/** Admin endpoints through which tests and the demo set faults on a running stand-in and read its counters. */
import type * as Koa from 'koa'
import * as rpc from '@switchridge/rpc'

/** Creates middleware that handles `PUT /admin/faults`, which merges the body into the faults, and `GET /admin/counts`. */
export function createAdmin<Faults extends object> (faults: Faults, readCounts: () => unknown): Koa.Middleware {
  return async (context, next) => {
    if (context.path === '/admin/faults' && context.method === 'PUT') {
      const body = await rpc.readJson(context)
      if (body.ok) Object.assign(faults, body.value)
      context.status = body.ok ? 200 : 400
      context.body = body.ok ? faults : { error: body.error.message }
    } else if (context.path === '/admin/counts' && context.method === 'GET') {
      context.body = readCounts()
    } else {
      await next()
    }
  }
}
