import type { Clock } from '@hickoryspoke/runtime/clock'
import { WakeSignal } from './wake-signal.ts'
import type { ReplicaIdentity } from './replica-set.ts'

/** How a leader feeds a peer. */
export const FEED_MODE = {
  /** One request at a time, until the logs are known to meet. */
  Probe: 'probe',
  /** Requests go out without waiting for answers. */
  Pipeline: 'pipeline',
  /** The peer lags behind the log that is held; it gets the snapshot. */
  Snapshot: 'snapshot'
} as const

/** One of the values of `FEED_MODE`. */
export type FeedMode = typeof FEED_MODE[keyof typeof FEED_MODE]

/** What a leader knows of one peer. */
export class PeerProgress {
  matchIndex = 0
  mode: FeedMode = FEED_MODE.Probe
  /** A probe or chunk is under way and was sent in this heartbeat interval. */
  awaiting = false
  sentRound = 0
  ackedRound = 0
  /** Monotonic milliseconds of the last message to the peer. */
  lastSent = 0
  snapshotOffset = 0
  snapshotIndex = 0
  readonly wake: WakeSignal
  readonly ended = new AbortController()

  private constructor (readonly identity: ReplicaIdentity, public nextIndex: number, public lastHeard: number, clock: Clock) {
    this.wake = WakeSignal.create(clock)
  }

  /** A peer of which nothing is known but that it may lack all from `nextIndex` on. */
  static create (identity: ReplicaIdentity, nextIndex: number, clock: Clock): PeerProgress {
    return new PeerProgress(identity, nextIndex, clock.monotonicMilliseconds(), clock)
  }

  end (): void {
    this.ended.abort()
    this.wake.wake()
  }
}
