/** Tells which responses without framing can't be whole without a body. */

const FIRST_SUCCESS_STATUS = 200
const FIRST_REDIRECTION_STATUS = 300
const STATUS_RESET_CONTENT = 205

/**
 * Whether a response without framing counts as truncated if its connection ends before any byte of its body. The end of a server's process right after the head
 * looks the same as an empty body; a success without its body misleads the caller, whereas the status of any other response holds without one.
 *
 * @param status - Status of a response that {@link hasMessageFraming} says is not framed.
 * @returns True for a success whose status allows a body.
 */
export function expectsBody (status: number): boolean {
  return status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECTION_STATUS && status !== STATUS_RESET_CONTENT
}
