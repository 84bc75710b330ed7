import type { Clock } from '@hickoryspoke/runtime/clock'
import { WakeSignal } from './wake-signal.ts'
import type { ReplicaIdentity } from './replica-set.ts'

/** How a leader replicates to a peer. */
export const REPLICATION_MODE = {
  /** Sends one request at a time until the point where the logs match is found. */
  Probe: 'probe',
  /** Sends requests without waiting for answers. */
  Pipeline: 'pipeline',
  /** Sends the snapshot, because the peer needs entries that are no longer in memory. */
  Snapshot: 'snapshot'
} as const

/** One of the values of `REPLICATION_MODE`. */
export type ReplicationMode = typeof REPLICATION_MODE[keyof typeof REPLICATION_MODE]

/** Replication progress of one peer, as the leader tracks it. */
export class PeerProgress {
  matchIndex = 0
  mode: ReplicationMode = REPLICATION_MODE.Probe
  /** Whether a probe or chunk sent in the current heartbeat interval is unanswered. */
  awaitingAnswer = false
  sentRound = 0
  ackedRound = 0
  /** Monotonic time of the last message to the peer, in milliseconds. */
  lastSent = 0
  snapshotOffset = 0
  snapshotIndex = 0
  readonly wakeSignal: WakeSignal
  readonly ended = new AbortController()

  private constructor (readonly identity: ReplicaIdentity, public nextIndex: number, public lastHeard: number, clock: Clock) {
    this.wakeSignal = WakeSignal.create(clock)
  }

  /** Creates the progress of a peer whose log is unknown. The first request starts at `nextIndex`. */
  static create (identity: ReplicaIdentity, nextIndex: number, clock: Clock): PeerProgress {
    return new PeerProgress(identity, nextIndex, clock.monotonicMilliseconds(), clock)
  }

  end (): void {
    this.ended.abort()
    this.wakeSignal.wake()
  }
}
