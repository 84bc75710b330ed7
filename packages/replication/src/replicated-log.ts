import type { Result } from 'ts-results-es'
import type { ReplicationFailure } from './replication-failure.ts'

/**
 * What the log drives. It must be deterministic: equal commands in equal order give equal answers on every replica.
 * Time, random numbers and names of operators therefore travel inside the command.
 */
export interface StateMachine {
  /** Applies a committed command and returns the answer for its proposer. Called once per index, in order. */
  apply (index: number, command: Uint8Array): Uint8Array
  /** The whole state as bytes, taken between two commands. */
  snapshot (): Uint8Array
  /** Replaces the whole state. */
  restore (snapshot: Uint8Array): void
}

/** What a replica is to its cluster. */
export const REPLICA_ROLE = {
  Follower: 'follower',
  Candidate: 'candidate',
  Leader: 'leader',
  Learner: 'learner',
  Stopped: 'stopped'
} as const

/** One of the values of `REPLICA_ROLE`. */
export type ReplicaRole = typeof REPLICA_ROLE[keyof typeof REPLICA_ROLE]

/** A log of commands that a majority of replicas keeps on disk. */
export interface ReplicatedLog {
  /**
   * Adds a command. Resolves with the answer of the state machine once the command is synced on a majority and applied here.
   * Only the leader takes commands. After `ProposalNotConfirmed` the command may or may not have taken effect.
   */
  propose (command: Uint8Array): Promise<Result<Uint8Array, ReplicationFailure>>
  /** Resolves on the leader once it has confirmed that it still leads and has applied all that was committed before the call. */
  readBarrier (): Promise<Result<void, ReplicationFailure>>
  /** What this replica is now. */
  role (): ReplicaRole
  /** Name of the leader, if this replica knows one. */
  leader (): string | undefined
  /** Calls back after each change of role or leader; returns how to unsubscribe. */
  onRoleChange (listener: () => void): () => void
}
