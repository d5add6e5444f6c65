/** Tracks the state of each back end as one gateway sees it: its last report, the attempts sent since, and its recent failures. */
import type * as types from '@switchridge/types'
import type * as gateway from '../types/index.js'

/** An attempt of this gateway that a back end has not yet answered in full. */
export interface OpenAttempt {
  readonly promptTokens: number
  readonly answerTokens: number
  /** Monotonic time in milliseconds. */
  readonly sentAt: number
  /** Whether the first event, or a response that is not a stream, has arrived. */
  hasResponded: boolean
}

/** Status that the agent on an engine's machine publishes. */
export interface AgentStatus {
  readonly report: gateway.EngineReport
  /** Whether gateways should send the engine no new calls for now. */
  readonly isPaused: boolean
  /** Milliseconds until the engine switches to another version of the weights; null if none is scheduled. */
  readonly changesInMs: number | null
  /** Milliseconds until the engine, which may serve no call now, is expected to serve; absent if it serves or the time is unknown. */
  readonly readyInMs?: number
}

/** Load of one back end as this gateway sees it. */
export interface BackEndLoad {
  /** The last report, or null if it is too old to use. */
  readonly report: gateway.EngineReport | null
  /** Whether its agent has reported before and the next report is overdue. */
  readonly isReportOverdue: boolean
  /** Attempts of this gateway that are still in progress. */
  readonly open: ReadonlySet<OpenAttempt>
  /** Number of attempts sent since the report was made; all open attempts if there is no usable report. */
  readonly sentSinceReport: number
  /** Prompt tokens of those attempts that have not responded yet. */
  readonly promptTokensSinceReport: number
  /** Whether its agent asked for no new calls, for example before it switches the version of the weights. */
  readonly isPaused: boolean
  /** Monotonic time in milliseconds at which it switches the version of the weights; Infinity if no switch is scheduled. */
  readonly versionChangesAt: number
  /** One-way delay of its network link beyond the usual, in milliseconds, from connection times and heartbeats; a saturated link raises it. */
  readonly linkDelayMs: number
  /** Whether a recent connection measured the round trip. Heartbeats only measure the direction from the back end, and a link may be saturated in one direction only. */
  readonly isRoundTripMeasured: boolean
  /** Monotonic time in milliseconds until which it is avoided after failures; Infinity while a call tries whether it sends answers again. */
  readonly avoidedUntil: number
  /** Whether this instance of the back end has ended: another process answers at its address, or none. */
  readonly isGone: boolean
  /** Monotonic time in milliseconds at which it is expected to serve; null if it serves or the time is unknown. */
  readonly readyAt: number | null
  /** Monotonic time in milliseconds at which a report first showed it serving again; -Infinity if it has not been seen to return. */
  readonly returnedAt: number
  /** Monotonic time in milliseconds of the last call that this instance answered; -Infinity if it has answered none. */
  readonly answeredAt: number
  /** Whether this instance has reported or responded; until then it is known only from the list of back ends. */
  readonly isConfirmed: boolean
}

