import { ExitCode, stopOnSignal } from '@hickoryspoke/configuration/program'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { describeError } from '@hickoryspoke/runtime/failure'
import { SystemRandom } from '@hickoryspoke/runtime/random'
import { LogLevel, Logger } from '@hickoryspoke/telemetry/logger'
import { LocalFleet } from './local-fleet.ts'

const PROGRAM = 'hickoryspoke-local'

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
    'Ctrl-C stops it.'
  ]
  process.stdout.write(lines.join('\n') + '\n')
}

async function main (): Promise<void> {
  const level = process.argv.includes('--verbose') ? LogLevel.Info : LogLevel.Error
  const fleet = await LocalFleet.start({
    clock: SystemClock.create(),
    random: SystemRandom.create(),
    logger: Logger.create(PROGRAM, level)
  })
  stopOnSignal(PROGRAM, fleet)
  print(fleet)
}

main().catch((thrown: unknown) => {
  process.stderr.write(`${PROGRAM}: ${describeError(thrown)}\n`)
  process.exit(ExitCode.Failed)
})
