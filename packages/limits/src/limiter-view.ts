import type { Admission } from './admission.ts'
import { REFUSAL_REASON } from './admission.ts'
import type { CustomerDirectory, KnownCustomer } from './customer-directory.ts'

/** One customer's figures at this entry, since it started. */
export interface CustomerFigures {
  readonly customer: string
  readonly ratePerSecond: number
  readonly burst: number
  readonly admitted: number
  /** Refused because rate and burst were used up. */
  readonly limited: number
  /** Refused for any other reason. */
  readonly refused: number
  /** Milliseconds since the last refusal for rate; undefined when never. */
  readonly limitedMillisecondsAgo: number | undefined
}

/** What this entry knows of limits. */
export interface LimiterView {
  /** Slots whose lease this entry holds. */
  readonly heldSlots: readonly number[]
  readonly slotsVoted: number
  readonly pendingDecisions: number
  /** Customers that sent anything since this entry started. */
  readonly customers: readonly CustomerFigures[]
}

/** Counts one decision. */
export function countAdmission (customer: KnownCustomer, admission: Admission, nowMilliseconds: number): void {
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

/** Figures of all customers that sent anything. */
export function viewOfCustomers (directory: CustomerDirectory, nowMilliseconds: number): CustomerFigures[] {
  const figures: CustomerFigures[] = []
  for (const customer of directory.all()) {
    if (customer.admitted + customer.limited + customer.refused > 0) figures.push(figuresOf(customer, nowMilliseconds))
  }
  return figures
}

function figuresOf (customer: KnownCustomer, now: number): CustomerFigures {
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
