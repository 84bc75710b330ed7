import type { ShareLevel, SlotLease, SlotLevels } from '@hickoryspoke/protocol/generated/share'
import type { Share } from './share-split.ts'
import { TokenBucket } from './token-bucket.ts'

/** Finds rate and burst of a share; undefined when the customer is not known. */
export type ShareLookup = (shareKey: number) => Share | undefined

interface HeldBucket {
  readonly bucket: TokenBucket
  sequence: number
}

/**
 * What the holder of a slot knows of the tokens used.
 * Shares without a bucket have not been used since `knownSince`; before that they count as used up.
 */
export class SlotShares {
  private readonly buckets = new Map<number, HeldBucket>()
  private sequence = 0

  private constructor (private knownSince: number) {}

  /** Shares of which nothing is known before a monotonic time in milliseconds. */
  static create (knownSinceMilliseconds: number): SlotShares {
    return new SlotShares(knownSinceMilliseconds)
  }

  /** Shares as other members of the home group knew them; of each share the newest level counts. */
  static inherit (reports: readonly SlotLevels[], nowMilliseconds: number, clockDriftShare: number): SlotShares {
    const knownFor = Math.min(...reports.map((report) => report.knownForMilliseconds))
    const shares = new SlotShares(nowMilliseconds - knownFor)
    const newest = new Map<number, ShareLevel>()
    for (const level of reports.flatMap((report) => report.levels)) {
      const known = newest.get(level.shareKey)
      if (known === undefined || known.sequence < level.sequence) newest.set(level.shareKey, level)
    }
    for (const level of newest.values()) shares.adopt(level, nowMilliseconds, clockDriftShare)
    return shares
  }

  /** The bucket of a share, created where there is none. */
  bucket (shareKey: number, share: Share, nowMilliseconds: number): TokenBucket {
    const known = this.buckets.get(shareKey)
    if (known !== undefined) return known.bucket
    const bucket = TokenBucket.create(this.usedWithoutBucket(share, nowMilliseconds), nowMilliseconds)
    this.buckets.set(shareKey, { bucket, sequence: this.sequence })
    return bucket
  }

  /** Notes a grant and returns the level that includes it. */
  noteGrant (shareKey: number, share: Share, nowMilliseconds: number): ShareLevel {
    const held = this.buckets.get(shareKey) as HeldBucket
    this.sequence += 1
    held.sequence = this.sequence
    return levelOf(shareKey, held, share, nowMilliseconds)
  }

  /** Whether a share may still be counted as used up only for lack of knowledge. */
  recovering (share: Share, nowMilliseconds: number): boolean {
    return this.usedWithoutBucket(share, nowMilliseconds) > 0
  }

  /** Levels of all shares in use, as the holder of a lease knows them. */
  levels (lease: SlotLease, lookup: ShareLookup, nowMilliseconds: number): SlotLevels {
    const levels: ShareLevel[] = []
    for (const [shareKey, held] of this.buckets) {
      const share = lookup(shareKey)
      if (share !== undefined) levels.push(levelOf(shareKey, held, share, nowMilliseconds))
    }
    return { lease, levels, knownForMilliseconds: nowMilliseconds - this.knownSince }
  }

  /** Forgets buckets that say no more than their absence. */
  sweep (lookup: ShareLookup, nowMilliseconds: number): void {
    for (const [shareKey, { bucket }] of this.buckets) {
      const share = lookup(shareKey)
      if (share === undefined) continue
      if (bucket.usedTokens(share, nowMilliseconds) <= this.usedWithoutBucket(share, nowMilliseconds)) this.buckets.delete(shareKey)
    }
  }

  /** Shares that have a bucket. */
  get size (): number {
    return this.buckets.size
  }

  private adopt (level: ShareLevel, now: number, clockDriftShare: number): void {
    const drainedFor = level.drainedForMilliseconds
    const bucket = TokenBucket.create(drainedFor < 0 ? 0 : level.usedTokens, Math.min(now, now - drainedFor))
    if (drainedFor < 0) bucket.grant(level.usedTokens, now - drainedFor * (1 + clockDriftShare))
    this.buckets.set(level.shareKey, { bucket, sequence: level.sequence })
    this.sequence = Math.max(this.sequence, level.sequence)
  }

  private usedWithoutBucket (share: Share, now: number): number {
    return Math.max(0, share.burst - share.rate * Math.max(0, now - this.knownSince) / 1000)
  }
}

function levelOf (shareKey: number, held: HeldBucket, share: Share, now: number): ShareLevel {
  const usedTokens = held.bucket.usedTokens(share, now)
  const unusedFor = Math.max(0, Math.ceil(held.bucket.usedUpAt - now))
  return { shareKey, usedTokens, sequence: held.sequence, drainedForMilliseconds: -unusedFor }
}
