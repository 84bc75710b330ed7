import { Err, Ok, type Result } from 'ts-results-es'
import type { AcceptedState } from '@hickoryspoke/replication/accepted-state'
import { NotLeader, ProposalNotConfirmed, type ReplicationFailure } from '@hickoryspoke/replication/replication-failure'
import type { ReplicaRole, ReplicatedLog } from '@hickoryspoke/replication/replicated-log'

/** An in-memory log with one replica. The next `failNext` proposals fail; with `isAppliedDespite` they fail after they took effect. */
export class FakeLog implements ReplicatedLog {
  isLeading = true
  failNext = 0
  isAppliedDespite = false
  proposals = 0
  proposedBytes = 0
  private readonly listeners = new Set<() => void>()

  private constructor (private readonly state: AcceptedState) {}

  static create (state: AcceptedState): FakeLog {
    return new FakeLog(state)
  }

  async propose (command: Uint8Array): Promise<Result<Uint8Array, ReplicationFailure>> {
    if (!this.isLeading) return Err(NotLeader.create('other'))
    const isFailing = this.failNext > 0
    this.failNext -= isFailing ? 1 : 0
    if (isFailing && !this.isAppliedDespite) return Err(ProposalNotConfirmed.create(this.proposals))
    this.proposals += 1
    this.proposedBytes += command.length
    const answer = this.state.apply(this.proposals, command)
    return isFailing ? Err(ProposalNotConfirmed.create(this.proposals)) : Ok(answer)
  }

  async readBarrier (): Promise<Result<void, ReplicationFailure>> {
    return this.isLeading ? Ok(undefined) : Err(NotLeader.create('other'))
  }

  role (): ReplicaRole {
    return this.isLeading ? 'leader' : 'follower'
  }

  leader (): string {
    return this.isLeading ? 'control-1' : 'other'
  }

  onRoleChange (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  setLeading (isLeading: boolean): void {
    this.isLeading = isLeading
    for (const listener of [...this.listeners]) listener()
  }
}
