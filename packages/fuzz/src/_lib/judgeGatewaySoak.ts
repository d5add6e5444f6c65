/** Finds the broken promises of a soak of gateways in what its callers and engines saw, with the allowances of the platform's rules. */
import type * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import type * as gatewaySoakCallers from './gatewaySoakCallers.js'
import type * as gatewaySoakFleet from './gatewaySoakFleet.js'
import * as soakBalancer from './soakBalancer.js'
import type * as soakEngine from './soakEngine.js'
import * as soakNode from './soakNode.js'

/** A process or an engine that was killed, paused or crashed. Times are of the monotonic clock in milliseconds. */
export interface UnplannedDisruption {
  /** Node of a process, or id of an engine. */
  readonly of: string
  readonly beganAt: number
  readonly endedAt: number
}

/** What a log says of a call that its process cut. */
export interface CutLine {
  readonly node: string
  readonly phase: string
  readonly reason: string
}

/** What a soak saw. */
export interface GatewaySoakObservations {
  readonly graceMs: number
  readonly records: readonly gatewaySoakCallers.GatewayCallRecord[]
  readonly runs: readonly soakEngine.EngineRun[]
  /** Engines at which each request arrived, whether they ran it or not. */
  readonly arrivals: ReadonlyMap<string, readonly string[]>
  /** Calls that ran on faulty layers, with the engine. */
  readonly faultyAnswers: ReadonlyArray<testing.FaultyAnswer & { readonly engine: string }>
  readonly incarnations: readonly soakNode.Incarnation[]
  readonly disruptions: readonly UnplannedDisruption[]
  readonly configurations: readonly gatewaySoakFleet.ConfiguredTimeouts[]
  readonly balancerChanges: readonly soakBalancer.BalancerChange[]
  /** Lines of the event `call-cut` by request id. */
  readonly cutLines: ReadonlyMap<string, CutLine>
  /** Logs of processes that were never started completely. */
  readonly unstartedLogs: ReadonlySet<string>
  /** End of the observation. */
  readonly endedAt: number
}

/** Kinds of broken promises. */
export type GatewayRule =
  /** A call was cut around a SIGTERM of its gateway or beside a change of the configuration. */
  | 'LOST'
  /** A call was cut by a gateway that was not told to end, without a change of the configuration near. */
  | 'CUT'
  | 'DRAIN' | 'TWICE' | 'REFUSED' | 'MIXED'
  /** A process did not end by itself with exit code 0 within the grace period. */
  | 'EXIT'
  /** A process ended without being told to. */
  | 'ENDED'
  /** A gateway used more memory than its machine has. */
  | 'MEMORY'
  /** A process cut a call and did not log it. */
  | 'UNLOGGED'
  /** A call got no answer for too long. */
  | 'STUCK'
  /** An answer was made with layers that were taken while their pieces had been bad for too long. */
  | 'WHOLE'

/** A broken promise. */
export interface GatewayProblem {
  readonly rule: GatewayRule
  /** Node that broke it, or the engine whose layers are faulty. */
  readonly node: string
  /** Request id; empty for a process. */
  readonly id: string
  /** What the log of the process says of the call; empty if nothing. */
  readonly logged: string
  readonly text: string
}

/** From here on the names and figures are those of the platform's rules. */
const LOSS_SLACK_MS = 200
const CONTACT_MS = 3000
const CONFIGURATION_MS = 2000
const AFTER_CONFIGURATION_MS = 1000
const EARLY_PART_OF_TIME = 0.7
const AFTER_GRACE_MS = 1000
const LATE_REQUEST_MS = 3000
const LAST_PART_OF_GRACE = 1 / 6
const DRAIN_NOTICE_MS = 4000
/** A process that ends within this time after its start or a disruption has not ended by itself. */
const OWN_END_MS = 1000
/** Memory of a gateway's machine. */
const MAXIMUM_GATEWAY_BYTES = 350_000_000
const PROMISES_NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503])

/**
 * Finds broken promises.
 *
 * @param seen - What callers, engines and the balancer saw, and how processes ended.
 * @returns The broken promises.
 */
export function judgeGatewaySoak (seen: GatewaySoakObservations): GatewayProblem[] {
  const runsById = new Map<string, soakEngine.EngineRun[]>()
  for (const run of seen.runs) types.getOrCreate(runsById, run.id, () => []).push(run)
  return [...seen.records.flatMap((record) => judgeCall(record, runsById.get(record.id) ?? [], seen)), ...seen.incarnations.flatMap((incarnation) => judgeIncarnation(incarnation, seen)), ...seen.faultyAnswers.map(describeFaultyAnswer)]
}

function describeFaultyAnswer ({ engine, requestId, version, badPieces }: GatewaySoakObservations['faultyAnswers'][number]): GatewayProblem {
  const pieces = badPieces.map(({ layer, piece, badMs }) => `piece ${piece} of layer ${layer}, bad for ${Math.round(badMs)} ms`)
  return { rule: 'WHOLE', node: engine, id: requestId, logged: '', text: `${requestId} ran on version ${version} of ${engine}, taken with ${pieces.join('; ')}` }
}

