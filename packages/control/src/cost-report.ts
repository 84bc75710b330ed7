/** Logs what the leader learned of the costs of requests, so that an operator can see what placements were based on. */
import type { DispatchService } from '@hickoryspoke/dispatch/dispatch-service'
import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import type { Logger } from '@hickoryspoke/telemetry/logger'

const REPORT_INTERVAL_MILLISECONDS = 10_000

/** Reports until the signal aborts; nothing where the dispatcher does not run or need not know costs. */
export async function reportCosts (clock: Clock, logger: Logger, service: Pick<DispatchService, 'costs'>, signal: AbortSignal): Promise<void> {
  await repeatEvery(clock, REPORT_INTERVAL_MILLISECONDS, signal, () => {
    for (const { pool, routes, fastest, slowest } of service.costs()) {
      logger.info('learned response times of upstreams', { pool, fastestTimeFactor: Number(fastest.toFixed(2)), slowestTimeFactor: Number(slowest.toFixed(2)) })
      for (const { route, meanMilliseconds, highMilliseconds, weight } of routes) {
        logger.info('learned cost of requests', {
          pool, route, meanMilliseconds: Math.round(meanMilliseconds), p95Milliseconds: Math.round(highMilliseconds), weight: Math.round(weight)
        })
      }
    }
  })
}
