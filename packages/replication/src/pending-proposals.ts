import { Err, type Result } from 'ts-results-es'
import { ProposalNotConfirmed, type ReplicationFailure } from './replication-failure.ts'

interface PendingProposal {
  readonly deadline: number
  readonly finish: (result: Result<Uint8Array, ReplicationFailure>) => void
}

/** Commands appended by this leader whose proposers await an answer. */
export class PendingProposals {
  private readonly waiting = new Map<number, PendingProposal>()

  private constructor () {}

  static create (): PendingProposals {
    return new PendingProposals()
  }

  size (): number {
    return this.waiting.size
  }

  /** Waits for the entry at an index. `deadline` is a monotonic time in milliseconds. */
  add (index: number, deadline: number): Promise<Result<Uint8Array, ReplicationFailure>> {
    return new Promise((resolve) => this.waiting.set(index, { deadline, finish: resolve }))
  }

  finish (index: number, result: Result<Uint8Array, ReplicationFailure>): void {
    const proposal = this.waiting.get(index)
    this.waiting.delete(index)
    proposal?.finish(result)
  }

  /** Fails the proposals whose deadline has passed. */
  expire (now: number): void {
    for (const [index, proposal] of this.waiting) {
      if (proposal.deadline > now) return
      this.finish(index, Err(ProposalNotConfirmed.create(index)))
    }
  }

  /** Fails all proposals. Used when leadership is lost, because their outcome is then unknown here. */
  failAll (): void {
    for (const index of [...this.waiting.keys()]) this.finish(index, Err(ProposalNotConfirmed.create(index)))
  }
}
