/** Reports objects of the store that can't be parsed, each state of an object once. */
import type * as observability from '@switchridge/observability'
import * as store from '@switchridge/store'
import * as types from '@switchridge/types'

/** Logger and counter. */
export interface UnreadableObjectsOptions {
  readonly logger: Pick<observability.Logger, 'warn'>
  readonly count: (name: string, labels: Readonly<Record<string, string>>) => void
}

/** Counts and logs an object, unless this was done for the same state of it; `mirror` holds all objects of its kind. The others stay in use. */
export type ReportUnreadable = (mirror: Pick<store.Mirror, 'kind' | 'objects'>, object: store.StoredObject, error: types.InvalidInputError) => void

/**
 * Creates the report function. A list or a copy holds the same states again, which are not new.
 *
 * @param options - Logger and counter.
 * @returns The function.
 */
export function createUnreadableObjects ({ logger, count }: UnreadableObjectsOptions): ReportUnreadable {
  /** Revisions of the objects that were reported, by kind and name. */
  const revisions = new Map<string, Map<string, number>>()

  return ({ kind, objects }, { name, revision, value }, { message }) => {
    const listed = objects()
    const reported = types.getOrCreate(revisions, kind, () => new Map<string, number>())
    if (reported.size > listed.size) forgetRemoved(reported, listed)
    if (reported.get(name) === revision) return
    reported.set(name, revision)
    count('objects_unreadable', { kind })
    logger.warn('object-unreadable', { kind, name, revision, error: message, omitted: store.readOmission(value) })
  }
}

function forgetRemoved (reported: Map<string, number>, listed: ReadonlyMap<string, unknown>): void {
  for (const name of reported.keys()) if (!listed.has(name)) reported.delete(name)
}
