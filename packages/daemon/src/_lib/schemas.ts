/** Schemas of the messages between daemons. */
import * as zod from 'zod'

const MAXIMUM_LIST = 10_000

const digest = zod.z.string().regex(/^[0-9a-f]{64}$/)
const name = zod.z.string().min(1).max(256)

const factsSchema = zod.z.object({
  node: name,
  role: zod.z.enum(['entry', 'backend']),
  dataHall: name,
  region: name,
  address: zod.z.object({ host: name, port: zod.z.int().min(1).max(65_535) }),
  incarnation: name,
  factsVersion: zod.z.int().min(0),
  state: zod.z.enum(['live', 'leaving']),
  service: name.nullable(),
  memoryBytes: zod.z.number().min(0),
  serving: zod.z.array(zod.z.object({ row: name, version: zod.z.string(), manifest: digest })).max(MAXIMUM_LIST),
  holding: zod.z.array(digest).max(MAXIMUM_LIST),
  waitingFor: zod.z.string().max(4096),
  revision: zod.z.int().min(0)
})

const loadSchema = zod.z.object({ running: zod.z.number(), waiting: zod.z.number(), limit: zod.z.number(), queue: zod.z.number() })

export const heartbeatSchema = zod.z.object({
  facts: factsSchema,
  load: loadSchema.nullable(),
  /** Life of the receiver to which `since` refers. */
  incarnation: zod.z.string().max(256),
  since: zod.z.int().min(0)
})

export const heartbeatAnswerSchema = zod.z.object({
  facts: factsSchema,
  counter: zod.z.int().min(0),
  claims: zod.z.array(zod.z.object({ facts: factsSchema, condition: zod.z.enum(['live', 'silent', 'gone']), leaving: zod.z.boolean() })).max(MAXIMUM_LIST)
})

export const announceSchema = zod.z.object({ digest, node: name, have: zod.z.string().max(65_536) })
export const providerSchema = zod.z.object({ digest, chunk: zod.z.int().min(0), successor: name.nullable() })
export const ticketSchema = zod.z.object({ ticket: name, incarnation: name })
export const hintSchema = zod.z.object({ node: name, load: loadSchema })
export const drillSchema = zod.z.object({ endpoints: zod.z.array(name).max(MAXIMUM_LIST) })
