/** Schemas of the messages between daemons. */
import * as zod from 'zod'

const MAXIMUM_LIST_LENGTH = 10_000

const digest = zod.string().regex(/^[0-9a-f]{64}$/)
const name = zod.string().min(1).max(256)
/** Attempts carry it in a header. */
const incarnation = name.regex(/^[\x21-\x7e]+$/)
const host = zod.union([zod.ipv4(), zod.ipv6(), zod.hostname()])

const factsSchema = zod.object({
  node: name,
  role: zod.enum(['entry', 'backend']),
  dataHall: name,
  region: name,
  address: zod.object({ host, port: zod.int().min(1).max(65_535) }),
  incarnation,
  factsVersion: zod.int().min(0),
  state: zod.enum(['live', 'leaving']),
  service: name.nullable(),
  memoryBytes: zod.number().min(0),
  serving: zod.array(zod.object({ row: name, version: zod.string(), manifest: digest })).max(MAXIMUM_LIST_LENGTH),
  holding: zod.array(digest).max(MAXIMUM_LIST_LENGTH),
  waitingFor: zod.string().max(4096),
  revision: zod.int().min(0)
})

const loadSchema = zod.object({ running: zod.number(), waiting: zod.number(), limit: zod.number(), queue: zod.number() })

export const heartbeatSchema = zod.object({
  facts: factsSchema,
  load: loadSchema.nullable(),
  /** Incarnation of the receiver that `since` refers to. */
  incarnation: zod.string().max(256),
  /** Scope of the claims that the sender has received; earlier versions lack it. */
  scope: zod.string().max(256).optional(),
  since: zod.int().min(0)
})

export const heartbeatAnswerSchema = zod.object({
  facts: factsSchema,
  counter: zod.int().min(0),
  scope: zod.string().max(256).optional(),
  claims: zod.array(zod.object({ facts: factsSchema, condition: zod.enum(['live', 'silent', 'gone']), leaving: zod.boolean() })).max(MAXIMUM_LIST_LENGTH)
})

export const announceSchema = zod.object({ digest, node: name, have: zod.string().max(65_536) })
export const providerSchema = zod.object({ digest, chunk: zod.int().min(0), successor: name.nullable() })
export const ticketSchema = zod.object({ ticket: name, incarnation: name })
export const hintSchema = zod.object({ node: name, load: loadSchema })
export const drillSchema = zod.object({ endpoints: zod.array(name).max(MAXIMUM_LIST_LENGTH) })
export const factsMessageSchema = zod.object({ node: name, text: zod.string().max(65_536) })
