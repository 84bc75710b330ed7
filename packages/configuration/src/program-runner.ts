/** Runs a program from the command line. */
import { SystemClock } from '@hickoryspoke/runtime/clock'
import type { Failure } from '@hickoryspoke/runtime/failure'
import { Logger, LogLevel } from '@hickoryspoke/telemetry/logger'
import type { Result } from 'ts-results-es'
import yargs from 'yargs'
import type { z } from 'zod'
import { GracefulStop, TERMINAL_STOP_SIGNALS } from './graceful-stop.ts'
import { ExitCode, PROGRAM_VERSION, reportFailure, type RunningProgram } from './program.ts'
import { readSettingsFile } from './settings-file.ts'

/** A long-running program: its settings schema and how to start it. */
export interface ProgramDefinition<Schema extends z.ZodType> {
  readonly name: string
  readonly summary: string
  readonly settings: Schema
  /** Time allowed for a stop, from the first signal. */
  stopLimitMilliseconds (settings: z.output<Schema>): number
  start (settings: z.output<Schema>): Promise<Result<RunningProgram, Failure>>
}

/** Runs a program from the command line: `--settings FILE`, `--check`, `--help`, `--version`. */
export async function runProgram<Schema extends z.ZodType> (definition: ProgramDefinition<Schema>, argv: readonly string[]): Promise<void> {
  const logger = Logger.create(definition.name, LogLevel.Info)
  const stop = GracefulStop.create({
    name: definition.name,
    clock: SystemClock.create(),
    logger,
    signals: process,
    stopSignals: TERMINAL_STOP_SIGNALS,
    exit: (code) => process.exit(code)
  })
  const options = await parseArguments(definition, argv)
  const settings = await readSettingsFile(options.settings, definition.settings)
  if (settings.isErr()) {
    reportFailure(definition.name, settings.error, ExitCode.BadInput)
    return stop.release(ExitCode.BadInput)
  }
  if (options.check) {
    process.stdout.write(`${options.settings}: settings are valid\n`)
    return stop.release(ExitCode.Done)
  }
  stop.configure({ logger, limitMilliseconds: definition.stopLimitMilliseconds(settings.value) })
  await stop.run(async () => await definition.start(settings.value))
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
