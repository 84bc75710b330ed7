import type { Admission } from './admission.ts'
import { REFUSAL_REASON } from './admission.ts'
import type { CustomerDirectory, CustomerRecord } from './customer-directory.ts'

/** Request counts and limits of one customer at this entry since it started. */
export interface CustomerStatistics {
  readonly customer: string
  readonly ratePerSecond: number
  readonly burst: number
  readonly admitted: number
  /** Requests refused because rate and burst were used up. */
  readonly limited: number
  /** Requests refused for any other reason. */
  readonly refused: number
  /** Milliseconds since the last refusal for rate; undefined if there was none. */
  readonly limitedMillisecondsAgo: number | undefined
}

/** State of the rate limiter at this entry, for metrics. */
export interface LimiterView {
  /** Slots whose lease this entry currently holds. */
  readonly heldSlots: readonly number[]
  readonly slotsVoted: number
  readonly pendingDecisions: number
  /** Customers that sent at least one request since this entry started. */
  readonly customers: readonly CustomerStatistics[]
}

/** Counts one admission decision. */
export function countAdmission (customer: CustomerRecord, admission: Admission, nowMilliseconds: number): void {
  if (admission.admitted) {
    customer.admitted += 1
    return
  }
  if (admission.reason !== REFUSAL_REASON.limited) {
    customer.refused += 1
    return
  }
  customer.limited += 1
  customer.lastLimitedAt = nowMilliseconds
}

/** Statistics of all customers that sent at least one request. */
export function customerStatistics (directory: CustomerDirectory, nowMilliseconds: number): CustomerStatistics[] {
  const statistics: CustomerStatistics[] = []
  for (const customer of directory.all()) {
    if (customer.admitted + customer.limited + customer.refused > 0) statistics.push(statisticsOf(customer, nowMilliseconds))
  }
  return statistics
}

function statisticsOf (customer: CustomerRecord, now: number): CustomerStatistics {
  return {
    customer: customer.rate.name,
    ratePerSecond: customer.rate.rate,
    burst: customer.rate.burst,
    admitted: customer.admitted,
    limited: customer.limited,
    refused: customer.refused,
    limitedMillisecondsAgo: customer.lastLimitedAt === undefined ? undefined : now - customer.lastLimitedAt
  }
}
