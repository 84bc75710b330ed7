import type { ShareLevel, SlotLease, SlotLevels } from '@hickoryspoke/protocol/generated/share'
import type { Share } from './share-split.ts'
import { TokenBucket } from './token-bucket.ts'

/** Finds rate and burst of a share; undefined if the share does not exist here. */
export type ShareLookup = (shareKey: number) => Share | undefined

interface BucketRecord {
  readonly bucket: TokenBucket
  sequence: number
}

/**
 * Token usage of all shares of a slot, as the lease holder knows it.
 * A share without a bucket has not been used since `knownSince`. Its earlier usage is unknown, so it counts as used up at that time.
 */
export class SlotShares {
  private readonly buckets = new Map<number, BucketRecord>()
  private sequence = 0

  private constructor (private knownSince: number) {}

  /** Creates a state in which nothing is known about usage before a monotonic time in milliseconds. */
  static create (knownSinceMilliseconds: number): SlotShares {
    return new SlotShares(knownSinceMilliseconds)
  }

  /** Restores the state from reports of lease group members; the newest level of each share wins. */
  static fromReports (reports: readonly SlotLevels[], nowMilliseconds: number, clockDriftRatio: number): SlotShares {
    const knownFor = Math.min(...reports.map((report) => report.knownForMilliseconds))
    const shares = new SlotShares(nowMilliseconds - knownFor)
    const newest = new Map<number, ShareLevel>()
    for (const level of reports.flatMap((report) => report.levels)) {
      const known = newest.get(level.shareKey)
      if (known === undefined || known.sequence < level.sequence) newest.set(level.shareKey, level)
    }
    for (const level of newest.values()) shares.restore(level, nowMilliseconds, clockDriftRatio)
    return shares
  }

  /** The bucket of a share, created if it does not exist. */
  bucket (shareKey: number, share: Share, nowMilliseconds: number): TokenBucket {
    const known = this.buckets.get(shareKey)
    if (known !== undefined) return known.bucket
    const bucket = TokenBucket.create(this.usedWithoutBucket(share, nowMilliseconds), nowMilliseconds)
    this.buckets.set(shareKey, { bucket, sequence: this.sequence })
    return bucket
  }

  /** Gives the share's latest grant a sequence number and returns the level that includes it. */
  recordGrant (shareKey: number, share: Share, nowMilliseconds: number): ShareLevel {
    const held = this.buckets.get(shareKey) as BucketRecord
    this.sequence += 1
    held.sequence = this.sequence
    return levelOf(shareKey, held, share, nowMilliseconds)
  }

  /** Whether a share's tokens may still count as used only because earlier usage is unknown. */
  recovering (share: Share, nowMilliseconds: number): boolean {
    return this.usedWithoutBucket(share, nowMilliseconds) > 0
  }

  /** Levels of all shares that have a bucket, as sent to other members under a lease. */
  levels (lease: SlotLease, lookup: ShareLookup, nowMilliseconds: number): SlotLevels {
    const levels: ShareLevel[] = []
    for (const [shareKey, held] of this.buckets) {
      const share = lookup(shareKey)
      if (share !== undefined) levels.push(levelOf(shareKey, held, share, nowMilliseconds))
    }
    return { lease, levels, knownForMilliseconds: nowMilliseconds - this.knownSince }
  }

  /** Removes buckets whose usage is no higher than what a missing bucket would imply. */
  sweep (lookup: ShareLookup, nowMilliseconds: number): void {
    for (const [shareKey, { bucket }] of this.buckets) {
      const share = lookup(shareKey)
      if (share === undefined) continue
      if (bucket.usedTokens(share, nowMilliseconds) <= this.usedWithoutBucket(share, nowMilliseconds)) this.buckets.delete(shareKey)
    }
  }

  /** Number of shares that have a bucket. */
  get size (): number {
    return this.buckets.size
  }

  private restore (level: ShareLevel, now: number, clockDriftRatio: number): void {
    const drainedFor = level.drainedForMilliseconds
    const bucket = TokenBucket.create(drainedFor < 0 ? 0 : level.usedTokens, Math.min(now, now - drainedFor))
    if (drainedFor < 0) bucket.grant(level.usedTokens, now - drainedFor * (1 + clockDriftRatio))
    this.buckets.set(level.shareKey, { bucket, sequence: level.sequence })
    this.sequence = Math.max(this.sequence, level.sequence)
  }

  private usedWithoutBucket (share: Share, now: number): number {
    return Math.max(0, share.burst - share.rate * Math.max(0, now - this.knownSince) / 1000)
  }
}

function levelOf (shareKey: number, held: BucketRecord, share: Share, now: number): ShareLevel {
  const usedTokens = held.bucket.usedTokens(share, now)
  const unusedFor = Math.max(0, Math.ceil(held.bucket.lastValidUntil - now))
  return { shareKey, usedTokens, sequence: held.sequence, drainedForMilliseconds: -unusedFor }
}
