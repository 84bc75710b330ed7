import type { Share } from './share-split.ts'

interface OutstandingGrant {
  readonly validUntil: number
  readonly tokens: number
}

/**
 * Token bucket of one share, kept as a count of used tokens that drains at the share's rate.
 * A granted token may be used at any time until its validity ends. It counts as used from the grant on
 * but starts to drain only when its validity ends. Therefore at most `burst + rate * T` tokens
 * are used in any window of T seconds, however late each token is used within its validity.
 */
export class TokenBucket {
  private outstanding: OutstandingGrant[] = []
  private outstandingTokens = 0

  private constructor (private used: number, private updatedAt: number) {}

  /** Creates a bucket in which `used` tokens count as used at a monotonic time in milliseconds. */
  static create (used: number, nowMilliseconds: number): TokenBucket {
    return new TokenBucket(used, nowMilliseconds)
  }

  /** Number of whole tokens that can be granted now. */
  available (share: Share, nowMilliseconds: number): number {
    this.advance(share, nowMilliseconds)
    return Math.max(0, Math.floor(share.burst - this.used - this.outstandingTokens + ROUNDING_TOLERANCE))
  }

  /** Records a grant of tokens that may be used until `validUntilMilliseconds`. */
  grant (tokens: number, validUntilMilliseconds: number): void {
    let place = this.outstanding.length
    while (place > 0 && (this.outstanding[place - 1] as OutstandingGrant).validUntil > validUntilMilliseconds) place -= 1
    this.outstanding.splice(place, 0, { validUntil: validUntilMilliseconds, tokens })
    this.outstandingTokens += tokens
  }

  /** Monotonic time in milliseconds by which `tokens` tokens can be granted one after the other; `Infinity` if never. */
  availableAt (tokens: number, share: Share, nowMilliseconds: number): number {
    const inOneBurst = Math.min(tokens, Math.floor(share.burst))
    if (inOneBurst < 1) return Infinity
    return this.availableTogetherAt(inOneBurst, share, nowMilliseconds) + (tokens - inOneBurst) / drainPerMillisecond(share.rate)
  }

  private availableTogetherAt (tokens: number, share: Share, nowMilliseconds: number): number {
    this.advance(share, nowMilliseconds)
    const perMillisecond = drainPerMillisecond(share.rate)
    let at = nowMilliseconds
    let used = this.used
    let excess = this.used + this.outstandingTokens + tokens - share.burst - ROUNDING_TOLERANCE
    for (const grant of this.outstanding) {
      const drained = Math.min(used, perMillisecond * (grant.validUntil - at))
      if (excess <= drained) break
      excess -= drained
      used += grant.tokens - drained
      at = grant.validUntil
    }
    if (excess <= 0) return at
    return excess <= used && perMillisecond > 0 ? at + excess / perMillisecond : Infinity
  }

  /** Monotonic time in milliseconds at which the validity of the last granted token ends. */
  get lastValidUntil (): number {
    return this.outstanding.at(-1)?.validUntil ?? 0
  }

  /** Used tokens, including all granted tokens that are still valid. */
  usedTokens (share: Share, nowMilliseconds: number): number {
    this.advance(share, nowMilliseconds)
    return this.used + this.outstandingTokens
  }

  private advance (share: Share, nowMilliseconds: number): void {
    while (this.outstanding.length > 0 && (this.outstanding[0] as OutstandingGrant).validUntil <= nowMilliseconds) {
      const grant = this.outstanding.shift() as OutstandingGrant
      this.drain(share.rate, grant.validUntil)
      this.used += grant.tokens
      this.outstandingTokens -= grant.tokens
    }
    this.drain(share.rate, nowMilliseconds)
  }

  private drain (rate: number, untilMilliseconds: number): void {
    this.used = Math.max(0, this.used - drainPerMillisecond(rate) * Math.max(0, untilMilliseconds - this.updatedAt))
    this.updatedAt = Math.max(this.updatedAt, untilMilliseconds)
  }
}

/** Tolerance for floating-point rounding, in tokens. */
const ROUNDING_TOLERANCE = 1e-9

/** Relative amount by which the lease holder's monotonic clock may run fast. */
const CLOCK_DRIFT_RATIO = 0.0005

function drainPerMillisecond (ratePerSecond: number): number {
  return ratePerSecond * (1 - CLOCK_DRIFT_RATIO) / 1000
}
