/** Virtual clock with a queue of scheduled actions, for discrete-event simulations that don't use the runtime's clock. */

/** A virtual clock with scheduled actions. */
export interface VirtualClock {
  /** Current virtual time in milliseconds. */
  readonly now: () => number
  /** Schedules an action for a virtual time in milliseconds; actions with the same time run in the order in which they were scheduled. */
  readonly at: (time: number, action: () => void) => void
  /** Runs the actions due until a time and advances the clock to it; with Infinity the clock stops at the last action. */
  readonly run: (until: number) => void
}

/**
 * Creates a virtual clock that starts at time 0.
 *
 * @returns The clock.
 */
export function createVirtualClock (): VirtualClock {
  const heap: Array<{ readonly time: number, readonly order: number, readonly action: () => void }> = []
  let now = 0
  let order = 0
  const isBefore = (left: number, right: number): boolean => {
    const [one, other] = [heap[left], heap[right]]
    if (one === undefined || other === undefined) return one !== undefined
    return one.time === other.time ? one.order < other.order : one.time < other.time
  }
  const swap = (left: number, right: number): void => { [heap[left], heap[right]] = [heap[right] as typeof heap[number], heap[left] as typeof heap[number]] }
  function pop (): typeof heap[number] | undefined {
    const first = heap[0]
    const last = heap.pop()
    if (heap.length > 0 && last !== undefined) heap[0] = last
    for (let at = 0; ;) {
      const child = isBefore(2 * at + 2, 2 * at + 1) ? 2 * at + 2 : 2 * at + 1
      if (child >= heap.length || !isBefore(child, at)) return first
      swap(child, at)
      at = child
    }
  }
  return {
    now: () => now,
    at: (time, action) => {
      heap.push({ time, order: order++, action })
      for (let at = heap.length - 1; at > 0 && isBefore(at, (at - 1) >> 1); at = (at - 1) >> 1) swap(at, (at - 1) >> 1)
    },
    run: (until) => {
      while (heap[0] !== undefined && heap[0].time <= until) {
        const next = pop()
        now = next?.time ?? now
        next?.action()
      }
      if (until < Infinity) now = Math.max(now, until)
    }
  }
}
