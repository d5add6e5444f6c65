/** Callers of a soak of gateways: most use a connection until its gateway closes it or announces that it will. */
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as gatewaySoakFleet from './gatewaySoakFleet.js'
import * as gatewaySoakPlan from './gatewaySoakPlan.js'
import type * as soakBalancer from './soakBalancer.js'
import type * as soakNode from './soakNode.js'
import * as stallRecord from './stallRecord.js'

/** What became of a call, as its caller saw it. Times are of the monotonic clock in milliseconds. */
export interface GatewayCallRecord {
  readonly id: string
  readonly kind: gatewaySoakPlan.PlannedCaller['kind']
  readonly route: gatewaySoakPlan.PlannedCall['route']
  /** Whether it may run more than once. */
  readonly isRepeatable: boolean
  readonly node: string
  readonly connectionOpenedAt: number
  readonly beganAt: number
  /** When the last byte was passed to the operating system; null if it wasn't. */
  readonly sentAt: number | null
  readonly endedAt: number
  /** Milliseconds between the last byte and the end in which this process did not run its event loop. */
  readonly stalledMs: number
  /** 0 when the connection closed before a response head. */
  readonly status: number
  readonly isWhole: boolean
  readonly bytes: number
  readonly expectedBytes: number
  /** What is wrong with a whole response; empty if nothing is. */
  readonly fault: string
  readonly error: string
  readonly deadlineMs: number
}

/** Running callers. */
export interface GatewaySoakCallers {
  readonly records: readonly GatewayCallRecord[]
  /** Longest time in milliseconds in which this process did not run its event loop. */
  readonly longestStallMs: () => number
  /** Lets calls in progress end, and resolves when they have. */
  readonly stop: () => Promise<void>
}

const GIVE_UP_MS = 30_000
const DEADLINE_MS = 7000
const PROMPT_TOKENS = 100
const OK = 200
const REPEATABLE_ROUTES: ReadonlySet<string> = new Set(['read', 'removable', 'stream'])
/** Longest pause between two calls of a caller; most are shorter. */
const MAXIMUM_PAUSE_MS = 1500
/** Callers take up connections that have rested for up to this share of the idle limit. */
const REST_SHARE = 0.8
/** Callers that rest for longer make too few calls. */
const MAXIMUM_REST_MS = 4000

/**
 * Starts the callers.
 *
 * @param fleet - The fleet.
 * @param balancer - Chooses gateways for new connections.
 * @param callers - The callers, spread over the halls.
 * @returns The running callers.
 */
export function startGatewaySoakCallers (fleet: gatewaySoakFleet.GatewaySoakFleet, balancer: soakBalancer.SoakBalancer, callers: readonly gatewaySoakPlan.PlannedCaller[]): GatewaySoakCallers {
  const records: GatewayCallRecord[] = []
  const stalls = stallRecord.createStallRecord()
  const halls = Math.max(...fleet.nodes.map(({ hall }) => hall)) + 1
  const stopping = new AbortController()

  async function runCaller (caller: gatewaySoakPlan.PlannedCaller, hall: number): Promise<void> {
    const random = gatewaySoakPlan.createPlanRandom(caller.seed)
    let restingSince = Infinity
    let open: { readonly node: soakNode.SoakNode, readonly connection: testing.CallerConnection } | null = null
    for (let call = 0; !stopping.signal.aborted; call += 1) {
      const planned = gatewaySoakPlan.planCall(caller.kind, random)
      const hasRestedTooLong = performance.now() - restingSince > REST_SHARE * fleet.readShortestIdleMs()
      if (open === null || caller.isFresh || hasRestedTooLong || !open.connection.isOpen()) {
        open?.connection.close()
        const node = balancer.choose(hall, random)
        open = { node, connection: testing.createCallerConnection(fleet.callerAddressOf(node)) }
      }
      const id = `s${caller.seed}-${call}`
      const answer = await open.connection.send(createRequest(planned, id))
      const expected = formatExpected(planned, id)
      records.push({
        id,
        kind: caller.kind,
        route: planned.route,
        isRepeatable: REPEATABLE_ROUTES.has(planned.route),
        node: open.node.node,
        connectionOpenedAt: open.connection.openedAt,
        beganAt: answer.beganAt,
        sentAt: answer.sentAt,
        endedAt: answer.endedAt,
        stalledMs: stalls.readMs(answer.sentAt ?? answer.beganAt, answer.endedAt),
        status: answer.status,
        isWhole: answer.isWhole,
        bytes: answer.body.length,
        expectedBytes: expected.length,
        fault: answer.isWhole ? findFault(id, expected, answer) : '',
        error: answer.error,
        deadlineMs: DEADLINE_MS
      })
      restingSince = answer.endedAt
      await types.delay(choosePauseMs(caller, fleet.readShortestIdleMs(), random))
    }
    open?.connection.close()
  }

  const running = callers.map(async (caller, index) => { await runCaller(caller, index % halls) })
  return {
    records,
    longestStallMs: stalls.longestMs,
    stop: async () => {
      stopping.abort()
      await Promise.all(running)
      stalls.stop()
    }
  }
}

function choosePauseMs ({ kind }: gatewaySoakPlan.PlannedCaller, idleMs: number, random: () => number): number {
  if (kind === 'resting') return Math.min(MAXIMUM_REST_MS, REST_SHARE * idleMs) * (1 - random() * random())
  return random() < 0.8 ? random() * 40 : random() * MAXIMUM_PAUSE_MS
}

function isStream ({ route }: gatewaySoakPlan.PlannedCall): boolean {
  return route === 'stream' || route === 'talk'
}

function createRequest (planned: gatewaySoakPlan.PlannedCall, id: string): testing.ConnectionRequest {
  const { route, events, eventMs, eventBytes, bytes, delayMs, pauseMs, statedTokens, bodyBytes, sendMs, awaitsContinue, readBytesPerSecond } = planned
  const shape = isStream(planned) ? { stream: 1, events, eventMs, eventBytes } : { bytes, delayMs, pauseMs }
  const query = Object.entries(shape).map(([name, value]) => `${name}=${Math.round(value)}`).join('&')
  return {
    path: `/${route}/call?${query}`,
    id,
    headers: {
      ...testing.formatCallerHeaders(gatewaySoakFleet.API_KEY, DEADLINE_MS),
      ...(isStream(planned) ? testing.formatModelHeaders(gatewaySoakFleet.MODEL, PROMPT_TOKENS, statedTokens) : {})
    },
    bodyBytes,
    sendMs,
    awaitsContinue,
    readBytesPerSecond,
    giveUpMs: GIVE_UP_MS
  }
}

function formatExpected (planned: gatewaySoakPlan.PlannedCall, id: string): Buffer {
  if (!isStream(planned)) return Buffer.from(testing.formatPayload(id, planned.bytes))
  return Buffer.from(Array.from({ length: planned.events }, (_, index) => testing.formatEvent(index + 1, testing.formatPayload(`${id}/${index + 1}`, planned.eventBytes))).join(''))
}

/** Finds what is wrong with a whole response. */
function findFault (id: string, expected: Buffer, answer: testing.ConnectionAnswer): string {
  const headFault = testing.findHeadFault(id, answer)
  if (headFault !== '' || answer.status !== OK || answer.body.equals(expected)) return headFault
  return answer.body.length < expected.length ? 'shorter than what the engine answers' : 'other bytes than those of the engine'
}
