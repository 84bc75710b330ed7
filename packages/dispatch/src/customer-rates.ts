/** Rate and burst of each customer, counted where all its requests are placed. */

/** Rate in requests per second and burst in requests; a rate of 0 means no limit. */
export interface RateTerms {
  readonly rate: number
  readonly burst: number
}

interface Bucket {
  tokens: number
  filledAt: number
  terms: RateTerms
}

/** One token bucket a customer. */
export class CustomerRates {
  private readonly buckets = new Map<string, Bucket>()
  private termsOf: (customer: string) => RateTerms | undefined = () => undefined

  /** `startFull` is false where another process may have spent the bursts just before. */
  private constructor (private readonly startFull: boolean) {}

  static create (startFull: boolean): CustomerRates {
    return new CustomerRates(startFull)
  }

  /** Puts new terms in force for requests from now on. */
  setTerms (termsOf: (customer: string) => RateTerms | undefined): void {
    this.termsOf = termsOf
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
    const bucket = this.buckets.get(customer) ?? { tokens: this.startFull ? size : 0, filledAt: now, terms }
    bucket.terms = { rate: terms.rate, burst: size }
    bucket.tokens = Math.min(size, bucket.tokens + (now - bucket.filledAt) / 1000 * terms.rate)
    bucket.filledAt = now
    this.buckets.set(customer, bucket)
    return bucket
  }
}
