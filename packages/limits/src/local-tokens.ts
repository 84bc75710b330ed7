interface HeldTokens {
  tokens: number
  readonly useBefore: number
}

const DEMAND_WINDOW_MILLISECONDS = 1000

/** Tokens of one share that this entry was granted in advance, and the request rate that determines how many to ask for. */
export class LocalTokens {
  private held: HeldTokens[] = []
  private windowStart: number
  private requestsInWindow = 0
  private requestsInLastWindow = 0
  /** Monotonic time in milliseconds before which the lease holder would certainly refuse a request for a token. */
  refusedUntil = 0
  /** Milliseconds from `refusedUntil` until a token becomes free; the lease holder would queue a request sent in between. */
  retryAfterMargin = 0

  private constructor (nowMilliseconds: number) {
    this.windowStart = nowMilliseconds
  }

  static create (nowMilliseconds: number): LocalTokens {
    return new LocalTokens(nowMilliseconds)
  }

  /** Stores tokens that may be used until a monotonic time in milliseconds. */
  put (tokens: number, useBeforeMilliseconds: number): void {
    if (tokens > 0) this.held.push({ tokens, useBefore: useBeforeMilliseconds })
  }

  /** Takes one token that is still valid; returns false when there is none. */
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

  /** Counts one request. */
  recordRequest (nowMilliseconds: number): void {
    const elapsed = nowMilliseconds - this.windowStart
    if (elapsed >= DEMAND_WINDOW_MILLISECONDS) {
      this.requestsInLastWindow = elapsed >= 2 * DEMAND_WINDOW_MILLISECONDS ? 0 : this.requestsInWindow
      this.windowStart = nowMilliseconds
      this.requestsInWindow = 0
    }
    this.requestsInWindow += 1
  }

  /** Number of requests to expect within a duration in milliseconds, extrapolated from the last full window. */
  expectedRequests (withinMilliseconds: number): number {
    return Math.floor(this.requestsInLastWindow * withinMilliseconds / DEMAND_WINDOW_MILLISECONDS)
  }

  /** Whether there is no valid token, no current refusal and no recent request. */
  isIdle (nowMilliseconds: number): boolean {
    const spent = this.held.every((held) => held.tokens === 0 || held.useBefore < nowMilliseconds)
    return spent && this.refusedUntil < nowMilliseconds && nowMilliseconds - this.windowStart > 2 * DEMAND_WINDOW_MILLISECONDS
  }
}
