import { Err, Ok, type Result } from 'ts-results-es'
import type { PeerProgress } from './peer-progress.ts'
import { NotLeader, type ReplicationFailure } from './replication-failure.ts'

interface PendingBarrier {
  readonly round: number
  readonly index: number
  readonly finish: (result: Result<void, ReplicationFailure>) => void
}

/** State that a leader keeps during its term. */
export class Leadership {
  readonly peers = new Map<string, PeerProgress>()
  /** Current round. Requests carry it and answers return it, which shows that a peer followed this leader since the round began. */
  round = 0
  /** Whether leadership is being transferred; new commands are rejected meanwhile. */
  transferring = false
  private barriers: PendingBarrier[] = []

  private constructor (readonly startIndex: number) {}

  /** `startIndex` is the index of the first entry of the leader's term. */
  static create (startIndex: number): Leadership {
    return new Leadership(startIndex)
  }

  wakeAll (): void {
    for (const peer of this.peers.values()) peer.wakeSignal.wake()
  }

  /** Starts a new round. Resolves once a majority has confirmed it and `index` is applied. */
  addBarrier (index: number): Promise<Result<void, ReplicationFailure>> {
    this.round += 1
    const round = this.round
    this.wakeAll()
    return new Promise((resolve) => this.barriers.push({ round, index, finish: resolve }))
  }

  /** Releases the barriers whose round is confirmed and whose index is applied. */
  releaseBarriers (confirmedRound: number, appliedIndex: number): void {
    const passes = (barrier: PendingBarrier): boolean => barrier.round <= confirmedRound && barrier.index <= appliedIndex
    const released = this.barriers.filter(passes)
    this.barriers = this.barriers.filter((barrier) => !passes(barrier))
    for (const barrier of released) barrier.finish(Ok.EMPTY)
  }

  end (): void {
    for (const peer of this.peers.values()) peer.end()
    for (const barrier of this.barriers.splice(0)) barrier.finish(Err(NotLeader.create(undefined)))
  }
}
