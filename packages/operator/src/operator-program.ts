import { ExitCode, PROGRAM_VERSION } from '@hickoryspoke/configuration/program'
import { Failure } from '@hickoryspoke/runtime/failure'
import yargs, { type Argv } from 'yargs'
import { runAudit } from './command-audit.ts'
import { runExplain } from './command-explain.ts'
import { runKeyCreate } from './command-key.ts'
import { runApply, runCheck, runDecide, runForceRemoval } from './commands-change.ts'
import { runDiff, runDisputeList, runDisputeShow, runExport, runStatus, runUpstreams } from './commands-read.ts'
import { OperatorContext, type CommonOptions, type OperatorTerminal } from './operator-context.ts'

const DEFAULT_TIMEOUT_SECONDS = 30

const FILE_ARGUMENT = { type: 'string', demandOption: true, describe: 'desired-state file in TOML' } as const
const CHECK_OPTION = { type: 'boolean', default: false, describe: 'check the settings file and exit: 0 valid, 2 not' } as const
const NUMBER_ARGUMENT = { type: 'number', demandOption: true, describe: 'number of the disputed file' } as const

/** Runs one command line; resolves with the exit code. */
export async function runOperator (argv: readonly string[], terminal: OperatorTerminal): Promise<ExitCode> {
  let exitCode: ExitCode = ExitCode.Done
  const handle: Handle = (run) => async (given) => {
    exitCode = await run(OperatorContext.create(terminal, given as CommonOptions), given as never)
  }
  try {
    await createParser(argv, terminal, handle).parseAsync()
  } catch (thrown) {
    if (!(thrown instanceof BadArguments)) throw thrown
    return ExitCode.BadInput
  }
  return exitCode
}

/** The command line names no command. */
class CommandMissing extends Failure {
  readonly code = 'command_missing'

  static create (): CommandMissing {
    return new CommandMissing('a command is missing; see hickoryspoke --help')
  }
}

/** Thrown by the parser after it printed what is wrong. */
class BadArguments extends Error {}

/** Makes a handler of yargs from a command of ours. */
type Handle = <Given>(run: (context: OperatorContext, options: Given) => Promise<ExitCode> | ExitCode) => (given: object) => Promise<void>

function createParser (argv: readonly string[], terminal: OperatorTerminal, handle: Handle): Argv {
  const parser = withCommonOptions(yargs([...argv]))
  parser.command('$0', false, (command) => command.option('check', CHECK_OPTION), handle<{ check: boolean }>((context, { check }) => {
    return check ? context.checkSettings() : context.fail(CommandMissing.create())
  }))
  addChangeCommands(parser, handle)
  addReadCommands(parser, handle)
  addDisputeCommands(parser, handle)
  return parser
    .example('$0 check fleet.toml', 'validate a file and print its identity')
    .example('$0 apply fleet.toml --control 10.0.0.1:7400,10.0.0.2:7400 --token-file token', 'send a file and wait until it is accepted')
    .example('$0 dispute decide 7 --accept sha256:…', 'settle a dispute, as the authority')
    .example('$0 audit --follow --json', 'each change as it happens, one JSON line each')
    .epilogue('Exit codes: 0 done, 1 failed, 2 bad arguments, settings or file, 3 refused (stale or lost a race), 4 dispute, 5 unreachable or not confirmed (sending again is safe).')
    .completion('completion', 'print a shell completion script')
    .strict()
    .exitProcess(false)
    .fail((message, error) => {
      if (error !== undefined && error !== null && !message) throw error
      terminal.printError(`hickoryspoke: ${message}`)
      terminal.printError('see hickoryspoke --help')
      throw new BadArguments(message)
    })
}

function withCommonOptions (parser: Argv): Argv {
  return parser
    .scriptName('hickoryspoke')
    .usage('$0 COMMAND\n\nChanges and shows the configuration of a fleet.')
    .version(PROGRAM_VERSION)
    .option('control', { type: 'string', requiresArg: true, describe: 'control VMs as HOST:PORT,…' })
    .option('token-file', { type: 'string', requiresArg: true, describe: 'file with the operator token; else HICKORYSPOKE_TOKEN' })
    .option('settings', { type: 'string', requiresArg: true, describe: 'settings file in TOML: control, token_file, security' })
    .option('timeout', { type: 'number', requiresArg: true, default: DEFAULT_TIMEOUT_SECONDS, describe: 'longest wait in seconds' })
    .option('json', { type: 'boolean', default: false, describe: 'print one JSON document' })
}

