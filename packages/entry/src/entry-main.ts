import { runProgram } from '@hickoryspoke/configuration/program'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { SystemRandom } from '@hickoryspoke/runtime/random'
import { Logger } from '@hickoryspoke/telemetry/logger'
import { hideBin } from 'yargs/helpers'
import { EntryNode } from './entry-node.ts'
import { entrySettingsSchema } from './entry-settings.ts'

void runProgram({
  name: 'hickoryspoke-entry',
  summary: 'Receives requests of callers and forwards them to healthy upstreams.',
  settings: entrySettingsSchema,
  start: async (settings) => await EntryNode.start(settings, {
    clock: SystemClock.create(),
    random: SystemRandom.create(),
    logger: Logger.create('hickoryspoke-entry', settings.log.level).with({ name: settings.name })
  })
}, hideBin(process.argv))