/** Tracks all back ends. */
export interface BackEndTracker {
  readonly read: (id: types.NodeId) => BackEndLoad
  readonly noteSent: (id: types.NodeId, attempt: OpenAttempt) => void
  readonly noteEnded: (id: types.NodeId, attempt: OpenAttempt) => void
  /**
   * Records the status published by an engine's agent. `madeAt`: monotonic time of this process at which the status was made; `delayMs`: how much longer
   * than usual it was in transit.
   */
  readonly noteReport: (id: types.NodeId, status: AgentStatus, madeAt: number, delayMs: number) => void
  /** Records how many milliseconds a connection to it took. */
  readonly noteConnect: (id: types.NodeId, tookMs: number) => void
  readonly noteSuccess: (id: types.NodeId) => void
  /** Records a failure. The back end is avoided for a time that doubles with each failure, unless its agent has paused new calls. */
  readonly noteFailure: (id: types.NodeId) => void
  /**
   * Records that what the back end sent was no answer, such as bytes without end. It is avoided as after a failure, and then gets one call at a time until it has answered
   * one, since each such call costs much before it is given up.
   */
  readonly noteNoAnswer: (id: types.NodeId) => void
  /** Records that the back end rejected a call because it was full. */
  readonly noteFull: (id: types.NodeId) => void
  /**
   * Records that it rejected a call as another instance at its address does. It counts as ended unless a later report of the same instance arrives: an engine without a
   * complete version rejects calls in the same way.
   */
  readonly noteInstanceEnded: (id: types.NodeId) => void
  /** Records that its process has ended: nothing listens at its address. */
  readonly noteProcessEnded: (id: types.NodeId) => void
  /** Removes back ends that are no longer listed, and resets those that are listed with a newer instance. */
  readonly keepOnly: (listed: readonly ListedBackEnd[]) => void
}

/** How service discovery identifies an instance of a back end. */
export type ListedBackEnd = Pick<gateway.BackEnd, 'id' | 'bornAt'>

interface BackEndState {
  /** When the instance that this state describes started, in Unix milliseconds of its own clock; null while unknown. */
  bornAt: number | null
  report: gateway.EngineReport | null
  /** Monotonic time in milliseconds at which the report was made. */
  reportAt: number
  /** Moving average of the age in milliseconds that a report reaches before the next one arrives. */
  typicalReportAgeMs: number
  isPaused: boolean
  versionChangesAt: number
  readyAt: number | null
  returnedAt: number
  answeredAt: number
  isConfirmed: boolean
  open: Set<OpenAttempt>
  failures: number
  avoidedUntil: number
  /** Whether it has sent bytes that were no answer, and has answered no call since. */
  isSuspect: boolean
  /** Monotonic time in milliseconds at which a call showed that another instance answers at its address. */
  instanceEndedAt: number
  /** Monotonic time in milliseconds at which its process was found to have ended. */
  processEndedAt: number
  /** Moving average of the time that connections took, and the monotonic time of the last one, in milliseconds. */
  connectMs: number
  connectedAt: number
  linkDelayMs: number
}

/** A report older than this is not used, unless the reports of its agent usually get older before the next one arrives. */
const REPORT_VALID_MS = 1500
/** An agent that has not reported for this long may be disconnected, and its engine with it. */
const REPORT_OVERDUE_MS = 1100
/**
 * In a large fleet, reports from other data halls arrive less often: one may be seconds old before the next arrives. So both limits are at least these
 * multiples of the age that the agent's reports usually reach.
 */
const VALID_AGE_FACTOR = 1.8
const OVERDUE_AGE_FACTOR = 1.4
/** Weight of the newest report in that average, and the largest age that is counted, so that one long gap does not extend the limits for long. */
const TYPICAL_AGE_WEIGHT = 0.2
const TYPICAL_AGE_MAXIMUM_MS = 5000
/** Weight of the newest connection in the average, and how long the average is used after it. */
const CONNECT_WEIGHT = 0.5
const CONNECT_VALID_MS = 1500
/** How long an estimate of when an engine serves is used after its agent's last report; longer than a report is, so that a late report doesn't end the wait of calls. */
const READY_VALID_MS = 3000
/** How long a back end is avoided after its first failure in a row, at most after many, and after a rejection because it was full. */
const AVOID_BASE_MS = 300
const AVOID_MAXIMUM_MS = 3000
/** The same for an instance that has neither responded nor reported: its entry may lead to no engine, so that each further attempt fails as well. */
const AVOID_UNCONFIRMED_MAXIMUM_MS = 10_000
const AVOID_FULL_MS = 60
/** Service discovery keeps listing an ended process for three heartbeats of 1.2 s; the end is only known by address, so it is believed no longer than this. */
const PROCESS_ENDED_VALID_MS = 4000
/** A report made this much later shows that the engine answers again. It covers the error in comparing the clocks of two machines. */
const REPORT_AFTER_END_MARGIN_MS = 200

