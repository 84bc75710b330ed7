import type { Clock } from '@hickoryspoke/runtime/clock'
import type { MessageHandler, PeerNetwork } from '@hickoryspoke/runtime/network'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import type { ReplicaMessage } from '@hickoryspoke/protocol/generated/replica'
import type { DataFolder } from './data-folder.ts'
import type { OnEmptyFolder } from './replica-storage.ts'
import type { ReplicaEvent } from './replica-event.ts'
import type { StateMachine } from './replicated-log.ts'

/** Connection to the other replicas. */
export interface ReplicaNetwork extends PeerNetwork<ReplicaMessage> {
  /** Closes all streams; absent if there is nothing to close. */
  close? (): Promise<void>
}

/** Timeouts and size limits of a replica. */
export interface ReplicaTuning {
  /** Maximum time between two messages of a leader to a peer. */
  readonly heartbeatMilliseconds: number
  /** Minimum election timeout. Each timeout is random, between this value and twice this value. */
  readonly electionTimeoutMilliseconds: number
  /** Maximum wait for a leader after a start. A short wait is safe because others grant a vote only if they hear no leader either. */
  readonly firstElectionMilliseconds: number
  readonly tickMilliseconds: number
  readonly helloMilliseconds: number
  readonly proposalTimeoutMilliseconds: number
  /** Time without an answer after which a member that may be retired is removed. */
  readonly retireMilliseconds: number
  /** Entries applied after a snapshot before the next one is taken. */
  readonly snapshotEntries: number
  /** Bytes of commands applied after a snapshot before the next one is taken. */
  readonly snapshotBytes: number
  /** Bytes of commands before the snapshot that stay in memory, so that slightly lagging peers need no snapshot. */
  readonly retainedBytes: number
  readonly segmentBytes: number
  readonly batchBytes: number
  readonly chunkBytes: number
  readonly maximumCommandBytes: number
  readonly maximumProposals: number
  readonly groupCommit: boolean
}

/** Defaults for replicas with a network latency of a few milliseconds. */
export const DEFAULT_TUNING: ReplicaTuning = {
  heartbeatMilliseconds: 200,
  electionTimeoutMilliseconds: 800,
  firstElectionMilliseconds: 1_600,
  tickMilliseconds: 50,
  helloMilliseconds: 500,
  proposalTimeoutMilliseconds: 5_000,
  retireMilliseconds: 30_000,
  snapshotEntries: 1_000,
  snapshotBytes: 33_554_432,
  retainedBytes: 8_388_608,
  segmentBytes: 16_777_216,
  batchBytes: 524_288,
  chunkBytes: 262_144,
  maximumCommandBytes: 33_554_432,
  maximumProposals: 4_096,
  groupCommit: true
}

/** Settings and dependencies of a replica. */
export interface ReplicaSettings {
  /** Name of the cluster. A data folder of another cluster is rejected. */
  readonly cluster: string
  /** Name of this control VM. */
  readonly name: string
  /** Path of the data folder, or an implementation of it for tests. */
  readonly folder: string | DataFolder
  /** Names of all control VMs, including this one. A leader moves the replica set to these names, one change at a time. */
  readonly peers: readonly string[]
  /** Lets control VMs join that `peers` does not name, and removes silent members, but voters only while more than `minimumVoters` have a vote. */
  readonly openMembership?: { readonly minimumVoters: number }
  readonly onEmptyFolder: OnEmptyFolder
  readonly stateMachine: StateMachine
  /** Connects to the other replicas; absent for a cluster of one. */
  readonly join?: (handler: MessageHandler<ReplicaMessage>) => ReplicaNetwork
  readonly clock: Clock
  readonly random: RandomSource
  /** Receives the events of this replica. */
  readonly report?: (event: ReplicaEvent) => void
  readonly tuning?: Partial<ReplicaTuning>
}