function judgeCall (record: gatewaySoakCallers.GatewayCallRecord, runs: readonly soakEngine.EngineRun[], seen: GatewaySoakObservations): GatewayProblem[] {
  const problems: GatewayProblem[] = []
  const add = (rule: GatewayRule, text: string): void => { problems.push({ rule, node: record.node, id: record.id, logged: formatCutLine(record, seen), text: `${text}: ${describeCall(record, runs, seen)}` }) }
  if (record.fault !== '') add('MIXED', record.fault)
  if (!record.isRepeatable && runs.length > 1) add('TWICE', `ran ${runs.length} times`)
  if (!record.isRepeatable && record.isWhole && PROMISES_NOT_RUN.has(record.status) && runs.length > 0) add('REFUSED', `refused with ${record.status} but ran`)
  if (record.error === 'given up') add('STUCK', 'no whole answer')
  if (record.isWhole || record.error === 'given up') return problems
  const excuse = findExcuse(record, runs, seen)
  const isAroundTerm = findTermAround(record, seen) !== null
  if (excuse === null && !isAroundTerm && isBesideConfiguration(record, seen)) add('LOST', 'cut beside a change of the configuration')
  else if (excuse === null && !isAroundTerm) add('CUT', 'cut by a gateway that was not told to end')
  else if (excuse === null) add('LOST', 'cut around a SIGTERM')
  if ((excuse === null || excuse === 'late-work') && !seen.cutLines.has(record.id)) add('UNLOGGED', 'no call-cut line')
  return problems
}

/** Why the rules allow that a call was cut. */
export type Excuse =
  /** It was not sent completely. */
  | 'unsent'
  /** It crossed the close of its connection and was not passed on. */
  | 'crossed'
  /** A disruption that was not planned was near. */
  | 'disruption'
  /** Its engine ended. */
  | 'engine-ended'
  /** Its time was over. */
  | 'time-over'
  /** Its engine worked on it at the end of the grace period. */
  | 'late-work'

/**
 * Finds why the rules allow that a call was cut.
 *
 * @param record - The call.
 * @param runs - Work of engines on it.
 * @param seen - What callers, engines and the balancer saw.
 * @returns The excuse; null if there is none.
 */
export function findExcuse (record: gatewaySoakCallers.GatewayCallRecord, runs: readonly soakEngine.EngineRun[], seen: GatewaySoakObservations): Excuse | null {
  if (record.sentAt === null) return 'unsent'
  if (!mustBeAnswered(record, seen)) return 'crossed'
  if (isNearDisruption(record, seen)) return 'disruption'
  if (runs.some(({ isEngineEnded }) => isEngineEnded)) return 'engine-ended'
  if (record.endedAt - record.beganAt >= findTimeoutMs(record, seen)) return 'time-over'
  const term = findTermAround(record, seen)
  return term !== null && isLateWork(record, runs, term, seen.graceMs) ? 'late-work' : null
}

/** When the process of a call was told to stop; null if the call ended at another time. */
function findTermAround (record: gatewaySoakCallers.GatewayCallRecord, seen: GatewaySoakObservations): number | null {
  const term = findTerm(record, seen)
  return term !== null && record.endedAt >= term && record.endedAt <= term + seen.graceMs + AFTER_GRACE_MS ? term : null
}

/** Whether the request was sent completely and either passed on or read for certain. */
function mustBeAnswered ({ id, sentAt, endedAt, stalledMs }: gatewaySoakCallers.GatewayCallRecord, { arrivals }: GatewaySoakObservations): boolean {
  return sentAt !== null && (arrivals.has(id) || endedAt - sentAt - stalledMs > LOSS_SLACK_MS)
}

/** Whether an unplanned disruption of the call's gateway or of one of its engines was near. */
function isNearDisruption (record: gatewaySoakCallers.GatewayCallRecord, seen: GatewaySoakObservations): boolean {
  const concerned = [record.node, ...seen.arrivals.get(record.id) ?? []]
  return seen.disruptions.some((each) => concerned.includes(each.of) && each.beganAt <= record.endedAt && each.endedAt >= record.beganAt - CONTACT_MS)
}

/** The shortest time-out that may have been in force for the call, or its deadline. */
function findTimeoutMs ({ route, beganAt, deadlineMs }: gatewaySoakCallers.GatewayCallRecord, { configurations }: GatewaySoakObservations): number {
  const inForce = configurations.filter(({ at }, index) => at <= beganAt + deadlineMs && (configurations[index + 1]?.at ?? Infinity) >= beganAt - CONTACT_MS)
  return Math.min(deadlineMs, ...inForce.map(({ timeoutMsByRoute }) => timeoutMsByRoute.get(route) ?? Infinity))
}

/** Whether a configuration that may be in force was new at the end of a call that had not used most of its time. */
function isBesideConfiguration (record: gatewaySoakCallers.GatewayCallRecord, seen: GatewaySoakObservations): boolean {
  const { beganAt, endedAt } = record
  const isEarly = endedAt - beganAt < EARLY_PART_OF_TIME * findTimeoutMs(record, seen)
  return isEarly && seen.configurations.slice(1).some(({ at }) => at <= endedAt && endedAt <= at + CONFIGURATION_MS + AFTER_CONFIGURATION_MS)
}

