/** Guards against a judge of soaks that misses a broken promise, or counts what the platform's rules allow. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as gatewaySoakCallers from './gatewaySoakCallers.js'
import * as judgeGatewaySoak from './judgeGatewaySoak.js'
import type * as soakEngine from './soakEngine.js'
import type * as soakNode from './soakNode.js'

const NODE = 'gateway-a0'
const GRACE_MS = 8000
const TERM_AT = 100_000
const LOG = 'gateway-a0.0.log'

type Seen = judgeGatewaySoak.GatewaySoakObservations
type Call = gatewaySoakCallers.GatewayCallRecord

const CALL: Call = {
  id: 'c',
  kind: 'streams',
  route: 'stream',
  isRepeatable: false,
  node: NODE,
  connectionOpenedAt: TERM_AT - 5000,
  beganAt: TERM_AT - 500,
  sentAt: TERM_AT - 500,
  endedAt: TERM_AT + 2000,
  stalledMs: 0,
  status: 200,
  isWhole: false,
  bytes: 10,
  expectedBytes: 20,
  fault: '',
  error: 'aborted',
  deadlineMs: 7000
}
const RUN: soakEngine.EngineRun = { id: 'c', engine: 'i-0', beganAt: TERM_AT - 490, endedAt: TERM_AT + 2000, isWhole: false, isEngineEnded: false }
const DRAINED: soakNode.Incarnation = { node: NODE, role: 'gateway', startedAt: 0, signals: [{ signal: 'SIGTERM', at: TERM_AT }], exitedAt: TERM_AT + 3000, code: 0, wasOverdue: false, peakBytes: 0, logFile: LOG }
const SERVING: soakNode.Incarnation = { ...DRAINED, signals: [], exitedAt: null, code: null }

function findRules (changes: Partial<Seen> & { readonly call?: Partial<Call> }): string[] {
  const { call = {}, ...others } = changes
  return judgeGatewaySoak.judgeGatewaySoak({
    graceMs: GRACE_MS,
    records: [{ ...CALL, ...call }],
    runs: [RUN],
    arrivals: new Map([['c', ['i-0']]]),
    faultyAnswers: [],
    incarnations: [DRAINED],
    disruptions: [],
    configurations: [{ at: 0, timeoutMsByRoute: new Map([['stream', 6000]]) }],
    balancerChanges: [],
    cutLines: new Map([['c', { node: NODE, phase: 'answering', reason: 'forced' }]]),
    unstartedLogs: new Set(),
    endedAt: TERM_AT + 20_000,
    ...others
  }).map(({ rule }) => rule)
}

const WHOLE = { isWhole: true, error: '' }
/** A call that is cut at the end of the grace period while its engine works. */
const CUT_AT_GRACE = { connectionOpenedAt: TERM_AT, beganAt: TERM_AT + 2500, sentAt: TERM_AT + 2900, endedAt: TERM_AT + 7600 }
const RUN_UNTIL_GRACE = { ...RUN, beganAt: TERM_AT + 2910, endedAt: TERM_AT + 7600 }
const DRAINED_LATE = [{ ...DRAINED, exitedAt: TERM_AT + 7700 }]

/** Two configurations with equal time-outs. */
function configureAt (at: number): Seen['configurations'] {
  return [0, at].map((each) => ({ at: each, timeoutMsByRoute: new Map([['stream', 6000]]) }))
}

