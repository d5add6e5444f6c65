/** Schemas of the table's rows; numbers are also accepted as text, as a spreadsheet provides them. */
import * as zod from 'zod'
import * as placement from '@switchridge/placement'

const NAME = /^[\w][\w.-]{0,127}$/
const DIGEST = /^[0-9a-f]{64}$/
const MAXIMUM_CELL_LENGTH = 1024

const name = zod.string().regex(NAME, 'letters, digits, "_", "." and "-", 128 at most')
const digest = zod.string().regex(DIGEST, '64 lower-case hexadecimal digits')
const wholeNumber = (minimum: number, maximum: number) => zod.coerce.number(`a number from ${minimum} to ${maximum}`)
  .pipe(zod.int(`a whole number from ${minimum} to ${maximum}`).min(minimum, `at least ${minimum}`).max(maximum, `at most ${maximum}`))
const text = zod.string().max(MAXIMUM_CELL_LENGTH)
const emptyAsNull = (value: unknown): unknown => value === '' ? null : value

const targets = text.superRefine((cell, context) => {
  const parsed = placement.parseTargets(cell)
  if (!parsed.ok) context.addIssue({ code: 'custom', message: parsed.error.problems[0]?.allowed ?? 'targets' })
})

export const modelSchema = zod.strictObject({
  id: name,
  kind: zod.enum(['model', 'adapter', 'version']).default('model'),
  base: zod.preprocess(emptyAsNull, name.nullable().default(null)),
  service: name,
  version: text.min(1),
  source: text.min(1),
  manifest: digest,
  bytes: wholeNumber(1, Number.MAX_SAFE_INTEGER),
  targets: targets.default('all'),
  priority: wholeNumber(-1000, 1000).default(0),
  originCopies: wholeNumber(1, 1000).default(1),
  originBytesPerSecond: wholeNumber(1, Number.MAX_SAFE_INTEGER),
  favour: zod.enum(['time', 'origin-bytes']).default('time'),
  minimumServing: wholeNumber(0, 100_000).default(0)
})

export const serviceSchema = zod.strictObject({
  id: name,
  kind: zod.enum(['engine', 'plain']),
  concurrency: wholeNumber(1, 10_000).default(8),
  queue: wholeNumber(0, 10_000).default(16),
  deadlineMs: wholeNumber(1, 3_600_000).default(30_000),
  repeatable: zod.enum(['all', 'reads', 'none']).default('reads'),
  retryBudget: zod.coerce.number('a number from 0 to 1').min(0).max(1).default(0.08)
})

export const accountSchema = zod.strictObject({
  id: name,
  keyDigest: digest,
  share: zod.coerce.number('a number above 0').positive().max(1000).default(1),
  callsPerSecond: wholeNumber(0, 1_000_000).default(0),
  priority: zod.enum(['interactive', 'batch']).default('interactive')
})

export const nodeSchema = zod.strictObject({
  id: name,
  state: zod.enum(['serving', 'leaving']).default('serving')
})

const cellValue = zod.union([zod.string(), zod.number(), zod.null()])

export const auditEntrySchema = zod.object({
  revision: zod.int().min(1),
  editId: zod.string().min(1),
  editor: zod.string(),
  at: zod.string(),
  changes: zod.array(zod.object({
    section: zod.enum(['models', 'services', 'accounts', 'nodes']),
    row: zod.string(),
    column: zod.string(),
    before: cellValue,
    after: cellValue
  }))
})

export const ROW_SCHEMAS = { models: modelSchema, services: serviceSchema, accounts: accountSchema, nodes: nodeSchema } as const

export const tableSchema = zod.object({
  revision: zod.int().min(0),
  lastEdit: auditEntrySchema.nullable(),
  models: zod.array(zod.unknown()),
  services: zod.array(zod.unknown()),
  accounts: zod.array(zod.unknown()),
  nodes: zod.array(zod.unknown())
})
