import type { Share } from './share-split.ts'

interface OutstandingGrant {
  readonly usedUpAt: number
  readonly tokens: number
}

/**
 * Tokens of one share, counted as used ones that drain at the rate.
 * A granted token may be used at any time until its validity ends; it takes room at once
 * and starts to drain only when it has certainly been used. So in each window of T seconds
 * at most `burst + rate * T` tokens are used, however late each is used within its validity.
 */
export class TokenBucket {
  private outstanding: OutstandingGrant[] = []
  private outstandingTokens = 0

  private constructor (private used: number, private usedAt: number) {}

  /** A bucket with `used` tokens in use at a monotonic time in milliseconds. */
  static create (used: number, nowMilliseconds: number): TokenBucket {
    return new TokenBucket(used, nowMilliseconds)
  }

  /** Whole tokens that can be granted now. */
  available (share: Share, nowMilliseconds: number): number {
    this.advance(share, nowMilliseconds)
    return Math.max(0, Math.floor(share.burst - this.used - this.outstandingTokens + ROUNDING))
  }

  /** Grants tokens that are used at `usedUpAtMilliseconds` at the latest. */
  grant (tokens: number, usedUpAtMilliseconds: number): void {
    let place = this.outstanding.length
    while (place > 0 && (this.outstanding[place - 1] as OutstandingGrant).usedUpAt > usedUpAtMilliseconds) place -= 1
    this.outstanding.splice(place, 0, { usedUpAt: usedUpAtMilliseconds, tokens })
    this.outstandingTokens += tokens
  }

  /** Monotonic time in milliseconds at which `tokens` can have been granted one by one; infinite when never. */
  availableAt (tokens: number, share: Share, nowMilliseconds: number): number {
    const atOnce = Math.min(tokens, Math.floor(share.burst))
    if (atOnce < 1) return Infinity
    return this.availableAtOnceAt(atOnce, share, nowMilliseconds) + (tokens - atOnce) / drainPerMillisecond(share.rate)
  }

  private availableAtOnceAt (tokens: number, share: Share, nowMilliseconds: number): number {
    this.advance(share, nowMilliseconds)
    const perMillisecond = drainPerMillisecond(share.rate)
    let at = nowMilliseconds
    let used = this.used
    let excess = this.used + this.outstandingTokens + tokens - share.burst - ROUNDING
    for (const grant of this.outstanding) {
      const drained = Math.min(used, perMillisecond * (grant.usedUpAt - at))
      if (excess <= drained) break
      excess -= drained
      used += grant.tokens - drained
      at = grant.usedUpAt
    }
    if (excess <= 0) return at
    return excess <= used && perMillisecond > 0 ? at + excess / perMillisecond : Infinity
  }

  /** Monotonic time in milliseconds by which every granted token has certainly been used. */
  get usedUpAt (): number {
    return this.outstanding.at(-1)?.usedUpAt ?? 0
  }

  /** Tokens in use, those outstanding counted in full. */
  usedTokens (share: Share, nowMilliseconds: number): number {
    this.advance(share, nowMilliseconds)
    return this.used + this.outstandingTokens
  }

  private advance (share: Share, nowMilliseconds: number): void {
    while (this.outstanding.length > 0 && (this.outstanding[0] as OutstandingGrant).usedUpAt <= nowMilliseconds) {
      const grant = this.outstanding.shift() as OutstandingGrant
      this.drain(share.rate, grant.usedUpAt)
      this.used += grant.tokens
      this.outstandingTokens -= grant.tokens
    }
    this.drain(share.rate, nowMilliseconds)
  }

  private drain (rate: number, untilMilliseconds: number): void {
    this.used = Math.max(0, this.used - drainPerMillisecond(rate) * Math.max(0, untilMilliseconds - this.usedAt))
    this.usedAt = Math.max(this.usedAt, untilMilliseconds)
  }
}

/** Part of a token by which sums of fractions may be off. */
const ROUNDING = 1e-9

/** Part by which the monotonic clock of the holder may run fast. */
const CLOCK_DRIFT_SHARE = 0.0005

function drainPerMillisecond (ratePerSecond: number): number {
  return ratePerSecond * (1 - CLOCK_DRIFT_SHARE) / 1000
}
