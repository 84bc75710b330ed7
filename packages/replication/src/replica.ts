import { randomUUID } from 'node:crypto'
import { repeatEvery, sleep } from '@hickoryspoke/runtime/clock'
import { Err, type Result } from 'ts-results-es'
import { NodeDataFolder, type DataFolder } from './data-folder.ts'
import { startPreVote } from './election.ts'
import { announceSelf } from './formation.ts'
import { handOver } from './handover.ts'
import { advanceCommit, appendAsLeader } from './leader-feed.ts'
import { receiveMessage } from './message-handlers.ts'
import { ReplicaContext } from './replica-context.ts'
import { hearsQuorum, superviseReplicaSet } from './replica-set-change.ts'
import { describeReplica, type ReplicaStatus } from './replica-status.ts'
import { DEFAULT_TUNING, type ReplicaSettings } from './replica-settings.ts'
import { ReplicaStorage } from './replica-storage.ts'
import type { ReplicaRole, ReplicatedLog } from './replicated-log.ts'
import { CommandTooLarge, NotLeader, ReplicaStopped, TooManyProposals, type ReplicationFailure } from './replication-failure.ts'
import { StorageFailure } from './storage-failure.ts'

/** One replica of the log, on one control VM. */
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

  /** Reads the data folder and restores the state machine. The replica does nothing until `start`. */
  static async create (settings: ReplicaSettings): Promise<Result<Replica, StorageFailure>> {
    try {
      const folder = await openFolder(settings.folder)
      const owner = { ...settings, createIncarnation: () => randomUUID() }
      const { segmentBytes, groupCommit } = { ...DEFAULT_TUNING, ...settings.tuning }
      const opened = await ReplicaStorage.open(folder, owner, { segmentBytes, groupCommit })
      return opened.map((storage) => Replica.assemble(settings, storage))
    } catch (thrown) {
      return Err(StorageFailure.from(thrown))
    }
  }

  private static assemble (settings: ReplicaSettings, storage: ReplicaStorage): Replica {
    const context: ReplicaContext = ReplicaContext.create(settings, storage, (from, message) => receiveMessage(context, from, message))
    if (storage.snapshot !== undefined) settings.stateMachine.restore(storage.snapshot.state)
    return new Replica(context)
  }

  /** Begins to take part. */
  start (): void {
    const { context } = this
    context.report({
      kind: 'opened',
      lastIndex: context.lastPosition().index,
      snapshotIndex: context.snapshot?.header.index ?? 0,
      truncatedBytes: context.storage.truncatedBytes
    })
    context.followSet()
    context.resetElectionDeadline()
    context.electionDeadline = Math.min(context.electionDeadline, context.now() + this.firstElectionWait())
    if (this.isOnlyVoter()) context.electionDeadline = context.now()
    this.lastTick = context.now()
    context.tasks.run(() => this.tick())
    repeatEvery(context.settings.clock, context.tuning.tickMilliseconds, context.ended.signal, () => context.tasks.run(() => this.tick()))
  }

  /** Hands leadership over, writes what waits and stops. Safe to call twice. */
  stop (): Promise<void> {
    this.stopping ??= this.stopOnce()
    return this.stopping
  }

  /** Stops at once, without handing leadership over and without waiting for commands under way. */
  async abort (): Promise<void> {
    this.context.end()
    await this.stop()
  }

  /** Resolves when the replica has stopped, with the failure that stopped it, if any. */
  whenStopped (): Promise<StorageFailure | undefined> {
    return this.ended
  }

  propose (command: Uint8Array): Promise<Result<Uint8Array, ReplicationFailure>> {
    const { context } = this
    const refusal = this.refusalFor(command)
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
    const answer = await Promise.race([confirmed, this.timeOutBarrier(waiting.signal)])
    waiting.abort()
    return answer
  }

  role (): ReplicaRole {
    return this.context.lifecycle.role()
  }

  leader (): string | undefined {
    return this.context.leaderName
  }

  onRoleChange (listener: () => void): () => void {
    return this.context.onRoleChange(listener)
  }

  /** What this replica knows of itself and, as leader, of the others. */
  status (): ReplicaStatus {
    return describeReplica(this.context)
  }

  private firstElectionWait (): number {
    const { tuning, settings } = this.context
    return tuning.firstElectionMilliseconds * (1 + settings.random.next()) / 2
  }

  private refusalFor (command: Uint8Array): ReplicationFailure | undefined {
    const { context } = this
    const { maximumCommandBytes, maximumProposals } = context.tuning
    if (context.isStopped()) return ReplicaStopped.create()
    const leadership = context.leadership
    if (leadership === undefined || leadership.handingOver) return NotLeader.create(this.leaderHint())
    if (command.length > maximumCommandBytes) return CommandTooLarge.create(command.length, maximumCommandBytes)
    if (context.proposals.size() >= maximumProposals) return TooManyProposals.create(maximumProposals)
    return undefined
  }

  private leaderHint (): string | undefined {
    return this.context.leaderName === this.context.settings.name ? undefined : this.context.leaderName
  }

  private isOnlyVoter (): boolean {
    const voters = this.context.latestSet().members.filter((member) => member.voter)
    return voters.length === 1 && voters[0]?.name === this.context.settings.name
  }

  private async timeOutBarrier (waiting: AbortSignal): Promise<Result<void, ReplicationFailure>> {
    await sleep(this.context.settings.clock, this.context.tuning.proposalTimeoutMilliseconds, waiting)
    return Err(NotLeader.create(undefined))
  }

  private async stopOnce (): Promise<void> {
    await handOver(this.context)
    this.context.end()
    await this.context.tasks.close()
    await this.recordEnd()
    await this.context.storage.journal.close()
    await this.context.closeNetwork()
  }

  /** Lets the next start notice if files are missing. Best effort: the replica has stopped already. */
  private async recordEnd (): Promise<void> {
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
    const late = this.isLate()
    await announceSelf(context)
    if (late) return
    if (context.leadership !== undefined) this.tickLeader()
    else if (context.now() >= context.electionDeadline) await startPreVote(context)
  }

  /** After a pause of the whole process nothing is concluded from silence; messages that wait are read first. */
  private isLate (): boolean {
    const now = this.context.now()
    const late = now - this.lastTick > this.context.tuning.electionTimeoutMilliseconds / 2
    this.lastTick = now
    return late
  }

  private tickLeader (): void {
    const { context } = this
    context.proposals.expire(context.now())
    if (context.leadership !== undefined && !hearsQuorum(context, context.leadership)) {
      context.report({ kind: 'quorum_lost', term: context.term() })
      context.stepDown(undefined)
      context.resetElectionDeadline()
      return
    }
    superviseReplicaSet(context)
    advanceCommit(context)
  }
}

async function openFolder (folder: string | DataFolder): Promise<DataFolder> {
  return typeof folder === 'string' ? NodeDataFolder.create(folder) : folder
}
