/** Structured logging on top of loglevel: one line of key=value pairs per event. */
import * as loglevel from 'loglevel'
import * as createLineWriter from '../createLineWriter/index.js'

export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'silent'
export type LogValue = string | number | boolean | null | undefined
export type LogFields = Readonly<Record<string, LogValue>>

/** Writes events with the fields given at creation on every line. */
export interface Logger {
  readonly debug: (event: string, fields?: LogFields) => void
  readonly info: (event: string, fields?: LogFields) => void
  readonly warn: (event: string, fields?: LogFields) => void
  readonly error: (event: string, fields?: LogFields) => void
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /** Lowest level that is written; `info` by default. */
  readonly level?: LogLevel
  /** Receives each formatted line; writes to standard error by default, within a bound of memory. */
  readonly write?: (line: string) => void
}

const NEEDS_QUOTES = /[\s="]/
/** Fields with such keys are written without their value. */
const SECRET_KEY = /key$|secret|token|password/i

/**
 * Creates a logger.
 *
 * @param name - Name of the logger, unique in the process.
 * @param fields - Fields added to every line, for example the node and its data hall.
 * @param options - Level and destination of the lines.
 * @returns The logger.
 * @example
 * createLogger('daemon', { node: 'node-1' }).info('started', { port: 7000 })
 * // time=2026-01-01T00:00:00.000Z level=info event=started node=node-1 port=7000
 */
export function createLogger (name: string, fields: LogFields = {}, options: LoggerOptions = {}): Logger {
  const write = options.write ?? createLineWriter.createLineWriter(process.stderr)
  const logger = loglevel.default.getLogger(name)
  logger.methodFactory = (method) => (event: string, eventFields: LogFields) => {
    write(formatLine(method, event, { ...fields, ...eventFields }))
  }
  logger.setLevel(options.level ?? 'info', false)
  return {
    debug: (event, eventFields = {}) => { logger.debug(event, eventFields) },
    info: (event, eventFields = {}) => { logger.info(event, eventFields) },
    warn: (event, eventFields = {}) => { logger.warn(event, eventFields) },
    error: (event, eventFields = {}) => { logger.error(event, eventFields) }
  }
}

function formatLine (level: string, event: string, fields: LogFields): string {
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${SECRET_KEY.test(key) ? '(hidden)' : formatValue(value)}`)
  return [`time=${new Date().toISOString()}`, `level=${level}`, `event=${event}`, ...pairs].join(' ')
}

function formatValue (value: LogValue): string {
  const text = String(value)
  return text === '' || NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text
}
