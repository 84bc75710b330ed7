import type { SimulationConfig } from './health-fleet.ts'

/** The current deployment of the seed bank (quitumbe): three zones and six slots per upstream, tuned for few false ejections. */
export function quitumbeConfig (seed: number): SimulationConfig {
  return {
    entries: 44,
    zones: ['zone-a', 'zone-b', 'zone-c'],
    slots: 6,
    customers: 8,
    requestsPerSecondEach: 10,
    timeoutMilliseconds: 2_000,
    healthyFloor: 0.6,
    policy: { detection_threshold: 16, slow_start_seconds: 4 },
    seed,
    pools: [
      { name: 'record-consultation', upstreams: 8, idempotentShare: 1, serviceMilliseconds: 20 },
      { name: 'withdrawal-ledger', upstreams: 20, idempotentShare: 0.5, serviceMilliseconds: 20 },
      { name: 'dispatch-custody', upstreams: 6, idempotentShare: 0.5, serviceMilliseconds: 20 }
    ]
  }
}

/** The current deployment of the trek office (yushan): four zones and four slots per upstream, tuned for early detection. */
export function yushanConfig (seed: number): SimulationConfig {
  return {
    entries: 44,
    zones: ['zone-a', 'zone-b', 'zone-c', 'zone-d'],
    slots: 4,
    customers: 8,
    requestsPerSecondEach: 10,
    timeoutMilliseconds: 2_000,
    healthyFloor: 0.5,
    policy: { detection_threshold: 13, overdue_milliseconds: 120, slow_start_seconds: 4 },
    seed,
    pools: [
      { name: 'load-sheets', upstreams: 8, idempotentShare: 1, serviceMilliseconds: 20 },
      { name: 'mule-bookings', upstreams: 20, idempotentShare: 0.5, serviceMilliseconds: 20 },
      { name: 'charges-and-handovers', upstreams: 8, idempotentShare: 0.5, serviceMilliseconds: 20 }
    ]
  }
}

/** Returns the configuration reduced to one of its pools. */
export function onlyPool (config: SimulationConfig, name: string): SimulationConfig {
  return { ...config, pools: config.pools.filter((pool) => pool.name === name) }
}
