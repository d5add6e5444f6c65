/** One line of key=value pairs for each event, through loglevel. */
import * as loglevel from 'loglevel'

export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'silent'
export type LogValue = string | number | boolean | null | undefined
export type LogFields = Readonly<Record<string, LogValue>>

/** Writes events; the fields given at creation stand on every line. */
export interface Logger {
  readonly debug: (event: string, fields?: LogFields) => void
  readonly info: (event: string, fields?: LogFields) => void
  readonly warn: (event: string, fields?: LogFields) => void
  readonly error: (event: string, fields?: LogFields) => void
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  readonly level?: LogLevel
  /** Receives each finished line; standard error by default. */
  readonly write?: (line: string) => void
}

const NEEDS_QUOTES = /[\s="]/
const SECRET_KEY = /key$|secret|token|password/i

/**
 * Creates a logger.
 *
 * @param name - Name of the logger, unique in the process.
 * @param fields - Fields of every line, for example the node and its data hall.
 * @param options - Level and where lines go.
 * @returns The logger.
 * @example
 * createLogger('daemon', { node: 'cluj-1' }).info('started', { port: 7000 })
 * // time=2026-01-01T00:00:00.000Z level=info event=started node=cluj-1 port=7000
 */
export function createLogger (name: string, fields: LogFields = {}, options: LoggerOptions = {}): Logger {
  const write = options.write ?? ((line: string) => { process.stderr.write(line + '\n') })
  const backend = loglevel.default.getLogger(name)
  backend.methodFactory = (method) => (event: string, eventFields: LogFields) => {
    write(formatLine(method, event, { ...fields, ...eventFields }))
  }
  backend.setLevel(options.level ?? 'info', false)
  return {
    debug: (event, eventFields = {}) => { backend.debug(event, eventFields) },
    info: (event, eventFields = {}) => { backend.info(event, eventFields) },
    warn: (event, eventFields = {}) => { backend.warn(event, eventFields) },
    error: (event, eventFields = {}) => { backend.error(event, eventFields) }
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
