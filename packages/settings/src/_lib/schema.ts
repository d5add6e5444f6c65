/** Schema of the settings file of an entry node or a backend server's node. */
import * as zod from 'zod'
import * as quarantine from './quarantine.js'

const DEFAULT_CHUNK_MEMORY_BYTES = 1024 * 1024 * 1024
const DEFAULT_STATSD_PORT = 8125

const port = zod.int().min(0).max(65_535)
const url = zod.url({ protocol: /^https?$/ })

const tls = zod.strictObject({
  certificate_file: zod.string().min(1),
  private_key_file: zod.string().min(1),
  authority_file: zod.string().min(1)
})

const backEnd = zod.strictObject({
  service: zod.string().min(1),
  kind: zod.enum(['engine', 'plain']),
  url,
  checks_fences: zod.boolean().default(true),
  memory_bytes: zod.int().positive().default(16 * DEFAULT_CHUNK_MEMORY_BYTES)
})

/** Schema of a parsed settings file. */
export const settingsSchema = zod.strictObject({
  role: zod.enum(['entry', 'backend']),
  deployment: zod.string().min(1),
  node: zod.string().min(1),
  data_hall: zod.string().min(1),
  region: zod.string().min(1),
  listen: zod.strictObject({
    host: zod.union([zod.ipv4(), zod.ipv6()]),
    port,
    caller_port: port.optional()
  }),
  entry_nodes: zod.array(zod.string().regex(/^[^:]+:\d+$|^\[[^\]]+\]:\d+$/)).default([]),
  platform: zod.strictObject({
    url,
    timeout_ms: zod.int().min(10).max(60_000).default(2000),
    key: zod.string().optional()
  }),
  origin: zod.strictObject({ url }),
  back_end: backEnd.optional(),
  limits: zod.strictObject({
    link_bytes_per_second: zod.int().min(0).default(0),
    chunk_memory_bytes: zod.int().positive().default(DEFAULT_CHUNK_MEMORY_BYTES),
    requests_in_flight: zod.int().min(1).max(256).default(16),
    upload_slots: zod.int().min(1).max(256).default(12),
    drain_seconds: zod.int().min(0).max(86_400).default(600)
  }).prefault({}),
  quarantine: quarantine.quarantineSchema,
  logs: zod.strictObject({
    level: zod.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info')
  }).prefault({}),
  metrics: zod.strictObject({
    enabled: zod.boolean().default(false),
    host: zod.string().default('127.0.0.1'),
    port: port.default(DEFAULT_STATSD_PORT)
  }).prefault({}),
  experiments: zod.strictObject({
    drills: zod.boolean().default(false),
    transfer_policy: zod.enum(['swarm', 'random-chunk', 'chain', 'tree', 'origin']).default('swarm'),
    pick_backend: zod.enum(['late-binding', 'least-loaded', 'two-choices', 'least-stated', 'random']).default('late-binding')
  }).prefault({}),
  security: zod.strictObject({
    shared_key: zod.string().min(16).optional(),
    tls: tls.optional()
  }).prefault({})
}).superRefine((settings, context) => {
  quarantine.checkQuarantine(settings.quarantine, context)
  if (settings.role === 'backend' && settings.back_end === undefined) {
    context.addIssue({ code: 'custom', path: ['back_end'], message: 'a table [back_end], since role is "backend"' })
  }
  if (settings.role === 'entry' && settings.listen.caller_port === undefined) {
    context.addIssue({ code: 'custom', path: ['listen', 'caller_port'], message: 'a port for callers, since role is "entry"' })
  }
})

/** Validated settings of the daemon on an entry node or a backend server's node. */
export type Settings = zod.infer<typeof settingsSchema>
