import { Logger as StructuredLogger } from 'tslog'

/** Least severity that is written. */
export const LogLevel = { Error: 'error', Warn: 'warn', Info: 'info', Debug: 'debug' } as const
export type LogLevel = typeof LogLevel[keyof typeof LogLevel]

/** Facts of one log line; never keys, tokens or bodies. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

const LEVEL_NUMBERS: Record<LogLevel, number> = { debug: 2, info: 3, warn: 4, error: 5 }
const SECRET_NAME = /key$|token|secret|password|authorization/i
const SECRET_VALUE = /bearer\s+\S+/gi
const MASK = '[masked]'

/** Writes one JSON object a line. */
export class Logger {
  private constructor (private readonly target: StructuredLogger<unknown>, private readonly bound: LogFields) {}

  /** `write` receives each line; standard error by default. */
  static create (program: string, level: LogLevel, write: (line: string) => void = writeToStandardError): Logger {
    const target = new StructuredLogger<unknown>({ type: 'hidden', minLevel: LEVEL_NUMBERS[level], hideLogPositionForProduction: true })
    target.attachTransport((record) => write(formatRecord(program, record as unknown as TransportRecord)))
    return new Logger(target, {})
  }

  /** A logger that adds the same facts to each line. */
  with (fields: LogFields): Logger {
    return new Logger(this.target, { ...this.bound, ...fields })
  }

  debug (event: string, fields: LogFields = {}): void {
    this.target.debug({ event, ...this.bound, ...fields })
  }

  info (event: string, fields: LogFields = {}): void {
    this.target.info({ event, ...this.bound, ...fields })
  }

  warn (event: string, fields: LogFields = {}): void {
    this.target.warn({ event, ...this.bound, ...fields })
  }

  error (event: string, fields: LogFields = {}): void {
    this.target.error({ event, ...this.bound, ...fields })
  }
}

/** A logger that writes nothing, for tests and tools. */
export function silentLogger (): Logger {
  return Logger.create('silent', LogLevel.Error, () => {})
}

/** Masks values whose name or content says that they are secret. */
export function maskSecrets (fields: Readonly<Record<string, unknown>>): Record<string, unknown> {
  return Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, maskValue(name, value)]))
}

function maskValue (name: string, value: unknown): unknown {
  if (SECRET_NAME.test(name)) return MASK
  return typeof value === 'string' ? value.replace(SECRET_VALUE, MASK) : value
}

interface TransportRecord {
  readonly _meta: { readonly date: Date, readonly logLevelName: string }
  readonly [name: string]: unknown
}

function formatRecord (program: string, record: TransportRecord): string {
  const { _meta: meta, ...fields } = record
  const time = meta.date.toISOString()
  const level = meta.logLevelName.toLowerCase()
  return JSON.stringify({ time, level, program, process: process.pid, ...maskSecrets(fields) })
}

function writeToStandardError (line: string): void {
  process.stderr.write(`${line}\n`)
}
