/** Writes lines to an output whose reader may be slow or stuck, within a bound of memory. */

/** The part of a stream that is needed. */
export interface LineOutput {
  readonly write: (text: string) => unknown
  /** Bytes that were written and not passed to the operating system yet. */
  readonly writableLength: number
}

const MAXIMUM_QUEUED_BYTES = 1_000_000

/**
 * Creates the writer. It never blocks: while more than {@link MAXIMUM_QUEUED_BYTES} wait for the reader, lines are dropped, and the next line is preceded by their number.
 *
 * @param output - For example standard error.
 * @returns A function that writes a line.
 */
export function createLineWriter (output: LineOutput): (line: string) => void {
  let dropped = 0
  return (line) => {
    if (output.writableLength > MAXIMUM_QUEUED_BYTES) {
      dropped += 1
      return
    }
    if (dropped > 0) output.write(`level=warn event=log-lines-dropped count=${dropped}\n`)
    dropped = 0
    output.write(`${line}\n`)
  }
}
