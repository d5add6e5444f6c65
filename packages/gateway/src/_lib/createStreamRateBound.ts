/** Tells event streams from bytes that no engine can generate, by how fast they come. */
import * as types from '@switchridge/types'
import type * as gateway from '../types/index.js'

/** The bound of one stream. */
export interface StreamRateBound {
  /** Records a chunk; returns false once the stream has been many times faster than its engine can be, for long. */
  readonly accept: (bytes: number) => boolean
}

/** A token comes in a chunk of its own at most, of a KiB with all that describes it. */
const UNIT_BYTES = types.BYTES_IN_KIBIBYTE
/** Units that may come at any speed, such as an answer that the engine has at hand. */
const BURST_UNITS = 16_384
/** Units that may come for each step of the engine, which generates one token of a stream in a step. */
const UNITS_PER_STEP = 10

/**
 * Creates the bound.
 *
 * @param figures - Speeds of the service's engines; null if they are unknown, and nothing is bounded.
 * @param now - Monotonic clock in milliseconds.
 * @returns The bound of a stream that begins now.
 */
export function createStreamRateBound (figures: gateway.EngineFigures | null, now: () => number): StreamRateBound {
  const stepMs = figures?.stepMs ?? 0
  if (stepMs <= 0) return { accept: () => true }
  const startedAt = now()
  let units = 0
  return {
    accept: (bytes) => {
      units += 1 + Math.floor(bytes / UNIT_BYTES)
      return units <= BURST_UNITS || units <= BURST_UNITS + UNITS_PER_STEP * (now() - startedAt) / stepMs
    }
  }
}
