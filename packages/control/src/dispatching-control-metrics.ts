/** Metrics of a control process that dispatches requests. */
import type { DispatchService } from '@hickoryspoke/dispatch/dispatch-service'
import type { ZoneEvacuations } from '@hickoryspoke/dispatch/zone-evacuations'
import type { PublishedDocumentState } from '@hickoryspoke/replication/published-document'
import type { Replica } from '@hickoryspoke/replication/replica'
import { REPLICA_ROLE } from '@hickoryspoke/replication/replicated-log'
import { Metrics } from '@hickoryspoke/telemetry/metrics'

/** Creates gauges that read their values when they are scraped. */
export function createControlMetrics (replica: Replica, state: PublishedDocumentState, service: DispatchService, zones: ZoneEvacuations): Metrics {
  const metrics = Metrics.create()
  metrics.gauge('hickoryspoke_leader', '1 on the leader', [], (gauge) => gauge.set(replica.role() === REPLICA_ROLE.Leader ? 1 : 0))
  metrics.gauge('hickoryspoke_document_number', 'number of the document held, NaN for none', [], (gauge) => gauge.set(state.document?.number ?? NaN))
  metrics.gauge('hickoryspoke_log_index', 'index of the log', ['kind'], (gauge) => {
    const status = replica.status()
    gauge.set({ kind: 'last' }, status.lastIndex)
    gauge.set({ kind: 'committed' }, status.commitIndex)
    gauge.set({ kind: 'durable' }, status.durableIndex)
  })
  metrics.gauge('hickoryspoke_entries', 'entries that attend', [], (gauge) => gauge.set(service.entries))
  metrics.gauge('hickoryspoke_pool_requests', 'requests of a pool by state', ['pool', 'state'], (gauge) => {
    for (const pool of service.pools()) {
      gauge.set({ pool: pool.name, state: 'in_flight' }, pool.inFlight)
      gauge.set({ pool: pool.name, state: 'waiting' }, pool.waiting)
    }
  })
  metrics.gauge('hickoryspoke_upstreams', 'upstreams of a pool by standing', ['pool', 'standing'], (gauge) => {
    for (const pool of service.pools()) {
      for (const [standing, count] of Object.entries(pool.standings)) gauge.set({ pool: pool.name, standing }, count)
    }
  })
  metrics.gauge('hickoryspoke_limited_upstreams', 'upstreams of a pool that state a limit on the requests that they accept', ['pool'], (gauge) => {
    for (const pool of service.pools()) gauge.set({ pool: pool.name }, pool.limited)
  })
  metrics.gauge('hickoryspoke_cold_upstreams', 'upstreams of a pool that are cold, so that their use is limited', ['pool'], (gauge) => {
    for (const pool of service.pools()) gauge.set({ pool: pool.name }, pool.cold)
  })
  metrics.gauge('hickoryspoke_evacuated_zones', '1 while upstreams of an availability zone get no requests', ['zone'], (gauge) => {
    for (const zone of zones.known()) gauge.set({ zone }, zones.isEvacuated(zone) ? 1 : 0)
  })
  metrics.gauge('hickoryspoke_request_cost_milliseconds', 'learned cost of a route\'s requests: mean and 95th percentile', ['pool', 'route', 'statistic'], (gauge) => {
    for (const { pool, routes } of service.costs()) {
      for (const { route, meanMilliseconds, highMilliseconds } of routes) {
        gauge.set({ pool, route, statistic: 'mean' }, meanMilliseconds)
        gauge.set({ pool, route, statistic: 'p95' }, highMilliseconds)
      }
    }
  })
  metrics.gauge('hickoryspoke_upstream_time_factor', 'learned response time of a pool\'s upstreams relative to the usual one', ['pool', 'bound'], (gauge) => {
    for (const { pool, fastest, slowest } of service.costs()) {
      gauge.set({ pool, bound: 'fastest' }, fastest)
      gauge.set({ pool, bound: 'slowest' }, slowest)
    }
  })
  metrics.gauge('hickoryspoke_pool_reservations', 'refused callers of a pool for whose return room is reserved', ['pool'], (gauge) => {
    gauge.reset()
    for (const pool of service.pools()) {
      if (pool.reservations !== undefined) gauge.set({ pool: pool.name }, pool.reservations)
    }
  })
  metrics.gauge('hickoryspoke_longest_wait_milliseconds', 'longest wait of the requests that wait, by priority', ['pool', 'priority'], (gauge) => {
    gauge.reset()
    for (const pool of service.pools()) {
      for (const { priority, milliseconds } of pool.longestWaits ?? []) gauge.set({ pool: pool.name, priority: String(priority) }, milliseconds)
    }
  })
  return metrics
}
