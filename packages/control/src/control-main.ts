import { runProgram } from '@hickoryspoke/configuration/program-runner'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { SystemRandom } from '@hickoryspoke/runtime/random'
import { Logger } from '@hickoryspoke/telemetry/logger'
import { hideBin } from 'yargs/helpers'
import { ControlNode } from './control-node.ts'
import { controlSettingsSchema } from './control-settings.ts'

const STOP_LIMIT_MILLISECONDS = 15_000

void runProgram({
  name: 'hickoryspoke-control',
  summary: 'Keeps the accepted configuration, disputes and the audit trail on disk, replicated over 1, 3 or 5 VMs.',
  settings: controlSettingsSchema,
  stopLimitMilliseconds: () => STOP_LIMIT_MILLISECONDS,
  start: async (settings) => await ControlNode.start(settings, {
    clock: SystemClock.create(),
    random: SystemRandom.create(),
    logger: Logger.create('hickoryspoke-control', settings.log.level).with({ name: settings.name })
  })
}, hideBin(process.argv))
