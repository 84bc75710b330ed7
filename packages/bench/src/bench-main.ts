import { writeFile } from 'node:fs/promises'
import { GracefulStop, TERMINAL_STOP_SIGNALS } from '@hickoryspoke/configuration/graceful-stop'
import { ExitCode, PROGRAM_VERSION, reportFailure, type RunningProgram } from '@hickoryspoke/configuration/program'
import { readSettingsFile } from '@hickoryspoke/configuration/settings-file'
import { SystemClock, type Clock } from '@hickoryspoke/runtime/clock'
import { SeededRandom, SystemRandom } from '@hickoryspoke/runtime/random'
import { Logger, LogLevel } from '@hickoryspoke/telemetry/logger'
import { Ok } from 'ts-results-es'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { Announcer } from './announcer.ts'
import { type BenchSettings, type LoadSettings, type UpstreamSettings, benchSettingsSchema } from './bench-settings.ts'
import { plotLoadResults } from './load-plot.ts'
import { formatLoadResults } from './load-report.ts'
import { runOpenLoopLoad } from './open-loop-load.ts'
import { FakeUpstream } from './fake-upstream.ts'
import { UpstreamAdmin } from './upstream-admin.ts'

const PROGRAM = 'hickoryspoke-bench'
/** Time allowed for the stop of a fake upstream, whose requests may have been told to hang. */
const STOP_LIMIT_MILLISECONDS = 30_000

interface BenchArguments {
  readonly settings: string
  readonly check: boolean
  readonly json: boolean
  readonly plot?: string
}

async function loadCommand (options: BenchArguments): Promise<void> {
  const settings = await readBenchSettings(options)
  if (settings?.load === undefined) return reportMissing(settings, 'load')
  const results = await runLoad(settings.load)
  process.stdout.write(options.json ? JSON.stringify({ seed: settings.load.seed, results }) + '\n' : formatLoadResults(results))
  if (options.plot !== undefined) await writeFile(options.plot, plotLoadResults(results))
}

async function runLoad (settings: LoadSettings): Promise<ReturnType<Awaited<ReturnType<typeof runOpenLoopLoad>>['results']>> {
  const recorder = await runOpenLoopLoad({
    targets: settings.targets,
    customers: settings.customers.map(({ rate, ...customer }) => ({ ...customer, ratePerSecond: rate })),
    durationMilliseconds: settings.duration_seconds * 1000,
    clock: SystemClock.create(),
    random: SeededRandom.create(settings.seed)
  })
  return recorder.results()
}

async function upstreamCommand (options: BenchArguments): Promise<void> {
  const settings = await readBenchSettings(options)
  if (settings?.upstream === undefined) return reportMissing(settings, 'upstream')
  await runUpstream(settings.upstream)
}

async function runUpstream (settings: UpstreamSettings): Promise<void> {
  const clock = SystemClock.create()
  const logger = Logger.create(PROGRAM, LogLevel.Warn)
  const stop = GracefulStop.create({
    name: PROGRAM, clock, logger, signals: process, stopSignals: TERMINAL_STOP_SIGNALS, exit: (code) => process.exit(code)
  })
  stop.configure({ logger, limitMilliseconds: STOP_LIMIT_MILLISECONDS })
  await stop.run(async () => Ok(await startUpstream(settings, clock)))
}

async function startUpstream (settings: UpstreamSettings, clock: Clock): Promise<RunningProgram> {
  const separator = settings.listen.lastIndexOf(':')
  const upstream = await FakeUpstream.start({
    name: settings.name,
    clock,
    random: SystemRandom.create(),
    host: settings.listen.slice(0, separator),
    port: Number(settings.listen.slice(separator + 1)),
    slots: settings.slots,
    workMilliseconds: settings.work_milliseconds,
    onCrash: () => process.exit(ExitCode.Failed)
  })
  const announcer = Announcer.create({
    upstream,
    pool: settings.pool,
    zone: settings.zone,
    token: settings.announce_token,
    entries: settings.announce_to,
    leaseMilliseconds: settings.lease_milliseconds,
    incarnation: clock.wallMilliseconds(),
    clock
  })
  const admin = await UpstreamAdmin.start(upstream, announcer)
  process.stdout.write(JSON.stringify({ ready: true, address: upstream.address, admin: admin.address }) + '\n')
  return {
    stop: async () => {
      await announcer.withdraw()
      await upstream.stop()
      admin.stop()
    },
    unfinished: () => `${upstream.running} requests`
  }
}

async function readBenchSettings (options: BenchArguments): Promise<BenchSettings | undefined> {
  const settings = await readSettingsFile(options.settings, benchSettingsSchema)
  if (settings.isErr()) {
    reportFailure(PROGRAM, settings.error, ExitCode.BadInput)
    return undefined
  }
  if (!options.check) return settings.value
  process.stdout.write(`${options.settings}: settings are valid\n`)
  return undefined
}

function reportMissing (settings: BenchSettings | undefined, section: string): void {
  if (settings === undefined) return
  process.stderr.write(`${PROGRAM}: the settings have no [${section}] section\n`)
  process.exitCode = ExitCode.BadInput
}

function readArguments (options: Readonly<Record<string, unknown>>): BenchArguments {
  return {
    settings: String(options['settings']),
    check: options['check'] === true,
    json: options['json'] === true,
    plot: typeof options['plot'] === 'string' ? options['plot'] : undefined
  }
}

void yargs(hideBin(process.argv))
  .scriptName(PROGRAM)
  .usage('$0 COMMAND --settings FILE\n\nFake upstreams and open-loop load for hickoryspoke.')
  .option('settings', { type: 'string', demandOption: true, requiresArg: true, describe: 'settings file in TOML' })
  .option('check', { type: 'boolean', default: false, describe: 'check the settings and exit: 0 valid, 2 not' })
  .option('json', { type: 'boolean', default: false, describe: 'load: print results as one JSON document' })
  .option('plot', { type: 'string', describe: 'load: write an SVG plot to this file' })
  .command({
    command: 'load',
    describe: 'send open-loop load and report latency by customer',
    handler: async (options) => await loadCommand(readArguments(options))
  })
  .command({
    command: 'upstream',
    describe: 'run a fake upstream until SIGINT or SIGTERM',
    handler: async (options) => await upstreamCommand(readArguments(options))
  })
  .demandCommand(1, 'name a command')
  .example(`${PROGRAM} load --settings examples/settings/bench.toml --json`, 'run a load')
  .example(`${PROGRAM} upstream --settings examples/settings/bench.toml`, 'run an upstream')
  .completion('completion', 'print a shell completion script')
  .version(PROGRAM_VERSION)
  .strict()
  .fail((message, error, parser) => {
    process.stderr.write(`${PROGRAM}: ${message ?? error.message}\n\n`)
    parser.showHelp('error')
    process.exit(ExitCode.BadInput)
  })
  .parseAsync()
