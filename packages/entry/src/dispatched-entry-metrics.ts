/** Counters and latencies of an entry that follows the dispatcher. */
import type { ConfigurationInForce } from '@hickoryspoke/dispatch/configuration-in-force'
import type { PlacementDesk } from '@hickoryspoke/dispatch/placement-desk'
import type { DispatchedOutcome } from '@hickoryspoke/request/dispatched-run'
import type { DispatchedObserver } from '@hickoryspoke/request/dispatched-runner'
import { Metrics, type Counter, type LatencyFamily } from '@hickoryspoke/telemetry/metrics'

/** What gauges are read from. */
export interface DispatchedEntrySources {
  readonly inForce: ConfigurationInForce
  readonly desk: PlacementDesk
  readonly inFlight: () => number
  readonly isReady: () => boolean
}

const NEVER_CONFIRMED_SECONDS = 1_000_000

/** Learns of each request's end. */
export class DispatchedEntryMetrics implements DispatchedObserver {
  private constructor (readonly metrics: Metrics, private readonly requests: Counter, private readonly latency: LatencyFamily) {}

  static create (): DispatchedEntryMetrics {
    const metrics = Metrics.create()
    const requests = metrics.counter('hickoryspoke_requests_total', 'requests by their end', ['code', 'chooser'])
    const latency = metrics.latency('hickoryspoke_request_seconds', 'from the head of a request to the end of its answer')
    return new DispatchedEntryMetrics(metrics, requests, latency)
  }

  /** Adds the gauges. */
  follow (sources: DispatchedEntrySources): void {
    const { metrics } = this
    metrics.gauge('hickoryspoke_requests_in_flight', 'requests in flight', [], (gauge) => gauge.set(sources.inFlight()))
    metrics.gauge('hickoryspoke_ready', '1 while callers should be sent here', [], (gauge) => gauge.set(sources.isReady() ? 1 : 0))
    metrics.gauge('hickoryspoke_configuration_number', 'number of the configuration held', [], (gauge) => gauge.set(sources.inForce.number))
    metrics.gauge('hickoryspoke_configuration_age_seconds', 'since the configuration was confirmed', [], (gauge) => {
      gauge.set(Math.min(NEVER_CONFIRMED_SECONDS, sources.inForce.ageMilliseconds() / 1000))
    })
    metrics.gauge('hickoryspoke_without_dispatcher_seconds', 'time without a dispatcher', [], (gauge) => {
      gauge.set(sources.desk.unattendedMilliseconds / 1000)
    })
  }

  finished (end: DispatchedOutcome, milliseconds: number): void {
    this.requests.inc({ code: end.code, chooser: end.local ? 'entry' : 'dispatcher' })
    this.latency.record({ code: end.code }, milliseconds)
  }
}
