import { Err, Ok, type Result } from 'ts-results-es'
import type { PeerProgress } from './peer-progress.ts'
import { NotLeader, type ReplicationFailure } from './replication-failure.ts'

interface WaitingBarrier {
  readonly round: number
  readonly index: number
  readonly finish: (result: Result<void, ReplicationFailure>) => void
}

/** What a leader keeps during its term. */
export class Leadership {
  readonly peers = new Map<string, PeerProgress>()
  /** Number of the heartbeat round; answers return it. */
  round = 0
  /** Set while leadership is handed over: no new commands. */
  handingOver = false
  private barriers: WaitingBarrier[] = []

  private constructor (readonly startIndex: number) {}

  /** `startIndex` is the first entry of this leader's own term. */
  static create (startIndex: number): Leadership {
    return new Leadership(startIndex)
  }

  wakeAll (): void {
    for (const peer of this.peers.values()) peer.wake.wake()
  }

  /** Waits until a round that starts now is confirmed and `index` is applied. */
  addBarrier (index: number): Promise<Result<void, ReplicationFailure>> {
    this.round += 1
    const round = this.round
    this.wakeAll()
    return new Promise((resolve) => this.barriers.push({ round, index, finish: resolve }))
  }

  /** Lets through the barriers whose round a majority has confirmed and whose index is applied. */
  releaseBarriers (confirmedRound: number, appliedIndex: number): void {
    const passes = (barrier: WaitingBarrier): boolean => barrier.round <= confirmedRound && barrier.index <= appliedIndex
    const released = this.barriers.filter(passes)
    this.barriers = this.barriers.filter((barrier) => !passes(barrier))
    for (const barrier of released) barrier.finish(Ok.EMPTY)
  }

  end (): void {
    for (const peer of this.peers.values()) peer.end()
    for (const barrier of this.barriers.splice(0)) barrier.finish(Err(NotLeader.create(undefined)))
  }
}
