/** Checks whether a process listens at an address. */
import * as net from 'node:net'
import type * as quarantine from '@switchridge/quarantine'
import type * as types from '@switchridge/types'
import * as startTimeout from '../_lib/startTimeout.js'

/**
 * Opens a connection and closes it at once.
 *
 * @param address - The address to probe.
 * @param timeoutMs - Milliseconds after which the probe counts as unanswered.
 * @returns `taken` if a process listens there, `refused` if none does, `silent` if nothing can be concluded; never rejects.
 */
export async function probeAddress ({ host, port }: types.Address, timeoutMs: number): Promise<quarantine.ProbeResult> {
  return await new Promise((resolve) => {
    const socket = net.connect({ host, port })
    const cancelTimeout = startTimeout.startTimeout(timeoutMs, () => { settle('silent') })

    function settle (result: quarantine.ProbeResult): void {
      cancelTimeout()
      socket.destroy()
      resolve(result)
    }

    socket.once('connect', () => { settle('taken') })
    socket.on('error', ({ code }: NodeJS.ErrnoException) => { settle(classifyError(code)) })
  })
}

/** A connection is only refused by a machine that is up and has no listener at the port; a reset comes from a listening process. */
function classifyError (code: string | undefined): quarantine.ProbeResult {
  if (code === 'ECONNREFUSED') return 'refused'
  return code === 'ECONNRESET' ? 'taken' : 'silent'
}