function addChangeCommands (parser: Argv, handle: Handle): void {
  parser
    .command('check <file>', 'validate a file and print its number and digest', (command) => command.positional('file', FILE_ARGUMENT),
      handle<{ file: string }>((context, { file }) => runCheck(context, file)))
    .command('apply <file>', 'send a file as a whole and wait until it is accepted', (command) => command.positional('file', FILE_ARGUMENT),
      handle<{ file: string }>((context, { file }) => runApply(context, file)))
    .command('diff <file>', 'show what a file would change', (command) => command.positional('file', FILE_ARGUMENT),
      handle<{ file: string }>((context, { file }) => runDiff(context, file)))
    .command('key', 'keys of customers', (command) => command
      .command('create', 'print a new key once, and its digest for the file',
        (create) => create.option('customer', { type: 'string', default: 'CUSTOMER', describe: 'name of the customer' }),
        handle<{ customer: string }>((context, { customer }) => runKeyCreate(context, customer)))
      .demandCommand(1, 'a command is missing'), () => {})
    .command('entries', 'enrolled entry VMs', (command) => command
      .command('remove <names..>', 'remove entry VMs that are known to be stopped (authority only)',
        (remove) => remove
          .positional('names', { type: 'string', array: true, demandOption: true })
          .option('stopped', { type: 'boolean', demandOption: true, describe: 'confirms that these VMs no longer run' }),
        handle<{ names: string[] }>((context, { names }) => runForceRemoval(context, names)))
      .demandCommand(1, 'a command is missing'), () => {})
}

function addReadCommands (parser: Argv, handle: Handle): void {
  parser
    .command('status', 'accepted file, leader, entries by number, disputes', () => {}, handle((context) => runStatus(context)))
    .command('export', 'print the accepted file as TOML', () => {}, handle((context) => runExport(context)))
    .command('upstreams', 'each upstream as the fleet sees it', () => {}, handle((context) => runUpstreams(context)))
    .command('explain <id> <files..>', 'what the logs of several processes say about one request',
      (command) => command
        .positional('id', { type: 'string', demandOption: true, describe: 'name of the request, as its answer gives it' })
        .positional('files', { type: 'string', array: true, demandOption: true, describe: 'log files of entries and control VMs' }),
      handle<{ id: string, files: string[] }>(async (context, { id, files }) => await runExplain(context, id, files)))
    .command('audit', 'every change: when, who, what, outcome',
      (command) => command
        .option('follow', { type: 'boolean', default: false, describe: 'go on with new lines' })
        .option('verify', { type: 'boolean', default: false, describe: 'check the chain of digests' })
        .option('from', { type: 'number', default: 1, describe: 'first line to show' })
        .option('file', { type: 'string', describe: 'read lines kept in a file in place of control' }),
      handle<{ follow: boolean, verify: boolean, from: number, file: string | undefined }>(runAudit))
}

function addDisputeCommands (parser: Argv, handle: Handle): void {
  parser.command('dispute', 'files of one number that differ', (command) => command
    .command('list', 'all disputes', () => {}, handle((context) => runDisputeList(context)))
    .command('show <number>', 'the candidates of one dispute', (show) => show.positional('number', NUMBER_ARGUMENT),
      handle<{ number: number }>((context, { number }) => runDisputeShow(context, number)))
    .command('decide <number>', 'settle a dispute (authority only)',
      (decide) => decide
        .positional('number', NUMBER_ARGUMENT)
        .option('accept', { type: 'string', demandOption: true, requiresArg: true, describe: 'digest of the candidate to accept' }),
      handle<{ number: number, accept: string }>((context, { number, accept }) => runDecide(context, number, accept)))
    .demandCommand(1, 'a command is missing'), () => {})
}
