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

const newsSchema = zod.z.object({
  address: zod.z.string(),
  isPaused: zod.z.boolean(),
  changesInMs: zod.z.number().nullable(),
  report: zod.z.object({
    running: zod.z.number(),
    waiting: zod.z.number(),
    usedTokens: zod.z.number(),
    totalTokens: zod.z.number(),
    isBusy: zod.z.boolean(),
    sequence: zod.z.number(),
    pace: zod.z.number(),
    models: zod.z.array(zod.z.tuple([zod.z.string(), zod.z.number()]))
  })
})

/** Formats news for a heartbeat. */
export function formatEngineNews (news: EngineNews): unknown {
  return { ...news, report: { ...news.report, models: [...news.report.models] } }
}

/**
 * Parses news of a heartbeat.
 *
 * @param value - What the heartbeat carries.
 * @returns The news, or null when there is none or it is unreadable.
 */
export function parseEngineNews (value: unknown): EngineNews | null {
  if (value === null || value === undefined) return null
  const parsed = newsSchema.safeParse(value)
  if (!parsed.success) return null
  return { ...parsed.data, report: { ...parsed.data.report, models: new Map(parsed.data.report.models) } }
}
