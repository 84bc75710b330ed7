import type { ShareLevel } from '@hickoryspoke/protocol/generated/share'
import type { Share } from './share-split.ts'
import { TokenBucket } from './token-bucket.ts'

/** Finds rate and burst of a share; undefined when the customer is not known. */
export type ShareLookup = (shareKey: number) => Share | undefined

/**
 * What the holder of a slot knows of the tokens used.
 * Shares without a bucket have not been used since `knownSince`; before that they count as used up.
 */
export class SlotShares {
  private readonly buckets = new Map<number, TokenBucket>()

  private constructor (private knownSince: number) {}

  /** Shares of which nothing is known before a monotonic time in milliseconds. */
  static create (knownSinceMilliseconds: number): SlotShares {
    return new SlotShares(knownSinceMilliseconds)
  }

  /** Shares as a former holder passed them on. */
  static inherit (levels: readonly ShareLevel[], knownSinceMilliseconds: number, usedUpAtMilliseconds: number, nowMilliseconds: number): SlotShares {
    const shares = new SlotShares(knownSinceMilliseconds)
    for (const level of levels) {
      const bucket = TokenBucket.create(0, nowMilliseconds)
      bucket.grant(level.used, usedUpAtMilliseconds)
      shares.buckets.set(level.shareKey, bucket)
    }
    return shares
  }

  /** The bucket of a share, created where there is none. */
  bucket (shareKey: number, share: Share, nowMilliseconds: number): TokenBucket {
    const known = this.buckets.get(shareKey)
    if (known !== undefined) return known
    const bucket = TokenBucket.create(this.usedWithoutBucket(share, nowMilliseconds), nowMilliseconds)
    this.buckets.set(shareKey, bucket)
    return bucket
  }

  /** Whether a share may still be counted as used up only for lack of knowledge. */
  recovering (share: Share, nowMilliseconds: number): boolean {
    return this.usedWithoutBucket(share, nowMilliseconds) > 0
  }

  knownForMilliseconds (nowMilliseconds: number): number {
    return nowMilliseconds - this.knownSince
  }

  /** Milliseconds until every token granted so far has certainly been used. */
  usedUpAfter (nowMilliseconds: number): number {
    let last = nowMilliseconds
    for (const bucket of this.buckets.values()) last = Math.max(last, bucket.usedUpAt)
    return last - nowMilliseconds
  }

  /** Levels of all shares in use. */
  levels (lookup: ShareLookup, nowMilliseconds: number): ShareLevel[] {
    const levels: ShareLevel[] = []
    for (const [shareKey, bucket] of this.buckets) {
      const share = lookup(shareKey)
      if (share !== undefined) levels.push({ shareKey, used: bucket.usedTokens(share, nowMilliseconds) })
    }
    return levels
  }

  /** Forgets buckets that say no more than their absence. */
  sweep (lookup: ShareLookup, nowMilliseconds: number): void {
    for (const [shareKey, bucket] of this.buckets) {
      const share = lookup(shareKey)
      if (share === undefined) continue
      if (bucket.usedTokens(share, nowMilliseconds) <= this.usedWithoutBucket(share, nowMilliseconds)) this.buckets.delete(shareKey)
    }
  }

  /** Shares that have a bucket. */
  get size (): number {
    return this.buckets.size
  }

  private usedWithoutBucket (share: Share, now: number): number {
    return Math.max(0, share.burst - share.rate * Math.max(0, now - this.knownSince) / 1000)
  }
}
