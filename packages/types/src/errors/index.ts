/** Error classes shared by the packages. */

/** Base class of all errors that are returned as outcomes. */
export class SwitchridgeError extends Error {
  override get name (): string {
    return this.constructor.name
  }
}

/** External input is invalid; `problems` lists every violation. */
export class InvalidInputError extends SwitchridgeError {
  readonly problems: readonly InputProblem[]

  constructor (subject: string, problems: readonly InputProblem[]) {
    super(`${subject}: ${problems.map(formatProblem).join('; ')}`)
    this.problems = problems
  }
}

/** One violation: the path of the value, the value given and what is allowed. */
export interface InputProblem {
  readonly place: string
  readonly given: string
  readonly allowed: string
}

/** A peer, the platform or the origin could not be reached, or responded with a failure. */
export class UnavailableError extends SwitchridgeError {
  /** Milliseconds after which to retry, if the other side named a time. */
  readonly retryAfterMs: number | undefined

  constructor (message: string, retryAfterMs?: number) {
    super(message)
    this.retryAfterMs = retryAfterMs
  }
}

/** A conditional update found another version than expected. */
export class ConflictError extends SwitchridgeError {}

/** The requested object does not exist. */
export class NotFoundError extends SwitchridgeError {}

/** Received bytes do not match the digest that they were requested by. */
export class DigestMismatchError extends SwitchridgeError {}

/**
 * Formats one violation as readable text.
 *
 * @param problem - The violation.
 * @returns One line with the path, the value and what is allowed.
 */
export function formatProblem (problem: InputProblem): string {
  return `${problem.place}: got ${problem.given}, allowed: ${problem.allowed}`
}

/**
 * Returns the message of a thrown value.
 *
 * @param thrown - A caught value.
 * @returns The message of an error, or any other value as text.
 */
export function describeError (thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown)
}
