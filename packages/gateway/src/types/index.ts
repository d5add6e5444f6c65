/** Types of the request path: configuration, back ends, calls, attempts and their outcomes. */
import type * as types from '@switchridge/types'

/** The configuration; each version takes effect as a whole. */
export interface Configuration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  readonly limits: CallerLimits
  readonly tenants: readonly Tenant[]
  /** Fields whose values can't be used and that count as absent; absent if there are none. */
  readonly unusable?: readonly types.InputProblem[]
}

/** `repeatable`: may run more than once; `once`: runs at most once; `stream`: a stream of events. */
export type RouteKind = 'repeatable' | 'once' | 'stream'

/** Selects calls by host and path, and says which services serve them and how. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  readonly timeoutMs: number
  /** Milliseconds within which a response, or the first event of a stream, counts as in time; the timeout if no target is configured. */
  readonly targetMs: number
  /** 0 is the highest. */
  readonly priority: number
  readonly splits: readonly ServiceSplit[]
  /** Number of back ends that one call may be sent to. */
  readonly maximumAttempts: number
  /** Whether callers need no API key. */
  readonly isPublic: boolean
  /** Whether a broken stream may be resumed at another back end. */
  readonly isResumable: boolean
  /** Longest gap in milliseconds between two events that counts as in time; 0 for no target. */
  readonly gapTargetMs: number
  /** Regions that calls may enter; empty for no restriction. */
  readonly allowedRegions: readonly string[]
}

/** A service's share of a route's calls. */
export interface ServiceSplit {
  readonly service: types.ServiceName
  readonly weight: number
}

/** A service that back ends belong to. */
export interface Service {
  readonly name: types.ServiceName
  /** Performance figures of the model engines; null for a plain service. */
  readonly engine: EngineFigures | null
  /** Address that weights are fetched from, if the service is an origin. */
  readonly originAddress: types.Address | null
  /** Requests per second that a back end can take while it is cold; absent if cold back ends are not limited. */
  readonly coldPerSecond?: number
  /** Milliseconds for which a back end is cold after a start during traffic; absent if unknown. */
  readonly coldMs?: number
  /** Path of the health check, whose answer says how long a back end stays cold; absent if there is none. */
  readonly healthPath?: string
  /** Rate of its network link in megabits per second; null if unknown. */
  readonly linkMbps: number | null
}

/** Speed and capacity of a service's engines. A speed that the platform does not provide is null and is left out of predictions. */
export interface EngineFigures {
  /** Number of requests that an engine processes concurrently. */
  readonly slots: number
  readonly models: readonly string[]
  readonly layers: number
  readonly chunks: number
  readonly chunkBytes: number
  /** Base duration of a step in milliseconds; each running request gets one more token per step. */
  readonly stepMs: number | null
  /** Milliseconds that each running request adds to a step. */
  readonly stepMsPerSequence: number | null
  /** Prompt tokens that an engine reads per millisecond. */
  readonly prefillTokensPerMs: number | null
  /** Mean prompt length and mean response length in tokens. */
  readonly usualPromptTokens: number | null
  readonly usualAnswerTokens: number | null
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number
  readonly maximumBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** A client account and the API keys of its callers. */
export interface Tenant {
  readonly name: types.AccountId
  readonly keys: readonly string[]
  readonly priority: number
  /** Regions that the tenant's calls may enter; empty for no restriction. */
  readonly allowedRegions: readonly string[]
}

/** Regions that a call may enter; null for no restriction. */
export type AllowedRegions = ReadonlySet<string> | null

/** Limits that apply until the first configuration is known. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = { maximumHeaderBytes: 16_384, maximumBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }

/** A back end as listed by service discovery; it may restart under the same id. */
export interface BackEnd {
  readonly id: types.NodeId
  /** Start time of this instance, in Unix milliseconds of its own clock; null if unknown. */
  readonly bornAt: number | null
  readonly service: types.ServiceName
  readonly address: types.Address
  readonly zone: string
  /** Number of requests that it processes concurrently. */
  readonly slots: number
  readonly isDraining: boolean
  /** Models of which the back end holds every layer, with the versions of their weights. */
  readonly models: ReadonlyMap<string, number>
  /** Milliseconds for which the back end stays cold, counted from when its entry was written; absent for a warm one. */
  readonly coldRemainingMs?: number
  /** Content of the entry of a cold back end without its heartbeat counter; a different one shows that the entry was written anew. */
  readonly entryContent?: string
}

/** Why a back end may not serve a call: its data hall lies in a region that the call may not enter, or operators are evacuating the hall. */
export type ExclusionReason = 'region' | 'evacuated'

/** Status report of an engine. */
export interface EngineReport {
  /** Start time of this instance, in Unix milliseconds of its own clock; null if unknown. */
  readonly bornAt: number | null
  /** Requests that are being processed, and those that are queued. */
  readonly running: number
  readonly waiting: number
  /** Whether an order, such as a switch of versions, is in progress. */
  readonly isBusy: boolean
  /** Number of orders accepted by this instance. */
  readonly sequence: number
  /** Slowdown relative to the service's figures; above 1 means slower. */
  readonly pace: number
  /** Requests per second that the engine accepts from all machines together; null if its report gives no limit. */
  readonly limitPerSecond: number | null
  /** Whether the engine announced that it is about to end. */
  readonly isLeaving: boolean
  readonly models: ReadonlyMap<string, number>
}

/** Fields of a caller's request head that the request path uses. */
export interface CallHead {
  readonly requestId: string
  readonly host: string
  /** Path with query string, as sent. */
  readonly path: string
  readonly method: string
  /** Milliseconds that the caller is willing to wait; null if not given. */
  readonly remainingMs: number | null
  /** API key; null if the caller sent none. */
  readonly key: string | null
  readonly model: string | null
  /** Length of the prompt, and expected length of the response, in tokens; 0 if unknown. */
  readonly promptTokens: number
  readonly answerTokens: number
  /** Parts of the prompt that other calls may share; null if the caller's statement of them is unreadable. */
  readonly promptParts: readonly types.PromptPartId[] | null
  /** Id of the last event that the caller received, if it resumes a stream. */
  readonly lastEventId: string | null
  /** Headers to forward, as alternating names and values. */
  readonly passedHeaders: readonly string[]
}

/** Fields that one attempt adds to the request head. */
export interface AttemptHead {
  readonly backEnd: types.NodeId
  readonly remainingMs: number
  readonly tenant: types.AccountId | null
  /** Urgency for the engine, a higher number being less urgent; null for the engine's default. */
  readonly urgency: number | null
  /** Version of the weights that must serve the call; null for any. */
  readonly version: number | null
  readonly lastEventId: string | null
  readonly bodyBytes: number | null
}

/** Meaning of the head of a back end's response. */
export type AnswerHead =
  /** `version`: version of the weights that served the call; null if the response names none. */
  | { readonly kind: 'answered', readonly status: number, readonly headers: readonly string[], readonly isStream: boolean, readonly version: number | null }
  /** The back end did not run the call. */
  | { readonly kind: 'not-run', readonly reason: 'full' | 'wrong-instance' | 'other', readonly status: number }
  /** The response belongs to another call or is not that of a back end, as `reason` says; the call may have run. */
  | { readonly kind: 'foreign', readonly reason: string }
