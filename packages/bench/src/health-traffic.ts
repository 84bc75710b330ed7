import { AttemptKind } from '@hickoryspoke/health/attempt-outcome'
import type { HealthFleet, SimulationConfig } from './health-fleet.ts'
import type { Fault } from './simulated-upstream.ts'

/** A traffic pattern without any faulty upstream. */
export interface TrafficCase {
  readonly name: string
  readonly adjustConfig: (config: SimulationConfig) => SimulationConfig
  readonly inject: (fleet: HealthFleet) => void
  /** Whether the target of no false ejections applies. */
  readonly hasTarget: boolean
}

const OVERLOAD_SERVICE_MILLISECONDS = 250
const OVERLOAD_FACTOR = 1.2

const backgroundNoise: Fault = (_attempt, _now, random) => {
  const sample = random.next()
  if (sample < 0.01) return { kind: AttemptKind.ServerError }
  return sample < 0.03 ? { slowdown: 10 } : {}
}

/** Normal load; 1 % errors and 2 % of the responses ten times slower; and 1.2 times the capacity of the slots. */
export const TRAFFIC_CASES: readonly TrafficCase[] = [
  { name: 'quiet', adjustConfig: (config) => config, inject: () => undefined, hasTarget: true },
  {
    name: 'noisy',
    adjustConfig: (config) => config,
    inject: (fleet) => { for (const upstream of fleet.upstreams.values()) upstream.faults.push(backgroundNoise) },
    hasTarget: false
  },
  { name: 'overloaded', adjustConfig: overload, inject: () => undefined, hasTarget: true }
]

function overload (config: SimulationConfig): SimulationConfig {
  const perSlot = 1_000 / OVERLOAD_SERVICE_MILLISECONDS
  const pools = config.pools.map((pool) => ({ ...pool, serviceMilliseconds: OVERLOAD_SERVICE_MILLISECONDS }))
  return { ...config, pools, requestsPerSecondEach: config.slots * perSlot * OVERLOAD_FACTOR }
}
