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

const newsSchema = zod.object({
  address: zod.string(),
  isPaused: zod.boolean(),
  changesInMs: zod.number().nullable(),
  report: zod.object({
    running: zod.number(),
    waiting: zod.number(),
    usedTokens: zod.number(),
    totalTokens: zod.number(),
    isBusy: zod.boolean(),
    sequence: zod.number(),
    pace: zod.number(),
    models: zod.array(zod.tuple([zod.string(), zod.number()]))
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
