/** Tokens that return at a steady rate. */

/** How fast tokens return, and how many accumulate. */
export interface TokenRate {
  readonly tokensPerMillisecond: number
  readonly capacity: number
}

/** Holds tokens; its rate is given with each call, as it may change at any time. */
export class TokenBucket {
  private refilledAt: number | undefined

  private constructor (private tokens: number) {}

  /** The tokens begin to return at the first use. */
  static create (initialTokens: number): TokenBucket {
    return new TokenBucket(initialTokens)
  }

  /** Sets the number of tokens. */
  reset (tokens: number, now: number): void {
    this.tokens = tokens
    this.refilledAt = now
  }

  /** Whether there is a token. */
  has (rate: TokenRate, now: number): boolean {
    this.refill(rate, now)
    return this.tokens >= 1
  }

  /** Takes a token, whether there is one or not; the debt is limited to the capacity. */
  take (rate: TokenRate, now: number): void {
    this.refill(rate, now)
    this.tokens = Math.max(-rate.capacity, this.tokens - 1)
  }

  /** Adds the tokens that have returned since the last call. */
  refill ({ tokensPerMillisecond, capacity }: TokenRate, now: number): void {
    const elapsed = Math.max(0, now - (this.refilledAt ?? now))
    this.tokens = Math.min(capacity, this.tokens + elapsed * tokensPerMillisecond)
    this.refilledAt = now
  }
}
