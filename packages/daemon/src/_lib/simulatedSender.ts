/** Sends attempts of calls over a simulated network to simulated engines, and records when each step happens. */
import * as events from 'node:events'
import type * as http from 'node:http'
import type * as gateway from '@switchridge/gateway'
import type * as standins from '@switchridge/standins'
import type * as simulatedVersionEngine from './simulatedVersionEngine.js'

/** Times of one attempt; undefined for what has not happened. */
export interface AttemptTrace {
  readonly requestId: string
  readonly engine: string
  readonly kind: 'first' | 'later' | 'resumed'
  readonly startedAt: number
  /** When the connection stood and the request was sent. */
  connectedAt?: number
  abortedAt?: number
  arrivedAt?: number
  begunAt?: number
  closeArrivedAt?: number
  /** Version on which the request began. */
  version?: number
}

/** What an attempt's headers tell the simulated engine. */
export interface AttemptContent {
  readonly requestId: string
  readonly promptTokens: number
  readonly events: number
  readonly version: number | null
  readonly lastEventId: string | null
}

/** Options of {@link createSimulatedSender}. */
export interface SimulatedSenderOptions {
  readonly network: standins.SimulatedNetwork
  /** Host of the gateway. */
  readonly host: string
  readonly engines: ReadonlyMap<string, simulatedVersionEngine.SimulatedVersionEngine>
  readonly traces: AttemptTrace[]
  readonly eventBytes: number
  /** Called with the host of an engine when a connection to it stands, before the request is sent. */
  readonly onConnected: (host: string) => void
  readonly now: () => number
}

/** A response whose head is known without HTTP. */
export interface SimulatedResponse extends events.EventEmitter {
  readonly head: gateway.AnswerHead
}

const CONTROL_BYTES = 60
const HEAD_BYTES = 400
const SUCCESS = 200
const REFUSED = 503
/** Listeners of the response are attached after its head was passed on. */
const DELIVERY_MS = 1

/**
 * Creates a sender for one gateway. The connection, the request and the close of an attempt follow each other over the same links, in order.
 *
 * @param options - Network, engines and where to record attempts.
 * @returns The function that sends an attempt.
 */
export function createSimulatedSender (options: SimulatedSenderOptions): (request: gateway.AttemptRequest) => gateway.Attempt {
  const { network, host, now } = options

  function findKind (content: AttemptContent): AttemptTrace['kind'] {
    if (content.lastEventId !== null) return 'resumed'
    return options.traces.some((trace) => trace.requestId === content.requestId && trace.connectedAt !== undefined) ? 'later' : 'first'
  }

  return (request) => {
    const content = JSON.parse(request.headers[1] as string) as AttemptContent
    const target = request.address.host
    const trace: AttemptTrace = { requestId: content.requestId, engine: target, kind: findKind(content), startedAt: now() }
    options.traces.push(trace)
    let settle: (start: gateway.AttemptStart) => void = () => {}
    const start = new Promise<gateway.AttemptStart>((resolve) => { settle = resolve })
    let isClosed = false
    let isWhole = false
    let response: SimulatedResponse | null = null
    let close = (): void => {}
    let eventId = Number(content.lastEventId ?? 0)
    const connectTimer = setTimeout(() => { endUnsent('no connection in time') }, request.connectTimeoutMs)

    function endUnsent (reason: string): void {
      isClosed = true
      clearTimeout(connectTimer)
      settle({ kind: 'not-sent', reason })
    }

    function respond (head: gateway.AnswerHead): SimulatedResponse {
      if (response !== null) return response
      response = Object.assign(new events.EventEmitter(), { head, pause: () => {}, resume: () => {} })
      response.on('error', () => {})
      settle({ kind: 'answer', response: response as unknown as http.IncomingMessage, isFramed: true, isWhole: () => isWhole })
      return response
    }

    function sendBack (bytes: number, onArrival: () => void): void {
      void network.sendStream(target, host, bytes).then(() => { if (!isClosed) onArrival() })
    }

    function deliver (event: 'data' | 'end' | 'close', bytes?: Buffer): void {
      const answer = respond({ kind: 'answered', status: SUCCESS, headers: [], isStream: true, version: trace.version ?? null })
      setTimeout(() => { answer.emit(event, bytes) }, DELIVERY_MS)
    }

    function breakOff (): void {
      isClosed = true
      if (response === null) settle({ kind: 'no-answer', reason: 'connection closed', isClosedByPeer: true })
      else deliver('close')
    }

    function noteArrival (): void {
      trace.arrivedAt = now()
      const engine = options.engines.get(target) as simulatedVersionEngine.SimulatedVersionEngine
      close = engine.receive({
        promptTokens: content.promptTokens,
        events: Math.max(1, content.events - eventId),
        version: content.version,
        onBegin: (version) => {
          trace.begunAt = now()
          trace.version = version
        },
        onEvent: () => {
          eventId += 1
          const bytes = Buffer.from(`id: ${eventId}\ndata: x\n\n`)
          sendBack(options.eventBytes, () => { deliver('data', bytes) })
        },
        onEnd: () => {
          sendBack(CONTROL_BYTES, () => {
            isWhole = true
            deliver('end')
          })
        },
        onRefused: (reason) => { sendBack(HEAD_BYTES, () => { respond({ kind: 'not-run', reason, status: REFUSED }) }) },
        onBroken: () => { sendBack(CONTROL_BYTES, breakOff) }
      })
    }

    async function send (): Promise<void> {
      await network.sendStream(host, target, CONTROL_BYTES)
      await network.sendStream(target, host, CONTROL_BYTES)
      if (isClosed) return
      clearTimeout(connectTimer)
      trace.connectedAt = now()
      request.onConnect(now() - trace.startedAt)
      options.onConnected(target)
      await network.sendStream(host, target, HEAD_BYTES + (request.body?.length ?? 0))
      noteArrival()
    }

    function abort (): void {
      if (isClosed || isWhole) return
      if (trace.connectedAt === undefined) return endUnsent('connection closed')
      trace.abortedAt = now()
      breakOff()
      void network.sendStream(host, target, CONTROL_BYTES).then(() => {
        trace.closeArrivedAt = now()
        close()
      })
    }

    void send()
    return { start, abort }
  }
}