/** When the process to which the call's connection belonged was told to stop. */
function findTerm (record: gatewaySoakCallers.GatewayCallRecord, { incarnations }: GatewaySoakObservations): number | null {
  const incarnation = incarnations.filter(({ node, startedAt }) => node === record.node && startedAt <= record.connectionOpenedAt).at(-1)
  return incarnation === undefined ? null : soakNode.findStop(incarnation)
}

/** Whether the engine still worked in the last sixth of the grace period on a request sent shortly after the SIGTERM. */
function isLateWork ({ sentAt }: gatewaySoakCallers.GatewayCallRecord, runs: readonly soakEngine.EngineRun[], term: number, graceMs: number): boolean {
  const lastPartFrom = term + graceMs * (1 - LAST_PART_OF_GRACE)
  return sentAt !== null && sentAt <= term + LATE_REQUEST_MS && runs.some(({ beganAt, endedAt }) => endedAt >= lastPartFrom && beganAt <= term + graceMs)
}

function judgeIncarnation (incarnation: soakNode.Incarnation, seen: GatewaySoakObservations): GatewayProblem[] {
  const { node, role, startedAt, signals, exitedAt, code, wasOverdue, peakBytes, logFile } = incarnation
  const term = soakNode.findStop(incarnation)
  const until = exitedAt ?? seen.endedAt
  const disruptions = seen.disruptions.filter((each) => each.of === node)
  const isDisruptedIn = (from: number, to: number): boolean => disruptions.some(({ beganAt, endedAt }) => beganAt <= to && endedAt >= from)
  const describe = (text: string): string => `${text}: started ${formatMs(startedAt - until)}, ${signals.map(({ signal, at }) => `${signal} ${formatMs(at - until)}`).join(', ')}, ended 0 with code ${String(code)}; ${logFile}`
  const problem = (rule: GatewayRule, text: string): GatewayProblem => ({ rule, node, id: '', logged: '', text: describe(text) })
  const problems: GatewayProblem[] = []
  if (role === 'gateway' && peakBytes > MAXIMUM_GATEWAY_BYTES) problems.push(problem('MEMORY', `used ${peakBytes} bytes`))
  if (term === null) {
    const isNearStart = until - startedAt <= OWN_END_MS
    if (exitedAt !== null && !isNearStart && !isDisruptedIn(until - OWN_END_MS, until)) problems.push(problem('ENDED', 'ended without being told to'))
    return problems
  }
  if (isDisruptedIn(term, until)) return problems
  const wasStarting = code === null && seen.unstartedLogs.has(logFile)
  if (wasOverdue) problems.push(problem('EXIT', 'still ran at the end of the grace period'))
  else if (exitedAt === null ? seen.endedAt > term + seen.graceMs : code !== 0 && !wasStarting) problems.push(problem('EXIT', 'did not exit with code 0'))
  const noticedBy = term + DRAIN_NOTICE_MS
  if (role === 'gateway' && until > noticedBy && soakBalancer.wasIn(seen.balancerChanges, node, noticedBy) && !isDisruptedIn(term - CONTACT_MS, noticedBy)) problems.push(problem('DRAIN', 'still ready 4 s after SIGTERM'))
  return problems
}

function formatMs (milliseconds: number): string {
  return `${milliseconds < 0 ? '' : '+'}${Math.round(milliseconds)} ms`
}

/** Describes a call with all times relative to its end. */
function describeCall (record: gatewaySoakCallers.GatewayCallRecord, runs: readonly soakEngine.EngineRun[], seen: GatewaySoakObservations): string {
  const { id, kind, route, node, connectionOpenedAt, beganAt, sentAt, endedAt, status, bytes, expectedBytes, error } = record
  const since = (at: number): string => formatMs(at - endedAt)
  const signals = seen.incarnations.filter((incarnation) => incarnation.node === node).flatMap((incarnation) => incarnation.signals)
    .filter(({ at }) => at <= endedAt && at >= endedAt - seen.graceMs - AFTER_GRACE_MS)
    .map(({ signal, at }) => `${signal} ${since(at)}`)
  const work = runs.map((run) => `${run.engine} ${since(run.beganAt)}..${since(run.endedAt)}${run.isWhole ? ' whole' : ''}`)
  const logged = formatCutLine(record, seen)
  return `${id} ${kind}/${route} at ${node}, connected ${since(connectionOpenedAt)}, began ${since(beganAt)}, sent ${sentAt === null ? 'never' : since(sentAt)}, ` +
    `status ${status}, ${bytes} of ${expectedBytes} bytes, ${error === '' ? 'no error' : error}; signals [${signals.join(', ')}]; runs [${work.join(', ')}]; ` +
    (logged === '' ? 'not logged' : `logged as ${logged}`)
}

function formatCutLine ({ id }: gatewaySoakCallers.GatewayCallRecord, { cutLines }: GatewaySoakObservations): string {
  const line = cutLines.get(id)
  return line === undefined ? '' : `${line.phase} ${line.reason}`
}
