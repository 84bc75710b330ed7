/** Logs once a second how busy a control process is, so that late control work can be told from lost control work. */
import type { DispatchService } from '@hickoryspoke/dispatch/dispatch-service'
import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import { EventLoopMonitor } from '@hickoryspoke/telemetry/event-loop-monitor'
import type { LogFields, Logger } from '@hickoryspoke/telemetry/logger'
import type { Metrics } from '@hickoryspoke/telemetry/metrics'

/** Dependencies of the report. */
export interface LoadReportOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly service: DispatchService
  readonly isLeader: () => boolean
}

const REPORT_INTERVAL_MILLISECONDS = 1_000
/** A process that does not lead reports only when its event loop was delayed for longer than this. */
const QUIET_DELAY_MILLISECONDS = 100

/** Reports until the signal aborts. */
export async function reportLoad (options: LoadReportOptions, signal: AbortSignal): Promise<void> {
  const { clock, logger, metrics, service, isLeader } = options
  const monitor = EventLoopMonitor.create(clock)
  let longestDelay = 0
  metrics.gauge('hickoryspoke_event_loop_delay_milliseconds', 'longest delay of a timer in the last second', [], (gauge) => gauge.set(longestDelay))
  void monitor.run(signal)
  await repeatEvery(clock, REPORT_INTERVAL_MILLISECONDS, signal, () => {
    const load = monitor.read()
    longestDelay = load.longestDelayMilliseconds
    const messages = service.readLoad()
    if (!isLeader() && longestDelay < QUIET_DELAY_MILLISECONDS) return
    logger.info('control load', {
      leads: isLeader(),
      processorMilliseconds: Math.round(load.processorMilliseconds),
      longestDelayMilliseconds: Math.round(longestDelay),
      entries: service.entries,
      ...messages,
      unconfirmedEntries: service.delivery?.unconfirmed ?? 0,
      waitingAcknowledgements: service.delivery?.waiting ?? 0,
      pendingQuestions: service.pendingQuestions,
      ...queueFields(service, clock.monotonicMilliseconds())
    })
  })
}

/** Waiting requests of all pools, and the age of the oldest. */
function queueFields (service: DispatchService, now: number): LogFields {
  const pools = service.pools()
  const since = Math.min(...pools.map((pool) => pool.waitingSince))
  return {
    waiting: pools.reduce((sum, pool) => sum + pool.waiting, 0),
    oldestWaitingMilliseconds: Number.isFinite(since) ? Math.round(now - since) : 0,
    inFlight: pools.reduce((sum, pool) => sum + pool.inFlight, 0)
  }
}
