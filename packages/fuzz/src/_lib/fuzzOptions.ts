/** Options that every fuzz takes. */

/** How long and from where a fuzz goes. */
export interface FuzzOptions {
  readonly seed: number
  readonly runs: number
}
