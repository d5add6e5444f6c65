/** The error classes that cross package borders. */

/** Base of all errors that switchridge reports as outcomes. */
export class SwitchridgeError extends Error {
  override get name (): string {
    return this.constructor.name
  }
}

/** Input from outside breaks a rule; `problems` names every place. */
export class InvalidInputError extends SwitchridgeError {
  readonly problems: readonly InputProblem[]

  constructor (subject: string, problems: readonly InputProblem[]) {
    super(`${subject}: ${problems.map(formatProblem).join('; ')}`)
    this.problems = problems
  }
}

/** One rule broken: where, what was given and what is allowed. */
export interface InputProblem {
  readonly place: string
  readonly given: string
  readonly allowed: string
}

/** A peer, the platform or the origin could not be reached, or answered with a failure. */
export class UnavailableError extends SwitchridgeError {
  /** Milliseconds after which another try makes sense, if the other side said so. */
  readonly retryAfterMs: number | undefined

  constructor (message: string, retryAfterMs?: number) {
    super(message)
    this.retryAfterMs = retryAfterMs
  }
}

/** A conditional update met another version. */
export class ConflictError extends SwitchridgeError {}

/** The thing asked for does not exist. */
export class NotFoundError extends SwitchridgeError {}

/** Bytes do not match the digest they were asked by. */
export class DigestMismatchError extends SwitchridgeError {}

/**
 * Formats one problem for a person.
 *
 * @param problem - The rule broken.
 * @returns One line that names place, value and what is allowed.
 */
export function formatProblem (problem: InputProblem): string {
  return `${problem.place}: got ${problem.given}, allowed: ${problem.allowed}`
}

/**
 * Turns anything thrown into its message.
 *
 * @param thrown - A caught value.
 * @returns The message of an error, or the value as text.
 */
export function describeError (thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown)
}
