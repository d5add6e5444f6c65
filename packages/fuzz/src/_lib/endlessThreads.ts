/** Starts threads of peers that send without end. */
import * as workerThreads from 'node:worker_threads'
import type * as types from '@switchridge/types'
import type * as endlessPeer from './endlessPeer.js'

/** A thread with an engine. */
export interface EngineThread {
  readonly thread: workerThreads.Worker
  readonly addresses: readonly types.Address[]
}

function startThread (data: endlessPeer.PeerThread): workerThreads.Worker {
  return new workerThreads.Worker(new URL('./endlessPeer.js', import.meta.url), { workerData: data })
}

/**
 * Starts an engine.
 *
 * @param shape - Name of what it answers with; null for an engine that answers each call at once.
 * @param addresses - Number of addresses at which it answers.
 * @returns The engine, which accepts connections. Rejects if its thread fails.
 */
export async function startEngineThread (shape: string | null, addresses: number): Promise<EngineThread> {
  const thread = startThread({ role: 'engine', shape, addresses })
  return await new Promise((resolve, reject) => {
    thread.once('message', (started: readonly types.Address[]) => { resolve({ thread, addresses: started }) })
    thread.once('error', reject)
  })
}

/**
 * Starts callers.
 *
 * @param callers - What they send, and where.
 * @returns Their thread, which runs. Rejects if it fails.
 */
export async function startCallersThread (callers: endlessPeer.CallersThread): Promise<workerThreads.Worker> {
  const thread = startThread(callers)
  return await new Promise((resolve, reject) => {
    thread.once('online', () => { resolve(thread) })
    thread.once('error', reject)
  })
}
