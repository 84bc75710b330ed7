import { randomUUID } from 'node:crypto'
import { repeatEvery, sleep } from '@hickoryspoke/runtime/clock'
import { Err, type Result } from 'ts-results-es'
import { NodeDataFolder, type DataFolder } from './data-folder.ts'
import { startPreVote } from './election.ts'
import { announceSelf } from './formation.ts'
import { transferLeadership } from './leadership-transfer.ts'
import { advanceCommit, appendAsLeader } from './leader-replication.ts'
import { receiveMessage } from './message-handlers.ts'
import { ReplicaContext } from './replica-context.ts'
import { hasQuorumContact, reconcileReplicaSet } from './replica-set-change.ts'
import { describeReplica, type ReplicaStatus } from './replica-status.ts'
import { DEFAULT_TUNING, type ReplicaSettings } from './replica-settings.ts'
import { ReplicaStorage } from './replica-storage.ts'
import type { ReplicaRole, ReplicatedLog } from './replicated-log.ts'
import { CommandTooLarge, NotLeader, ReplicaStopped, TooManyProposals, type ReplicationFailure } from './replication-failure.ts'
import { StorageFailure } from './storage-failure.ts'

/** One replica of the log, running on one control VM. */
export class Replica implements ReplicatedLog {
  private lastTick: number
  private stopping: Promise<void> | undefined
  private readonly ended: Promise<StorageFailure | undefined>

  private constructor (private readonly context: ReplicaContext) {
    this.lastTick = context.now()
    this.ended = new Promise((resolve) => {
      context.ended.signal.addEventListener('abort', () => resolve(context.failure), { once: true })
    })
  }

  /** Opens the data folder and restores the state machine. The replica is inactive until `start`. */
  static async create (settings: ReplicaSettings): Promise<Result<Replica, StorageFailure>> {
    try {
      const folder = await openFolder(settings.folder)
      const owner = { ...settings, createIncarnation: () => randomUUID() }
      const { segmentBytes, groupCommit } = { ...DEFAULT_TUNING, ...settings.tuning }
      const opened = await ReplicaStorage.open(folder, owner, { segmentBytes, groupCommit })
      return opened.map((storage) => Replica.fromStorage(settings, storage))
    } catch (thrown) {
      return Err(StorageFailure.from(thrown))
    }
  }

  private static fromStorage (settings: ReplicaSettings, storage: ReplicaStorage): Replica {
    const context: ReplicaContext = ReplicaContext.create(settings, storage, (from, message) => receiveMessage(context, from, message))
    if (storage.snapshot !== undefined) settings.stateMachine.restore(storage.snapshot.state)
    return new Replica(context)
  }

  /** Starts taking part in the cluster. */
  start (): void {
    const { context } = this
    context.report({
      kind: 'opened',
      lastIndex: context.lastPosition().index,
      snapshotIndex: context.snapshot?.header.index ?? 0,
      truncatedBytes: context.storage.truncatedBytes
    })
    context.updateMembershipRole()
    context.resetElectionDeadline()
    context.electionDeadline = Math.min(context.electionDeadline, context.now() + this.initialElectionTimeout())
    if (this.isOnlyVoter()) context.electionDeadline = context.now()
    this.lastTick = context.now()
    context.tasks.run(() => this.tick())
    repeatEvery(context.settings.clock, context.tuning.tickMilliseconds, context.ended.signal, () => context.tasks.run(() => this.tick()))
  }

  /** Transfers leadership, writes pending entries and stops. Safe to call more than once. */
  stop (): Promise<void> {
    this.stopping ??= this.stopOnce()
    return this.stopping
  }

  /** Stops immediately, without transferring leadership or waiting for pending commands. */
  async abort (): Promise<void> {
    this.context.end()
    await this.stop()
  }

  /** Resolves when the replica has stopped, with the failure that caused it, if any. */
  whenStopped (): Promise<StorageFailure | undefined> {
    return this.ended
  }

  propose (command: Uint8Array): Promise<Result<Uint8Array, ReplicationFailure>> {
    const { context } = this
    const refusal = this.rejectionFor(command)
    if (refusal !== undefined) return Promise.resolve(Err(refusal))
    const index = appendAsLeader(context, { $case: 'command', value: Buffer.from(command) })
    return context.proposals.add(index, context.now() + context.tuning.proposalTimeoutMilliseconds)
  }

