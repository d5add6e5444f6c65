/** What an agent tells of its engine on heartbeats. */
import * as zod from 'zod'
import type * as gateway from '@switchridge/gateway'

/** News of one engine. */
export interface EngineNews {
  /** Address of the engine, IP:PORT. */
  readonly address: string
  readonly report: gateway.EngineReport
  /** Whether it shall get no new work for now. */
  readonly isPaused: boolean
  /** Milliseconds until it changes its version; null when it will not. */
  readonly changesInMs: number | null
}

/** 1 or 0. */
const flagSchema = zod.union([zod.literal(0), zod.literal(1)]).transform((flag) => flag === 1)
/** A list, since heartbeats are many: it takes half the bytes of an object with names. */
const newsSchema = zod.tuple([
  /** The engine's address, or its port alone where it runs on the agent's own machine: 11 bytes less on most heartbeats. */
  zod.union([zod.string(), zod.number()]),
  flagSchema,
  zod.number().nullable(),
  zod.number(),
  zod.number(),
  flagSchema,
  zod.number(),
  zod.number(),
  zod.array(zod.tuple([zod.string(), zod.number()])),
  zod.number().nullable()
])
/** Digits of measured figures; they are not known more closely. */
const DIGITS = 4

/**
 * Formats news for a heartbeat.
 *
 * @param news - What the agent says of its engine.
 * @param host - The agent's machine.
 * @returns A value for JSON.
 */
export function formatEngineNews ({ address, report, isPaused, changesInMs }: EngineNews, host: string): unknown {
  const { bornAt, running, waiting, isBusy, sequence, pace, models } = report
  const place = address.startsWith(`${host}:`) ? Number(address.slice(host.length + 1)) : address
  return [place, isPaused ? 1 : 0, changesInMs === null ? null : Math.round(changesInMs), running, waiting, isBusy ? 1 : 0, sequence, Number(pace.toPrecision(DIGITS)), [...models], bornAt]
}

/**
 * Parses news of a heartbeat.
 *
 * @param value - What the heartbeat carries.
 * @param host - The agent's machine.
 * @returns The news, or null when there is none or it is unreadable.
 */
export function parseEngineNews (value: unknown, host: string): EngineNews | null {
  if (value === null || value === undefined) return null
  const parsed = newsSchema.safeParse(value)
  if (!parsed.success) return null
  const [place, isPaused, changesInMs, running, waiting, isBusy, sequence, pace, models, bornAt] = parsed.data
  return { address: typeof place === 'number' ? `${host}:${place}` : place, isPaused, changesInMs, report: { bornAt, running, waiting, isBusy, sequence, pace, models: new Map(models) } }
}
