/** Rate and burst of each customer, counted where all its requests are placed. */
import type { AdmittedRequests } from '@hickoryspoke/protocol/generated/dispatch'

/** Rate in requests per second and burst in requests; a rate of 0 means no limit. */
export interface RateTerms {
  readonly rate: number
  readonly burst: number
}

/** How far the rates may be exceeded: within any window by a share of what is allowed in it, and by some requests more. */
export interface OverageTerms {
  readonly windowMilliseconds: number
  readonly share: number
  readonly requests: number
}

/** What one entry tells a new dispatcher of the window before it. */
export interface AdmissionReport {
  readonly admitted: AdmittedRequests[]
  /** Part of the fleet that the entry is; 0 when it cannot account for the whole window. */
  readonly fleetShare: number
}

interface Bucket {
  tokens: number
  filledAt: number
  terms: RateTerms
  /** Tokens added for what the entries reported. */
  credited: number
}

/** Part of the allowed overage that is given out before the entries have told what they admitted. */
const USED_SHARE_OF_OVERAGE = 0.5

/** One token bucket a customer. */
export class CustomerRates {
  private readonly buckets = new Map<string, Bucket>()
  private termsOf: (customer: string) => RateTerms | undefined = () => undefined
  private reportedShare = 0
  private readonly reported = new Map<string, number>()

  private constructor (private readonly overage: OverageTerms | undefined) {}

  /** Nothing has been spent yet, so bursts are whole. */
  static createUnspent (): CustomerRates {
    return new CustomerRates(undefined)
  }

  /** An earlier dispatcher may have spent the bursts just before. */
  static createAfterOther (overage: OverageTerms): CustomerRates {
    return new CustomerRates(overage)
  }

  /** Puts new terms in force for requests from now on. */
  setTerms (termsOf: (customer: string) => RateTerms | undefined): void {
    this.termsOf = termsOf
  }

  /** Takes account of what an entry admitted under an earlier dispatcher; once for each entry. */
  inherit ({ admitted, fleetShare }: AdmissionReport): void {
    if (this.overage === undefined || fleetShare === 0) return
    this.reportedShare = Math.min(1, this.reportedShare + fleetShare)
    for (const { customer, requests } of admitted) this.reported.set(customer, (this.reported.get(customer) ?? 0) + requests)
  }

  /** Takes one request from the customer's bucket; false when it is empty. */
  take (customer: string, now: number): boolean {
    const terms = this.termsOf(customer)
    if (terms === undefined || terms.rate <= 0) return true
    const bucket = this.fill(customer, terms, now)
    if (bucket.tokens < 1) return false
    bucket.tokens -= 1
    return true
  }

  /** Gives a request back that was not placed. */
  giveBack (customer: string): void {
    const bucket = this.buckets.get(customer)
    if (bucket !== undefined) bucket.tokens = Math.min(bucket.terms.burst, bucket.tokens + 1)
  }

  /** Milliseconds until the customer may send again. */
  waitMilliseconds (customer: string): number {
    const bucket = this.buckets.get(customer)
    if (bucket === undefined || bucket.terms.rate <= 0) return 0
    return Math.ceil(Math.max(0, 1 - bucket.tokens) / bucket.terms.rate * 1000)
  }

  private fill (customer: string, terms: RateTerms, now: number): Bucket {
    const size = Math.max(1, terms.burst)
    const bucket = this.buckets.get(customer) ?? { tokens: this.firstTokens(terms, size), filledAt: now, terms, credited: 0 }
    const credit = this.creditOf(customer, terms)
    bucket.terms = { rate: terms.rate, burst: size }
    bucket.tokens = Math.min(size, bucket.tokens + credit - bucket.credited + (now - bucket.filledAt) / 1000 * terms.rate)
    bucket.credited = credit
    bucket.filledAt = now
    this.buckets.set(customer, bucket)
    return bucket
  }

  private firstTokens (terms: RateTerms, size: number): number {
    if (this.overage === undefined) return size
    const { share, requests } = this.overage
    return Math.min(size, USED_SHARE_OF_OVERAGE * (share * this.allowedInWindow(terms) + requests))
  }

  /** What was left of the window before this dispatcher, as far as entries have told. */
  private creditOf (customer: string, terms: RateTerms): number {
    if (this.reportedShare === 0) return 0
    const left = this.allowedInWindow(terms) * this.reportedShare - (this.reported.get(customer) ?? 0)
    return Math.min(terms.burst, left)
  }

  private allowedInWindow ({ rate, burst }: RateTerms): number {
    return rate * (this.overage?.windowMilliseconds ?? 0) / 1000 + burst
  }
}
