/** Metrics of the limits on the clients of a server. */
import type { ClientLimiter } from '@hickoryspoke/runtime/client-limiter'
import type { Metrics } from './metrics.ts'

/** Registers gauges that read the limiter on each scrape. */
export function registerLimiterMetrics (metrics: Metrics, limiter: ClientLimiter): void {
  metrics.gauge('hickoryspoke_client_connections', 'open connections of clients', [], (gauge) => gauge.set(limiter.connections))
  metrics.gauge('hickoryspoke_client_requests', 'requests of clients that are not answered in full', [], (gauge) => gauge.set(limiter.requests))
  metrics.gauge('hickoryspoke_client_waiting_connections', 'connections whose next request waits for others', [], (gauge) => gauge.set(limiter.waitingConnections))
  metrics.gauge('hickoryspoke_client_held_bytes', 'bytes held for clients, as counted', [], (gauge) => gauge.set(limiter.budget.heldBytes))
  metrics.gauge('hickoryspoke_client_limit_bytes', 'bytes that may be held for clients', [], (gauge) => gauge.set(limiter.budget.limitBytes))
  metrics.gauge('hickoryspoke_client_shed_total', 'refusals and waits by their kind', ['kind'], (gauge) => {
    for (const [kind, count] of Object.entries(limiter.shed)) gauge.set({ kind }, count)
  })
}
