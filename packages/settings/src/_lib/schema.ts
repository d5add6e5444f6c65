/** The schema of the daemon's settings file. */
import * as zod from 'zod'

const DEFAULT_CHUNK_MEMORY_BYTES = 1024 * 1024 * 1024
const DEFAULT_STATSD_PORT = 8125

const port = zod.z.int().min(0).max(65_535)
const url = zod.z.url({ protocol: /^https?$/ })

const tls = zod.z.strictObject({
  certificate_file: zod.z.string().min(1),
  private_key_file: zod.z.string().min(1),
  authority_file: zod.z.string().min(1)
})

const backEnd = zod.z.strictObject({
  service: zod.z.string().min(1),
  kind: zod.z.enum(['engine', 'plain']),
  url,
  checks_fences: zod.z.boolean().default(true),
  memory_bytes: zod.z.int().positive().default(16 * DEFAULT_CHUNK_MEMORY_BYTES)
})

/** Shape of a settings file after parsing. */
export const settingsSchema = zod.z.strictObject({
  role: zod.z.enum(['entry', 'backend']),
  deployment: zod.z.string().min(1),
  node: zod.z.string().min(1),
  data_hall: zod.z.string().min(1),
  region: zod.z.string().min(1),
  listen: zod.z.strictObject({
    host: zod.z.union([zod.z.ipv4(), zod.z.ipv6()]),
    port,
    caller_port: port.optional()
  }),
  entry_nodes: zod.z.array(zod.z.string().regex(/^[^:]+:\d+$|^\[[^\]]+\]:\d+$/)).default([]),
  platform: zod.z.strictObject({
    url,
    timeout_ms: zod.z.int().min(10).max(60_000).default(2000),
    key: zod.z.string().optional()
  }),
  origin: zod.z.strictObject({ url }),
  back_end: backEnd.optional(),
  limits: zod.z.strictObject({
    link_bytes_per_second: zod.z.int().min(0).default(0),
    chunk_memory_bytes: zod.z.int().positive().default(DEFAULT_CHUNK_MEMORY_BYTES),
    requests_in_flight: zod.z.int().min(1).max(256).default(16),
    upload_slots: zod.z.int().min(1).max(256).default(12),
    drain_seconds: zod.z.int().min(0).max(86_400).default(600)
  }).prefault({}),
  logs: zod.z.strictObject({
    level: zod.z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info')
  }).prefault({}),
  metrics: zod.z.strictObject({
    enabled: zod.z.boolean().default(false),
    host: zod.z.string().default('127.0.0.1'),
    port: port.default(DEFAULT_STATSD_PORT)
  }).prefault({}),
  experiments: zod.z.strictObject({
    drills: zod.z.boolean().default(false),
    transfer_policy: zod.z.enum(['swarm', 'random-chunk', 'chain', 'tree', 'origin']).default('swarm'),
    pick_backend: zod.z.enum(['late-binding', 'least-loaded', 'two-choices', 'least-stated', 'random']).default('late-binding')
  }).prefault({}),
  security: zod.z.strictObject({
    shared_key: zod.z.string().min(16).optional(),
    tls: tls.optional()
  }).prefault({})
}).superRefine((settings, context) => {
  if (settings.role === 'backend' && settings.back_end === undefined) {
    context.addIssue({ code: 'custom', path: ['back_end'], message: 'a table [back_end], since role is "backend"' })
  }
  if (settings.role === 'entry' && settings.listen.caller_port === undefined) {
    context.addIssue({ code: 'custom', path: ['listen', 'caller_port'], message: 'a port for callers, since role is "entry"' })
  }
})

/** Checked settings of a daemon. */
export type Settings = zod.z.infer<typeof settingsSchema>
