/** Object store wrapper that injects faults: refused calls, lost requests and lost answers, at varying times. */
import * as platform from '@switchridge/store'
import * as types from '@switchridge/types'

/** Fault injected into a call. */
export type StoreFault = 'none' | 'refused' | 'lost-request' | 'lost-answer'

/** Wraps a store. `nextFault` decides the fault of each call; `yieldTurn` lets concurrent calls run before and after it. */
export function createFaultyStore (store: platform.ObjectStore, nextFault: () => StoreFault, yieldTurn: () => Promise<void>): platform.ObjectStore {
  async function run<Value, Failure extends Error> (call: () => Promise<types.Outcome<Value, Failure>>): Promise<types.Outcome<Value, Failure | types.UnavailableError>> {
    const fault = nextFault()
    await yieldTurn()
    if (fault === 'refused' || fault === 'lost-request') return types.fail(new types.UnavailableError(fault))
    const outcome = await call()
    await yieldTurn()
    return fault === 'lost-answer' ? types.fail(new types.UnavailableError(fault)) : outcome
  }
  return {
    read: async (...read) => await run(async () => await store.read(...read)),
    write: async (...write) => await run(async () => await store.write(...write)),
    remove: async (...remove) => await run(async () => await store.remove(...remove)),
    list: async (...list) => await run(async () => await store.list(...list)),
    watch: store.watch
  }
}
