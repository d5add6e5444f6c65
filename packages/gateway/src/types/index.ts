/** Shapes of the request path: configuration, back ends, calls, attempts and their outcomes. */
import type * as types from '@switchridge/types'

/** One change of a configuration is in force as a whole. */
export interface Configuration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  readonly limits: CallerLimits
  readonly tenants: readonly Tenant[]
}

/** `repeatable`: may run more than once; `once`: at most once; `stream`: a series of events. */
export type RouteKind = 'repeatable' | 'once' | 'stream'

/** Which calls go to which service, and how. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  readonly timeoutMs: number
  /** Milliseconds within which an answer, or the first event of a stream, is in time; the timeout where no target is set. */
  readonly targetMs: number
  /** 0 is the highest. */
  readonly priority: number
  readonly splits: readonly ServiceSplit[]
  /** Back ends that one call may be sent to. */
  readonly maximumAttempts: number
  /** Whether no key is asked for. */
  readonly isPublic: boolean
  /** Whether a stream may go on at another back end. */
  readonly isResumable: boolean
  /** Longest pause in milliseconds between two events in time; 0 for none. */
  readonly gapTargetMs: number
}

/** A service's part of a route's calls. */
export interface ServiceSplit {
  readonly service: types.ServiceName
  readonly weight: number
}

/** A service that back ends belong to. */
export interface Service {
  readonly name: types.ServiceName
  /** Figures of the model engines; null for a plain service. */
  readonly engine: EngineFigures | null
  /** Where weights come from, if the service is an origin. */
  readonly originAddress: types.Address | null
}

/** How fast engines of a service are and what they hold. A speed that the platform does not tell is null, and decisions leave it out. */
export interface EngineFigures {
  readonly slots: number
  readonly models: readonly string[]
  readonly layers: number
  readonly chunks: number
  readonly chunkBytes: number
  /** Milliseconds in which every running request gets one more token. */
  readonly stepMs: number | null
  /** Milliseconds that each running request adds to a step. */
  readonly stepMsPerSequence: number | null
  readonly prefillTokensPerMs: number | null
  /** Tokens that the mean prompt and the mean answer have. */
  readonly usualPromptTokens: number | null
  readonly usualAnswerTokens: number | null
}

/** Bounds of what a caller may send. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number
  readonly maximumBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** A tenant and the keys that its callers show. */
export interface Tenant {
  readonly name: types.AccountId
  readonly keys: readonly string[]
  readonly priority: number
}

/** Limits before the first configuration is known. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = { maximumHeaderBytes: 16_384, maximumBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }

/** A back end as service discovery lists it; it may start again under its id. */
export interface BackEnd {
  readonly id: types.NodeId
  /** When this life began, in Unix milliseconds of its own clock; null when it does not tell. */
  readonly bornAt: number | null
  readonly service: types.ServiceName
  readonly address: types.Address
  readonly zone: string
  /** Requests that it works on at a time. */
  readonly slots: number
  readonly isDraining: boolean
  /** Models of which the back end holds every layer, with their versions. */
  readonly models: ReadonlyMap<string, number>
}

/** What an engine says of itself. */
export interface EngineReport {
  /** When this life began, in Unix milliseconds of its own clock; null when it does not tell. */
  readonly bornAt: number | null
  readonly running: number
  readonly waiting: number
  /** Whether an order is under way. */
  readonly isBusy: boolean
  /** Orders taken in this life. */
  readonly sequence: number
  /** Over 1: slower than the service's figures say. */
  readonly pace: number
  /** Requests a second that the engine says it takes from all machines together; null where its report names no limit. */
  readonly limitPerSecond: number | null
  readonly models: ReadonlyMap<string, number>
}

/** What the request path reads from the head of a caller's request. */
export interface CallHead {
  readonly requestId: string
  readonly host: string
  /** Path with query, as sent. */
  readonly path: string
  readonly method: string
  /** Milliseconds that the caller waits; null if it does not say. */
  readonly remainingMs: number | null
  readonly key: string | null
  readonly model: string | null
  readonly promptTokens: number
  readonly answerTokens: number
  /** Id of the last event that the caller has, when it resumes a stream. */
  readonly lastEventId: string | null
  /** Headers to pass on, names and values in turn. */
  readonly passedHeaders: readonly string[]
}

/** What one attempt adds to a call's head. */
export interface AttemptHead {
  readonly backEnd: types.NodeId
  readonly remainingMs: number
  readonly tenant: types.AccountId | null
  readonly urgency: number | null
  /** Version of the weights that must answer; null for any. */
  readonly version: number | null
  readonly lastEventId: string | null
  readonly bodyBytes: number | null
}

/** What the head of a back end's answer means. */
export type AnswerHead =
  | { readonly kind: 'answered', readonly status: number, readonly headers: readonly string[], readonly isStream: boolean, readonly version: number | null }
  /** The back end did not run the call. */
  | { readonly kind: 'not-run', readonly reason: 'full' | 'wrong-instance' | 'other', readonly status: number }
  /** The answer belongs to another call, or is none; the call may have run. */
  | { readonly kind: 'foreign' }
