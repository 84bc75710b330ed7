/** The rate of requests that an upstream accepts: as it states in its responses, and while it is cold. The lower one applies. */
import type { StatedLimit } from '@hickoryspoke/protocol/generated/dispatch'
import type { ColdLimit } from './cold-limit.ts'
import { TokenBucket, type TokenRate } from './token-bucket.ts'

/** Part of a limit that one process may use, as a share of 1, and the tokens that it starts with. */
export interface LimitShare {
  readonly share: number
  readonly initialTokens: number
}

/** Largest burst, as the time in which it accumulates. */
const BURST_MILLISECONDS = 1_000
/** Lowest rate at which an upstream is tried: whether its limit still holds shows only in a response. */
const MINIMUM_REQUESTS_PER_SECOND = 0.1

/** The limits of one upstream. Without a limit, any number of requests may be sent. */
export class RequestLimit {
  private rate: number | undefined
  /** When the limit was last stated, in monotonic milliseconds. */
  private statedAt = -Infinity
  private readonly bucket = TokenBucket.create(0)

  private constructor (private part: LimitShare, private readonly cold: ColdLimit | undefined) {}

  /** Without a `ColdLimit` only the stated limit applies. */
  static create (part: LimitShare, cold?: ColdLimit): RequestLimit {
    return new RequestLimit(part, cold)
  }

  /** Requests per second from all entries together; undefined while the upstream states no limit. */
  get requestsPerSecond (): number | undefined {
    return this.rate
  }

  /** The same, with the warm-up limit while the upstream is cold; Infinity without a limit. */
  currentRate (now: number): number {
    return Math.min(this.rate ?? Infinity, this.cold?.requestsPerSecond(now) ?? Infinity)
  }

  /** Whether the upstream is cold and its pool has a warm-up limit. */
  isCold (now: number): boolean {
    return this.cold?.requestsPerSecond(now) !== undefined
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
    this.bucket.reset(part.initialTokens, now)
  }

  /** Whether another request may be sent now. */
  allows (now: number): boolean {
    return (this.rate === undefined || this.bucket.has(this.tokenRate, now)) && (this.cold?.allows(now) ?? true)
  }

  /** Counts a request that is sent, whether it was allowed or not. */
  take (now: number): void {
    this.cold?.take(now)
    if (this.rate !== undefined) this.bucket.take(this.tokenRate, now)
  }

  private setRate (requestsPerSecond: number | undefined, now: number): void {
    if (this.rate === undefined) this.bucket.reset(this.part.initialTokens, now)
    else this.bucket.refill(this.tokenRate, now)
    this.rate = requestsPerSecond
  }

  private get tokenRate (): TokenRate {
    const tokensPerMillisecond = Math.max(MINIMUM_REQUESTS_PER_SECOND, this.rate ?? 0) * this.part.share / 1_000
    return { tokensPerMillisecond, capacity: Math.max(1, tokensPerMillisecond * BURST_MILLISECONDS) }
  }
}

function isPossible (requestsPerSecond: number | undefined): boolean {
  return requestsPerSecond === undefined || Number.isFinite(requestsPerSecond)
}
