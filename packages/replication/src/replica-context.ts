import type { MessageHandler } from '@hickoryspoke/runtime/network'
import type { ReplicaMessage, ReplicaSet } from '@hickoryspoke/protocol/generated/replica'
import type { EntryLog, LogPosition } from './entry-log.ts'
import type { Leadership } from './leadership.ts'
import { ProposalQueue } from './proposal-queue.ts'
import type { ReplicaEvent } from './replica-event.ts'
import { LIFECYCLE_EVENT, ReplicaLifecycle } from './replica-lifecycle.ts'
import { isVoter, memberKey, type ReplicaIdentity } from './replica-set.ts'
import { DEFAULT_TUNING, type ReplicaNetwork, type ReplicaSettings, type ReplicaTuning } from './replica-settings.ts'
import type { ReplicaStorage } from './replica-storage.ts'
import { REPLICA_ROLE } from './replicated-log.ts'
import { SerialTasks } from './serial-tasks.ts'
import type { Snapshot } from './snapshot-file.ts'
import { STORAGE_FAULT, StorageFailure } from './storage-failure.ts'

/** Body of a message between replicas. */
export type MessageBody = NonNullable<ReplicaMessage['body']>

/** Votes gathered by a candidate. */
export interface ElectionRound {
  readonly preVote: boolean
  readonly askedTerm: number
  readonly granted: Set<string>
}

/** A snapshot of which not all chunks have come. */
export interface IncomingSnapshot {
  readonly index: number
  readonly term: number
  readonly chunks: Uint8Array[]
  received: number
}

/** What the parts of one replica share. */
export class ReplicaContext {
  readonly tuning: ReplicaTuning
  readonly lifecycle: ReplicaLifecycle
  readonly tasks: SerialTasks
  readonly proposals = ProposalQueue.create()
  readonly ended = new AbortController()
  readonly log: EntryLog
  /** Replicas that have announced themselves and are no members, by name. */
  readonly joiners = new Map<string, string>()
  /** Incarnations of the replicas that form the cluster together with this one, by name. */
  readonly formingPeers = new Map<string, string>()
  snapshot: Snapshot | undefined
  commitIndex: number
  appliedIndex: number
  /** Highest index known to be synced here. */
  durableIndex: number
  /** Highest index known to equal the log of the leader of this term. */
  verifiedIndex = 0
  /** Counts how often entries were replaced; a sync that began before does not count after. */
  replacements = 0
  leaderName: string | undefined
  lastLeaderContact = -Infinity
  electionDeadline = 0
  lastHello = -Infinity
  election: ElectionRound | undefined
  leadership: Leadership | undefined
  incoming: IncomingSnapshot | undefined
  snapshotUnderWay = false
  appliedBytes = 0
  failure: StorageFailure | undefined
  private readonly network: ReplicaNetwork
  private readonly listeners = new Set<() => void>()

  private constructor (readonly settings: ReplicaSettings, readonly storage: ReplicaStorage, handler: MessageHandler<ReplicaMessage>) {
    this.tuning = { ...DEFAULT_TUNING, ...settings.tuning }
    this.lifecycle = ReplicaLifecycle.create(() => this.announceRole())
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

  latestSet (): ReplicaSet {
    return this.log.latestSet().set
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

  /** Sends to one incarnation, or to whoever bears the name when the incarnation is empty. */
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

  /** Starts the wait for a leader anew. */
  resetElectionDeadline (): void {
    const timeout = this.tuning.electionTimeoutMilliseconds
    this.electionDeadline = this.now() + timeout + this.settings.random.next() * timeout
  }

  /** Gives up any candidacy or leadership. */
  stepDown (leader: string | undefined): void {
    const changed = this.leaderName !== leader
    this.leaderName = leader
    this.election = undefined
    this.leadership?.end()
    this.leadership = undefined
    this.proposals.abandonAll()
    const role = this.lifecycle.role()
    this.lifecycle.send(LIFECYCLE_EVENT.SteppedDown)
    if (changed && role === this.lifecycle.role()) this.announceRole()
  }

  /** Moves to a higher term, on disk as well, without a vote in it. Throws `StorageFailure`. */
  async adoptTerm (term: number): Promise<void> {
    this.stepDown(undefined)
    this.verifiedIndex = 0
    await this.saveBallot(term, '')
  }

  /** Throws `StorageFailure`. Resolves once the term and vote will outlast a crash. */
  async saveBallot (term: number, votedFor: string): Promise<void> {
    await this.storage.saveBallot({ term, votedFor, settledIndex: Math.min(this.commitIndex, this.durableIndex) })
  }

  /** Makes the role follow the replica set in force. */
  followSet (): void {
    const counted = isVoter(this.latestSet(), this.self())
    this.lifecycle.send(counted ? LIFECYCLE_EVENT.Promoted : LIFECYCLE_EVENT.Demoted)
  }

  onRoleChange (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  announceRole (): void {
    this.report({ kind: 'role_changed', role: this.lifecycle.role(), term: this.term(), leader: this.leaderName })
    for (const listener of this.listeners) listener()
  }

  /** Stops the replica because it can no longer keep its promises. */
  fail (thrown: unknown): void {
    if (this.failure !== undefined) return
    this.failure = thrown instanceof StorageFailure ? thrown : StorageFailure.create(STORAGE_FAULT.StateMachine, '', String(thrown))
    this.report({ kind: 'failed', failure: this.failure })
    this.end()
  }

  /** Ends all work at once. */
  end (): void {
    this.stepDown(undefined)
    this.lifecycle.send(LIFECYCLE_EVENT.Stopped)
    this.ended.abort()
  }

  async closeNetwork (): Promise<void> {
    await this.network.close?.()
  }
}
