/** Parses TOML against a schema and reports every violation with its path. */
import * as toml from 'smol-toml'
import type * as zod from 'zod'
import * as types from '@switchridge/types'

/**
 * Parses and validates a document.
 *
 * @param text - The document in TOML.
 * @param file - File name for error messages.
 * @param schema - Schema of the document.
 * @returns The validated value, or an error with file, key, value and what is allowed.
 */
export function parseToml<Schema extends zod.ZodType> (text: string, file: string, schema: Schema): types.Outcome<zod.infer<Schema>, types.InvalidInputError> {
  const document = parseDocument(text, file)
  if (!document.ok) return document
  const result = schema.safeParse(document.value)
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

/**
 * Reads one top-level key of a document without validating the rest.
 *
 * @param text - The document in TOML.
 * @param key - A top-level key.
 * @returns The value, or undefined when the key is missing or the text is not TOML.
 */
export function readTopLevelKey (text: string, key: string): unknown {
  const document = parseDocument(text, '')
  return document.ok ? (document.value as Record<string, unknown>)[key] : undefined
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
