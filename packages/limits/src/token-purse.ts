interface HeldTokens {
  tokens: number
  readonly useBefore: number
}

const DEMAND_WINDOW_MILLISECONDS = 1000

/** Tokens of one share that this entry was granted ahead, and how many it needs. */
export class TokenPurse {
  private held: HeldTokens[] = []
  private windowStart: number
  private inWindow = 0
  private perWindow = 0
  /** Monotonic time in milliseconds before which an ask is certainly refused. */
  refusedUntil = 0
  /** Milliseconds that the last refusal told to wait, counted from `refusedUntil`. */
  refusedWait = 0

  private constructor (nowMilliseconds: number) {
    this.windowStart = nowMilliseconds
  }

  static create (nowMilliseconds: number): TokenPurse {
    return new TokenPurse(nowMilliseconds)
  }

  /** Keeps tokens that must be used before a monotonic time in milliseconds. */
  put (tokens: number, useBeforeMilliseconds: number): void {
    if (tokens > 0) this.held.push({ tokens, useBefore: useBeforeMilliseconds })
  }

  /** Takes one token that is still valid; false when there is none. */
  take (nowMilliseconds: number): boolean {
    while (this.held.length > 0) {
      const first = this.held[0] as HeldTokens
      if (first.tokens > 0 && first.useBefore >= nowMilliseconds) {
        first.tokens -= 1
        return true
      }
      this.held.shift()
    }
    return false
  }

  /** Notes one request. */
  noteDemand (nowMilliseconds: number): void {
    const elapsed = nowMilliseconds - this.windowStart
    if (elapsed >= DEMAND_WINDOW_MILLISECONDS) {
      this.perWindow = elapsed >= 2 * DEMAND_WINDOW_MILLISECONDS ? 0 : this.inWindow
      this.windowStart = nowMilliseconds
      this.inWindow = 0
    }
    this.inWindow += 1
  }

  /** Requests to expect within a time in milliseconds, from the last full second. */
  expected (withinMilliseconds: number): number {
    return Math.floor(this.perWindow * withinMilliseconds / DEMAND_WINDOW_MILLISECONDS)
  }

  /** Whether nothing is held or remembered that matters after a monotonic time in milliseconds. */
  idle (nowMilliseconds: number): boolean {
    const spent = this.held.every((held) => held.tokens === 0 || held.useBefore < nowMilliseconds)
    return spent && this.refusedUntil < nowMilliseconds && nowMilliseconds - this.windowStart > 2 * DEMAND_WINDOW_MILLISECONDS
  }
}
