/** The state of one call while it is being served. */
import * as quarantine from '@switchridge/quarantine'
import type * as types from '@switchridge/types'
import type * as gateway from '../types/index.js'
import type * as deadlines from './deadline.js'

/** Milliseconds after which a caller may come back to a gateway that knows no configuration yet. */
export const UNREADY_RETRY_MS = 300

/** What is known of a call before its first attempt. */
export interface CallFacts {
  readonly head: gateway.CallHead
  readonly route: gateway.Route
  readonly tenant: types.AccountId | null
  readonly service: types.ServiceName
  readonly body: Buffer | null
  readonly deadline: deadlines.Deadline
  readonly receivedAt: number
}

/** A call. */
export interface CallState extends CallFacts {
  /** Back ends that the call was sent to. */
  readonly tried: Set<types.NodeId>
  /** Attempts that reached a back end. */
  attempts: number
  /** Whether a back end may have begun to run the call. */
  mayHaveRun: boolean
  /** Milliseconds that the first choice predicted until the first event; null before a choice. */
  predictedMs: number | null
  /** Monotonic time in milliseconds of the first event, or of an answer that is no stream. */
  firstEventAt: number | null
  readonly hasLeft: () => boolean
  /** Whether the call's time is over, or its gateway ends. */
  readonly isExpired: () => boolean
  /** Ends the attempt under way, so that the call gets its final answer now. */
  readonly expire: () => void
  /** Notes that the caller is gone; ends the attempt under way. */
  readonly leave: () => void
  /** Registers what ends the attempt under way; replaces the one before. */
  readonly onEnd: (end: () => void) => void
  /** Whether the attempt under way has brought anything of an answer. */
  hasBegun: boolean
  /** Ends the attempt under way if it has not begun, since the call may run nowhere. */
  readonly takeBack: () => void
  readonly isTakenBack: () => boolean
  /** Whether the call may run more than once. */
  readonly isRepeatable: boolean
  /** What the call has in common with others that ask for the same thing; worked out when it is first asked for. */
  readonly fingerprint: () => quarantine.CallFingerprint
}

/**
 * Creates the state of a call.
 *
 * @param facts - What is known of it.
 * @returns The state before the first attempt.
 */
export function createCallState (facts: CallFacts): CallState {
  let hasLeft = false
  let isExpired = false
  let isTakenBack = false
  let endAttempt: () => void = () => {}
  let fingerprint: quarantine.CallFingerprint | null = null
  const { kind, isResumable } = facts.route
  const state: CallState = {
    ...facts,
    tried: new Set(),
    attempts: 0,
    mayHaveRun: false,
    predictedMs: null,
    firstEventAt: null,
    hasBegun: false,
    isRepeatable: kind === 'repeatable' || (kind === 'stream' && isResumable),
    fingerprint: () => {
      fingerprint ??= quarantine.identifyCall({ account: facts.tenant, method: facts.head.method, host: facts.head.host, path: facts.head.path, body: facts.body })
      return fingerprint
    },
    hasLeft: () => hasLeft,
    isExpired: () => isExpired,
    expire: () => {
      isExpired = true
      endAttempt()
    },
    leave: () => {
      hasLeft = true
      endAttempt()
    },
    isTakenBack: () => isTakenBack,
    takeBack: () => {
      if (state.hasBegun) return
      isTakenBack = true
      endAttempt()
    },
    onEnd: (end) => {
      endAttempt = end
      state.hasBegun = false
      if (hasLeft || isExpired) end()
    }
  }
  return state
}

/**
 * Milliseconds since the caller's first try: what a caller waits falls with each one. One that always waits for less than the route allows
 * counts as one that came back, alike for all callers of that route.
 *
 * @param call - The call.
 * @param now - Monotonic time in milliseconds.
 */
export function readSpentMs ({ head, route, receivedAt }: CallFacts, now: number): number {
  const spentBeforeMs = Math.max(0, route.timeoutMs - (head.remainingMs ?? route.timeoutMs))
  return spentBeforeMs + now - receivedAt
}

/** A call that has used so much of its target can hardly be in time any more. */
const LATE_PART = 0.6

/** Whether a call that is sent so many milliseconds after its caller's first try may still be answered in time. */
export function mayBeInTime (spentMs: number, targetMs: number): boolean {
  return spentMs < targetMs * LATE_PART
}
