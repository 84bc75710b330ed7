import type { UpstreamView } from '@hickoryspoke/health/upstream-view'
import type { LimiterView } from '@hickoryspoke/limits/limiter-view'
import type { RequestObserver, RequestRecord } from '@hickoryspoke/request/collaborators'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { Counter, LatencyFamily, Metrics } from '@hickoryspoke/telemetry/metrics'
import type { PoolQueues } from './pool-queues.ts'

/** Sources of the gauges, read on each scrape. */
export interface MetricSources {
  readonly configurationNumber: () => number
  readonly membershipEpoch: () => number
  readonly freshForMilliseconds: () => number
  readonly limiter: () => LimiterView
  readonly upstreams: () => readonly UpstreamView[]
  readonly queues: PoolQueues
  readonly peerLinks: () => readonly { readonly peer: string, readonly waiting: number, readonly dropped: number }[]
}

/** Counts, times and logs the finished requests, and exposes all metrics of an entry. */
export class EntryMetrics implements RequestObserver {
  private readonly requests: Counter
  private readonly attempts: Counter
  private readonly latency: LatencyFamily

  private constructor (private readonly logger: Logger, private readonly metrics: Metrics) {
    this.requests = metrics.counter('hickoryspoke_requests_total', 'Finished requests', ['pool', 'status', 'code'])
    this.attempts = metrics.counter('hickoryspoke_attempts_total', 'Attempts at upstreams', ['pool'])
    this.latency = metrics.latency('hickoryspoke_request_seconds', 'Time from the head of a request to the end of its answer')
  }

  static create (logger: Logger, metricsRegistry: Metrics, sources: MetricSources): EntryMetrics {
    const metrics = new EntryMetrics(logger, metricsRegistry)
    metrics.addStateGauges(sources)
    metrics.addLimitGauges(sources)
    metrics.addUpstreamGauges(sources)
    return metrics
  }

  finished (record: RequestRecord): void {
    this.requests.inc({ pool: record.pool, status: String(record.status), code: record.code })
    if (record.attempts > 0) this.attempts.inc({ pool: record.pool }, record.attempts)
    this.latency.record({ pool: record.pool }, record.milliseconds)
    this.logger.info('request finished', { ...record, milliseconds: Math.round(record.milliseconds * 10) / 10 })
  }

  /** Returns all metrics in the Prometheus text format. */
  async expose (): Promise<string> {
    return await this.metrics.expose()
  }

  private addStateGauges (sources: MetricSources): void {
    this.metrics.gauge('hickoryspoke_configuration_number', 'Number of the file in force', [], (gauge) => gauge.set(sources.configurationNumber()))
    this.metrics.gauge('hickoryspoke_membership_epoch', 'Epoch of the enrolled entries', [], (gauge) => gauge.set(sources.membershipEpoch()))
    this.metrics.gauge('hickoryspoke_fresh_seconds', 'Time for which the freshness lease still runs', [], (gauge) => {
      gauge.set(Math.max(0, sources.freshForMilliseconds()) / 1000)
    })
    this.metrics.gauge('hickoryspoke_peer_messages_dropped', 'Messages to a peer that were dropped', ['peer'], (gauge) => {
      gauge.reset()
      for (const link of sources.peerLinks()) gauge.set({ peer: link.peer }, link.dropped)
    })
  }

  private addLimitGauges (sources: MetricSources): void {
    this.metrics.gauge('hickoryspoke_customer_decisions', 'Decisions on a customer\'s rate by outcome', ['customer', 'outcome'], (gauge) => {
      gauge.reset()
      for (const { customer, admitted, limited, refused } of sources.limiter().customers) {
        gauge.set({ customer, outcome: 'admitted' }, admitted)
        gauge.set({ customer, outcome: 'limited' }, limited)
        gauge.set({ customer, outcome: 'refused' }, refused)
      }
    })
    this.metrics.gauge('hickoryspoke_queue_requests', 'Requests before a pool by place', ['pool', 'place'], (gauge) => {
      gauge.reset()
      for (const { pool, view } of sources.queues.views()) {
        gauge.set({ pool, place: 'waiting' }, view.waiting)
        gauge.set({ pool, place: 'running' }, view.inFlight)
        gauge.set({ pool, place: 'capacity' }, view.capacity)
      }
    })
  }

  private addUpstreamGauges (sources: MetricSources): void {
    this.metrics.gauge('hickoryspoke_upstreams', 'Upstreams of a pool by state', ['pool', 'state'], (gauge) => {
      gauge.reset()
      for (const { pool, state } of sources.upstreams()) gauge.inc({ pool, state })
    })
  }
}
