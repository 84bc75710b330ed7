import type { Result } from 'ts-results-es'
import type { ReplicationFailure } from './replication-failure.ts'

/**
 * State machine driven by the log. It must be deterministic: the same commands in the same order give the same answers on every replica.
 * Wall-clock time, random numbers and operator names are therefore part of the command.
 */
export interface StateMachine {
  /** Applies a committed command and returns the answer for its proposer. Called once per index, in order. */
  apply (index: number, command: Uint8Array): Uint8Array
  /** Serializes the whole state. Called between commands. */
  snapshot (): Uint8Array
  /** Replaces the whole state. */
  restore (snapshot: Uint8Array): void
}

/** Role of a replica in its cluster. A learner receives the log but has no vote. */
export const REPLICA_ROLE = {
  Follower: 'follower',
  Candidate: 'candidate',
  Leader: 'leader',
  Learner: 'learner',
  Stopped: 'stopped'
} as const

/** One of the values of `REPLICA_ROLE`. */
export type ReplicaRole = typeof REPLICA_ROLE[keyof typeof REPLICA_ROLE]

/** A log of commands that is durable on a majority of replicas. */
export interface ReplicatedLog {
  /**
   * Appends a command. Resolves with the answer of the state machine once the command is synced on a majority and applied here.
   * Only the leader accepts commands. After `ProposalNotConfirmed` the command may or may not take effect.
   */
  propose (command: Uint8Array): Promise<Result<Uint8Array, ReplicationFailure>>
  /** Linearizable read barrier: resolves once the leader has confirmed that it still leads and has applied everything committed before the call. */
  readBarrier (): Promise<Result<void, ReplicationFailure>>
  /** Current role of this replica. */
  role (): ReplicaRole
  /** Name of the leader, if known. */
  leader (): string | undefined
  /** Calls `listener` after each change of role or leader. Returns a function that unsubscribes it. */
  onRoleChange (listener: () => void): () => void
}
