/** Records until when each back end is cold, as one gateway knows it. */
import type * as types from '@switchridge/types'

/**
 * Where coldness was learned from: the entry in service discovery, the agent beside the back end, its report of a restart that the entry doesn't show yet, or the
 * return of the back end's data hall from an evacuation.
 */
export type ColdSource = 'list' | 'agent' | 'restart' | 'return'

/** Options of {@link createColdRecord}. */
export interface ColdRecordOptions {
  /** Called when a back end that was warm becomes cold, with the milliseconds for which it stays so as far as known. */
  readonly onBegin: (life: types.BackEndInstanceId, source: ColdSource, remainingMs: number) => void
  readonly onEnd: (life: types.BackEndInstanceId) => void
  /** Runs an action at a monotonic time in milliseconds. */
  readonly at: (time: number, action: () => void) => unknown
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** The cold back ends that one gateway knows. Coldness only ends by time: nothing that is recorded shortens it. */
export interface ColdRecord {
  /**
   * Records the entry of a back end in service discovery.
   *
   * @param life - The run of the back end that the entry describes.
   * @param remainingMs - How long the back end stayed cold when the entry was written; counted from when this gateway first receives it.
   * @param content - Content of the entry without its heartbeat counter. An entry with known content doesn't extend coldness.
   */
  readonly noteListed: (life: types.BackEndInstanceId, remainingMs: number, content: string) => void
  /** Records that a back end stays cold until a monotonic time in milliseconds. */
  readonly noteCold: (life: types.BackEndInstanceId, until: number, source: Exclude<ColdSource, 'list'>) => void
  /** Milliseconds for which a back end stays cold; 0 for a warm one. */
  readonly readRemainingMs: (life: types.BackEndInstanceId) => number
  /** Whether any back end is cold. */
  readonly isAnyCold: () => boolean
  /** The back ends that are cold. */
  readonly inForce: () => types.BackEndInstanceId[]
  /** Removes back ends that are warm and no longer listed. */
  readonly retainOnly: (lives: ReadonlySet<types.BackEndInstanceId>) => void
}

/** Added to what an agent reports, for differences between clocks and for a heartbeat that took longer than it seems. */
export const COLD_MARGIN_MS = 250

interface ColdState {
  until: number
  /** Content of the last entry that said how long the back end is cold; empty for one that said that it is warm. */
  listedContent: string
}

/**
 * Creates an empty record.
 *
 * @param options - Listeners and clock.
 * @returns The record.
 */
export function createColdRecord ({ onBegin, onEnd, at, now }: ColdRecordOptions): ColdRecord {
  const states = new Map<types.BackEndInstanceId, ColdState>()
  let latestUntil = -Infinity

  function extend (life: types.BackEndInstanceId, until: number, source: ColdSource, listedContent: string): void {
    const before = states.get(life)?.until ?? -Infinity
    states.set(life, { until: Math.max(before, until), listedContent })
    if (until <= now()) return
    latestUntil = Math.max(latestUntil, until)
    if (before > now()) return
    onBegin(life, source, until - now())
    scheduleEnd(life, until)
  }

  /** Coldness may be extended, so its end is checked again. */
  function scheduleEnd (life: types.BackEndInstanceId, time: number): void {
    at(time, () => {
      const until = states.get(life)?.until ?? -Infinity
      if (until > now()) scheduleEnd(life, until)
      else onEnd(life)
    })
  }

  return {
    noteListed: (life, remainingMs, content) => {
      const known = states.get(life)?.listedContent ?? ''
      const listed = remainingMs > 0 ? content : ''
      if (known !== listed) extend(life, now() + remainingMs, 'list', listed)
    },
    noteCold: (life, until, source) => { extend(life, until, source, states.get(life)?.listedContent ?? '') },
    readRemainingMs: (life) => Math.max(0, (states.get(life)?.until ?? 0) - now()),
    isAnyCold: () => latestUntil > now(),
    inForce: () => [...states].filter(([, { until }]) => until > now()).map(([life]) => life),
    retainOnly: (lives) => { for (const [life, { until }] of states) if (!lives.has(life) && until <= now()) states.delete(life) }
  }
}
