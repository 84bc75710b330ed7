import type { MessageHandler } from '@hickoryspoke/runtime/network'
import type { ReplicaMessage, ReplicaSet } from '@hickoryspoke/protocol/generated/replica'
import type { EntryLog, LogPosition } from './entry-log.ts'
import type { Leadership } from './leadership.ts'
import { PendingProposals } from './pending-proposals.ts'
import type { ReplicaEvent } from './replica-event.ts'
import { LIFECYCLE_EVENT, ReplicaLifecycle } from './replica-lifecycle.ts'
import { isVoter, memberKey, type ReplicaIdentity } from './replica-set.ts'
import { DEFAULT_TUNING, type ReplicaNetwork, type ReplicaSettings, type ReplicaTuning } from './replica-settings.ts'
import type { ReplicaStorage } from './replica-storage.ts'
import { REPLICA_ROLE } from './replicated-log.ts'
import { SerialTasks } from './serial-tasks.ts'
import type { Snapshot } from './snapshot-file.ts'
import { STORAGE_FAULT, StorageFailure } from './storage-failure.ts'

export type MessageBody = NonNullable<ReplicaMessage['body']>

/** An election or pre-vote in progress, with the members that granted their vote. */
export interface Election {
  readonly preVote: boolean
  readonly askedTerm: number
  readonly granted: Set<string>
}

/** A snapshot that is being received in chunks. */
export interface IncomingSnapshot {
  readonly index: number
  readonly term: number
  readonly chunks: Uint8Array[]
  received: number
}

/** A replica that asked to join, with the monotonic time of its last hello in milliseconds. */
export interface Joiner {
  readonly incarnation: string
  readonly heardAt: number
}

/** State of one replica, shared by its parts. */
export class ReplicaContext {
  readonly tuning: ReplicaTuning
  readonly lifecycle: ReplicaLifecycle
  readonly tasks: SerialTasks
  readonly proposals = PendingProposals.create()
  readonly ended = new AbortController()
  readonly log: EntryLog
  /** Replicas that announced themselves and are not members, by name. */
  readonly joiners = new Map<string, Joiner>()
  /** Names of members as other replicas reported them, kept while this replica seeks a leader. */
  readonly learnedNames = new Set<string>()
  /** Incarnations of the replicas that are forming the cluster, by name. */
  readonly formingPeers = new Map<string, string>()
  snapshot: Snapshot | undefined
  commitIndex: number
  appliedIndex: number
  /** Highest index known to be synced on this replica. */
  durableIndex: number
  /** Highest index up to which the log is known to match the leader of this term. */
  verifiedIndex = 0
  /** Incremented whenever entries are replaced. A sync that began under an earlier generation does not make entries durable. */
  logGeneration = 0
  leaderName: string | undefined
  lastLeaderContact = -Infinity
  electionDeadline = 0
  lastHelloSent = -Infinity
  election: Election | undefined
  leadership: Leadership | undefined
  incomingSnapshot: IncomingSnapshot | undefined
  snapshotInProgress = false
  appliedBytes = 0
  failure: StorageFailure | undefined
  private readonly network: ReplicaNetwork
  private readonly listeners = new Set<() => void>()

  private constructor (readonly settings: ReplicaSettings, readonly storage: ReplicaStorage, handler: MessageHandler<ReplicaMessage>) {
    this.tuning = { ...DEFAULT_TUNING, ...settings.tuning }
    this.lifecycle = ReplicaLifecycle.create(() => this.notifyRoleChange())
    this.tasks = SerialTasks.create((thrown) => this.fail(thrown))
    this.log = storage.log
    this.snapshot = storage.snapshot
    this.commitIndex = storage.snapshot?.header.index ?? 0
    this.appliedIndex = this.commitIndex
    this.durableIndex = this.log.lastPosition().index
    this.network = settings.join?.(handler) ?? { self: settings.name, send: () => {} }
  }

