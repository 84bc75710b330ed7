import { readFile } from 'node:fs/promises'
import { parseDesiredState, type DesiredState } from '@hickoryspoke/configuration/desired-state'
import { ExitCode } from '@hickoryspoke/configuration/program'
import { FileNotReadable, readSettingsFile, securitySchema } from '@hickoryspoke/configuration/settings-file'
import { InnerCredentials, isLoopback, type InnerSecurity } from '@hickoryspoke/protocol/inner-credentials'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { describeError, type Failure, formatIssue, InvalidInput } from '@hickoryspoke/runtime/failure'
import { Err, Ok, type Result } from 'ts-results-es'
import * as z from 'zod'
import { ControlClient } from './control-client.ts'
import type { ControlFailure } from './control-failure.ts'

const ADDRESS = /^\S+:\d+$/

const operatorSettingsSchema = z.strictObject({
  control: z.array(z.string().regex(ADDRESS, 'HOST:PORT')).min(1).optional(),
  token_file: z.string().optional(),
  security: securitySchema.optional()
})

/** Output, environment variables, clock and abort signal of a command. */
export interface OperatorTerminal {
  readonly print: (line: string) => void
  readonly printError: (line: string) => void
  readonly environment: Readonly<Record<string, string | undefined>>
  readonly clock: Clock
  /** Aborted when the operator interrupts the command. */
  readonly signal: AbortSignal
}

/** Options common to all commands. `timeout` is in seconds. */
export interface CommonOptions {
  readonly control: string | undefined
  readonly tokenFile: string | undefined
  readonly settings: string | undefined
  readonly timeout: number
  readonly json: boolean
}

/** Terminal and options of a running command, with helpers for output, files and access to control. */
export class OperatorContext {
  private constructor (readonly terminal: OperatorTerminal, readonly options: CommonOptions) {}

  static create (terminal: OperatorTerminal, options: CommonOptions): OperatorContext {
    return new OperatorContext(terminal, options)
  }

  /** Prints the document as JSON with `--json`, otherwise the lines. */
  show (document: unknown, lines: readonly string[]): void {
    if (this.options.json) this.terminal.print(JSON.stringify(document))
    else for (const line of lines) this.terminal.print(line)
  }

  /** Prints a failure and returns its exit code. */
  fail (failure: Failure): ExitCode {
    const issues = failure instanceof InvalidInput ? failure.issues : []
    if (this.options.json) this.terminal.print(JSON.stringify({ error: failure.message, code: failure.code, issues }))
    const lines = issues.length > 0 ? issues.map(formatIssue) : [failure.message]
    for (const line of lines) this.terminal.printError(line)
    return EXIT_CODE_BY_FAILURE[failure.code] ?? ExitCode.Failed
  }

  /** Reads and validates a desired-state file. */
  async readState (file: string): Promise<Result<{ readonly text: string, readonly state: DesiredState }, InvalidInput | FileNotReadable>> {
    const text = await readText(file)
    if (text.isErr()) return text
    return parseDesiredState(text.value).map((state) => ({ text: text.value, state }))
  }

  /** Runs a command with a control client, which is closed afterwards. */
  async withClient (command: (client: ControlClient) => Promise<ExitCode>): Promise<ExitCode> {
    const client = await this.connect()
    if (client.isErr()) return this.fail(client.error)
    const exitCode = await command(client.value)
    client.value.close()
    return exitCode
  }

  /** Returns the value, or prints the failure and returns its exit code. */
  unwrap<Value> (result: Result<Value, ControlFailure>): Result<Value, ExitCode> {
    return result.isOk() ? Ok(result.value) : Err(this.fail(result.error))
  }

  /** Validates the settings file without running a command. */
  async checkSettings (): Promise<ExitCode> {
    const { settings } = this.options
    const read = settings === undefined ? Err(InvalidInput.create([missingOption('settings')])) : await readSettingsFile(settings, operatorSettingsSchema)
    if (read.isErr()) return this.fail(read.error)
    this.show({ settings, valid: true }, [`${settings ?? ''}: settings are valid`])
    return ExitCode.Done
  }

  private async connect (): Promise<Result<ControlClient, Failure>> {
    const { options, terminal } = this
    const settings = options.settings === undefined ? Ok({}) : await readSettingsFile(options.settings, operatorSettingsSchema)
    if (settings.isErr()) return settings
    const fileSettings: z.output<typeof operatorSettingsSchema> = settings.value
    const addresses = options.control?.split(',').map((address) => address.trim()) ?? fileSettings.control ?? []
    const issues = addresses.length === 0 ? [missingOption('control')] : addresses.filter((address) => !ADDRESS.test(address)).map(() => missingOption('control'))
    if (!(options.timeout > 0)) issues.push({ code: 'invalid_timeout', path: ['timeout'], message: 'a number of seconds above 0' })
    const token = await this.readToken(fileSettings.token_file)
    if (token.isErr()) return token
    if (token.value === '') issues.push(missingOption('token-file'))
    const security = resolveSecurity(fileSettings.security, addresses)
    if (security === undefined) issues.push({ code: 'insecure', path: ['security'], message: 'control addresses other than loopback require [security] in the settings file' })
    if (issues.length > 0 || security === undefined) return Err(InvalidInput.create(issues))
    const credentials = InnerCredentials.create(security).forChannel()
    const timeoutMilliseconds = options.timeout * 1000
    return Ok(ControlClient.create({ addresses, token: token.value, credentials, timeoutMilliseconds, clock: terminal.clock }))
  }

  private async readToken (settingsTokenFile: string | undefined): Promise<Result<string, FileNotReadable>> {
    const file = this.options.tokenFile ?? settingsTokenFile
    if (file === undefined) return Ok(this.terminal.environment['HICKORYSPOKE_TOKEN'] ?? '')
    return (await readText(file)).map((text) => text.trim())
  }
}

const EXIT_CODE_BY_FAILURE: Readonly<Record<string, ExitCode>> = {
  invalid_input: ExitCode.BadInput,
  command_missing: ExitCode.BadInput,
  file_not_readable: ExitCode.BadInput,
  control_unreachable: ExitCode.NotConfirmed
}

function missingOption (option: string): { code: string, path: string[], message: string } {
  return { code: 'missing', path: [option], message: 'required as an option, in the environment or in the settings file' }
}

function resolveSecurity (configured: z.output<typeof securitySchema> | undefined, addresses: readonly string[]): InnerSecurity | undefined {
  if (configured?.kind === 'mutual_tls') {
    const files = { certificateFile: configured.certificate_file, keyFile: configured.key_file, authorityFile: configured.authority_file }
    return { kind: 'mutual_tls', files }
  }
  return addresses.every((address) => isLoopback(address) || address.startsWith('localhost:')) ? { kind: 'plain_text' } : undefined
}

async function readText (file: string): Promise<Result<string, FileNotReadable>> {
  try {
    return Ok(await readFile(file, 'utf8'))
  } catch (thrown) {
    return Err(FileNotReadable.create(file, describeError(thrown)))
  }
}
