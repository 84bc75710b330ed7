import { GracefulStop, TERMINAL_STOP_SIGNALS } from '@hickoryspoke/configuration/graceful-stop'
import { ExitCode } from '@hickoryspoke/configuration/program'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { describeError } from '@hickoryspoke/runtime/failure'
import { SystemRandom } from '@hickoryspoke/runtime/random'
import { LogLevel, Logger } from '@hickoryspoke/telemetry/logger'
import { Ok } from 'ts-results-es'
import { LocalFleet } from './local-fleet.ts'

const PROGRAM = 'hickoryspoke-local'
/** Time allowed for a stop. Entries let requests in flight finish first. */
const STOP_LIMIT_MILLISECONDS = 40_000

function print (fleet: LocalFleet): void {
  if (process.argv.includes('--json')) {
    process.stdout.write(JSON.stringify(fleet.describe()) + '\n')
    return
  }
  const [entry] = fleet.entries
  const key = fleet.secrets.keys['curators'] ?? ''
  const lines = [
    'The fleet is ready.',
    ...fleet.entries.map((each) => `entry: http://${each.publicAddress} for callers, http://${each.innerAddress} inner`),
    `control: ${fleet.control.address}`,
    'Try:',
    `  curl -H 'Authorization: Bearer ${key}' http://${entry?.publicAddress}/ledger/1`,
    'Ctrl-C stops it; Ctrl-\\ ends it at once.'
  ]
  process.stdout.write(lines.join('\n') + '\n')
}

async function main (): Promise<void> {
  const level = process.argv.includes('--verbose') ? LogLevel.Info : LogLevel.Error
  const clock = SystemClock.create()
  const logger = Logger.create(PROGRAM, LogLevel.Warn)
  const stop = GracefulStop.create({
    name: PROGRAM, clock, logger, signals: process, stopSignals: TERMINAL_STOP_SIGNALS, exit: (code) => process.exit(code)
  })
  stop.configure({ logger, limitMilliseconds: STOP_LIMIT_MILLISECONDS })
  await stop.run(async () => {
    const fleet = await LocalFleet.start({ clock, random: SystemRandom.create(), logger: Logger.create(PROGRAM, level) })
    print(fleet)
    return Ok(fleet)
  })
}

main().catch((thrown: unknown) => {
  process.stderr.write(`${PROGRAM}: ${describeError(thrown)}\n`)
  process.exit(ExitCode.Failed)
})
