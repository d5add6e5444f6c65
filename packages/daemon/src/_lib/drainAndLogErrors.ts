/** Drains a role that is about to be stopped. */
import * as types from '@switchridge/types'

/**
 * Drains a role. An error is logged, so that the role is stopped in any case.
 *
 * @param role - The role.
 */
export async function drainAndLogErrors (role: { readonly drain: () => Promise<void> }): Promise<void> {
  try {
    await role.drain()
  } catch (thrown) {
    process.stderr.write(`level=error event=drain-failed error=${JSON.stringify(types.describeError(thrown))}\n`)
  }
}
