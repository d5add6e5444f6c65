/** The facts that a daemon publishes about itself. */
import * as types from '@switchridge/types'

/** Facts that change while the daemon runs. */
export type MutableFacts = Pick<types.MemberFacts, 'state' | 'serving' | 'holding' | 'waitingFor' | 'revision'>

/** The facts of one daemon, with change notification. */
export interface SelfFacts {
  readonly read: () => types.MemberFacts
  /** Changes facts; their version is incremented only if something differs. */
  readonly update: (change: Partial<MutableFacts>) => void
  readonly onChange: (listener: () => void) => void
}

/**
 * Creates the facts of a daemon.
 *
 * @param initial - The facts at the start.
 * @returns The facts.
 */
export function createSelfFacts (initial: types.MemberFacts): SelfFacts {
  const listeners: Array<() => void> = []
  let facts = initial
  return {
    read: () => facts,
    update: (change) => {
      const next = { ...facts, ...change }
      if (JSON.stringify(next) === JSON.stringify(facts)) return
      facts = { ...next, factsVersion: facts.factsVersion + 1 }
      for (const listener of listeners) listener()
    },
    onChange: (listener) => { listeners.push(listener) }
  }
}
