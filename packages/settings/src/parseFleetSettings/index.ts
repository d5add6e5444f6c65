/** Reads the settings of a gateway or an agent and reports every mistake at once. */
import * as zod from 'zod'
import type * as types from '@switchridge/types'
import * as parseToml from '../_lib/parseToml.js'

const address = zod.z.string().regex(/^[^:]+:\d+$/, 'an address of the form IP:PORT')
const milliseconds = zod.z.number().positive()

const fleetSettingsSchema = zod.z.strictObject({
  role: zod.z.enum(['gateway', 'agent']),
  node: zod.z.string().min(1),
  zone: zod.z.string().min(1),
  region: zod.z.string().min(1),
  host: zod.z.union([zod.z.ipv4(), zod.z.ipv6()]),
  deployment: zod.z.string().min(1).default('fleet'),
  seeds: zod.z.array(address).default([]),
  internal_port: zod.z.int().min(1).max(65_535),
  listen: zod.z.strictObject({
    callers: address.optional(),
    readiness: address.optional(),
    control: address.optional()
  }).prefault({}),
  store: zod.z.strictObject({
    address,
    timeout_ms: milliseconds.default(1200),
    watch_ms: milliseconds.default(4000)
  }),
  engine: zod.z.strictObject({
    address: address.optional(),
    service: zod.z.string().optional()
  }).prefault({}),
  limits: zod.z.strictObject({
    link_megabits_per_second: zod.z.number().positive().default(1000),
    grace_seconds: zod.z.number().positive().default(8)
  }).prefault({}),
  bounds: zod.z.strictObject({
    drain_ms: milliseconds.default(2000),
    configuration_ms: milliseconds.default(2000),
    version_ms: milliseconds.default(8000),
    retry_ratio: zod.z.number().min(0).default(0.2),
    retry_slack: zod.z.number().min(0).default(20),
    retry_window_seconds: zod.z.number().positive().default(10)
  }).prefault({}),
  logs: zod.z.strictObject({
    level: zod.z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info')
  }).prefault({}),
  metrics: zod.z.strictObject({ port: zod.z.int().min(0).max(65_535).default(0) }).prefault({}),
  security: zod.z.strictObject({ shared_key: zod.z.string().min(16).optional() }).prefault({})
}).superRefine((settings, context) => {
  if (settings.role === 'gateway' && settings.listen.callers === undefined) {
    context.addIssue({ code: 'custom', path: ['listen', 'callers'], message: 'an address for callers, since role is "gateway"' })
  }
  if (settings.role === 'agent' && settings.engine.address === undefined) {
    context.addIssue({ code: 'custom', path: ['engine', 'address'], message: 'the address of the engine, since role is "agent"' })
  }
})

/** Checked settings of a gateway or an agent. */
export type FleetSettings = zod.z.infer<typeof fleetSettingsSchema>

/**
 * Parses and checks the text of a settings file.
 *
 * @param text - The file's content in TOML.
 * @param file - Its name, for messages.
 * @returns The settings, or an error that names file, key, value and what is allowed.
 * @example
 * const outcome = parseFleetSettings(fs.readFileSync('gateway.toml', 'utf8'), 'gateway.toml')
 */
export function parseFleetSettings (text: string, file: string): types.Outcome<FleetSettings, types.InvalidInputError> {
  return parseToml.parseChecked(text, file, fleetSettingsSchema)
}

/**
 * Tells whether settings are of a gateway or an agent, by their role.
 *
 * @param text - The file's content in TOML.
 * @returns True for those roles; false for all others and for text that is no TOML.
 */
export function isFleetSettings (text: string): boolean {
  const role = parseToml.readKey(text, 'role')
  return role === 'gateway' || role === 'agent'
}
