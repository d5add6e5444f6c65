/** Registers a call of the own interface for as long as its response isn't delivered. */
import type * as Koa from 'koa'
import type * as observability from '@switchridge/observability'
import * as rpc from '@switchridge/rpc'
import * as callHeaders from './callHeaders.js'

/**
 * Registers a call until its response was delivered or its connection is closed.
 *
 * @param register - The register of the process.
 * @param context - The request; its outcome is read from the response's header.
 * @param id - Request id.
 */
export function registerCall (register: observability.CallRegister, context: Koa.Context, id: string): void {
  const { req: request, res: response } = context
  const call = register.open({ id, readPhase: () => response.writableEnded ? 'delivering' : response.headersSent ? 'answering' : request.complete ? 'sent' : 'reading' })
  rpc.watchDelivery(response, (delivery) => {
    const outcome = response.getHeader(callHeaders.OUTCOME_HEADER)
    if (delivery === 'delivered' && typeof outcome === 'string') call.noteEnding(outcome)
    call.close(delivery)
  })
}
