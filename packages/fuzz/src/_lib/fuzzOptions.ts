/** Options shared by all fuzzers. */

/** Seed and number of runs of a fuzzer. */
export interface FuzzOptions {
  readonly seed: number
  readonly runs: number
}
