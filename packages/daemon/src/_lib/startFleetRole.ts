/** Starts a gateway or an agent and follows its settings file. */
import * as fs from 'node:fs'
import * as settings from '@switchridge/settings'
import * as types from '@switchridge/types'
import * as startAgentRole from '../startAgentRole/index.js'
import * as startGatewayRole from '../startGatewayRole/index.js'
import type * as createProcessLifecycle from '../createProcessLifecycle/index.js'

/** Interval at which the settings file is checked, since it may change without a signal. */
const SETTINGS_POLL_INTERVAL_MS = 4000

/** A process that has not drained so long before the end of its grace period ends by itself, so that its log tells what it cuts. */
const FORCED_END_RESERVE_MS = 250

/** A settings file as it was read. */
export interface SettingsFile {
  readonly file: string
  readonly text: string
}

/**
 * Starts the role in the settings.
 *
 * @param checked - The settings.
 * @param source - The file and the text that they were read from.
 * @returns The role. Its reload applies the settings in the file if they are valid and have changed. Rejects if the role can't start.
 */
export async function startFleetRole (checked: settings.FleetSettings, { file, text: initialText }: SettingsFile): Promise<createProcessLifecycle.StartedRole> {
  const role = checked.role === 'gateway'
    ? await startGatewayRole.startGatewayRole(checked)
    : await startAgentRole.startAgentRole(checked)
  let lastText = initialText

  function reload (): void {
    const text = readText(file)
    if (text === null || text === lastText) return
    lastText = text
    const parsed = settings.parseFleetSettings(text, file)
    if (parsed.ok) role.reload(parsed.value)
    else role.logger.error('settings-rejected', { error: parsed.error.message })
  }

  setInterval(reload, SETTINGS_POLL_INTERVAL_MS).unref()
  return { role, reload, maximumDrainMs: checked.limits.grace_seconds * types.MILLISECONDS_IN_SECOND - FORCED_END_RESERVE_MS }
}

function readText (file: string): string | null {
  try {
    return fs.readFileSync(file, 'utf8')
  } catch {
    return null
  }
}
