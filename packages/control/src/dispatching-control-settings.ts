/** Settings and dependencies of a dispatching control process. */
import type { ServingConfiguration } from '@hickoryspoke/configuration/serving-configuration'
import type { WarmupAllowance } from '@hickoryspoke/dispatch/cold-upstreams'
import type { OverageAllowance } from '@hickoryspoke/dispatch/customer-rate-limiter'
import type { DispatchPolicy } from '@hickoryspoke/dispatch/dispatch-policy'
import type { FleetRetryBudgetSettings } from '@hickoryspoke/dispatch/fleet-retry-budget'
import type { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import type { PublishedDocument } from '@hickoryspoke/replication/published-document'
import type { OnEmptyFolder } from '@hickoryspoke/replication/replica-storage'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { Failure } from '@hickoryspoke/runtime/failure'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { Result } from 'ts-results-es'

/** Settings of the process. Addresses are IP:PORT of inner ports. */
export interface DispatchingControlSettings {
  /** Own inner address, which is also the name of the replica. */
  readonly address: string
  readonly zone: string
  /** Region by availability zone; none is known by default. */
  readonly zoneRegions?: ReadonlyMap<string, string>
  readonly cluster: string
  readonly folder: string
  readonly onEmptyFolder: OnEmptyFolder
  /** Control VMs named in the settings; the array is updated in place when the settings change. */
  readonly seeds: readonly string[]
  /** Silent replicas are replaced only while at least this many voters remain. */
  readonly minimumVoters: number
  /** Time after which a control VM that returned, or replaced another, no longer counts as a loss. */
  readonly catchUpMilliseconds: number
  /** Whether the whole fleet starts for the first time, so that no customer has used up any of its burst. */
  readonly firstOfFleet: boolean
  readonly budget: FleetRetryBudgetSettings
  readonly overage: OverageAllowance
  /** Share of a pool's sound upstreams that must receive requests; 0 for none. */
  readonly floorShare: number
  /** Which optional decisions the dispatcher makes; none by default. */
  readonly policy?: DispatchPolicy
  /** By how much cold upstreams may get more requests in a second than they tolerate; nothing by default. */
  readonly warmup?: WarmupAllowance
  /** How long an entry may serve after its view was last confirmed. */
  readonly freshMilliseconds: number
  /** Time after an acknowledgement within which all entries must act on what was acknowledged. */
  readonly applyMilliseconds: number
  /** The same for the evacuation of a zone; undefined where zones cannot be evacuated. */
  readonly evacuateMilliseconds?: number | undefined
  /** An upstream without announcements for this long is removed, unless it answers requests. */
  readonly silentUpstreamMilliseconds: number
}

/** Process-wide dependencies. */
export interface DispatchingControlOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
  readonly credentials: InnerCredentials
  /** Decodes a published document. */
  readonly decode: (document: PublishedDocument) => Result<ServingConfiguration, Failure>
}
