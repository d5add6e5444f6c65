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

const PAUSED = 1
const BUSY = 2
const FLAGS = PAUSED | BUSY
/** Starts of lives are long numbers. */
const RADIX = 36
/** A list, since heartbeats are many: it takes a third of the bytes of an object with names. */
const newsSchema = zod.tuple([
  /** The engine's address, or its port alone where it runs on the agent's own machine. */
  zod.union([zod.string(), zod.number()]),
  zod.number().int().min(0).max(FLAGS),
  zod.number().nullable(),
  zod.number(),
  zod.number(),
  zod.number(),
  zod.number(),
  /** The version of the only model of the service, 0 for none; models by name where there are several. */
  zod.union([zod.number(), zod.array(zod.tuple([zod.string(), zod.number()]))]),
  zod.string().regex(/^[0-9a-z]+$/).nullable(),
  /** The limit that the engine names; left out where there is none. */
  zod.number().positive().optional()
])
/** Digits of measured figures; they are not known more closely. */
const DIGITS = 4

/** Where news come from and what their short forms stand for. */
export interface NewsContext {
  /** The agent's machine. */
  readonly host: string
  /** The only model of the engine at an address; null where it may run several, or nothing is known of it. */
  readonly soleModel: (address: string) => string | null
}

/**
 * Formats news for a heartbeat.
 *
 * @param news - What the agent says of its engine.
 * @param context - The agent's machine and what it knows of its engine.
 * @returns A value for JSON.
 */
export function formatEngineNews ({ address, report, isPaused, changesInMs }: EngineNews, context: NewsContext): unknown {
  const { bornAt, running, waiting, isBusy, sequence, pace, limitPerSecond, models } = report
  const place = address.startsWith(`${context.host}:`) ? Number(address.slice(context.host.length + 1)) : address
  const flags = (isPaused ? PAUSED : 0) | (isBusy ? BUSY : 0)
  const changes = changesInMs === null ? null : Math.round(changesInMs)
  const limit = limitPerSecond === null ? [] : [limitPerSecond]
  return [place, flags, changes, running, waiting, sequence, Number(pace.toPrecision(DIGITS)), formatModels(models, context.soleModel(address)), bornAt === null ? null : bornAt.toString(RADIX), ...limit]
}

function formatModels (models: ReadonlyMap<string, number>, soleModel: string | null): unknown {
  if (models.size === 0) return 0
  const version = soleModel === null || models.size > 1 ? undefined : models.get(soleModel)
  return version ?? [...models]
}

/**
 * Parses news of a heartbeat.
 *
 * @param value - What the heartbeat carries.
 * @param context - The agent's machine and what is known of its engine.
 * @returns The news, or null when there is none, or it is unreadable.
 */
export function parseEngineNews (value: unknown, context: NewsContext): EngineNews | null {
  if (value === null || value === undefined) return null
  const parsed = newsSchema.safeParse(value)
  if (!parsed.success) return null
  const [place, flags, changesInMs, running, waiting, sequence, pace, told, born, limit] = parsed.data
  const address = typeof place === 'number' ? `${context.host}:${place}` : place
  const models = readModels(told, context.soleModel(address))
  if (models === null) return null
  const report = { bornAt: born === null ? null : parseInt(born, RADIX), running, waiting, isBusy: (flags & BUSY) > 0, sequence, pace, limitPerSecond: limit ?? null, models }
  return { address, isPaused: (flags & PAUSED) > 0, changesInMs, report }
}

/** Null while it is not known here which model a version is of. */
function readModels (told: number | Array<[string, number]>, soleModel: string | null): Map<string, number> | null {
  if (typeof told !== 'number') return new Map(told)
  if (told === 0) return new Map()
  return soleModel === null ? null : new Map([[soleModel, told]])
}