/** State of a new instance. The link delay and the report interval are kept, because they belong to the machine and the agent. */
function createInstanceState (): Omit<BackEndState, 'bornAt' | 'typicalReportAgeMs' | 'linkDelayMs'> {
  return { report: null, reportAt: 0, isPaused: false, versionChangesAt: Infinity, readyAt: null, returnedAt: -Infinity, answeredAt: -Infinity, isConfirmed: false, open: new Set(), failures: 0, avoidedUntil: 0, isSuspect: false, instanceEndedAt: -Infinity, processEndedAt: -Infinity, connectMs: 0, connectedAt: 0 }
}

/** Whether the engine serves now, but didn't when it was last reported. */
function hasReturned ({ report, readyAt }: BackEndState, status: AgentStatus): boolean {
  const couldServe = readyAt === null && report?.models.size !== 0
  return !couldServe && status.readyInMs === undefined && status.report.models.size > 0
}

/** Whether the engine switched versions. Failures of calls that the switch interrupted say nothing about the engine afterwards. */
function haveVersionsChanged (before: gateway.EngineReport | null, after: gateway.EngineReport): boolean {
  if (before === null) return false
  return [...after.models].some(([model, version]) => before.models.get(model) !== version)
}

/**
 * Creates an empty tracker.
 *
 * @param now - Monotonic clock in milliseconds.
 * @returns The tracker.
 */
