/** The versions that operators named for each model, and until when older ones may serve. */
import type * as clock from '@switchridge/clock'
import type * as staging from '@switchridge/staging'

/** A named version as peers tell each other, with the time since it was heard of. */
export interface VersionNews {
  readonly model: string
  readonly version: number
  readonly ageMs: number
}

/** The record of named versions. */
export interface VersionFollower {
  /**
   * Notes a version that the store or a peer names now; `ageMs` is the time since somebody heard of it.
   * Returns whether the version was not known.
   */
  readonly note: (id: staging.VersionId, ageMs: number) => boolean
  /** All versions of a model, the oldest first. */
  readonly named: (model: string) => readonly staging.NamedVersion[]
  /** Monotonic time in milliseconds from which nothing may be sent to a version, since it would begin too late. */
  readonly lastSendTo: (model: string, version: number) => number
  /** The newest few versions, for peers. */
  readonly news: () => readonly VersionNews[]
  /** What was noted between the end of a suspension and its discovery was noted too early by the lost time. */
  readonly noteSuspension: (suspension: clock.Suspension) => void
}

/** Options of {@link createVersionFollower}. */
export interface VersionFollowerOptions {
  /** Milliseconds from the naming until nothing may begin on an older version. */
  readonly boundMs: number
  /** Milliseconds before the bound from which nothing is sent to older versions, since it may wait at the engine. */
  readonly marginMs: number
  /** Milliseconds that a process has for versions that were named before it began. */
  readonly startMs: number
  /** Told when a version is new, or its bound comes sooner than was believed, by a second or more. */
  readonly onBound: (id: staging.VersionId, bound: VersionBound) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** What is believed of a version. */
export interface VersionBound {
  /** Milliseconds since somebody heard of it, as told now. */
  readonly ageMs: number
  /** Milliseconds until nothing may begin on an older version. */
  readonly leftMs: number
}

/** Bounds that peers tell differ by the time on the way; a second more has a cause of its own. */
const SOONER_MS = 1000
/** A model that was never named runs this version. */
const FIRST_VERSION = 1
const NEWS_KEPT = 4
const START_WINDOW_MS = 1000

/**
 * Creates an empty record.
 *
 * @param options - Bounds and clock.
 * @returns The record.
 */
export function createVersionFollower (options: VersionFollowerOptions): VersionFollower {
  const models = new Map<string, Map<number, staging.NamedVersion>>()
  const startedAt = options.now()

  /** A process that has just begun can't know how long ago a version was named. */
  function allowedMs (): number {
    return options.now() - startedAt < START_WINDOW_MS ? Math.min(options.startMs, options.boundMs) : options.boundMs
  }

  function note (id: staging.VersionId, ageMs: number): boolean {
    const versions = models.get(id.model) ?? new Map<number, staging.NamedVersion>()
    models.set(id.model, versions)
    const heardAt = options.now() - ageMs
    const known = versions.get(id.version)
    if (known !== undefined && known.heardAt <= heardAt) return false
    const boundAt = Math.min(known?.boundAt ?? Infinity, ageMs > 0 ? heardAt + options.boundMs : heardAt + allowedMs())
    versions.set(id.version, { id, heardAt, boundAt })
    if (boundAt < (known?.boundAt ?? Infinity) - SOONER_MS) options.onBound(id, { ageMs, leftMs: boundAt - options.now() })
    return known === undefined
  }

  function named (model: string): staging.NamedVersion[] {
    const versions = [...(models.get(model)?.values() ?? [])]
    if (versions.length === 0) return [{ id: { model, version: FIRST_VERSION }, heardAt: startedAt, boundAt: Infinity }]
    return versions.sort((left, right) => left.id.version - right.id.version)
  }

  function noteSuspension ({ lostMs, resumedAt }: clock.Suspension): void {
    for (const versions of models.values()) {
      for (const [version, { id, heardAt, boundAt }] of versions) {
        if (heardAt >= resumedAt) versions.set(version, { id, heardAt: heardAt + lostMs, boundAt: boundAt + lostMs })
      }
    }
  }

  return {
    note,
    noteSuspension,
    named,
    lastSendTo: (model, version) => {
      let earliest = Infinity
      for (const newer of models.get(model)?.values() ?? []) {
        if (newer.id.version > version) earliest = Math.min(earliest, newer.boundAt - options.marginMs)
      }
      return earliest
    },
    news: () => [...models.keys()].flatMap((model) => named(model).slice(-NEWS_KEPT)
      .map(({ id, heardAt }) => ({ model: id.model, version: id.version, ageMs: Math.round(options.now() - heardAt) })))
  }
}
