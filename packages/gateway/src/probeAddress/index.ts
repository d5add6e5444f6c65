/** Finds out whether anybody listens at an address. */
import * as net from 'node:net'
import type * as quarantine from '@switchridge/quarantine'
import type * as types from '@switchridge/types'

/**
 * Opens a connection and closes it at once.
 *
 * @param address - Where.
 * @param timeoutMs - Milliseconds after which no answer counts as silence.
 * @returns What the connection met; never rejects.
 */
export async function probeAddress ({ host, port }: types.Address, timeoutMs: number): Promise<quarantine.ProbeResult> {
  return await new Promise((resolve) => {
    const socket = net.connect({ host, port })
    const timer = setTimeout(() => { settle('silent') }, timeoutMs)

    function settle (result: quarantine.ProbeResult): void {
      clearTimeout(timer)
      socket.destroy()
      resolve(result)
    }

    socket.once('connect', () => { settle('taken') })
    socket.on('error', ({ code }: NodeJS.ErrnoException) => { settle(readError(code)) })
  })
}

/** Only a machine that is up and has nobody at the port refuses; a reset comes from somebody who listens. */
function readError (code: string | undefined): quarantine.ProbeResult {
  if (code === 'ECONNREFUSED') return 'refused'
  return code === 'ECONNRESET' ? 'taken' : 'silent'
}
