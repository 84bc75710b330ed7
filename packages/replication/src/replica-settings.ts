import type { Clock } from '@hickoryspoke/runtime/clock'
import type { MessageHandler, PeerNetwork } from '@hickoryspoke/runtime/network'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import type { ReplicaMessage } from '@hickoryspoke/protocol/generated/replica'
import type { DataFolder } from './data-folder.ts'
import type { OnEmptyFolder } from './replica-storage.ts'
import type { ReplicaEvent } from './replica-event.ts'
import type { StateMachine } from './replicated-log.ts'

/** The streams to the other replicas. */
export interface ReplicaNetwork extends PeerNetwork<ReplicaMessage> {
  /** Ends all streams; absent where there is nothing to end. */
  close? (): Promise<void>
}

/** Durations and sizes of a replica. */
export interface ReplicaTuning {
  /** A leader writes to each peer at least this often. */
  readonly heartbeatMilliseconds: number
  /** A follower waits for this time and up to twice of it before it asks for an election. */
  readonly electionTimeoutMilliseconds: number
  /** A replica that has just started waits at most this long for a leader; a vote needs others that hear none either. */
  readonly firstElectionMilliseconds: number
  readonly tickMilliseconds: number
  readonly helloMilliseconds: number
  readonly proposalTimeoutMilliseconds: number
  /** A member that the settings no longer name is removed after this silence. */
  readonly retireMilliseconds: number
  /** Entries after a snapshot until the next one is taken. */
  readonly snapshotEntries: number
  /** Bytes of commands after a snapshot until the next one is taken. */
  readonly snapshotBytes: number
  /** Bytes of commands kept in memory before the snapshot, for peers that lag a little. */
  readonly retainedBytes: number
  readonly segmentBytes: number
  readonly batchBytes: number
  readonly chunkBytes: number
  readonly maximumCommandBytes: number
  readonly maximumProposals: number
  readonly groupCommit: boolean
}

/** Values for replicas a few milliseconds apart. */
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

/** Everything that a replica needs from outside. */
export interface ReplicaSettings {
  /** Name of the cluster; a folder of another cluster is refused. */
  readonly cluster: string
  /** Name of this control VM. */
  readonly name: string
  /** A path, or a folder that injects faults. */
  readonly folder: string | DataFolder
  /** Names of all control VMs, this one included. As leader it brings the replica set to these names, one change at a time. */
  readonly peers: readonly string[]
  /** Control VMs that are not named here may join; silent ones are replaced by them but never below this number of voters. */
  readonly openMembership?: { readonly minimumVoters: number }
  readonly onEmptyFolder: OnEmptyFolder
  readonly stateMachine: StateMachine
  /** Opens the streams; absent for a cluster of one. */
  readonly join?: (handler: MessageHandler<ReplicaMessage>) => ReplicaNetwork
  readonly clock: Clock
  readonly random: RandomSource
  /** Gets every event worth a log line. */
  readonly report?: (event: ReplicaEvent) => void
  readonly tuning?: Partial<ReplicaTuning>
}
