/** What a `LeaderConnection` depends on, and whom it tells what it receives. */
import type {
  Denial, NumberAnswer, Placement, RunningRequest, ServingUpdate, Suspicion, UpstreamLimit, UpstreamUpdate, ZoneList
} from '@hickoryspoke/protocol/generated/dispatch'
import type { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { HeldNumber } from '@hickoryspoke/runtime/held-number'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { AdmissionReport } from './customer-rate-limiter.ts'
import type { DispatchStreamListener, LeaderStream } from './dispatch-stream.ts'

/** Receives the leader's messages and changes of the connection. */
export interface LeaderConnectionListener {
  placed (placement: Placement): void
  denied (denial: Denial): void
  /** A placed request that may be repeated takes several times as long as usual. */
  overdue (ticket: number): void
  configured (update: ServingUpdate): void
  upstreamsChanged (update: UpstreamUpdate): void
  /** Receives all upstreams that the dispatcher currently suspects. */
  suspected (suspicions: readonly Suspicion[]): void
  /** Receives all limits that upstreams state, as known to the dispatcher. */
  limited (limits: readonly UpstreamLimit[]): void
  /** Receives the evacuated zones; without this call none ever was. */
  zonesChanged (list: ZoneList): void
  /** The stream reached the leader. */
  connected (): void
  /** The stream to the leader ended; questions sent on it will not be answered. */
  lost (): void
  /** The leader is being asked for the newest configuration number. */
  questionSent (question: number): void
  /** The leader answered with the number that was newest, if there was any, at some moment after the question was sent. */
  confirmed (answer: NumberAnswer): void
}

/** Dependencies and callbacks of a `LeaderConnection`. */
export interface LeaderConnectionOptions {
  readonly name: string
  readonly zone: string
  readonly mirror: boolean
  /** IP:PORT of control VMs from the settings; read again for each connection attempt. */
  readonly seeds: () => readonly string[]
  readonly credentials: InnerCredentials
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
  readonly listener: LeaderConnectionListener
  /** IP:PORT at which this process connects other entries to upstreams; empty for none. */
  readonly relay: string
  /** Whether it does so now. */
  readonly isRelaying: () => boolean
  /** Number of the configuration held. */
  readonly held: () => HeldNumber
  readonly running: () => RunningRequest[]
  readonly knownUpstreams: () => Buffer[]
  /** Digest of the known upstreams; empty for none. */
  readonly upstreamDigest: () => string
  /** Limits of upstreams that this process knows of. */
  readonly knownLimits: () => UpstreamLimit[]
  /** What this process admitted within the last window. */
  readonly admissionReport: () => AdmissionReport
  /** Whether requests wait for an answer of the leader, so that its loss must be noticed soon. */
  readonly isWaiting: () => boolean
  /** Whether to look for a leader now. */
  readonly wanted: () => boolean
  /** Opens a stream to a control VM; by default over the network. */
  readonly openStream?: (address: string, credentials: InnerCredentials, listener: DispatchStreamListener) => LeaderStream
}
