/** Charges requests to the rate limits of their customers, and reserves tokens for refused callers that are told to return. */
import type { PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { CustomerRateLimiter } from './customer-rate-limiter.ts'
import { ReturnSchedule } from './return-schedule.ts'
import { longestReturn, MINIMUM_RETURN_MILLISECONDS } from './return-time.ts'

/** Reserved tokens are at most this share of those that a customer gets; the rest is for first attempts. With 0.5, fewer are served in time. */
const RESERVED_SHARE = 0.25

/** The quotas of all customers. */
export class QuotaAdmission {
  readonly returns: ReturnSchedule

  private constructor (clock: Clock, private readonly rates: CustomerRateLimiter) {
    this.returns = ReturnSchedule.create(clock)
  }

  static create (clock: Clock, rates: CustomerRateLimiter): QuotaAdmission {
    return new QuotaAdmission(clock, rates)
  }

  /** Takes a token. One that is reserved is taken only by the caller that returns; false when there is none. */
  tryTake ({ customer, fingerprint }: PlacementQuestion, now: number): boolean {
    if (this.returns.lengthOf(customer) === 0) return this.rates.tryTake(customer, now)
    if (this.returns.take(customer, fingerprint, now)) return this.rates.tryTake(customer, now)
    // A token is held from when the one before it can have been used.
    return this.rates.tryTake(customer, now, this.returns.due(customer, now, this.rates.refillMilliseconds(customer)))
  }

  /** Reserves a token for the return of a caller that was refused; undefined when there is none within the time that it honours. */
  reserve ({ customer, fingerprint, patienceMilliseconds }: PlacementQuestion, now: number): number | undefined {
    return this.returns.reserve({
      customer,
      fingerprint,
      earliest: now + Math.max(MINIMUM_RETURN_MILLISECONDS, this.rates.waitMilliseconds(customer)),
      latest: now + longestReturn(patienceMilliseconds),
      customerInterval: this.rates.refillMilliseconds(customer) / RESERVED_SHARE,
      overallInterval: 0
    }, now)
  }

  /** Reserves the token that a caller got back, which was told to return when its pool has room. */
  hold ({ customer, fingerprint }: PlacementQuestion, at: number): void {
    if (this.rates.refillMilliseconds(customer) > 0) this.returns.add(customer, fingerprint, at)
  }
}
