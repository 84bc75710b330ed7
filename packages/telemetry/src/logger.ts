import { Logger as StructuredLogger } from 'tslog'

/** Minimum severity of the lines that are written. */
export const LogLevel = { Error: 'error', Warn: 'warn', Info: 'info', Debug: 'debug' } as const
export type LogLevel = typeof LogLevel[keyof typeof LogLevel]

/** Fields of a log line. Must not contain keys, tokens or request bodies. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

const LEVEL_NUMBERS: Record<LogLevel, number> = { debug: 2, info: 3, warn: 4, error: 5 }
const SECRET_FIELD_NAME = /key$|token|secret|password|authorization/i
const SECRET_VALUE = /bearer\s+\S+/gi
const MASK = '[masked]'
/** Whether a field's value is masked, by the field's name. Names are constants of the code, so there are few. */
const secretNames = new Map<string, boolean>()

/** Structured logger that writes one JSON object per line. */
export class Logger {
  private constructor (private readonly target: StructuredLogger<unknown>, private readonly boundFields: LogFields) {}

  /** `write` receives each line without its newline; the default writes to standard error. */
  static create (program: string, level: LogLevel, write: (line: string) => void = writeToStandardError): Logger {
    const target = new StructuredLogger<unknown>({
      type: 'hidden',
      minLevel: LEVEL_NUMBERS[level],
      hideLogPositionForProduction: true,
      maskValuesOfKeys: [],
      // The fields of a line are flat and are masked below, so the recursive copy that the library makes of them is not needed.
      overwrite: {
        toLogObj: ([fields]) => fields as object,
        addMeta: (fields, _, logLevelName) => ({ ...fields as object, _meta: { date: new Date(), logLevelName } } as never)
      }
    })
    target.attachTransport((record) => write(formatRecord(program, record as unknown as TransportRecord)))
    return new Logger(target, {})
  }

  /** Returns a logger that adds the given fields to each line. */
  with (fields: LogFields): Logger {
    return new Logger(this.target, { ...this.boundFields, ...fields })
  }

  debug (event: string, fields: LogFields = {}): void {
    this.target.debug({ event, ...this.boundFields, ...fields })
  }

  info (event: string, fields: LogFields = {}): void {
    this.target.info({ event, ...this.boundFields, ...fields })
  }

  warn (event: string, fields: LogFields = {}): void {
    this.target.warn({ event, ...this.boundFields, ...fields })
  }

  error (event: string, fields: LogFields = {}): void {
    this.target.error({ event, ...this.boundFields, ...fields })
  }
}

/** Returns a logger that discards every line, for tests and tools. */
export function silentLogger (): Logger {
  return Logger.create('silent', LogLevel.Error, () => {})
}

/** Masks fields whose name denotes a secret, and bearer tokens inside string values. */
export function maskSecrets (fields: Readonly<Record<string, unknown>>): Record<string, unknown> {
  return Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, maskValue(name, value)]))
}

function maskValue (name: string, value: unknown): unknown {
  if (isSecretName(name)) return MASK
  return typeof value === 'string' ? value.replace(SECRET_VALUE, MASK) : value
}

function isSecretName (name: string): boolean {
  const known = secretNames.get(name)
  if (known !== undefined) return known
  const isSecret = SECRET_FIELD_NAME.test(name)
  secretNames.set(name, isSecret)
  return isSecret
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
