import { nextArrivalMilliseconds, type SeededRandom } from '@hickoryspoke/runtime/random'
import type { FakeClock } from '@hickoryspoke/testing/fake-clock'

/** A customer of a pool with its weight and the rate at which it sends. */
export interface FairnessCustomer {
  readonly name: string
  /** Weight relative to the other customers; the configured rate of the customer. */
  readonly weight: number
  readonly requestsPerSecond: number
}

/** Decides which requests get the slots of a pool. */
export interface SlotSchedulingPolicy {
  /** Calls `start` when the request gets a slot. The callee of `start` calls `done` once the request has been served. */
  request (customer: FairnessCustomer, deadlineMilliseconds: number, start: (done: () => void) => void): void
}

/** Requests of one customer that were sent and that finished before their deadline. */
export interface CustomerOutcome {
  sent: number
  served: number
}

/** Runs random arrivals of all customers through a policy and counts the requests that finish before their deadline. */
export async function simulateArrivals (
  clock: FakeClock,
  random: SeededRandom,
  customers: readonly FairnessCustomer[],
  policy: SlotSchedulingPolicy,
  settings: { readonly durationMilliseconds: number, readonly serviceMilliseconds: number, readonly timeoutMilliseconds: number }
): Promise<ReadonlyMap<string, CustomerOutcome>> {
  const outcomes = new Map<string, CustomerOutcome>(customers.map((customer) => [customer.name, { sent: 0, served: 0 }]))
  const send = (customer: FairnessCustomer): void => {
    const outcome = outcomes.get(customer.name) as CustomerOutcome
    outcome.sent += 1
    const deadline = clock.monotonicMilliseconds() + settings.timeoutMilliseconds
    policy.request(customer, deadline, (done) => {
      const service = settings.serviceMilliseconds * (0.5 + random.next())
      clock.schedule(service, () => {
        if (clock.monotonicMilliseconds() <= deadline) outcome.served += 1
        done()
      })
    })
    scheduleNext(customer)
  }
  const scheduleNext = (customer: FairnessCustomer): void => {
    const delay = nextArrivalMilliseconds(random, customer.requestsPerSecond)
    if (clock.monotonicMilliseconds() + delay < settings.durationMilliseconds) clock.schedule(delay, () => send(customer))
  }
  customers.forEach(scheduleNext)
  await clock.advanceAsync(settings.durationMilliseconds + settings.timeoutMilliseconds)
  return outcomes
}

/** Computes weighted max-min fair rates: no customer gets more than it sends, and unused capacity goes to the customers that send more. */
export function maxMinFairRates (customers: readonly FairnessCustomer[], capacityPerSecond: number): Map<string, number> {
  const rates = new Map<string, number>()
  let open = [...customers]
  let capacity = capacityPerSecond
  while (open.length > 0) {
    const perWeight = capacity / open.reduce((sum, customer) => sum + customer.weight, 0)
    const content = open.filter((customer) => customer.requestsPerSecond <= perWeight * customer.weight)
    if (content.length === 0) {
      for (const customer of open) rates.set(customer.name, perWeight * customer.weight)
      return rates
    }
    for (const customer of content) rates.set(customer.name, customer.requestsPerSecond)
    capacity -= content.reduce((sum, customer) => sum + customer.requestsPerSecond, 0)
    open = open.filter((customer) => !content.includes(customer))
  }
  return rates
}
