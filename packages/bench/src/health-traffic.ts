import { AttemptKind } from '@hickoryspoke/health/attempt-outcome'
import type { HealthFleet, FleetPlan } from './health-fleet.ts'
import type { Fault } from './simulated-upstream.ts'

/** A kind of traffic without any faulty upstream. */
export interface TrafficRow {
  readonly name: string
  readonly change: (plan: FleetPlan) => FleetPlan
  readonly strike: (fleet: HealthFleet) => void
  /** Whether the target of no false ejection is set for it. */
  readonly hasTarget: boolean
}

const OVERLOAD_SERVICE_MILLISECONDS = 250
const OVERLOAD_FACTOR = 1.2

const noise: Fault = (_attempt, _now, random) => {
  const drawn = random.next()
  if (drawn < 0.01) return { kind: AttemptKind.ServerError }
  return drawn < 0.03 ? { slowdown: 10 } : {}
}

/** Quiet; noisy with 1 % errors and 2 % of answers ten times slower; and more than the slots can do. */
export const TRAFFIC_ROWS: readonly TrafficRow[] = [
  { name: 'quiet', change: (plan) => plan, strike: () => undefined, hasTarget: true },
  {
    name: 'noisy',
    change: (plan) => plan,
    strike: (fleet) => { for (const upstream of fleet.upstreams.values()) upstream.faults.push(noise) },
    hasTarget: false
  },
  { name: 'overloaded', change: overload, strike: () => undefined, hasTarget: true }
]

function overload (plan: FleetPlan): FleetPlan {
  const perSlot = 1_000 / OVERLOAD_SERVICE_MILLISECONDS
  const pools = plan.pools.map((pool) => ({ ...pool, serviceMilliseconds: OVERLOAD_SERVICE_MILLISECONDS }))
  return { ...plan, pools, requestsPerSecondEach: plan.slots * perSlot * OVERLOAD_FACTOR }
}
