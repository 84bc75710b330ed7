import { Err, type Result } from 'ts-results-es'
import { ProposalNotConfirmed, type ReplicationFailure } from './replication-failure.ts'

interface WaitingProposal {
  readonly deadline: number
  readonly finish: (result: Result<Uint8Array, ReplicationFailure>) => void
}

/** Commands that this leader has added and whose proposers wait. */
export class ProposalQueue {
  private readonly waiting = new Map<number, WaitingProposal>()

  private constructor () {}

  static create (): ProposalQueue {
    return new ProposalQueue()
  }

  size (): number {
    return this.waiting.size
  }

  /** Waits for the entry at an index, until a monotonic time in milliseconds. */
  add (index: number, deadline: number): Promise<Result<Uint8Array, ReplicationFailure>> {
    return new Promise((resolve) => this.waiting.set(index, { deadline, finish: resolve }))
  }

  finish (index: number, result: Result<Uint8Array, ReplicationFailure>): void {
    const proposal = this.waiting.get(index)
    this.waiting.delete(index)
    proposal?.finish(result)
  }

  /** Gives up on proposals whose time has run out. */
  expire (now: number): void {
    for (const [index, proposal] of this.waiting) {
      if (proposal.deadline > now) return
      this.finish(index, Err(ProposalNotConfirmed.create(index)))
    }
  }

  /** Gives up on all: leadership was lost, so their outcome is no longer known here. */
  abandonAll (): void {
    for (const index of [...this.waiting.keys()]) this.finish(index, Err(ProposalNotConfirmed.create(index)))
  }
}
