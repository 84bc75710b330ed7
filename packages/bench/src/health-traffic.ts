import { AttemptKind } from '@hickoryspoke/health/attempt-outcome'
import type { HealthFleet, SimulationConfig } from './health-fleet.ts'
import type { Fault } from './simulated-upstream.ts'

/** A kind of traffic without any faulty upstream. */
export interface TrafficCase {
  readonly name: string
  readonly adjustConfig: (plan: SimulationConfig) => SimulationConfig
  readonly inject: (fleet: HealthFleet) => void
  /** Whether the target of no false ejection is set for it. */
  readonly hasTarget: boolean
}

const OVERLOAD_SERVICE_MILLISECONDS = 250
const OVERLOAD_FACTOR = 1.2

const backgroundNoise: Fault = (_attempt, _now, random) => {
  const drawn = random.next()
  if (drawn < 0.01) return { kind: AttemptKind.ServerError }
  return drawn < 0.03 ? { slowdown: 10 } : {}
}

/** Quiet; noisy with 1 % errors and 2 % of answers ten times slower; and more than the slots can do. */
export const TRAFFIC_CASES: readonly TrafficCase[] = [
  { name: 'quiet', adjustConfig: (plan) => plan, inject: () => undefined, hasTarget: true },
  {
    name: 'noisy',
    adjustConfig: (plan) => plan,
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
