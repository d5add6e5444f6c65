/** A bounded queue of calls that wait until an engine can take them. */

/** Properties of a waiting call that decide its place. */
export interface QueuedCall {
  /** Lower is more urgent. */
  readonly rank: number
  /** Bytes of memory that its body takes. */
  readonly bytes: number
  /** Monotonic time in milliseconds until which the call, if it begins then, is still answered in time. */
  readonly inTimeUntil: number
  /** Monotonic time in milliseconds by which it must begin to be answered before its deadline. */
  readonly beginBy: number
}

/** Bounds of all waiting calls of a gateway. */
export interface WaitingLimits {
  readonly maximumCalls: number
  readonly maximumBytes: number
}

/** The queue. */
export interface WaitingQueue<Call extends QueuedCall> {
  /** Adds a call; false if the queue is full. */
  readonly add: (call: Call) => boolean
  /** Removes a call; false if it is not in the queue. */
  readonly remove: (call: Call) => boolean
  /** The calls in the order in which they are handed out now. */
  readonly list: () => readonly Call[]
  readonly size: () => number
}

/**
 * Creates an empty queue. Calls are ordered by rank; within a rank, those that can still be in time come first, and then those with the least time left.
 *
 * @param limits - Bounds of the queue.
 * @param now - Monotonic clock in milliseconds.
 * @returns The queue.
 */
export function createWaitingQueue<Call extends QueuedCall> (limits: WaitingLimits, now: () => number): WaitingQueue<Call> {
  const calls = new Set<Call>()
  let bytes = 0
  return {
    add: (call) => {
      if (calls.size >= limits.maximumCalls || bytes + call.bytes > limits.maximumBytes) return false
      calls.add(call)
      bytes += call.bytes
      return true
    },
    remove: (call) => {
      if (!calls.delete(call)) return false
      bytes -= call.bytes
      return true
    },
    list: () => {
      const time = now()
      return [...calls].sort((left, right) => compareCalls(left, right, time))
    },
    size: () => calls.size
  }
}

/**
 * Compares two calls by the order in which they are handed out.
 *
 * @param left - One call.
 * @param right - The other one.
 * @param now - Monotonic time in milliseconds.
 * @returns Negative if `left` comes first, positive if `right` does.
 */
export function compareCalls (left: QueuedCall, right: QueuedCall, now: number): number {
  if (left.rank !== right.rank) return left.rank - right.rank
  const [isLeftLate, isRightLate] = [now > left.inTimeUntil, now > right.inTimeUntil]
  if (isLeftLate !== isRightLate) return isLeftLate ? 1 : -1
  return isLeftLate ? left.beginBy - right.beginBy : left.inTimeUntil - right.inTimeUntil
}