  static create (settings: ReplicaSettings, storage: ReplicaStorage, handler: MessageHandler<ReplicaMessage>): ReplicaContext {
    return new ReplicaContext(settings, storage, handler)
  }

  self (): ReplicaIdentity {
    return { name: this.settings.name, incarnation: this.storage.identity.incarnation }
  }

  selfKey (): string {
    return memberKey(this.self())
  }

  term (): number {
    return this.storage.ballot.term
  }

  now (): number {
    return this.settings.clock.monotonicMilliseconds()
  }

  latestReplicaSet (): ReplicaSet {
    return this.log.latestReplicaSet().set
  }

  lastPosition (): LogPosition {
    return this.log.lastPosition()
  }

  isStopped (): boolean {
    return this.lifecycle.role() === REPLICA_ROLE.Stopped
  }

  report (event: ReplicaEvent): void {
    this.settings.report?.(event)
  }

  /** Sends to one incarnation, or to any incarnation of the name if `incarnation` is empty. */
  send (to: ReplicaIdentity, body: MessageBody): void {
    if (this.isStopped()) return
    this.network.send(to.name, {
      cluster: this.settings.cluster,
      from: this.settings.name,
      fromIncarnation: this.storage.identity.incarnation,
      toIncarnation: to.incarnation,
      term: this.term(),
      body
    })
  }

  /** Restarts the randomized election timeout. */
  resetElectionDeadline (): void {
    const timeout = this.tuning.electionTimeoutMilliseconds
    this.electionDeadline = this.now() + timeout + this.settings.random.next() * timeout
  }

  /** Abandons any candidacy or leadership and follows `leader`, if given. */
  stepDown (leader: string | undefined): void {
    const changed = this.leaderName !== leader
    this.leaderName = leader
    this.election = undefined
    this.leadership?.end()
    this.leadership = undefined
    this.proposals.failAll()
    const role = this.lifecycle.role()
    this.lifecycle.send(LIFECYCLE_EVENT.SteppedDown)
    if (changed && role === this.lifecycle.role()) this.notifyRoleChange()
  }

  /** Moves to a higher term without a vote in it, and saves it to disk. Throws `StorageFailure`. */
  async adoptTerm (term: number): Promise<void> {
    this.stepDown(undefined)
    this.verifiedIndex = 0
    await this.saveBallot(term, '')
  }

  /** Resolves once the term and vote are durable. Throws `StorageFailure`. */
  async saveBallot (term: number, votedFor: string): Promise<void> {
    await this.storage.saveBallot({ term, votedFor, settledIndex: Math.min(this.commitIndex, this.durableIndex) })
  }

  /** Makes this replica a follower or a learner, depending on whether it has a vote in the latest replica set. */
  updateMembershipRole (): void {
    const hasVote = isVoter(this.latestReplicaSet(), this.self())
    this.lifecycle.send(hasVote ? LIFECYCLE_EVENT.Promoted : LIFECYCLE_EVENT.Demoted)
  }

  onRoleChange (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  notifyRoleChange (): void {
    this.report({ kind: 'role_changed', role: this.lifecycle.role(), term: this.term(), leader: this.leaderName })
    for (const listener of this.listeners) listener()
  }

  /** Stops the replica after a storage or state machine failure, because it can no longer guarantee durability or consistency. */
  fail (thrown: unknown): void {
    if (this.failure !== undefined) return
    this.failure = thrown instanceof StorageFailure ? thrown : StorageFailure.create(STORAGE_FAULT.StateMachine, '', String(thrown))
    this.report({ kind: 'failed', failure: this.failure })
    this.end()
  }

  /** Stops immediately. */
  end (): void {
    this.stepDown(undefined)
    this.lifecycle.send(LIFECYCLE_EVENT.Stopped)
    this.ended.abort()
  }

  async closeNetwork (): Promise<void> {
    await this.network.close?.()
  }
}
