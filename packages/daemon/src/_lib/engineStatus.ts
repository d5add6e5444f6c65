/** Engine status in the heartbeats of agents: compact encoding and decoding. */
import * as zod from 'zod'
import type * as gateway from '@switchridge/gateway'

/** Status of one engine. */
export interface EngineStatus {
  /** Address of the engine in the form IP:PORT. */
  readonly address: string
  readonly report: gateway.EngineReport
  /** Whether the engine must not get new calls for now. */
  readonly isPaused: boolean
  /** Milliseconds until the engine switches to another version; null if no switch is planned. */
  readonly changesInMs: number | null
  /** Milliseconds for which the engine stays cold; absent for a warm one. */
  readonly coldMs?: number
  /** Milliseconds until the engine, which may serve no call now, is expected to serve; absent if it serves or the time is unknown. */
  readonly readyInMs?: number
}

const PAUSED_FLAG = 1
const BUSY_FLAG = 2
/** A gateway of a build that doesn't know this flag drops the status, and then prefers engines whose status it can read. */
const LEAVING_FLAG = 4
const ALL_FLAGS = PAUSED_FLAG | BUSY_FLAG | LEAVING_FLAG
/** Start times of engines are sent in base 36 because they are long numbers. */
const START_TIME_RADIX = 36
/** An array instead of an object, because heartbeats are frequent: it takes a third of the bytes. */
const statusSchema = zod.tuple([
  /** Address of the engine, or only its port if it runs on the agent's host. */
  zod.union([zod.string(), zod.number()]),
  /** Sum of {@link PAUSED_FLAG}, {@link BUSY_FLAG} and {@link LEAVING_FLAG}, as far as they apply. */
  zod.number().int().min(0).max(ALL_FLAGS),
  /** Milliseconds until the engine switches to another version, or null. */
  zod.number().nullable(),
  /** Calls that run and calls that wait at the engine. */
  zod.number(),
  zod.number(),
  /** Number of orders that the engine has accepted since its start. */
  zod.number(),
  /** Slowdown relative to the service's figures. */
  zod.number(),
  /** Version of the service's only model, or 0 if none is loaded; otherwise pairs of model name and version. */
  zod.union([zod.number(), zod.array(zod.tuple([zod.string(), zod.number()]))]),
  /** Start time of the engine in Unix milliseconds, in base {@link START_TIME_RADIX}; null if unknown. */
  zod.string().regex(/^[0-9a-z]+$/).nullable(),
  /**
   * Fields that are sent only where they hold something, because a build that doesn't know one of them drops the status; one that is followed by others is
   * null where it is absent. Rate limit in requests per second that the engine advertises.
   */
  zod.number().positive().nullable().optional(),
  /** Milliseconds for which the engine stays cold. */
  zod.number().positive().nullable().optional(),
  /** Milliseconds until an engine that may serve no call now is expected to serve. */
  zod.number().min(0).nullable().optional()
])
/** Significant digits that are sent of measured values; they are not more accurate than that. */
const SIGNIFICANT_DIGITS = 4

/** What is needed to expand the abbreviated fields of a status. */
export interface EngineStatusContext {
  /** Host of the agent. */
  readonly host: string
  /** Returns the only model of the engine at an address; null if it may run several or if the engine is unknown. */
  readonly soleModel: (address: string) => string | null
}

/**
 * Encodes the status of an engine for a heartbeat.
 *
 * @param status - The status.
 * @param context - The agent's host and the models that it knows of.
 * @returns A value that can be serialised as JSON.
 */
export function encodeEngineStatus ({ address, report, isPaused, changesInMs, coldMs, readyInMs }: EngineStatus, context: EngineStatusContext): unknown {
  const { bornAt, running, waiting, isBusy, sequence, pace, limitPerSecond, models } = report
  const shortAddress = address.startsWith(`${context.host}:`) ? Number(address.slice(context.host.length + 1)) : address
  const flags = (isPaused ? PAUSED_FLAG : 0) | (isBusy ? BUSY_FLAG : 0) | (report.isLeaving ? LEAVING_FLAG : 0)
  const roundedChangesInMs = changesInMs === null ? null : Math.round(changesInMs)
  const optional = omitTrailingNulls([limitPerSecond, coldMs === undefined ? null : Math.ceil(coldMs), readyInMs === undefined ? null : Math.round(readyInMs)])
  return [shortAddress, flags, roundedChangesInMs, running, waiting, sequence, Number(pace.toPrecision(SIGNIFICANT_DIGITS)), formatModels(models, context.soleModel(address)), bornAt === null ? null : bornAt.toString(START_TIME_RADIX), ...optional]
}

function omitTrailingNulls (values: ReadonlyArray<number | null>): ReadonlyArray<number | null> {
  return values.slice(0, values.findLastIndex((value) => value !== null) + 1)
}

function formatModels (models: ReadonlyMap<string, number>, soleModel: string | null): unknown {
  if (models.size === 0) return 0
  const version = soleModel === null || models.size > 1 ? undefined : models.get(soleModel)
  return version ?? [...models]
}

/**
 * Decodes the status of an engine from a heartbeat.
 *
 * @param value - The value in the heartbeat.
 * @param context - The agent's host and the models that the receiver knows of.
 * @returns The status, or null if there is none or it cannot be decoded.
 */
export function decodeEngineStatus (value: unknown, context: EngineStatusContext): EngineStatus | null {
  if (value === null || value === undefined) return null
  const parsed = statusSchema.safeParse(value)
  if (!parsed.success) return null
  const [shortAddress, flags, changesInMs, running, waiting, sequence, pace, encodedModels, encodedStart, limit, coldMs, readyInMs] = parsed.data
  const address = typeof shortAddress === 'number' ? `${context.host}:${shortAddress}` : shortAddress
  const models = parseModels(encodedModels, context.soleModel(address))
  if (models === null) return null
  const report = { bornAt: encodedStart === null ? null : parseInt(encodedStart, START_TIME_RADIX), running, waiting, isBusy: (flags & BUSY_FLAG) > 0, sequence, pace, limitPerSecond: limit ?? null, isLeaving: (flags & LEAVING_FLAG) > 0, models }
  return { address, isPaused: (flags & PAUSED_FLAG) > 0, changesInMs, report, ...(typeof coldMs === 'number' ? { coldMs } : {}), ...(typeof readyInMs === 'number' ? { readyInMs } : {}) }
}

/** Decodes the models; null if only a version was sent and the receiver does not know which model it belongs to. */
function parseModels (encodedModels: number | Array<[string, number]>, soleModel: string | null): Map<string, number> | null {
  if (typeof encodedModels !== 'number') return new Map(encodedModels)
  if (encodedModels === 0) return new Map()
  return soleModel === null ? null : new Map([[soleModel, encodedModels]])
}
