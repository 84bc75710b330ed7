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
const CHECK_OPTION = { type: 'boolean', default: false, describe: 'validate the settings file and exit: 0 if valid, 2 if not' } as const
const NUMBER_ARGUMENT = { type: 'number', demandOption: true, describe: 'number of the disputed file' } as const

/** Parses and runs one command line. Resolves with the exit code. */
export async function runOperator (argv: readonly string[], terminal: OperatorTerminal): Promise<ExitCode> {
  let exitCode: ExitCode = ExitCode.Done
  const handle: CommandHandlerFactory = (run) => async (given) => {
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

/** The command line contains no command. */
class CommandMissing extends Failure {
  readonly code = 'command_missing'

  static create (): CommandMissing {
    return new CommandMissing('a command is missing; see hickoryspoke --help')
  }
}

/** Thrown by the parser after it has printed the error. */
class BadArguments extends Error {}

/** Converts a command into a yargs handler. */
type CommandHandlerFactory = <Given>(run: (context: OperatorContext, options: Given) => Promise<ExitCode> | ExitCode) => (given: object) => Promise<void>

function createParser (argv: readonly string[], terminal: OperatorTerminal, handle: CommandHandlerFactory): Argv {
  const parser = withCommonOptions(yargs([...argv]))
  parser.command('$0', false, (command) => command.option('check', CHECK_OPTION), handle<{ check: boolean }>((context, { check }) => {
    return check ? context.checkSettings() : context.fail(CommandMissing.create())
  }))
  addChangeCommands(parser, handle)
  addReadCommands(parser, handle)
  addDisputeCommands(parser, handle)
  return parser
    .example('$0 check fleet.toml', 'validate a file and print its identity')
    .example('$0 apply fleet.toml --control 10.0.0.1:7400,10.0.0.2:7400 --token-file token', 'apply a file and wait until it is accepted')
    .example('$0 dispute decide 7 --accept sha256:…', 'settle a dispute, as the authority')
    .example('$0 audit --follow --json', 'print each change as it happens, as one line of JSON')
    .epilogue('Exit codes: 0 done, 1 failed, 2 bad arguments, settings or file, 3 refused (stale or lost a race), 4 dispute, 5 unreachable or not confirmed (retrying is safe).')
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
    .usage('$0 COMMAND\n\nShows and changes the configuration of a fleet.')
    .version(PROGRAM_VERSION)
    .option('control', { type: 'string', requiresArg: true, describe: 'control VMs as HOST:PORT,…' })
    .option('token-file', { type: 'string', requiresArg: true, describe: 'file with the operator token; if omitted, the token is read from HICKORYSPOKE_TOKEN' })
    .option('settings', { type: 'string', requiresArg: true, describe: 'settings file in TOML: control, token_file, security' })
    .option('timeout', { type: 'number', requiresArg: true, default: DEFAULT_TIMEOUT_SECONDS, describe: 'timeout in seconds' })
    .option('json', { type: 'boolean', default: false, describe: 'print JSON' })
}

function addChangeCommands (parser: Argv, handle: CommandHandlerFactory): void {
  parser
    .command('check <file>', 'validate a file and print its number and digest', (command) => command.positional('file', FILE_ARGUMENT),
      handle<{ file: string }>((context, { file }) => runCheck(context, file)))
    .command('apply <file>', 'apply a file and wait until it is accepted', (command) => command.positional('file', FILE_ARGUMENT),
      handle<{ file: string }>((context, { file }) => runApply(context, file)))
    .command('diff <file>', 'show what a file would change', (command) => command.positional('file', FILE_ARGUMENT),
      handle<{ file: string }>((context, { file }) => runDiff(context, file)))
    .command('key', 'keys of customers', (command) => command
      .command('create', 'print a new key and its digest for the desired-state file',
        (create) => create.option('customer', { type: 'string', default: 'CUSTOMER', describe: 'name of the customer' }),
        handle<{ customer: string }>((context, { customer }) => runKeyCreate(context, customer)))
      .demandCommand(1, 'a command is missing'), () => {})
    .command('entries', 'enrolled entry VMs', (command) => command
      .command('remove <names..>', 'remove entry VMs that are known to be stopped (authority only)',
        (remove) => remove
          .positional('names', { type: 'string', array: true, demandOption: true })
          .option('stopped', { type: 'boolean', demandOption: true, describe: 'confirms that these VMs have stopped' }),
        handle<{ names: string[] }>((context, { names }) => runForceRemoval(context, names)))
      .demandCommand(1, 'a command is missing'), () => {})
}

function addReadCommands (parser: Argv, handle: CommandHandlerFactory): void {
  parser
    .command('status', 'accepted file, leader, entries by number, disputes', () => {}, handle((context) => runStatus(context)))
    .command('export', 'print the accepted file as TOML', () => {}, handle((context) => runExport(context)))
    .command('upstreams', 'each entry\'s view of the upstreams', () => {}, handle((context) => runUpstreams(context)))
    .command('explain <id> <files..>', 'show the log lines about one request',
      (command) => command
        .positional('id', { type: 'string', demandOption: true, describe: 'ID of the request, as given in its response' })
        .positional('files', { type: 'string', array: true, demandOption: true, describe: 'log files of entries and control VMs' }),
      handle<{ id: string, files: string[] }>(async (context, { id, files }) => await runExplain(context, id, files)))
    .command('audit', 'every change: when, who, what, outcome',
      (command) => command
        .option('follow', { type: 'boolean', default: false, describe: 'keep printing new lines' })
        .option('verify', { type: 'boolean', default: false, describe: 'verify the digest chain' })
        .option('from', { type: 'number', default: 1, describe: 'first line to show' })
        .option('file', { type: 'string', describe: 'read the lines from a file instead of from control' }),
      handle<{ follow: boolean, verify: boolean, from: number, file: string | undefined }>(runAudit))
}

function addDisputeCommands (parser: Argv, handle: CommandHandlerFactory): void {
  parser.command('dispute', 'conflicting files with the same number', (command) => command
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
