/** Options of a handler of callers' requests with one route to one back end, for tests. */
import * as types from '@switchridge/types'
import type * as createCallHandler from '../createCallHandler/index.js'
import * as createBackEndTracker from '../createBackEndTracker/index.js'

const LONG_MS = 1e6

/** Settings of the route. */
export interface TestRoute {
  readonly kind?: 'stream' | 'repeatable' | 'once'
  readonly isResumable?: boolean
  readonly timeoutMs?: number
}

/**
 * Creates the options.
 *
 * @param route - What differs from a stream route with long times.
 * @param overrides - Options to replace; `now` and `sendAttempt` are needed.
 * @returns The options.
 */
export function createHandlerOptions (route: TestRoute, overrides: Pick<createCallHandler.CallHandlerOptions, 'now' | 'sendAttempt'> & Partial<createCallHandler.CallHandlerOptions>): createCallHandler.CallHandlerOptions {
  const backEnd = { id: types.brandId<types.NodeId>('i-1'), bornAt: null, address: { host: types.LOOPBACK_HOST, port: 9 }, isDraining: false, models: new Map() }
  const row = { name: 'stream', kind: 'stream', allowedRegions: [], isResumable: false, timeoutMs: LONG_MS, targetMs: LONG_MS, gapTargetMs: 400, maximumAttempts: 3, isPublic: true, splits: [{ service: 'llm', weight: 1 }], ...route }
  return {
    protocol: {
      readCall: () => ({ requestId: 'r', host: 'h', path: '/', method: 'POST', model: null, promptTokens: 0, answerTokens: 0, promptParts: [], lastEventId: null, remainingMs: null, key: null, passedHeaders: [] }),
      formatAttempt: () => [],
      readAnswer: () => ({ kind: 'answered', status: 200, headers: [], isStream: true, version: null }),
      readAdvertisedRate: () => ({ kind: 'none' }),
      readBackoffRequest: () => ({ kind: 'none' }),
      announcesLeaving: () => false,
      formatGatewayAnswer: () => []
    },
    routes: () => ({ configuration: { limits: { maximumBodyBytes: Infinity } }, findRoute: () => row, findService: () => null, needsKeys: false }),
    choose: () => ({ choice: { backEnd, isRateLimited: false, firstEventMs: 1, discountedFirstEventMs: 1, ownReadMs: 0, queuedAhead: 0, expectedVersion: null, mustBeginBy: Infinity, olderVersion: null }, passedOver: {}, utilization: 0, permitWaitMs: Infinity, backoffWaitMs: Infinity }),
    budgetOf: () => ({ noteCall: () => {}, trySpend: () => true }),
    sharedTargetOf: () => LONG_MS,
    findExclusion: () => null,
    onSent: () => {},
    mustConfirmSlots: () => false,
    errorBoundOf: () => ({ read: () => 0, note: () => {} }),
    backoffs: { read: () => ({ waitMs: 0, maximumUnanswered: Infinity }), noteResponse: () => {} },
    leavers: { isLeaving: () => false },
    limiter: { readAllowance: () => null, noteResponse: () => {} },
    guard: { isActive: () => false, onBlocked: () => {}, noteServed: () => {}, noteConnectionLost: async () => {} },
    tracker: createBackEndTracker.createBackEndTracker(overrides.now),
    logger: { info: () => {}, warn: () => {}, error: () => {} },
    count: () => {},
    observe: () => {},
    at: () => () => {},
    random: () => 0,
    ...overrides
  } as unknown as createCallHandler.CallHandlerOptions
}
