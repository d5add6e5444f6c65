/** Tracks the versions that operators announced for each model, and until when older ones may serve. */
import type * as clock from '@switchridge/clock'
import type * as staging from '@switchridge/staging'

/** An announced version as peers exchange it, with the time since it was first heard of. */
export interface VersionAnnouncement {
  readonly model: string
  readonly version: number
  readonly ageMs: number
}

/** The record of announced versions. */
export interface VersionRecord {
  /**
   * Records a version announced by the store or a peer; `ageMs` is the time since any daemon first heard of it.
   * Returns whether the version was unknown.
   */
  readonly note: (id: staging.VersionId, ageMs: number) => boolean
  /** Returns all versions of a model, oldest first. */
  readonly named: (model: string) => readonly staging.NamedVersion[]
  /** Returns the monotonic time in milliseconds from which no call may be sent to a version, since it would begin after the deadline for older versions. */
  readonly lastBeginAt: (model: string, version: number) => number
  /** Returns the monotonic time in milliseconds from which no call may begin on a version; Infinity for the newest one. */
  readonly boundAt: (model: string, version: number) => number
  /** The newest few versions of each model, for peers. */
  readonly recentVersions: () => readonly VersionAnnouncement[]
  /** Corrects times recorded between the end of a suspension and its detection: the clock had not yet included the time lost. */
  readonly noteSuspension: (suspension: clock.Suspension) => void
}

/** Options of the record of announced versions. */
export interface VersionRecordOptions {
  /** Time from the announcement of a version until no call may begin on an older one, in milliseconds. */
  readonly boundMs: number
  /** Calls are no longer sent to older versions this many milliseconds before the deadline, since they may queue at the engine. */
  readonly marginMs: number
  /** Replaces {@link VersionRecordOptions.boundMs}, if shorter, in milliseconds, for versions that this process reads right after its start, since they may have been announced before it. */
  readonly startupBoundMs: number
  /** Called when a version is new, or when its deadline moves earlier by a second or more. */
  readonly onBound: (id: staging.VersionId, bound: VersionBound) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** The known age of a version and the time left until its deadline. */
export interface VersionBound {
  /** Milliseconds since any daemon first heard of it, according to the latest report. */
  readonly ageMs: number
  /** Milliseconds until no call may begin on an older version. */
  readonly leftMs: number
}

/** Deadlines derived from reports of peers vary by the transmission time; a difference of a second or more has another cause. */
const EARLIER_BOUND_THRESHOLD_MS = 1000
/** The version of a model for which none was announced. */
const FIRST_VERSION = 1
const MAXIMUM_ANNOUNCED_VERSIONS = 4
const STARTUP_WINDOW_MS = 1000

/**
 * Creates an empty record of versions.
 *
 * @param options - Bounds, callback and clock.
 * @returns The record.
 */
export function createVersionRecord (options: VersionRecordOptions): VersionRecord {
  const models = new Map<string, Map<number, staging.NamedVersion>>()
  const startedAt = options.now()

  /** Returns the time until the deadline of a version of age 0, in milliseconds. Right after its start a process can't know how long ago the version was announced, so the shorter time applies. */
  function currentBoundMs (): number {
    return options.now() - startedAt < STARTUP_WINDOW_MS ? Math.min(options.startupBoundMs, options.boundMs) : options.boundMs
  }

  function note (id: staging.VersionId, ageMs: number): boolean {
    const versions = models.get(id.model) ?? new Map<number, staging.NamedVersion>()
    models.set(id.model, versions)
    const namedAt = options.now() - ageMs
    const known = versions.get(id.version)
    if (known !== undefined && known.namedAt <= namedAt) return false
    const deadlineAt = Math.min(known?.deadlineAt ?? Infinity, ageMs > 0 ? namedAt + options.boundMs : namedAt + currentBoundMs())
    versions.set(id.version, { id, namedAt, deadlineAt })
    if (deadlineAt < (known?.deadlineAt ?? Infinity) - EARLIER_BOUND_THRESHOLD_MS) options.onBound(id, { ageMs, leftMs: deadlineAt - options.now() })
    return known === undefined
  }

  function named (model: string): staging.NamedVersion[] {
    const versions = [...(models.get(model)?.values() ?? [])]
    if (versions.length === 0) return [{ id: { model, version: FIRST_VERSION }, namedAt: startedAt, deadlineAt: Infinity }]
    return versions.sort((left, right) => left.id.version - right.id.version)
  }

  function noteSuspension ({ lostMs, resumedAt }: clock.Suspension): void {
    for (const versions of models.values()) {
      for (const [version, { id, namedAt, deadlineAt }] of versions) {
        if (namedAt >= resumedAt) versions.set(version, { id, namedAt: namedAt + lostMs, deadlineAt: deadlineAt + lostMs })
      }
    }
  }

  function boundAt (model: string, version: number): number {
    let earliest = Infinity
    for (const newer of models.get(model)?.values() ?? []) {
      if (newer.id.version > version) earliest = Math.min(earliest, newer.deadlineAt)
    }
    return earliest
  }

  return {
    note,
    noteSuspension,
    named,
    boundAt,
    lastBeginAt: (model, version) => boundAt(model, version) - options.marginMs,
    recentVersions: () => [...models.keys()].flatMap((model) => named(model).slice(-MAXIMUM_ANNOUNCED_VERSIONS)
      .map(({ id, namedAt }) => ({ model: id.model, version: id.version, ageMs: Math.round(options.now() - namedAt) })))
  }
}
