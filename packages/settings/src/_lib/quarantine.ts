/** The schema of the limits of calls that end back ends. */
import * as zod from 'zod'

export const quarantineSchema = zod.strictObject({
  enabled: zod.boolean().default(true),
  ends: zod.int().min(2).default(3),
  evidence_seconds: zod.number().positive().default(600),
  block_seconds: zod.number().positive().default(600),
  block_maximum_seconds: zod.number().positive().default(86_400),
  maximum_ends: zod.int().min(1).default(500),
  maximum_blocks: zod.int().min(1).default(500)
}).prefault({})

/** Limits of calls that end back ends. */
export type QuarantineSettings = zod.infer<typeof quarantineSchema>

/** Names what is wrong with limits that are right each for itself. */
export function checkQuarantine (limits: QuarantineSettings, context: zod.RefinementCtx): void {
  if (limits.block_maximum_seconds >= limits.block_seconds) return
  context.addIssue({ code: 'custom', path: ['quarantine', 'block_maximum_seconds'], message: 'at least block_seconds' })
}
