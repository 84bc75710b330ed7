import { SystemClock } from '@hickoryspoke/runtime/clock'
import { runOperator } from './operator-program.ts'

const stopped = new AbortController()
process.once('SIGINT', () => stopped.abort())
process.once('SIGTERM', () => stopped.abort())

void runOperator(process.argv.slice(2), {
  print: (line) => process.stdout.write(`${line}\n`),
  printError: (line) => process.stderr.write(`${line}\n`),
  environment: process.env,
  clock: SystemClock.create(),
  signal: stopped.signal
}).then((exitCode) => {
  process.exitCode = exitCode
})
