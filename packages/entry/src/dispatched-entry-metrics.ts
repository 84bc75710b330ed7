/** Metrics of an entry whose upstreams are chosen by the dispatcher. */
import type { ActiveConfiguration } from '@hickoryspoke/dispatch/active-configuration'
import type { PlacementClient } from '@hickoryspoke/dispatch/placement-client'
import type { DispatchedOutcome } from '@hickoryspoke/request/attempt-history'
import type { DispatchedObserver } from '@hickoryspoke/request/dispatched-runner'
import { Metrics, type Counter, type LatencyFamily } from '@hickoryspoke/telemetry/metrics'

/** Sources of the gauges. */
export interface DispatchedMetricSources {
  readonly inForce: ActiveConfiguration
  readonly placementClient: PlacementClient
  readonly inFlight: () => number
  readonly isReady: () => boolean
  /** Whether upstreams seem to be out of this VM's own reach. */
  readonly isCutOff: () => boolean
  /** Number of connections to upstreams that are relayed for other entries. */
  readonly relayedConnections: () => number
  /** Zones whose upstreams get no requests. */
  readonly evacuatedZones: () => readonly string[]
}

/** Age reported for a configuration that was never confirmed, whose real age is infinite. */
const MAXIMUM_AGE_SECONDS = 1_000_000

/** Counts and times the finished requests, and exposes the gauges of the entry. */
export class DispatchedEntryMetrics implements DispatchedObserver {
  private constructor (readonly metrics: Metrics, private readonly requests: Counter, private readonly latency: LatencyFamily) {}

  static create (): DispatchedEntryMetrics {
    const metrics = Metrics.create()
    const requests = metrics.counter('hickoryspoke_requests_total', 'requests by their end', ['code', 'chooser'])
    const latency = metrics.latency('hickoryspoke_request_seconds', 'from the head of a request to the end of its answer')
    return new DispatchedEntryMetrics(metrics, requests, latency)
  }

  /** Registers the gauges, which are read from the sources on each scrape. */
  follow (sources: DispatchedMetricSources): void {
    const { metrics } = this
    metrics.gauge('hickoryspoke_requests_in_flight', 'requests in flight', [], (gauge) => gauge.set(sources.inFlight()))
    metrics.gauge('hickoryspoke_ready', '1 while callers should be sent here', [], (gauge) => gauge.set(sources.isReady() ? 1 : 0))
    metrics.gauge('hickoryspoke_cut_off', '1 while this VM cannot reach upstreams itself', [], (gauge) => gauge.set(sources.isCutOff() ? 1 : 0))
    metrics.gauge('hickoryspoke_relayed_connections', 'connections to upstreams that are relayed for other entries', [], (gauge) => {
      gauge.set(sources.relayedConnections())
    })
    metrics.gauge('hickoryspoke_evacuated_zones', 'availability zones whose upstreams get no requests', [], (gauge) => {
      gauge.set(sources.evacuatedZones().length)
    })
    metrics.gauge('hickoryspoke_configuration_number', 'number of the configuration held, NaN for none', [], (gauge) => {
      gauge.set(sources.inForce.number ?? NaN)
    })
    metrics.gauge('hickoryspoke_configuration_age_seconds', 'since the configuration was confirmed', [], (gauge) => {
      gauge.set(Math.min(MAXIMUM_AGE_SECONDS, sources.inForce.ageMilliseconds() / 1000))
    })
    metrics.gauge('hickoryspoke_without_dispatcher_seconds', 'time without a dispatcher', [], (gauge) => {
      gauge.set(sources.placementClient.withoutDispatcherMilliseconds / 1000)
    })
  }

  finished (end: DispatchedOutcome, milliseconds: number): void {
    this.requests.inc({ code: end.code, chooser: end.local ? 'entry' : 'dispatcher' })
    this.latency.record({ code: end.code }, milliseconds)
  }
}
