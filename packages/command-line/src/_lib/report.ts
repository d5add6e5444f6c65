/** Prints output and errors of commands, and maps errors to exit codes. */
import * as types from '@switchridge/types'
import * as tables from '@switchridge/table'
import * as exitCodes from './exitCodes.js'

/** Prints a line to standard output. */
export function print (line: string): void {
  process.stdout.write(line + '\n')
}

/** Prints an error, for invalid input with every problem, and sets the exit code. */
export function reportError (error: Error): void {
  const lines = error instanceof types.InvalidInputError ? error.problems.map(types.formatProblem) : [error.message]
  for (const line of lines) process.stderr.write(`switchridge: ${line}\n`)
  process.exitCode = findExitCode(error)
}

function findExitCode (error: Error): number {
  if (error instanceof types.InvalidInputError) return exitCodes.EXIT_INVALID
  if (error instanceof tables.EditConflictError) return exitCodes.EXIT_CONFLICT
  if (error instanceof types.UnavailableError || error instanceof tables.EditUnknownError) return exitCodes.EXIT_UNAVAILABLE
  return exitCodes.EXIT_FAILED
}

/** Prints a header and rows as aligned columns. */
export function printColumns (header: readonly string[], rows: ReadonlyArray<readonly string[]>): void {
  const widths = header.map((title, column) => Math.max(title.length, ...rows.map((row) => (row[column] ?? '').length)))
  for (const row of [header, ...rows]) print(row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd())
}
