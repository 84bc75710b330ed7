import { sleep, type Clock } from '@hickoryspoke/runtime/clock'
import type { Failure } from '@hickoryspoke/runtime/failure'
import { InvalidInput, formatIssue } from '@hickoryspoke/runtime/failure'
import type { Result } from 'ts-results-es'
import yargs from 'yargs'
import type { z } from 'zod'
import { readSettingsFile } from './settings-file.ts'

/** Exit codes shared by all programs. */
export const ExitCode = { Done: 0, Failed: 1, BadInput: 2, Refused: 3, Dispute: 4, NotConfirmed: 5 } as const
export type ExitCode = typeof ExitCode[keyof typeof ExitCode]

/** Version reported by all programs. */
export const PROGRAM_VERSION = '0.1.0'

/** A running program that can be stopped. */
export interface RunningProgram {
  /** Shuts down gracefully; resolves when all work in progress has finished. */
  stop (): Promise<void>
  /** Describes work that would be lost if the process exited now, for the log. */
  unfinished (): string
}

/** A long-running program: its settings schema and how to start it. */
export interface ProgramDefinition<Schema extends z.ZodType> {
  readonly name: string
  readonly summary: string
  readonly settings: Schema
  start (settings: z.output<Schema>): Promise<Result<RunningProgram, Failure>>
}

/** Runs a program from the command line: `--settings FILE`, `--check`, `--help`, `--version`. */
export async function runProgram<Schema extends z.ZodType> (definition: ProgramDefinition<Schema>, argv: readonly string[]): Promise<void> {
  const options = await parseArguments(definition, argv)
  const settings = await readSettingsFile(options.settings, definition.settings)
  if (settings.isErr()) return reportFailure(definition.name, settings.error, ExitCode.BadInput)
  if (options.check) {
    process.stdout.write(`${options.settings}: settings are valid\n`)
    return
  }
  const started = await definition.start(settings.value)
  if (started.isErr()) return reportFailure(definition.name, started.error, ExitCode.Failed)
  stopOnSignal(definition.name, started.value)
}

/** Writes a failure, one line per issue, to standard error and sets the exit code. */
export function reportFailure (program: string, failure: Failure, exitCode: ExitCode): void {
  const lines = failure instanceof InvalidInput ? failure.issues.map(formatIssue) : [`${failure.message} (${failure.code})`]
  for (const line of lines) process.stderr.write(`${program}: ${line}\n`)
  process.exitCode = exitCode
}

async function parseArguments<Schema extends z.ZodType> (
  definition: ProgramDefinition<Schema>,
  argv: readonly string[]
): Promise<{ settings: string, check: boolean }> {
  return await yargs([...argv])
    .scriptName(definition.name)
    .usage(`$0 --settings FILE\n\n${definition.summary}`)
    .option('settings', { type: 'string', demandOption: true, describe: 'settings file in TOML', requiresArg: true })
    .option('check', { type: 'boolean', default: false, describe: 'validate the settings and exit: 0 if valid, 2 if not' })
    .example(`${definition.name} --settings ${definition.name}.toml`, 'run')
    .example(`${definition.name} --settings ${definition.name}.toml --check`, 'validate the settings only')
    .completion('completion', 'print a shell completion script')
    .version(PROGRAM_VERSION)
    .strict()
    .fail((message, error, parser) => {
      process.stderr.write(`${definition.name}: ${message ?? error.message}\n\n`)
      parser.showHelp('error')
      process.exit(ExitCode.BadInput)
    })
    .parseAsync()
}

/** Stops a program but waits at most `limitMilliseconds`. Resolves to whether the stop finished in time. */
export async function stopWithTimeout (program: RunningProgram, clock: Clock, limitMilliseconds: number): Promise<boolean> {
  const timeLimit = new AbortController()
  const ended = program.stop().then(() => true)
  const stopped = await Promise.race([ended, sleep(clock, limitMilliseconds, timeLimit.signal).then(() => false)])
  timeLimit.abort()
  return stopped
}

/** Shuts down gracefully on the first SIGTERM or SIGINT; exits immediately on the second. */
export function stopOnSignal (name: string, program: RunningProgram): void {
  let stopping = false
  const onSignal = (): void => {
    if (stopping) {
      process.stderr.write(JSON.stringify({ level: 'error', program: name, event: 'exiting immediately on a second signal', unfinished: program.unfinished() }) + '\n')
      process.exit(ExitCode.Failed)
    }
    stopping = true
    void program.stop().then(() => process.exit(ExitCode.Done))
  }
  process.on('SIGTERM', onSignal)
  process.on('SIGINT', onSignal)
}
