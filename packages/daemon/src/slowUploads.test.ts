/** Guards against calls that are refused at engines with free slots, because the time in which callers send their bodies counts as a delay of the engines. */
import * as assert from 'node:assert/strict'
import * as events from 'node:events'
import type * as http from 'node:http'
import * as nodeTest from 'node:test'
import * as gateway from '@switchridge/gateway'
import * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'
import * as createVersionRecord from './createVersionRecord/index.js'
import * as simulatedCallPath from './_lib/simulatedCallPath.js'

const FIGURES: gateway.EngineFigures = { slots: 10, models: [simulatedCallPath.MODEL], layers: 1, chunks: 0, chunkBytes: 0, stepMs: 5, stepMsPerSequence: 0, prefillTokensPerMs: 20, usualPromptTokens: 100, usualAnswerTokens: 50 }
const ENGINE: gateway.BackEnd = { id: types.brandId('i-1'), bornAt: null, service: simulatedCallPath.SERVICE, address: { host: 'host-1', port: 1 }, zone: 'hall', slots: FIGURES.slots, isDraining: false, models: new Map([[simulatedCallPath.MODEL, 1]]) }
const SUCCESS = 200
const PROMPT_TOKENS = 100
/** Well within the target of the route, 500 ms. */
const WORK_MS = 60
const STEP_MS = 5
const TURNS = 12
const REMAINING_MS = 6000

interface Upload {
  readonly ms: number
  readonly bytes: number
}

const SMALL: Upload = { ms: 0, bytes: 1000 }
const LARGE: Upload = { ms: 900, bytes: 1_000_000 }
const SLOW: Upload = { ms: 2000, bytes: 200_000 }

/** A gateway before one engine of which a part of the slots is taken by others. */
interface SimulatedGateway {
  /** Urgencies with which attempts were sent. */
  readonly urgencies: ReadonlyArray<number | null>
  readonly requestedSlots: readonly gateway.SlotRequest[]
  readonly statuses: readonly number[]
  readonly call: (upload: Upload) => void
  /** Lets time pass, in milliseconds. */
  readonly pass: (forMs: number) => Promise<void>
}

function createSimulatedGateway (timers: nodeTest.TestContext['mock']['timers'], running: number, { kind = 'stream', doAgentsReserve = false }: { readonly kind?: gateway.RouteKind, readonly doAgentsReserve?: boolean } = {}): SimulatedGateway {
  let time = 0
  const urgencies: Array<number | null> = []
  const requestedSlots: gateway.SlotRequest[] = []
  const statuses: number[] = []
  timers.enable({ apis: ['setTimeout', 'setInterval'] })
  const path = simulatedCallPath.createSimulatedCallPath({
    zone: ENGINE.zone,
    gateways: 1,
    route: { kind },
    figures: FIGURES,
    versions: createVersionRecord.createVersionRecord({ boundMs: 1, marginMs: 0, startupBoundMs: 1, onBound: () => {}, now: () => time }),
    backEnds: () => [ENGINE],
    reserver: {
      reserve: async (_backEnd, request) => {
        requestedSlots.push(request)
        return doAgentsReserve
      },
      ask: async () => 'unanswered'
    },
    protocol: {
      formatAttempt: (_call, { urgency }) => {
        urgencies.push(urgency)
        return []
      }
    },
    sendAttempt: () => ({ start: answer(), abort: () => {} }),
    now: () => time,
    random: standins.createSeededRandom(7)
  })

  async function answer (): Promise<gateway.AttemptStart> {
    await types.delay(WORK_MS)
    const response = Object.assign(new events.EventEmitter(), { head: { kind: 'answered', status: SUCCESS, headers: [], isStream: kind === 'stream', version: 1 } satisfies gateway.AnswerHead, complete: true, pause: () => {}, resume: () => {} })
    setTimeout(() => {
      response.emit('data', Buffer.from('id: 1\ndata: x\n\n'))
      response.emit('end')
    }, 1)
    return { kind: 'answer', response: response as unknown as http.IncomingMessage, isFramed: true, isWhole: () => true }
  }

  return {
    urgencies,
    requestedSlots,
    statuses,
    call: (upload) => { path.call({ requestId: 'r', promptTokens: PROMPT_TOKENS, events: 1, bodyBytes: upload.bytes, uploadMs: upload.ms, remainingMs: REMAINING_MS, onEnded: (status) => { statuses.push(status) } }) },
    pass: async (forMs) => {
      const report = { bornAt: null, running, waiting: 0, isBusy: false, sequence: 0, pace: 1, limitPerSecond: null, isLeaving: false, models: ENGINE.models }
      for (let passedMs = 0; passedMs < forMs; passedMs += STEP_MS) {
        path.tracker.noteReport(ENGINE.id, { report, isPaused: false, changesInMs: null }, time, 0)
        time += STEP_MS
        timers.tick(STEP_MS)
        for (let turn = 0; turn < TURNS; turn += 1) await new Promise((resolve) => { setImmediate(resolve) })
      }
    }
  }
}

for (const kind of ['stream', 'repeatable', 'once'] as const) {
  nodeTest.test(`calls of all sizes are served at an engine with free slots while others upload large bodies slowly (${kind})`, async (context) => {
    const simulated = createSimulatedGateway(context.mock.timers, 5, { kind })
    for (let at = 0; at < 100; at += 1) {
      simulated.call([LARGE, SMALL, SLOW, SMALL][at % 4] as Upload)
      await simulated.pass(50)
    }
    await simulated.pass(SLOW.ms + 500)
    assert.deepEqual([simulated.statuses.length, simulated.statuses.filter((status) => status !== SUCCESS).length], [100, 0])
  })
}

nodeTest.test('a call whose body took longer than its target to arrive is sent with the urgency of others', async (context) => {
  const simulated = createSimulatedGateway(context.mock.timers, 0)
  simulated.call(SLOW)
  await simulated.pass(SLOW.ms + 500)
  assert.deepEqual(simulated.urgencies, [null])
})

nodeTest.test('a slot is requested for a call whose body took longer than its target to arrive', async (context) => {
  const simulated = createSimulatedGateway(context.mock.timers, 40, { doAgentsReserve: true })
  simulated.call(SLOW)
  await simulated.pass(SLOW.ms + 500)
  assert.deepEqual([simulated.requestedSlots.length, simulated.statuses], [1, [SUCCESS]])
})
