/** The rate of requests that an upstream accepts, as it states in its responses. */
import type { StatedLimit } from '@hickoryspoke/protocol/generated/dispatch'

/** Part of a limit that one process may use, as a share of 1, and the tokens that it starts with. */
export interface LimitShare {
  readonly share: number
  readonly initialTokens: number
}

/** Largest burst, as the time in which it accumulates. */
const BURST_MILLISECONDS = 1_000
/** Lowest rate at which an upstream is tried: whether its limit still holds shows only in a response. */
const MINIMUM_REQUESTS_PER_SECOND = 0.1

/** The limit of one upstream, as a token bucket. Without a limit, any number of requests may be sent. */
export class RequestLimit {
  private rate: number | undefined
  /** When the limit was last stated, in monotonic milliseconds. */
  private statedAt = -Infinity
  private tokens = 0
  private refilledAt = -Infinity

  private constructor (private part: LimitShare) {}

  static create (part: LimitShare): RequestLimit {
    return new RequestLimit(part)
  }

  /** Requests per second from all entries together; undefined while the upstream states no limit. */
  get requestsPerSecond (): number | undefined {
    return this.rate
  }

  /**
   * Records what a response states; true if the limit changed. Only the response to a request that was placed after the
   * limit was last stated can show that it no longer holds, as responses arrive in any order. An infinite limit tells nothing.
   */
  record ({ requestsPerSecond }: StatedLimit, placedAt: number, now: number): boolean {
    if (!isPossible(requestsPerSecond)) return false
    if (requestsPerSecond === undefined && placedAt < this.statedAt) return false
    if (requestsPerSecond !== undefined) this.statedAt = now
    const isChanged = requestsPerSecond !== this.rate
    if (isChanged) this.setRate(requestsPerSecond, now)
    return isChanged
  }

  /** Takes over what another process knows. */
  adopt (requestsPerSecond: number | undefined, now: number): void {
    if (isPossible(requestsPerSecond) && requestsPerSecond !== this.rate) this.setRate(requestsPerSecond, now)
  }

  /** Changes the part of the limit that this process may use. */
  usePart (part: LimitShare, now: number): void {
    this.part = part
    this.tokens = part.initialTokens
    this.refilledAt = now
  }

  /** Whether another request may be sent now. */
  allows (now: number): boolean {
    if (this.rate === undefined) return true
    this.refill(now)
    return this.tokens >= 1
  }

  /** Counts a request that is sent, whether it was allowed or not. */
  take (now: number): void {
    if (this.rate === undefined) return
    this.refill(now)
    this.tokens = Math.max(-this.capacity, this.tokens - 1)
  }

  private setRate (requestsPerSecond: number | undefined, now: number): void {
    this.refill(now)
    if (this.rate === undefined) this.tokens = this.part.initialTokens
    this.rate = requestsPerSecond
    this.refilledAt = now
  }

  private refill (now: number): void {
    const elapsed = Math.max(0, now - this.refilledAt)
    this.tokens = Math.min(this.capacity, this.tokens + elapsed * this.tokensPerMillisecond)
    this.refilledAt = now
  }

  private get capacity (): number {
    return Math.max(1, this.tokensPerMillisecond * BURST_MILLISECONDS)
  }

  private get tokensPerMillisecond (): number {
    return Math.max(MINIMUM_REQUESTS_PER_SECOND, this.rate ?? 0) * this.part.share / 1_000
  }
}

function isPossible (requestsPerSecond: number | undefined): boolean {
  return requestsPerSecond === undefined || Number.isFinite(requestsPerSecond)
}
