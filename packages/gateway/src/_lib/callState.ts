/** State of one call while it is served. */
import * as quarantine from '@switchridge/quarantine'
import type * as types from '@switchridge/types'
import type * as createSizeShares from '../createSizeShares/index.js'
import type * as gateway from '../types/index.js'
import type * as deadlines from './deadline.js'

/** Milliseconds after which a caller may retry if the gateway has no configuration yet. */
export const NO_CONFIGURATION_RETRY_MS = 300
/** Why a draining gateway refuses a call. */
export const DRAIN_REASON = 'this gateway ends'
/** A caller that a draining gateway refuses may retry almost at once, because another gateway can take the call. */
export const DRAIN_RETRY_MS = 20

/** What is known of a call before its first attempt. */
export interface CallDetails {
  readonly head: gateway.CallHead
  readonly route: gateway.Route
  readonly tenant: types.AccountId | null
  readonly service: types.ServiceName
  /** Figures of the service's engines when the call arrived; null for a plain service. */
  readonly figures: gateway.EngineFigures | null
  /** Regions that the call may enter; null for no restriction. */
  readonly allowedRegions: gateway.AllowedRegions
  /** Lower is more urgent. */
  readonly rank: number
  readonly body: Buffer | null
  readonly deadline: deadlines.Deadline
  /** Monotonic time in milliseconds at which the request's head arrived; the caller's target and timeout count from it. */
  readonly receivedAt: number
  /** Monotonic time in milliseconds at which the request was complete, so that back ends could be chosen. */
  readonly completeAt: number
  /** How the call's size compares with that of others of its route, and whether calls of its size are served too rarely. */
  readonly sized: createSizeShares.SizedCall
}

/** Time that a call was held until an engine returned. */
export interface CallWait {
  readonly ms: number
  readonly place: number
}

/** A call in progress. */
export interface CallState extends CallDetails, quarantine.CallFeatures {
  /** Back ends that the call was sent to. */
  readonly tried: Set<types.NodeId>
  /** Number of attempts that reached a back end. */
  attempts: number
  /** Whether a back end may have begun to run the call. */
  mayHaveRun: boolean
  /** Milliseconds until the first event as predicted for the back end of the first attempt, or of the first choice before there is one; null before a choice. */
  predictedMs: number | null
  /** Part of that time in which the engine would read the call's own prompt; null before a choice. */
  predictedReadMs: number | null
  /** Monotonic time in milliseconds at which the first attempt was begun, or the next one if that had no connection; null before one. */
  firstSentAt: number | null
  /** Whether the error of that prediction was recorded. */
  isPredictionNoted: boolean
  /** Monotonic time in milliseconds of the first event, or of a response that is not a stream. */
  firstEventAt: number | null
  /** How long the call was held, and its place in the queue when it was first held; null if it wasn't. */
  wait: CallWait | null
  readonly isCallerGone: () => boolean
  /** Whether the call's deadline has passed, or its gateway is shutting down. */
  readonly isExpired: () => boolean
  /** Aborts the attempts in progress, so that the call gets its final response now. */
  readonly expire: () => void
  /** Records that the caller disconnected, and aborts the attempts in progress. */
  readonly noteCallerGone: () => void
  /**
   * Sets the functions that abort what the call is waiting for, and that abort only attempts of whose responses nothing has arrived, in place of those set before.
   * The second is the first one if it is absent.
   */
  readonly setAbortAttempt: (abort: () => void, withdraw?: () => void) => void
  /** Aborts the attempts of whose responses nothing has arrived, because the call is now blocked everywhere. */
  readonly withdraw: () => void
  /** Whether the call may run more than once. */
  readonly isRepeatable: boolean
  /** Whether the call was answered with a response whose end HTTP framing did not mark. */
  hasUnframedAnswer: boolean
}

/**
 * Creates the state of a call.
 *
 * @param details - What is known of the call.
 * @returns The state before the first attempt.
 */
export function createCallState (details: CallDetails): CallState {
  let isCallerGone = false
  let isExpired = false
  let abortAttempt: () => void = () => {}
  let withdrawAttempt: () => void = () => {}
  let fingerprint: quarantine.CallFingerprint | null = null
  const { kind, isResumable } = details.route
  const state: CallState = {
    ...details,
    tried: new Set(),
    attempts: 0,
    mayHaveRun: false,
    predictedMs: null,
    predictedReadMs: null,
    firstSentAt: null,
    isPredictionNoted: false,
    firstEventAt: null,
    wait: null,
    hasUnframedAnswer: false,
    parts: details.head.promptParts ?? [],
    isRepeatable: kind === 'repeatable' || (kind === 'stream' && isResumable),
    fingerprint: () => {
      fingerprint ??= quarantine.computeFingerprint({ account: details.tenant, method: details.head.method, host: details.head.host, path: details.head.path, body: details.body })
      return fingerprint
    },
    isCallerGone: () => isCallerGone,
    isExpired: () => isExpired,
    expire: () => {
      isExpired = true
      abortAttempt()
    },
    noteCallerGone: () => {
      isCallerGone = true
      abortAttempt()
    },
    withdraw: () => { withdrawAttempt() },
    setAbortAttempt: (abort, withdraw = abort) => {
      abortAttempt = abort
      withdrawAttempt = withdraw
      if (isCallerGone || isExpired) abort()
    }
  }
  return state
}

/**
 * Milliseconds since the caller's first try, which the caller's target counts from. A caller that retries has less time left in each try, so the time of earlier tries is inferred
 * from the route's timeout. A caller that always allows less time than the route does is treated as retrying; this affects all callers of the route alike.
 *
 * @param call - The call.
 * @param now - Monotonic time in milliseconds.
 * @returns Milliseconds.
 */
export function readElapsedMs (call: CallDetails, now: number): number {
  return readEarlierTriesMs(call) + now - call.receivedAt
}

/**
 * As {@link readElapsedMs}, but without the time in which the body of this try arrived. That time depends on the caller and
 * the size of the body, so calls that compete for back ends are compared without it.
 *
 * @param call - The call.
 * @param now - Monotonic time in milliseconds.
 * @returns Milliseconds.
 */
export function readElapsedWithoutUploadMs (call: CallDetails, now: number): number {
  return readEarlierTriesMs(call) + now - call.completeAt
}

function readEarlierTriesMs ({ head, route }: CallDetails): number {
  return Math.max(0, route.timeoutMs - (head.remainingMs ?? route.timeoutMs))
}

/** A call sent after this fraction of its target is unlikely to be answered in time. */
const LATEST_SEND_FRACTION = 0.6

/** Whether a call sent this many milliseconds after its caller's first try may still be answered in time. */
export function canMeetTarget (elapsedMs: number, targetMs: number): boolean {
  return elapsedMs < computeLatestSendMs(targetMs)
}

/** Milliseconds after its caller's first try until which a call that is sent may still be answered in time. */
export function computeLatestSendMs (targetMs: number): number {
  return targetMs * LATEST_SEND_FRACTION
}

const MAXIMUM_LOGGED_PARTS = 16

/** Lists the parts of a call's prompt for a log line, the first ones if there are many. */
export function describeParts ({ parts }: Pick<CallState, 'parts'>): string {
  return parts.slice(0, MAXIMUM_LOGGED_PARTS).join()
}
