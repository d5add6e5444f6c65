/** Admission control of one backend server: slots are counted synchronously, so that running calls never exceed the limit. */
import * as types from '@switchridge/types'
import * as createFairQueue from '../createFairQueue/index.js'

/** Why a call got no slot; `leaving`: the server has stopped accepting calls. Such a call has not run. */
export type RefusalReason = 'full' | 'leaving' | 'deadline' | 'cancelled'

/** The call was refused and did not run. */
export class NotRunError extends types.SwitchridgeError {
  readonly reason: string

  constructor (reason: string) {
    super(`not run: ${reason}`)
    this.reason = reason
  }
}

/** A request for a slot, granted, waiting or refused. */
export interface AdmissionRequest {
  /** Resolves with the function that releases the slot, or with the reason for the refusal. */
  readonly slot: Promise<types.Outcome<() => void, NotRunError>>
  /** Removes the request from the queue; has no effect once the slot is granted or refused. */
  readonly cancel: (reason: RefusalReason) => void
}

/** Load of a backend server. */
export interface Load {
  readonly running: number
  readonly waiting: number
  /** Calls that may run at a time. */
  readonly limit: number
  /** Calls that may wait at a time. */
  readonly queue: number
}

/** Admission of one backend server. */
export interface Admission {
  /** Counts the call synchronously: when this returns, the call runs, waits or is refused. */
  readonly admit: (call: createFairQueue.QueuedCall) => AdmissionRequest
  readonly load: () => Load
  /** Sets how many calls may run and how many may wait at a time, and admits waiting calls for which there is a slot now. */
  readonly setLimits: (limit: number, queue: number) => void
  /** Refuses all waiting and all future calls; running calls may finish. */
  readonly close: () => void
  /** Whether the server has stopped accepting calls. */
  readonly isClosed: () => boolean
}

interface Waiter {
  readonly settle: (outcome: types.Outcome<() => void, NotRunError>) => void
}

/**
 * Creates the admission control of a backend server.
 *
 * @param limit - Calls that may run at a time.
 * @param queue - Calls that may wait at a time.
 * @param onFree - Called when a slot is released and no call waits for it.
 * @returns The admission control.
 */
export function createAdmission (limit: number, queue: number, onFree: () => void = () => {}): Admission {
  const waiting = createFairQueue.createFairQueue<Waiter>(queue)
  let limits = { limit, queue }
  let running = 0
  let isClosed = false

  function admit (call: createFairQueue.QueuedCall): AdmissionRequest {
    if (isClosed) return refuse('leaving')
    if (running < limits.limit) {
      running += 1
      return { slot: Promise.resolve(types.succeed(createRelease())), cancel: () => {} }
    }
    let settle: Waiter['settle'] = () => {}
    const slot = new Promise<types.Outcome<() => void, NotRunError>>((resolve) => { settle = resolve })
    const waiter: Waiter = { settle }
    const evicted = waiting.push(waiter, call)
    evicted?.settle(types.fail(new NotRunError('full')))
    return { slot, cancel: (reason) => { if (waiting.remove(waiter)) settle(types.fail(new NotRunError(reason))) } }
  }

  function createRelease (): () => void {
    let isReleased = false
    return () => {
      if (isReleased) return
      isReleased = true
      running -= 1
      admitWaiting()
      if (running < limits.limit && waiting.size() === 0) onFree()
    }
  }

  function admitWaiting (): void {
    while (running < limits.limit) {
      const next = waiting.pop()
      if (next === undefined) return
      running += 1
      next.settle(types.succeed(createRelease()))
    }
  }

  function close (): void {
    isClosed = true
    for (let next = waiting.pop(); next !== undefined; next = waiting.pop()) next.settle(types.fail(new NotRunError('leaving')))
  }

  return {
    admit,
    close,
    isClosed: () => isClosed,
    load: () => ({ running, waiting: waiting.size(), ...limits }),
    setLimits: (nextLimit, nextQueue) => {
      limits = { limit: nextLimit, queue: nextQueue }
      waiting.setCapacity(nextQueue)
      admitWaiting()
    }
  }
}

function refuse (reason: RefusalReason): AdmissionRequest {
  return { slot: Promise.resolve(types.fail(new NotRunError(reason))), cancel: () => {} }
}
