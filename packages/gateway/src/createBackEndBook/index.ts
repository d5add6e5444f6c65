/** What one gateway knows of each back end: its last report, what it was sent since, and how it answered. */
import type * as types from '@switchridge/types'
import type * as gateway from '../types/index.js'

/** Work that this gateway has at a back end. */
export interface OpenAttempt {
  readonly promptTokens: number
  readonly answerTokens: number
  readonly sentAt: number
  /** Whether the first event, or the answer, has come. */
  hasBegun: boolean
}

/** What the agent beside an engine says. */
export interface AgentNews {
  readonly report: gateway.EngineReport
  /** Whether the engine shall get no new work for now. */
  readonly isPaused: boolean
  /** Milliseconds until it changes its version; null when it will not. */
  readonly changesInMs: number | null
}

/** Load of one back end as this gateway sees it. */
export interface BackEndLoad {
  /** Last report, or null if none is fresh. */
  readonly report: gateway.EngineReport | null
  /** Whether an agent told of it before and is silent now. */
  readonly isSilent: boolean
  /** Attempts of this gateway that are open. */
  readonly open: ReadonlySet<OpenAttempt>
  /** Attempts sent since the report was made, with their prompts' tokens. */
  readonly sentSince: number
  readonly promptTokensSince: number
  /** Whether its agent asked for no new work, for example before it changes the version. */
  readonly isPaused: boolean
  /** Monotonic time in milliseconds at which it changes its version; Infinity when it will not. */
  readonly changesAt: number
  /** Milliseconds that a way over its link takes beyond the usual, by connections and heartbeats: a full link makes it long. */
  readonly linkDelayMs: number
  /**
   * Whether a connection of the last moments measured the way there and back; heartbeats only tell of the way back,
   * and a link may be full in one direction.
   */
  readonly isWayMeasured: boolean
  /** Until when it is avoided after failures. */
  readonly avoidedUntil: number
  /** Whether this life has ended: another process answers at its address, or none. */
  readonly isGone: boolean
}

/** The record of all back ends. */
export interface BackEndBook {
  readonly read: (id: types.NodeId) => BackEndLoad
  readonly noteSent: (id: types.NodeId, attempt: OpenAttempt) => void
  readonly noteEnded: (id: types.NodeId, attempt: OpenAttempt) => void
  /** Notes what the agent beside an engine says; `madeAt` is this process's monotonic time,
   * `delayMs` how long its way was beyond the usual. */
  readonly noteReport: (id: types.NodeId, news: AgentNews, madeAt: number, delayMs: number) => void
  readonly noteConnect: (id: types.NodeId, tookMs: number) => void
  readonly noteSuccess: (id: types.NodeId) => void
  /** Notes a failure; the back end is avoided for a while that grows with each one, unless it is about to change its version. */
  readonly noteFailure: (id: types.NodeId) => void
  /** Notes that it was full. */
  readonly noteFull: (id: types.NodeId) => void
  /** Notes that its address belongs to another back end now: its life has ended. */
  readonly noteGone: (id: types.NodeId) => void
  /** Notes that its process has ended: nobody listens at its address. */
  readonly noteProcessEnded: (id: types.NodeId) => void
  /** Forgets back ends that are no longer listed, and what was known of earlier lives of those that are. */
  readonly keepOnly: (listed: readonly ListedBackEnd[]) => void
}

/** What service discovery tells of a life. */
export type ListedBackEnd = Pick<gateway.BackEnd, 'id' | 'bornAt'>

interface Entry {
  /** When the life began that all below belongs to; null while it is not told. */
  bornAt: number | null
  report: gateway.EngineReport | null
  reportAt: number
  /** Age that its reports usually have when the next one comes, in milliseconds. */
  usualAgeMs: number
  isPaused: boolean
  changesAt: number
  open: Set<OpenAttempt>
  failures: number
  avoidedUntil: number
  isGone: boolean
  /** When its process was found to have ended. */
  endedAt: number
  connectMs: number
  connectAt: number
  linkDelayMs: number
}

/** A report older than this tells nothing, where agents tell often. */
const REPORT_FRESH_MS = 1500
/** An agent that said nothing for so long may be cut off, and its engine with it. */
const SILENT_MS = 1100
/**
 * Agents of other halls of a large fleet are told of less often: a report may be seconds old before the next
 * one comes. So both limits are at least these times the age that reports of the agent usually reach.
 */
const FRESH_FACTOR = 1.8
const SILENT_FACTOR = 1.4
/** Weight of the newest report in that age, and the most that one counts, so that one silence does not lengthen the limits for long. */
const USUAL_AGE_WEIGHT = 0.2
const USUAL_AGE_MAXIMUM_MS = 5000
/** Weight of the newest connection in the average, and how long it is believed. */
const CONNECT_WEIGHT = 0.5
const CONNECT_KEPT_MS = 1500
const AVOID_BASE_MS = 300
const AVOID_MAXIMUM_MS = 3000
const AVOID_FULL_MS = 60
/** An ended process is listed for three heartbeats of 1.2 s more; what is known of it by its address alone holds no longer than this. */
const ENDED_KEPT_MS = 4000
/** An agent's report that is newer by so much shows that its engine answers: clocks of two machines are compared within less. */
const REPORT_AFTER_END_MS = 200

