/** Schemas of the table's rows; numbers may come as text from a spreadsheet. */
import * as zod from 'zod'
import * as placement from '@switchridge/placement'

const NAME = /^[\w][\w.-]{0,127}$/
const DIGEST = /^[0-9a-f]{64}$/
const MAXIMUM_CELL_LENGTH = 1024

const name = zod.z.string().regex(NAME, 'letters, digits, "_", "." and "-", 128 at most')
const digest = zod.z.string().regex(DIGEST, '64 lower-case hexadecimal digits')
const whole = (minimum: number, maximum: number) => zod.z.coerce.number(`a number from ${minimum} to ${maximum}`)
  .pipe(zod.z.int(`a whole number from ${minimum} to ${maximum}`).min(minimum, `at least ${minimum}`).max(maximum, `at most ${maximum}`))
const text = zod.z.string().max(MAXIMUM_CELL_LENGTH)
const emptyAsNull = (value: unknown): unknown => value === '' ? null : value

const targets = text.superRefine((cell, context) => {
  const parsed = placement.parseTargets(cell)
  if (!parsed.ok) context.addIssue({ code: 'custom', message: parsed.error.problems[0]?.allowed ?? 'targets' })
})

export const modelSchema = zod.z.strictObject({
  id: name,
  kind: zod.z.enum(['model', 'adapter', 'version']).default('model'),
  base: zod.z.preprocess(emptyAsNull, name.nullable().default(null)),
  service: name,
  version: text.min(1),
  source: text.min(1),
  manifest: digest,
  bytes: whole(1, Number.MAX_SAFE_INTEGER),
  targets: targets.default('all'),
  priority: whole(-1000, 1000).default(0),
  originCopies: whole(1, 1000).default(1),
  originBytesPerSecond: whole(1, Number.MAX_SAFE_INTEGER),
  favour: zod.z.enum(['time', 'origin-bytes']).default('time'),
  minimumServing: whole(0, 100_000).default(0)
})

export const serviceSchema = zod.z.strictObject({
  id: name,
  kind: zod.z.enum(['engine', 'plain']),
  concurrency: whole(1, 10_000).default(8),
  queue: whole(0, 10_000).default(16),
  deadlineMs: whole(1, 3_600_000).default(30_000),
  repeatable: zod.z.enum(['all', 'reads', 'none']).default('reads'),
  retryBudget: zod.z.coerce.number('a number from 0 to 1').min(0).max(1).default(0.08)
})

export const accountSchema = zod.z.strictObject({
  id: name,
  keyDigest: digest,
  share: zod.z.coerce.number('a number above 0').positive().max(1000).default(1),
  callsPerSecond: whole(0, 1_000_000).default(0),
  priority: zod.z.enum(['interactive', 'batch']).default('interactive')
})

export const nodeSchema = zod.z.strictObject({
  id: name,
  state: zod.z.enum(['serving', 'leaving']).default('serving')
})

const cellValue = zod.z.union([zod.z.string(), zod.z.number(), zod.z.null()])

export const auditEntrySchema = zod.z.object({
  revision: zod.z.int().min(1),
  editId: zod.z.string().min(1),
  editor: zod.z.string(),
  at: zod.z.string(),
  changes: zod.z.array(zod.z.object({
    section: zod.z.enum(['models', 'services', 'accounts', 'nodes']),
    row: zod.z.string(),
    column: zod.z.string(),
    before: cellValue,
    after: cellValue
  }))
})

export const ROW_SCHEMAS = { models: modelSchema, services: serviceSchema, accounts: accountSchema, nodes: nodeSchema } as const

export const tableSchema = zod.z.object({
  revision: zod.z.int().min(0),
  lastEdit: auditEntrySchema.nullable(),
  models: zod.z.array(zod.z.unknown()),
  services: zod.z.array(zod.z.unknown()),
  accounts: zod.z.array(zod.z.unknown()),
  nodes: zod.z.array(zod.z.unknown())
})
