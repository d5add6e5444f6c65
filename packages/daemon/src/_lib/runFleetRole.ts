/** Process lifecycle of a gateway or an agent: signals, settings changes and shutdown. */
import * as fs from 'node:fs'
import * as settings from '@switchridge/settings'
import * as startAgentRole from '../startAgentRole/index.js'
import * as startGatewayRole from '../startGatewayRole/index.js'
import * as createProcessLifecycle from '../createProcessLifecycle/index.js'

/** Interval at which the settings file is checked, since it may change without a signal. */
const SETTINGS_POLL_INTERVAL_MS = 4000

/**
 * Starts the role in the settings and installs the signal handlers that reload the settings or end the process.
 *
 * @param checked - The settings.
 * @param file - Path of the file that they were read from.
 */
export async function runFleetRole (checked: settings.FleetSettings, file: string): Promise<void> {
  const role = checked.role === 'gateway'
    ? await startGatewayRole.startGatewayRole(checked)
    : await startAgentRole.startAgentRole(checked)
  let lastText = fs.readFileSync(file, 'utf8')

  function reload (): void {
    const text = readText(file)
    if (text === null || text === lastText) return
    lastText = text
    const parsed = settings.parseFleetSettings(text, file)
    if (parsed.ok) role.reload(parsed.value)
    else process.stderr.write(`level=error event=settings-rejected error=${JSON.stringify(parsed.error.message)}\n`)
  }

  createProcessLifecycle.createProcessLifecycle({ role, reload })
  setInterval(reload, SETTINGS_POLL_INTERVAL_MS).unref()
}

function readText (file: string): string | null {
  try {
    return fs.readFileSync(file, 'utf8')
  } catch {
    return null
  }
}