  async readBarrier (): Promise<Result<void, ReplicationFailure>> {
    const { context } = this
    if (context.isStopped()) return Err(ReplicaStopped.create())
    const leadership = context.leadership
    if (leadership === undefined) return Err(NotLeader.create(context.leaderName))
    const index = Math.max(context.commitIndex, leadership.startIndex)
    const confirmed = leadership.addBarrier(index)
    if (this.isOnlyVoter()) leadership.releaseBarriers(leadership.round, context.appliedIndex)
    const waiting = new AbortController()
    const answer = await Promise.race([confirmed, this.failBarrierAfterTimeout(waiting.signal)])
    waiting.abort()
    return answer
  }

  role (): ReplicaRole {
    return this.context.lifecycle.role()
  }

  /** Whether this replica leads and has applied all that was committed under earlier leaders. */
  hasAppliedEarlierTerms (): boolean {
    const { leadership, appliedIndex } = this.context
    return leadership !== undefined && appliedIndex >= leadership.startIndex
  }

  leader (): string | undefined {
    return this.context.leaderName
  }

  onRoleChange (listener: () => void): () => void {
    return this.context.onRoleChange(listener)
  }

  /** Status of this replica and, on the leader, of the other members. */
  status (): ReplicaStatus {
    return describeReplica(this.context)
  }

  private initialElectionTimeout (): number {
    const { tuning, settings } = this.context
    return tuning.firstElectionMilliseconds * (1 + settings.random.next()) / 2
  }

  private rejectionFor (command: Uint8Array): ReplicationFailure | undefined {
    const { context } = this
    const { maximumCommandBytes, maximumProposals } = context.tuning
    if (context.isStopped()) return ReplicaStopped.create()
    const leadership = context.leadership
    if (leadership === undefined || leadership.transferring) return NotLeader.create(this.leaderHint())
    if (command.length > maximumCommandBytes) return CommandTooLarge.create(command.length, maximumCommandBytes)
    if (context.proposals.size() >= maximumProposals) return TooManyProposals.create(maximumProposals)
    return undefined
  }

  private leaderHint (): string | undefined {
    return this.context.leaderName === this.context.settings.name ? undefined : this.context.leaderName
  }

  private isOnlyVoter (): boolean {
    const voters = this.context.latestReplicaSet().members.filter((member) => member.voter)
    return voters.length === 1 && voters[0]?.name === this.context.settings.name
  }

  private async failBarrierAfterTimeout (waiting: AbortSignal): Promise<Result<void, ReplicationFailure>> {
    await sleep(this.context.settings.clock, this.context.tuning.proposalTimeoutMilliseconds, waiting)
    return Err(NotLeader.create(undefined))
  }

  private async stopOnce (): Promise<void> {
    await transferLeadership(this.context)
    this.context.end()
    await this.context.tasks.close()
    await this.saveFinalBallot()
    await this.context.storage.journal.close()
    await this.context.closeNetwork()
  }

  /** Saves the committed index with the ballot, so that the next start detects missing files. Best effort, because the replica has already stopped. */
  private async saveFinalBallot (): Promise<void> {
    const { votedFor } = this.context.storage.ballot
    try {
      if (this.context.failure === undefined) await this.context.saveBallot(this.context.term(), votedFor)
    } catch (thrown) {
      this.context.report({ kind: 'failed', failure: StorageFailure.from(thrown) })
    }
  }

  private async tick (): Promise<void> {
    const { context } = this
    if (context.isStopped()) return
    const paused = this.detectPause()
    await announceSelf(context)
    if (paused) return
    if (context.leadership !== undefined) this.tickLeader()
    else if (context.now() >= context.electionDeadline) await startPreVote(context)
  }

  /** Whether the process was paused since the last tick. Messages queued meanwhile must be read before silence counts as a failure. */
  private detectPause (): boolean {
    const now = this.context.now()
    const paused = now - this.lastTick > this.context.tuning.electionTimeoutMilliseconds / 2
    this.lastTick = now
    return paused
  }

  private tickLeader (): void {
    const { context } = this
    context.proposals.expire(context.now())
    if (context.leadership !== undefined && !hasQuorumContact(context, context.leadership)) {
      context.report({ kind: 'quorum_lost', term: context.term() })
      context.stepDown(undefined)
      context.resetElectionDeadline()
      return
    }
    reconcileReplicaSet(context)
    advanceCommit(context)
  }
}

async function openFolder (folder: string | DataFolder): Promise<DataFolder> {
  return typeof folder === 'string' ? NodeDataFolder.create(folder) : folder
}
