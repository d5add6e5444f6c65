/** Parses the settings of a gateway or an agent and reports all violations at once. */
import * as zod from 'zod'
import type * as types from '@switchridge/types'
import * as parseToml from '../_lib/parseToml.js'
import * as quarantine from '../_lib/quarantine.js'

const MAXIMUM_PORT = 65_535
const address = zod.string().regex(/^[^:]+:[1-9]\d*$/, 'an address of the form IP:PORT').refine((text) => Number(text.slice(text.indexOf(':') + 1)) <= MAXIMUM_PORT, 'an address with a port from 1 to 65535')
const milliseconds = zod.number().positive()

const fleetSettingsSchema = zod.strictObject({
  role: zod.enum(['gateway', 'agent']),
  node: zod.string().min(1),
  zone: zod.string().min(1),
  region: zod.string().min(1),
  zones: zod.array(zod.string().min(1)).default([]),
  regions: zod.record(zod.string().min(1), zod.string().min(1)).default({}),
  host: zod.union([zod.ipv4(), zod.ipv6()]),
  deployment: zod.string().min(1).default('fleet'),
  seeds: zod.array(address).default([]),
  internal_port: zod.int().min(1).max(MAXIMUM_PORT),
  listen: zod.strictObject({
    callers: address.optional(),
    readiness: address.optional(),
    control: address.optional()
  }).prefault({}),
  store: zod.strictObject({
    address,
    timeout_ms: milliseconds.default(1200),
    watch_ms: milliseconds.optional()
  }),
  engine: zod.strictObject({
    address: address.optional(),
    service: zod.string().optional()
  }).prefault({}),
  limits: zod.strictObject({
    link_megabits_per_second: zod.number().positive().default(1000),
    grace_seconds: zod.number().positive().default(8),
    memory_megabytes: zod.number().positive().default(128),
    held_share: zod.number().min(0).max(1).default(0.2)
  }).prefault({}),
  bounds: zod.strictObject({
    evacuation_ms: milliseconds.optional(),
    version_ms: milliseconds.default(8000),
    contact_ms: milliseconds.default(3000),
    configuration_ms: milliseconds.default(2000),
    retry_ratio: zod.number().min(0).default(0.2),
    retry_slack: zod.number().min(0).default(20),
    retry_window_seconds: zod.number().positive().default(10),
    cold_overage: zod.number().min(1).default(1.5),
    cold_slack: zod.number().min(0).default(5)
  }).prefault({}),
  quarantine: quarantine.quarantineSchema,
  placement: zod.strictObject({
    confirm_slots: zod.boolean().default(false)
  }).prefault({}),
  waiting: zod.strictObject({
    maximum_calls: zod.int().min(0).default(0),
    maximum_bytes: zod.int().min(0).default(8_000_000)
  }).prefault({}),
  logs: zod.strictObject({
    level: zod.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info')
  }).prefault({}),
  metrics: zod.strictObject({ port: zod.int().min(0).max(MAXIMUM_PORT).default(0) }).prefault({}),
  security: zod.strictObject({ shared_key: zod.string().min(16).optional() }).prefault({})
}).superRefine((settings, context) => {
  if (settings.role === 'gateway' && settings.listen.callers === undefined) {
    context.addIssue({ code: 'custom', path: ['listen', 'callers'], message: 'an address for callers, since role is "gateway"' })
  }
  quarantine.checkQuarantine(settings.quarantine, context)
  if (settings.role === 'agent' && settings.engine.address === undefined) {
    context.addIssue({ code: 'custom', path: ['engine', 'address'], message: 'the address of the engine, since role is "agent"' })
  }
})

/** Validated settings of a gateway or an agent. */
export type FleetSettings = zod.infer<typeof fleetSettingsSchema>

/**
 * Parses and validates the text of a settings file.
 *
 * @param text - The file's content in TOML.
 * @param file - File name for error messages.
 * @returns The settings, or an error with file, key, value and what is allowed.
 * @example
 * const outcome = parseFleetSettings(fs.readFileSync('gateway.toml', 'utf8'), 'gateway.toml')
 */
export function parseFleetSettings (text: string, file: string): types.Outcome<FleetSettings, types.InvalidInputError> {
  return parseToml.parseToml(text, file, fleetSettingsSchema)
}

/**
 * Tells by the role whether settings belong to a gateway or an agent.
 *
 * @param text - The file's content in TOML.
 * @returns True for these roles; false for all others and for text that is not TOML.
 */
export function isFleetSettings (text: string): boolean {
  const role = parseToml.readTopLevelKey(text, 'role')
  return role === 'gateway' || role === 'agent'
}
