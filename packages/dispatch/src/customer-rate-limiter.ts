/** Rate limiting per customer, in the dispatcher, through which all requests of the fleet pass. */
import type { AdmittedRequests } from '@hickoryspoke/protocol/generated/dispatch'

/** Rate in requests per second and burst in requests; a rate of 0 means no limit. */
export interface RateLimit {
  readonly rate: number
  readonly burst: number
}

/** How far a rate limit may be exceeded within any window: by a share of the requests allowed in it plus a fixed number of requests. */
export interface OverageAllowance {
  readonly windowMilliseconds: number
  readonly share: number
  readonly requests: number
}

/** What an entry admitted within the last window, reported to a new dispatcher. */
export interface AdmissionReport {
  readonly admitted: AdmittedRequests[]
  /** The entry's share of the fleet, 1 divided by the number of entries; 0 when it cannot account for the whole window. */
  readonly fleetShare: number
}

interface Bucket {
  tokens: number
  refilledAt: number
  terms: RateLimit
  /** Tokens already added because of the entries' reports. */
  credited: number
  /** When it was found full last, in monotonic milliseconds. */
  fullAt: number
}

/** Share of the allowed overage that a new dispatcher hands out before the entries have reported what they admitted. */
const INITIAL_OVERAGE_SHARE = 0.5

/** One token bucket per customer. */
export class CustomerRateLimiter {
  private readonly buckets = new Map<string, Bucket>()
  private limitOf: (customer: string) => RateLimit | undefined = () => undefined
  /** Share of the fleet whose entries have reported. */
  private reportedShare = 0
  private readonly reportedRequests = new Map<string, number>()

  private constructor (private readonly overage: OverageAllowance | undefined) {}

  /** For a dispatcher without a predecessor: every bucket starts full. */
  static createWithFullBursts (): CustomerRateLimiter {
    return new CustomerRateLimiter(undefined)
  }

  /** For a dispatcher that replaces another, which may have just spent the bursts: buckets start with a part of the allowed overage. */
  static createAfterPredecessor (overage: OverageAllowance): CustomerRateLimiter {
    return new CustomerRateLimiter(overage)
  }

  /** Sets how a customer's limit is looked up; undefined means no limit. */
  setLimits (limitOf: (customer: string) => RateLimit | undefined): void {
    this.limitOf = limitOf
  }

  /** Accounts for what an entry admitted under an earlier dispatcher. Call it once per entry. */
  addReport ({ admitted, fleetShare }: AdmissionReport): void {
    // Also where the share is not a number, which would lift every limit.
    if (this.overage === undefined || !(fleetShare > 0)) return
    this.reportedShare = Math.min(1, this.reportedShare + fleetShare)
    for (const { customer, requests } of admitted) this.reportedRequests.set(customer, (this.reportedRequests.get(customer) ?? 0) + requests)
  }

  /** Takes one token from the customer's bucket; false when there is none beyond those that are `held` for others. */
  tryTake (customer: string, now: number, held = 0): boolean {
    const terms = this.limitOf(customer)
    if (terms === undefined || terms.rate <= 0) return true
    const bucket = this.refill(customer, terms, now)
    if (bucket.tokens < 1 + held) return false
    bucket.tokens -= 1
    return true
  }

  /**
   * Returns the token of a request that was not placed. If the bucket has been full since it was charged, the token would have been lost
   * without the charge as well; to return it would let a customer that waits exceed its burst.
   */
  refund (customer: string, chargedAt = Infinity): void {
    const bucket = this.buckets.get(customer)
    if (bucket !== undefined && bucket.fullAt <= chargedAt) bucket.tokens = Math.min(bucket.terms.burst, bucket.tokens + 1)
  }

  /** Milliseconds until the customer's bucket has a token. */
  waitMilliseconds (customer: string): number {
    const bucket = this.buckets.get(customer)
    if (bucket === undefined || bucket.terms.rate <= 0) return 0
    return Math.ceil(Math.max(0, 1 - bucket.tokens) / bucket.terms.rate * 1000)
  }

  /** Milliseconds in which the customer's bucket gets one token; 0 when there is no limit. */
  refillMilliseconds (customer: string): number {
    const rate = this.limitOf(customer)?.rate ?? 0
    return rate <= 0 ? 0 : 1_000 / rate
  }

  private refill (customer: string, terms: RateLimit, now: number): Bucket {
    const size = Math.max(1, terms.burst)
    const bucket = this.buckets.get(customer) ?? { tokens: this.initialTokens(terms, size), refilledAt: now, terms, credited: 0, fullAt: -Infinity }
    const credit = this.creditOf(customer, terms)
    bucket.terms = { rate: terms.rate, burst: size }
    bucket.tokens = Math.min(size, bucket.tokens + credit - bucket.credited + (now - bucket.refilledAt) / 1000 * terms.rate)
    if (bucket.tokens === size) bucket.fullAt = now
    bucket.credited = credit
    bucket.refilledAt = now
    this.buckets.set(customer, bucket)
    return bucket
  }

  private initialTokens (terms: RateLimit, size: number): number {
    if (this.overage === undefined) return size
    const { share, requests } = this.overage
    return Math.min(size, INITIAL_OVERAGE_SHARE * (share * this.allowedInWindow(terms) + requests))
  }

  /** Requests that the reporting entries left unused in the window before this dispatcher; negative when they exceeded it. */
  private creditOf (customer: string, terms: RateLimit): number {
    if (this.reportedShare === 0) return 0
    const left = this.allowedInWindow(terms) * this.reportedShare - (this.reportedRequests.get(customer) ?? 0)
    return Math.min(terms.burst, left)
  }

  private allowedInWindow ({ rate, burst }: RateLimit): number {
    return rate * (this.overage?.windowMilliseconds ?? 0) / 1000 + burst
  }
}