/** What is known at the beginning of a life; the way to its machine and its agent's habits stay as they were. */
function beginLife (): Omit<Entry, 'bornAt' | 'usualAgeMs' | 'linkDelayMs'> {
  return { report: null, reportAt: 0, isPaused: false, changesAt: Infinity, open: new Set(), failures: 0, avoidedUntil: 0, isGone: false, endedAt: -Infinity, connectMs: 0, connectAt: 0 }
}

/** Calls that a change of version broke off say nothing about the engine after it. */
function hasOtherVersions (before: gateway.EngineReport | null, after: gateway.EngineReport): boolean {
  if (before === null) return false
  return [...after.models].some(([model, version]) => before.models.get(model) !== version)
}

/**
 * Creates an empty record.
 *
 * @param now - Monotonic clock in milliseconds.
 * @returns The record.
 */
export function createBackEndBook (now: () => number): BackEndBook {
  const entries = new Map<types.NodeId, Entry>()

  function find (id: types.NodeId): Entry {
    const known = entries.get(id)
    if (known !== undefined) return known
    const entry: Entry = { bornAt: null, ...beginLife(), usualAgeMs: 0, linkDelayMs: 0 }
    entries.set(id, entry)
    return entry
  }

  /** Notes which life is told of; false if it is an earlier one than is known, of which nothing counts any more. */
  function noteLife (entry: Entry, bornAt: number | null): boolean {
    if (bornAt === null || bornAt === entry.bornAt) return true
    if (entry.bornAt !== null && bornAt < entry.bornAt) return false
    if (entry.bornAt !== null) Object.assign(entry, beginLife())
    entry.bornAt = bornAt
    return true
  }

  function read (id: types.NodeId): BackEndLoad {
    const entry = find(id)
    const reportAgeMs = now() - entry.reportAt
    const isFresh = entry.report !== null && reportAgeMs <= Math.max(REPORT_FRESH_MS, entry.usualAgeMs * FRESH_FACTOR)
    let sentSince = 0
    let promptTokensSince = 0
    for (const attempt of entry.open) {
      if (isFresh && attempt.sentAt < entry.reportAt) continue
      sentSince += 1
      if (!attempt.hasBegun) promptTokensSince += attempt.promptTokens
    }
    return {
      report: isFresh ? entry.report : null,
      isSilent: entry.report !== null && reportAgeMs > Math.max(SILENT_MS, entry.usualAgeMs * SILENT_FACTOR),
      open: entry.open,
      sentSince,
      promptTokensSince,
      isPaused: isFresh && entry.isPaused,
      changesAt: isFresh ? entry.changesAt : Infinity,
      linkDelayMs: Math.max(isFresh ? entry.linkDelayMs : 0, now() - entry.connectAt > CONNECT_KEPT_MS ? 0 : entry.connectMs),
      isWayMeasured: entry.connectAt > 0 && now() - entry.connectAt <= CONNECT_KEPT_MS,
      avoidedUntil: entry.avoidedUntil,
      isGone: entry.isGone || hasEnded(entry)
    }
  }

  function hasEnded ({ endedAt, report, reportAt }: Entry): boolean {
    return now() - endedAt < ENDED_KEPT_MS && !(report !== null && reportAt > endedAt + REPORT_AFTER_END_MS)
  }

  return {
    read,
    noteSent: (id, attempt) => { find(id).open.add(attempt) },
    noteEnded: (id, attempt) => { entries.get(id)?.open.delete(attempt) },
    noteReport: (id, news, madeAt, delayMs) => {
      const entry = find(id)
      if (!noteLife(entry, news.report.bornAt) || madeAt < entry.reportAt) return
      if (hasOtherVersions(entry.report, news.report)) {
        entry.failures = 0
        entry.avoidedUntil = 0
      }
      if (entry.report !== null) entry.usualAgeMs += (Math.min(USUAL_AGE_MAXIMUM_MS, now() - entry.reportAt) - entry.usualAgeMs) * USUAL_AGE_WEIGHT
      entry.report = news.report
      entry.reportAt = madeAt
      entry.linkDelayMs = delayMs
      entry.isPaused = news.isPaused
      entry.changesAt = news.changesInMs === null ? Infinity : madeAt + news.changesInMs
    },
    noteConnect: (id, tookMs) => {
      const entry = find(id)
      entry.connectMs += (tookMs - entry.connectMs) * CONNECT_WEIGHT
      entry.connectAt = now()
    },
    noteSuccess: (id) => { find(id).failures = 0 },
    noteFailure: (id) => {
      const entry = find(id)
      if (entry.isPaused) return
      entry.failures += 1
      const pauseMs = Math.min(AVOID_MAXIMUM_MS, AVOID_BASE_MS * 2 ** (entry.failures - 1))
      entry.avoidedUntil = Math.max(entry.avoidedUntil, now() + pauseMs)
    },
    noteFull: (id) => {
      const entry = find(id)
      entry.avoidedUntil = Math.max(entry.avoidedUntil, now() + AVOID_FULL_MS)
    },
    noteGone: (id) => { find(id).isGone = true },
    noteProcessEnded: (id) => { find(id).endedAt = now() },
    keepOnly: (listed) => {
      const bornAts = new Map(listed.map(({ id, bornAt }) => [id, bornAt]))
      for (const [id, entry] of entries) {
        const bornAt = bornAts.get(id)
        if (bornAt !== undefined) noteLife(entry, bornAt)
        else if (entry.open.size === 0) entries.delete(id)
      }
    }
  }
}
