import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { Metrics } from '@hickoryspoke/telemetry/metrics'

/** Kinds of decisions about an upstream. */
export const HealthEventKind = {
  Ejected: 'ejected',
  Trial: 'trial',
  Relapsed: 'relapsed',
  Returned: 'returned',
  Released: 'released',
  Avoided: 'avoided',
  FloorForbids: 'floor_forbids'
} as const
export type HealthEventKind = typeof HealthEventKind[keyof typeof HealthEventKind]

/** One decision with its reason and the zones whose evidence led to it. */
export interface HealthEvent {
  readonly kind: HealthEventKind
  readonly pool: string
  readonly address: string
  readonly reason: string
  readonly observers: readonly string[]
}

export type HealthEventHandler = (event: HealthEvent) => void

/** Logs each decision and counts it by pool, kind and reason. */
export function reportHealthEvents (logger: Logger, metrics: Metrics): HealthEventHandler {
  const counter = metrics.counter('hickoryspoke_health_decisions_total', 'Decisions about upstreams by the homes of pools', ['pool', 'kind', 'reason'])
  return (event) => {
    const { kind, pool, address, reason, observers } = event
    counter.inc({ pool, kind, reason })
    logger.info(`upstream_${kind}`, { pool, address, reason, observers: observers.join(',') })
  }
}
