import { runProgram } from '@hickoryspoke/configuration/program-runner'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { SystemRandom } from '@hickoryspoke/runtime/random'
import { Logger } from '@hickoryspoke/telemetry/logger'
import { hideBin } from 'yargs/helpers'
import { EntryNode } from './entry-node.ts'
import { entrySettingsSchema } from './entry-settings.ts'

/** Time for what follows the requests in flight: shares are handed over, and peers and control are told. */
const CLOSE_MILLISECONDS = 5_000

void runProgram({
  name: 'hickoryspoke-entry',
  summary: 'Receives requests of callers and forwards them to healthy upstreams.',
  settings: entrySettingsSchema,
  stopLimitMilliseconds: ({ shutdown }) => (shutdown.announce_seconds + shutdown.grace_seconds) * 1000 + CLOSE_MILLISECONDS,
  start: async (settings) => await EntryNode.start(settings, {
    clock: SystemClock.create(),
    random: SystemRandom.create(),
    logger: Logger.create('hickoryspoke-entry', settings.log.level).with({ name: settings.name })
  })
}, hideBin(process.argv))
