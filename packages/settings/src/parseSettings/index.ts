/** Parses the settings of an entry node or a backend server's node and reports all violations at once. */
import type * as types from '@switchridge/types'
import * as parseToml from '../_lib/parseToml.js'
import * as schema from '../_lib/schema.js'

export type Settings = schema.Settings

/**
 * Parses and validates the text of a settings file.
 *
 * @param text - The file's content in TOML.
 * @param file - File name for error messages.
 * @returns The settings, or an error with file, key, value and what is allowed.
 * @example
 * const outcome = parseSettings(fs.readFileSync('entry.toml', 'utf8'), 'entry.toml')
 */
export function parseSettings (text: string, file: string): types.Outcome<Settings, types.InvalidInputError> {
  return parseToml.parseToml(text, file, schema.settingsSchema)
}
