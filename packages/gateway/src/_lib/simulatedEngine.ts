/** An engine of the load simulation: it processes requests in passes and reports its load. */
import type * as standins from '@switchridge/standins'
import * as types from '@switchridge/types'
import type * as gateway from '../types/index.js'

/** Service of all simulated engines, and the model that they hold. */
export const SERVICE = types.brandId<types.ServiceName>('llm')
export const MODEL = 'm'

/** A call at an engine. */
export interface EngineCall {
  readonly isUrgent: boolean
  /** Tokens of the prompt that the engine has not read yet. */
  unreadTokens: number
  eventsLeft: number
  readonly onFirstEvent: () => void
  readonly onEnd: () => void
}

/** A simulated engine. */
export interface SimulatedEngine {
  readonly backEnd: gateway.BackEnd
  /** Adds a call to the queue; false if the queue is full. */
  readonly enqueue: (call: EngineCall) => boolean
  readonly report: () => gateway.EngineReport
  /** Loses all calls and the model, as after a loss of power. */
  readonly lose: () => void
  /** Holds the model again. */
  readonly restore: () => void
  /** Calls that it runs or has queued. */
  readonly countCalls: () => number
}

/** Calls that may be queued beyond the slots; further ones are rejected. */
const QUEUE_LIMIT = 16
/** Steps per pass, and the largest number of prompt tokens read in each step. */
export const STEPS_PER_PASS = 5
const PREFILL_TOKENS_PER_STEP = 2048

/**
 * Creates an engine that reads the prompts of all running calls, and sends each call that has been read one event per pass.
 *
 * @param id - Id of the back end.
 * @param zone - Its data hall.
 * @param pace - Factor by which it is slower than its figures.
 * @param figures - Speeds and slots.
 * @param clock - Virtual clock of the simulation.
 * @returns The engine, idle.
 */
export function createSimulatedEngine (id: string, zone: string, pace: number, figures: gateway.EngineFigures, clock: standins.VirtualClock): SimulatedEngine {
  const running: EngineCall[] = []
  const waiting: EngineCall[] = []
  let isInPass = false
  /** Passes that were begun before the last loss of power are void. */
  let losses = 0
  const models = new Map([[MODEL, 1]])

  function runPass (): void {
    while (running.length < figures.slots && waiting.length > 0) running.push(dequeue())
    isInPass = running.length > 0
    if (!isInPass) return
    let budget = STEPS_PER_PASS * PREFILL_TOKENS_PER_STEP
    const read = running.map((call) => {
      const tokens = Math.min(call.unreadTokens, budget)
      budget -= tokens
      return tokens
    })
    const stepMs = (figures.stepMs as number) + (figures.stepMsPerSequence as number) * running.length
    const passMs = pace * (STEPS_PER_PASS * stepMs + read.reduce((sum, tokens) => sum + tokens, 0) / (figures.prefillTokensPerMs as number))
    const lossesBefore = losses
    clock.at(clock.now() + passMs, () => { if (losses === lossesBefore) finishPass(read) })
  }

  /** Removes the next call from the queue; urgent calls come first. */
  function dequeue (): EngineCall {
    const at = Math.max(0, waiting.findIndex(({ isUrgent }) => isUrgent))
    return waiting.splice(at, 1)[0] as EngineCall
  }

  function finishPass (read: readonly number[]): void {
    const ended: EngineCall[] = []
    running.forEach((call, at) => {
      const tokens = read[at] ?? 0
      call.unreadTokens -= tokens
      if (call.unreadTokens > 0) return
      if (tokens > 0) call.onFirstEvent()
      call.eventsLeft -= 1
      if (call.eventsLeft <= 0) ended.push(call)
    })
    for (const call of ended) {
      running.splice(running.indexOf(call), 1)
      call.onEnd()
    }
    runPass()
  }

  return {
    backEnd: { id: types.brandId(id), bornAt: null, service: SERVICE, address: { host: id, port: 1 }, zone, slots: figures.slots, isDraining: false, models },
    enqueue: (call) => {
      if (models.size === 0 || waiting.length >= QUEUE_LIMIT) return false
      waiting.push(call)
      if (!isInPass) runPass()
      return true
    },
    report: () => ({ bornAt: null, running: running.length, waiting: waiting.length, isBusy: false, sequence: 0, pace, limitPerSecond: null, isLeaving: false, models: new Map(models) }),
    lose: () => {
      losses += 1
      for (const call of [...running.splice(0), ...waiting.splice(0)]) call.onEnd()
      isInPass = false
      models.clear()
    },
    restore: () => { models.set(MODEL, 1) },
    countCalls: () => running.length + waiting.length
  }
}