export function createBackEndTracker (now: () => number): BackEndTracker {
  const states = new Map<types.NodeId, BackEndState>()

  function find (id: types.NodeId): BackEndState {
    const existing = states.get(id)
    if (existing !== undefined) return existing
    const state: BackEndState = { bornAt: null, ...createInstanceState(), typicalReportAgeMs: 0, linkDelayMs: 0 }
    states.set(id, state)
    return state
  }

  /** Records which instance a message describes; returns false if it is older than the known one, in which case the message is ignored. */
  function noteInstance (state: BackEndState, bornAt: number | null): boolean {
    if (bornAt === null || bornAt === state.bornAt) return true
    if (state.bornAt !== null && bornAt < state.bornAt) return false
    if (state.bornAt !== null) Object.assign(state, createInstanceState())
    state.bornAt = bornAt
    return true
  }

  function read (id: types.NodeId): BackEndLoad {
    const state = find(id)
    const reportAgeMs = now() - state.reportAt
    const isFresh = state.report !== null && reportAgeMs <= Math.max(REPORT_VALID_MS, state.typicalReportAgeMs * VALID_AGE_FACTOR)
    let sentSinceReport = 0
    let promptTokensSinceReport = 0
    let isConfirmed = state.isConfirmed
    for (const attempt of state.open) {
      if (attempt.hasResponded) isConfirmed = true
      if (isFresh && attempt.sentAt < state.reportAt) continue
      sentSinceReport += 1
      if (!attempt.hasResponded) promptTokensSinceReport += attempt.promptTokens
    }
    return {
      report: isFresh ? state.report : null,
      isReportOverdue: state.report !== null && reportAgeMs > Math.max(REPORT_OVERDUE_MS, state.typicalReportAgeMs * OVERDUE_AGE_FACTOR),
      open: state.open,
      sentSinceReport,
      promptTokensSinceReport,
      isPaused: isFresh && state.isPaused,
      versionChangesAt: isFresh ? state.versionChangesAt : Infinity,
      linkDelayMs: Math.max(isFresh ? state.linkDelayMs : 0, now() - state.connectedAt > CONNECT_VALID_MS ? 0 : state.connectMs),
      isRoundTripMeasured: state.connectedAt > 0 && now() - state.connectedAt <= CONNECT_VALID_MS,
      avoidedUntil: state.isSuspect && state.open.size > 0 ? Infinity : state.avoidedUntil,
      isGone: hasInstanceEnded(state) || hasProcessEnded(state),
      readyAt: reportAgeMs <= READY_VALID_MS ? state.readyAt : null,
      returnedAt: state.returnedAt,
      answeredAt: state.answeredAt,
      isConfirmed
    }
  }

  function avoid (state: BackEndState): void {
    state.failures += 1
    const pauseMs = Math.min(state.isConfirmed ? AVOID_MAXIMUM_MS : AVOID_UNCONFIRMED_MAXIMUM_MS, AVOID_BASE_MS * 2 ** (state.failures - 1))
    state.avoidedUntil = Math.max(state.avoidedUntil, now() + pauseMs)
  }

  function hasInstanceEnded (state: BackEndState): boolean {
    const isIdentified = state.report !== null && state.report.bornAt !== null && state.report.bornAt === state.bornAt
    return state.instanceEndedAt > -Infinity && !(isIdentified && hasReportedAfter(state, state.instanceEndedAt))
  }

  function hasProcessEnded (state: BackEndState): boolean {
    return now() - state.processEndedAt < PROCESS_ENDED_VALID_MS && !hasReportedAfter(state, state.processEndedAt)
  }

  function hasReportedAfter ({ report, reportAt }: BackEndState, time: number): boolean {
    return report !== null && reportAt > time + REPORT_AFTER_END_MARGIN_MS
  }

  return {
    read,
    noteSent: (id, attempt) => { find(id).open.add(attempt) },
    noteEnded: (id, attempt) => { states.get(id)?.open.delete(attempt) },
    noteReport: (id, status, madeAt, delayMs) => {
      const state = find(id)
      if (!noteInstance(state, status.report.bornAt) || madeAt < state.reportAt) return
      if (!state.isConfirmed || haveVersionsChanged(state.report, status.report)) {
        state.failures = 0
        state.avoidedUntil = 0
      }
      if (state.report !== null) state.typicalReportAgeMs += (Math.min(TYPICAL_AGE_MAXIMUM_MS, now() - state.reportAt) - state.typicalReportAgeMs) * TYPICAL_AGE_WEIGHT
      if (hasReturned(state, status)) state.returnedAt = now()
      state.readyAt = status.readyInMs === undefined ? null : madeAt + status.readyInMs
      state.isConfirmed = true
      state.report = status.report
      state.reportAt = madeAt
      state.linkDelayMs = delayMs
      state.isPaused = status.isPaused
      state.versionChangesAt = status.changesInMs === null ? Infinity : madeAt + status.changesInMs
    },
    noteConnect: (id, tookMs) => {
      const state = find(id)
      state.connectMs += (tookMs - state.connectMs) * CONNECT_WEIGHT
      state.connectedAt = now()
    },
    noteSuccess: (id) => {
      const state = find(id)
      state.failures = 0
      state.isSuspect = false
      state.answeredAt = now()
      state.isConfirmed = true
    },
    noteFailure: (id) => {
      const state = find(id)
      if (!state.isPaused) avoid(state)
    },
    noteNoAnswer: (id) => {
      const state = find(id)
      state.isSuspect = true
      avoid(state)
    },
    noteFull: (id) => {
      const state = find(id)
      state.avoidedUntil = Math.max(state.avoidedUntil, now() + AVOID_FULL_MS)
    },
    noteInstanceEnded: (id) => { find(id).instanceEndedAt = now() },
    noteProcessEnded: (id) => { find(id).processEndedAt = now() },
    keepOnly: (listed) => {
      const bornAtById = new Map(listed.map(({ id, bornAt }) => [id, bornAt]))
      for (const [id, state] of states) {
        const bornAt = bornAtById.get(id)
        if (bornAt !== undefined) noteInstance(state, bornAt)
        else if (state.open.size === 0) states.delete(id)
      }
    }
  }
}
