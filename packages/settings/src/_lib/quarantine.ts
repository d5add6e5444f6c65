/** Schema of the quarantine settings, which limit calls that crash back ends. */
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

/** Limits for blocking calls that are suspected of crashing back ends. */
export type QuarantineSettings = zod.infer<typeof quarantineSchema>

/** Reports limits that are valid separately but contradict each other. */
export function checkQuarantine (limits: QuarantineSettings, context: zod.RefinementCtx): void {
  if (limits.block_maximum_seconds >= limits.block_seconds) return
  context.addIssue({ code: 'custom', path: ['quarantine', 'block_maximum_seconds'], message: 'at least block_seconds' })
}
