/** Runs whole attempts against a server, and checks what is recorded of the time left until the bound of the version there. */
import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import type * as net from 'node:net'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import type * as chooseBackEnd from '../chooseBackEnd/index.js'
import type * as gateway from '../types/index.js'
import * as sendAttempt from '../sendAttempt/index.js'
import * as callState from './callState.js'
import * as runAttempt from './runAttempt.js'
import * as createSizeShares from '../createSizeShares/index.js'

const SENT_AT = 1000
const ENDED_AT = 1600

interface Recorded {
  readonly margins: number[]
  readonly lines: Array<Readonly<Record<string, unknown>>>
}

interface Attempt {
  readonly olderVersion: chooseBackEnd.OlderVersion | null
  /** Version that the engine names in its answer; `silent` for none until the call is taken back. */
  readonly answer: number | 'silent' | 'not-run'
}

async function run ({ olderVersion, answer }: Attempt): Promise<Recorded> {
  const recorded: Recorded = { margins: [], lines: [] }
  let now = SENT_AT
  let takeBack = (): void => {}
  const server = http.createServer((request, response) => {
    now = ENDED_AT
    if (answer === 'silent') takeBack()
    else response.end('whole')
  })
  await new Promise<void>((resolve) => { server.listen(0, types.LOOPBACK_HOST, resolve) })
  const { port } = server.address() as net.AddressInfo
  const backEnd = { id: types.brandId<types.NodeId>('i-1'), address: { host: types.LOOPBACK_HOST, port } }
  const read: gateway.AnswerHead = answer === 'not-run'
    ? { kind: 'not-run', status: 503, reason: 'full' } as unknown as gateway.AnswerHead
    : { kind: 'answered', status: 200, headers: [], isStream: false, version: answer } as unknown as gateway.AnswerHead
  const call = callState.createCallState({
    head: { requestId: 'r', path: '/', method: 'POST', promptTokens: 0, answerTokens: 0 },
    route: { name: 'write', kind: 'once', isResumable: false, timeoutMs: 5000, targetMs: 5000, maximumAttempts: 1 },
    deadline: { at: 5000, remainingMs: () => 5000 },
    body: null,
    receivedAt: SENT_AT,
    completeAt: SENT_AT,
    sized: createSizeShares.createSizeShares().open('r', 1)
  } as unknown as callState.CallDetails)
  const options = {
    protocol: { formatAttempt: () => ['Host', 'app.example'], readAnswer: () => read, readAdvertisedRate: () => ({ kind: 'none' }), readBackoffRequest: () => null, announcesLeaving: () => false },
    tracker: { noteConnect: () => {} },
    limiter: { noteResponse: () => {} },
    backoffs: { noteResponse: () => {} },
    sendAttempt: sendAttempt.sendAttempt,
    at: (_time: number, action: () => void) => {
      takeBack = action
      return () => {}
    },
    observe: (name: string, milliseconds: number) => { if (name === 'version_margin') recorded.margins.push(milliseconds) },
    logger: { info: (event: string, fields: Readonly<Record<string, unknown>>) => { recorded.lines.push({ event, ...fields }) } },
    now: () => now
  }
  const choice = { backEnd, expectedVersion: null, mustBeginBy: ENDED_AT, olderVersion }
  const open = { promptTokens: 0, answerTokens: 0, sentAt: SENT_AT, hasResponded: false }
  const stream = runAttempt.createStreamState()
  const reply = { hasStarted: () => false, sendBuffered: () => {} }
  try {
    await runAttempt.runAttempt(call, reply as never, stream, choice as never, open, options as never)
  } finally {
    server.closeAllConnections()
    server.close()
  }
  return recorded
}

function line (outcome: string, boundAt: number): Readonly<Record<string, unknown>> {
  return { event: 'version-margin', id: 'r', backEnd: 'i-1', version: 1, outcome, leftMs: boundAt - ENDED_AT, connectedLeftMs: boundAt - SENT_AT, sentLeftMs: boundAt - SENT_AT }
}

nodeTest.test('the time left at an answer from an older version is counted, and logged if it is short or over', async () => {
  assert.deepEqual(await run({ olderVersion: { version: 1, boundAt: ENDED_AT + 250 }, answer: 1 }), { margins: [250], lines: [] })
  for (const leftMs of [249, -30]) {
    const boundAt = ENDED_AT + leftMs
    assert.deepEqual(await run({ olderVersion: { version: 1, boundAt }, answer: 1 }), { margins: [leftMs], lines: [line('answered', boundAt)] })
  }
})

nodeTest.test('a call that is taken back without an answer is logged with its moments, but not if its bound is far away', async () => {
  assert.deepEqual(await run({ olderVersion: { version: 1, boundAt: ENDED_AT + 600 }, answer: 'silent' }), { margins: [], lines: [line('unanswered', ENDED_AT + 600)] })
  assert.deepEqual(await run({ olderVersion: { version: 1, boundAt: ENDED_AT + 3000 }, answer: 'silent' }), { margins: [], lines: [] })
})

nodeTest.test('nothing is recorded for the newest version, for an engine that has changed its version, or for a call that did not run', async () => {
  const none = { margins: [], lines: [] }
  assert.deepEqual(await run({ olderVersion: null, answer: 2 }), none)
  assert.deepEqual(await run({ olderVersion: { version: 1, boundAt: ENDED_AT }, answer: 2 }), none)
  assert.deepEqual(await run({ olderVersion: { version: 1, boundAt: ENDED_AT }, answer: 'not-run' }), none)
})
