import type { Clock } from '@hickoryspoke/runtime/clock'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import type { AttemptSettings } from './attempt-loop.ts'
import type { Admission, Balancer, ClaimStore, CrashDetector, FreshnessGate, RequestObserver, RequestQueue, TableSource } from './collaborators.ts'
import type { PoolPolicies } from './pool-policy.ts'
import type { BodyLimits } from './request-body.ts'
import type { UpstreamConnections } from './upstream-connections.ts'

/** Dependencies of a request runner. A feature whose dependency is omitted is disabled; omitted settings have defaults. */
export interface RequestRunnerOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly tables: TableSource
  readonly freshness: FreshnessGate
  readonly admission: Admission
  readonly balancer: Balancer
  readonly connections: UpstreamConnections
  readonly queue?: RequestQueue
  readonly claims?: ClaimStore
  readonly crashes?: CrashDetector
  /** Maximum number of connections from this entry to one upstream of a pool. */
  readonly connectionsPerUpstream?: (pool: string) => number
  readonly observer?: RequestObserver
  readonly policies?: PoolPolicies
  readonly attempts?: AttemptSettings
  readonly bodyLimits?: BodyLimits
}
