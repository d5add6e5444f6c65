/** Dependencies of the request path: protocol, configuration, decisions and clock. */
import type * as http from 'node:http'
import type * as clock from '@switchridge/clock'
import type * as observability from '@switchridge/observability'
import type * as rateLimits from '@switchridge/rate-limits'
import type * as types from '@switchridge/types'
import type * as createAnswerBuffers from '../createAnswerBuffers/index.js'
import type * as chooseBackEnd from '../chooseBackEnd/index.js'
import type * as createBackEndTracker from '../createBackEndTracker/index.js'
import type * as createErrorBound from '../createErrorBound/index.js'
import type * as createHeldBytes from '../createHeldBytes/index.js'
import type * as createLeavingRecord from '../createLeavingRecord/index.js'
import type * as createRetryBudget from '../createRetryBudget/index.js'
import type * as createSharedTargets from '../createSharedTargets/index.js'
import type * as createRouteTable from '../createRouteTable/index.js'
import type * as createWaitingCalls from '../createWaitingCalls/index.js'
import type * as sendAttempt from '../sendAttempt/index.js'
import type * as backoffs from '../types/backoff.js'
import type * as guards from '../types/guard.js'
import type * as limiters from '../types/limiter.js'
import type * as reservers from '../types/reserver.js'
import type * as gateway from '../types/index.js'

/** How calls and attempts are encoded in HTTP; provided by the platform's adapter. */
export interface CallProtocol {
  readonly readCall: (request: http.IncomingMessage) => gateway.CallHead
  /** Headers of an attempt, as alternating names and values. */
  readonly formatAttempt: (call: gateway.CallHead, attempt: gateway.AttemptHead) => string[]
  readonly readAnswer: (response: http.IncomingMessage, requestId: string) => gateway.AnswerHead
  /** Rate limit that a back end's response advertises. */
  readonly readAdvertisedRate: (response: http.IncomingMessage) => rateLimits.AdvertisedRate
  /** Whether a back end's response announces that it is about to end. */
  readonly announcesLeaving: (response: http.IncomingMessage) => boolean
  /** How long a back end wants no further calls, as its response states it. */
  readonly readBackoffRequest: (response: http.IncomingMessage) => backoffs.BackoffRequest
  /** Headers of a response of the gateway itself. */
  readonly formatGatewayAnswer: (requestId: string, retryAfterMs: number | null) => string[]
}

/** Options of the handler of callers' requests. */
export interface CallHandlerOptions {
  readonly protocol: CallProtocol
  /** The current configuration, or null before the first one. */
  readonly routes: () => createRouteTable.RouteTable | null
  readonly tracker: createBackEndTracker.BackEndTracker
  readonly choose: (choice: CallChoice) => chooseBackEnd.ChoiceOutcome
  /** Why a back end may not serve a call even if it has room; null if it may. Checked again right before each attempt. */
  readonly findExclusion: (backEnd: gateway.BackEnd, allowedRegions: gateway.AllowedRegions) => gateway.ExclusionReason | null
  /** Called right before an attempt is sent to a back end. */
  readonly onSent: (backEnd: gateway.BackEnd) => void
  readonly budgetOf: (service: types.ServiceName) => createRetryBudget.RetryBudget
  /** How much later than predicted recent calls of a service began. */
  readonly errorBoundOf: (service: types.ServiceName) => createErrorBound.ErrorBound
  /** Records a call; returns the target in milliseconds by which it and the calls that compete with it are admitted. */
  readonly sharedTargetOf: createSharedTargets.SharedTargets['note']
  /** Whether admitted calls to a service need a slot that an agent has confirmed. */
  readonly mustConfirmSlots: (service: types.ServiceName) => boolean
  readonly guard: guards.CallGuard
  readonly limiter: limiters.RateLimiter
  readonly leavers: createLeavingRecord.LeavingRecord
  readonly backoffs: backoffs.BackoffKeeper
  readonly reserver: reservers.SlotReserver
  /** Accounts of the bytes held for callers and engines; absent if they are not bounded. */
  readonly heldBytes?: createHeldBytes.HeldBytes
  /** Accounts of the answers that are buffered until they are complete; absent if only each of them is bounded. */
  readonly answerBuffers?: createAnswerBuffers.AnswerBuffers
  /** Holds calls until engines return; absent where the settings switch that off. */
  readonly waiting?: createWaitingCalls.WaitingCalls
  /** Sends an attempt to its back end. */
  readonly sendAttempt: (request: sendAttempt.AttemptRequest) => sendAttempt.Attempt
  readonly logger: observability.Logger
  readonly count: (name: string, labels?: Readonly<Record<string, string>>) => void
  readonly observe: (name: string, milliseconds: number) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Schedules an action at a time of the monotonic clock. */
  readonly at: clock.ScheduleAt
  /** Returns a random number from 0 to 1. */
  readonly random: () => number
}

/** Properties of a call that the choice of a back end needs. */
export interface CallChoice {
  readonly service: types.ServiceName
  /** Figures of the service's engines when the call arrived; null for a plain service. */
  readonly figures: gateway.EngineFigures | null
  readonly model: string | null
  readonly promptTokens: number
  /** Expected length of the response in tokens; 0 if unknown. */
  readonly answerTokens: number
  /** Milliseconds until the call's deadline. */
  readonly remainingMs: number
  /** Whether the call may be sent to another back end if its response is lost. */
  readonly isRepeatable: boolean
  /** Back ends that are passed over, because the call was already sent to them or they refused it a slot. */
  readonly tried: ReadonlySet<types.NodeId>
  /** Whether a rate-limit permit may be requested. */
  readonly mayRequestPermit: boolean
  /** Whether the call can no longer be answered in time; permits go to calls that can. */
  readonly isLate: boolean
  /** Rank of the call for permits of cold back ends, 0 for the highest; 0 if absent. */
  readonly rank?: number
  /** The only version of the weights that may serve the call; null for any permitted version. */
  readonly version: number | null
  /** Regions that the call may enter; null for no restriction. */
  readonly allowedRegions: gateway.AllowedRegions
}
