/** Dependencies and settings of the dispatch service. */
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { OverageAllowance } from './customer-rate-limiter.ts'
import type { DispatchPolicy } from './dispatch-policy.ts'
import type { FleetRetryBudgetSettings } from './fleet-retry-budget.ts'
import type { ConfirmedNumber } from './number-confirmations.ts'
import type { UpstreamRegistry } from './upstream-registry.ts'
import type { ZoneEvacuations } from './zone-evacuations.ts'

/** The state of the replicated log that the service needs. Addresses are IP:PORT of inner ports. */
export interface ClusterView {
  isLeader (): boolean
  leaderAddress (): string
  controlAddresses (): readonly string[]
  /** The number of the newest configuration, once leadership is confirmed; undefined when it cannot be confirmed. */
  confirmNumber (): Promise<ConfirmedNumber | undefined>
}

/** Dependencies and settings of a `DispatchService`. */
export interface DispatchServiceOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly control: ClusterView
  readonly registry: UpstreamRegistry
  readonly budget: FleetRetryBudgetSettings
  readonly overage: OverageAllowance
  /** Share of a pool's sound upstreams that must receive requests; 0 for none. */
  readonly floorShare: number
  /** Which optional decisions the dispatcher makes; none by default. */
  readonly policy?: DispatchPolicy | undefined
  /** Whether it is certain that no earlier dispatcher spent any customer's burst. */
  readonly startsWithFullBursts: () => boolean
  /** How long after its last confirmation an entry that has not confirmed news is waited for, in milliseconds. */
  readonly newsLimitMilliseconds: number
  /** The same for changes of the evacuated zones; 0 by default. */
  readonly zoneLimitMilliseconds?: number
  /** The evacuated zones; none by default. */
  readonly zones?: ZoneEvacuations
}
