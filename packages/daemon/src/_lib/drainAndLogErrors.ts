/** Drains a role that is about to be stopped, and ends its connections. */
import * as types from '@switchridge/types'

/**
 * Drains a role and then closes its servers. An error is logged, so that the role is stopped in any case.
 *
 * @param role - The role.
 */
export async function drainAndLogErrors (role: { readonly drain: () => Promise<void>, readonly close?: () => Promise<void> }): Promise<void> {
  try {
    await role.drain()
    await role.close?.()
  } catch (thrown) {
    process.stderr.write(`level=error event=drain-failed error=${JSON.stringify(types.describeError(thrown))}\n`)
  }
}