const CASES: ReadonlyArray<readonly [string, Parameters<typeof findRules>[0], string[]]> = [
  ['a call cut in the grace period', {}, ['LOST']],
  ['a whole call', { call: WHOLE }, []],
  ['a call that was not logged', { cutLines: new Map() }, ['LOST', 'UNLOGGED']],
  ['an engine that broke off', { runs: [{ ...RUN, isEngineEnded: true }] }, []],
  ['the time-out of the route', { call: { beganAt: TERM_AT - 4000 } }, []],
  ['a time-out that came into force just before', { configurations: [{ at: 0, timeoutMsByRoute: new Map([['stream', 6000]]) }, { at: TERM_AT - 400, timeoutMsByRoute: new Map([['stream', 2400]]) }] }, []],
  ['a request that crosses the close of its connection', { arrivals: new Map(), runs: [], call: { sentAt: TERM_AT + 1900, status: 0 } }, []],
  ['a request that was read for certain', { arrivals: new Map(), runs: [], call: { sentAt: TERM_AT + 1700, status: 0 } }, ['LOST']],
  ['the same while the soak itself stood still', { arrivals: new Map(), runs: [], call: { sentAt: TERM_AT + 1700, stalledMs: 120, status: 0 } }, []],
  ['a request that was not sent completely', { arrivals: new Map(), runs: [], call: { sentAt: null, status: 0 } }, []],
  ['an engine at work at the end of the grace period', { call: CUT_AT_GRACE, runs: [RUN_UNTIL_GRACE], incarnations: DRAINED_LATE }, []],
  ['the same for a request sent later than 3 s after the SIGTERM', { call: { ...CUT_AT_GRACE, sentAt: TERM_AT + 3100 }, runs: [RUN_UNTIL_GRACE], incarnations: DRAINED_LATE }, ['LOST']],
  ['an engine that had ended before the last sixth', { call: CUT_AT_GRACE, runs: [{ ...RUN_UNTIL_GRACE, endedAt: TERM_AT + 6000 }], incarnations: DRAINED_LATE }, ['LOST']],
  ['a pause of the gateway shortly before', { disruptions: [{ of: NODE, beganAt: TERM_AT - 4000, endedAt: TERM_AT - 3400 }] }, []],
  ['a pause long before', { disruptions: [{ of: NODE, beganAt: TERM_AT - 5000, endedAt: TERM_AT - 3600 }] }, ['LOST']],
  ['a pause of another gateway', { disruptions: [{ of: 'gateway-a1', beganAt: TERM_AT - 1000, endedAt: TERM_AT }] }, ['LOST']],
  ['a crash of the engine', { disruptions: [{ of: 'i-0', beganAt: TERM_AT, endedAt: TERM_AT }] }, []],
  ['a call cut by a process that serves', { incarnations: [SERVING] }, ['CUT']],
  ['a call cut by a process that serves and did not log it', { incarnations: [SERVING], cutLines: new Map() }, ['CUT', 'UNLOGGED']],
  ['a call cut beside a change of the configuration', { incarnations: [SERVING], configurations: configureAt(TERM_AT - 900) }, ['LOST']],
  ['the same later than 3 s after the change', { incarnations: [SERVING], configurations: configureAt(TERM_AT - 1100) }, ['CUT']],
  ['the same for a call that has used most of its time', { incarnations: [SERVING], configurations: configureAt(TERM_AT + 1900), call: { beganAt: TERM_AT - 2300 } }, ['CUT']],
  ['the first configuration, which is no change', { incarnations: [SERVING], configurations: configureAt(TERM_AT).slice(1) }, ['CUT']],
  ['a call of an earlier process', { incarnations: [{ ...DRAINED, exitedAt: TERM_AT + 100 }, { ...SERVING, startedAt: TERM_AT + 200 }], call: { connectionOpenedAt: TERM_AT + 300 } }, ['CUT']],
  ['a call that may not be repeated and ran twice', { call: WHOLE, runs: [RUN, RUN] }, ['TWICE']],
  ['a call that may be repeated and ran twice', { call: { ...WHOLE, isRepeatable: true }, runs: [RUN, RUN] }, []],
  ['a refusal of a call that ran', { call: { ...WHOLE, status: 503 } }, ['REFUSED']],
  ['a refusal of a call that did not run', { call: { ...WHOLE, status: 503 }, runs: [] }, []],
  ['another answer', { call: { ...WHOLE, fault: 'other bytes' } }, ['MIXED']],
  ['no answer', { call: { error: 'given up' } }, ['STUCK']],
  ['an answer from layers with bad pieces', { call: WHOLE, faultyAnswers: [{ engine: 'i-0', requestId: 'c', version: 2, badPieces: [{ layer: 0, piece: 1, badMs: 4000 }] }] }, ['WHOLE']],
  ['an exit code other than 0', { call: WHOLE, incarnations: [{ ...DRAINED, code: 4 }] }, ['EXIT']],
  ['a gateway that uses more memory than its machine has', { call: WHOLE, incarnations: [{ ...DRAINED, peakBytes: 350_000_001 }] }, ['MEMORY']],
  ['an agent that uses as much', { call: WHOLE, incarnations: [{ ...DRAINED, role: 'agent', peakBytes: 350_000_001 }] }, []],
  ['a process that is killed at the end of its grace period', { call: WHOLE, incarnations: [{ ...DRAINED, exitedAt: TERM_AT + 8000, code: null, wasOverdue: true }] }, ['EXIT']],
  ['the same after a pause', { call: WHOLE, incarnations: [{ ...DRAINED, exitedAt: TERM_AT + 8000, code: null, wasOverdue: true }], disruptions: [{ of: NODE, beganAt: TERM_AT, endedAt: TERM_AT + 100 }] }, []],
  ['a process that never exits', { call: WHOLE, incarnations: [{ ...DRAINED, exitedAt: null, code: null }] }, ['EXIT']],
  ['a SIGTERM that ends a process before it has started', { call: WHOLE, incarnations: [{ ...DRAINED, code: null }], unstartedLogs: new Set([LOG]) }, []],
  ['a SIGTERM that ends a process that has started', { call: WHOLE, incarnations: [{ ...DRAINED, code: null }] }, ['EXIT']],
  ['a process that ends without being told to', { call: WHOLE, incarnations: [{ ...SERVING, exitedAt: TERM_AT }] }, ['ENDED']],
  ['a process that is killed', { call: WHOLE, incarnations: [{ ...SERVING, exitedAt: TERM_AT }], disruptions: [{ of: NODE, beganAt: TERM_AT - 10, endedAt: TERM_AT - 10 }] }, []],
  ['a process that ends within a second of its start', { call: WHOLE, incarnations: [{ ...SERVING, startedAt: TERM_AT - 900, exitedAt: TERM_AT }] }, []],
  ['a gateway that is ready 4 s after its SIGTERM', { call: WHOLE, incarnations: DRAINED_LATE, balancerChanges: [{ node: NODE, at: 0, isIn: true }, { node: NODE, at: TERM_AT + 4100, isIn: false }] }, ['DRAIN']],
  ['a gateway that is out by then', { call: WHOLE, incarnations: DRAINED_LATE, balancerChanges: [{ node: NODE, at: 0, isIn: true }, { node: NODE, at: TERM_AT + 2000, isIn: false }] }, []]
]

for (const [name, changes, expected] of CASES) {
  nodeTest.test(`the judge of a soak of gateways: ${name}`, () => { assert.deepEqual(findRules(changes), expected) })
}
