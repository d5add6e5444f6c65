/** Reads a settings file and reports every mistake at once. */
import * as toml from 'smol-toml'
import * as types from '@switchridge/types'
import * as schema from '../_lib/schema.js'

export type Settings = schema.Settings

/**
 * Parses and checks the text of a settings file.
 *
 * @param text - The file's content in TOML.
 * @param file - Its name, for messages.
 * @returns The settings, or an error that names file, key, value and what is allowed.
 * @example
 * const outcome = parseSettings(fs.readFileSync('entry.toml', 'utf8'), 'entry.toml')
 */
export function parseSettings (text: string, file: string): types.Outcome<Settings, types.InvalidInputError> {
  const document = parseDocument(text, file)
  if (!document.ok) return document
  const result = schema.settingsSchema.safeParse(document.value)
  if (result.success) return types.succeed(result.data)
  const problems = result.error.issues.flatMap((issue) => describeIssue(issue, document.value))
  return types.fail(new types.InvalidInputError(file, problems))
}

function parseDocument (text: string, file: string): types.Outcome<unknown, types.InvalidInputError> {
  try {
    return types.succeed(toml.parse(text))
  } catch (thrown) {
    const problem = { place: 'file', given: types.describeError(thrown).split('\n')[0] ?? '', allowed: 'TOML 1.0' }
    return types.fail(new types.InvalidInputError(file, [problem]))
  }
}

interface Issue {
  readonly path: readonly PropertyKey[]
  readonly message: string
  readonly code?: string
  readonly keys?: readonly string[]
}

function describeIssue (issue: Issue, document: unknown): types.InputProblem[] {
  if (issue.code === 'unrecognized_keys') {
    return (issue.keys ?? []).map((key) => ({ place: [...issue.path, key].join('.'), given: 'an unknown key', allowed: 'only the keys of the reference in docs/SETTINGS.md' }))
  }
  const place = issue.path.join('.') || 'file'
  return [{ place, given: readValue(document, issue.path), allowed: issue.message }]
}

function readValue (document: unknown, path: readonly PropertyKey[]): string {
  const value = path.reduce<unknown>((node, key) => (node as Record<PropertyKey, unknown> | undefined)?.[key], document)
  const isSecret = path.some((key) => /key|secret/.test(String(key)))
  if (value === undefined) return 'nothing'
  return isSecret ? '(hidden)' : JSON.stringify(value)
}
