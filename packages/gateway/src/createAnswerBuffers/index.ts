/** Bounds the bytes of back ends' answers that a gateway buffers until they are complete, all calls together. */

/** What is buffered of one answer. */
export interface AnswerBuffer {
  /** Records how many bytes are buffered; returns false if they exceed the bound, and the answer must be given up. */
  readonly note: (bytes: number) => boolean
  /** Records that nothing is buffered any more. */
  readonly close: () => void
}

/** The buffered answers of a gateway. */
export interface AnswerBuffers {
  /** Opens the account of an answer. `drop` gives the answer up because another one needs the memory; it is not called after `close`. */
  readonly open: (drop: () => void) => AnswerBuffer
  /** All bytes buffered. */
  readonly read: () => number
}

interface Account {
  bytes: number
  readonly drop: () => void
}

/**
 * Creates the accounts. When the bound is exceeded, the largest answers are given up: one without end soon is the largest.
 *
 * @param maximumBytes - Bound of all bytes buffered.
 * @returns The accounts, without any answer.
 */
export function createAnswerBuffers (maximumBytes: number): AnswerBuffers {
  const accounts = new Set<Account>()
  let total = 0

  function remove (account: Account): void {
    if (accounts.delete(account)) total -= account.bytes
  }

  function findLargest (): Account {
    return [...accounts].reduce((largest, account) => account.bytes > largest.bytes ? account : largest)
  }

  return {
    read: () => total,
    open: (drop) => {
      const account: Account = { bytes: 0, drop }
      accounts.add(account)
      return {
        note: (bytes) => {
          if (!accounts.has(account)) return false
          total += bytes - account.bytes
          account.bytes = bytes
          while (total > maximumBytes) {
            const largest = findLargest()
            remove(largest)
            if (largest === account) return false
            largest.drop()
          }
          return true
        },
        close: () => { remove(account) }
      }
    }
  }
}
