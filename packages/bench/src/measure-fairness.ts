import { SeededRandom } from '@hickoryspoke/runtime/random'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { type FairnessCustomer, maxMinFairRates, simulateArrivals, type SlotSchedulingPolicy } from './fairness-arrivals.ts'
import { fairQueuePolicy, noQueuePolicy, sharedQueuePolicy } from './fairness-policies.ts'
import { atLeast, type MeasureReport, type MeasureRow } from './measure-report.ts'

type CreatePolicy = (clock: FakeClock, slots: number) => SlotSchedulingPolicy

const WEIGHTS = [40, 40, 20, 20, 10, 10, 5, 5]
const OVERLOAD_FACTORS = [5, 20]
const LOADS_PERCENT = [80, 100, 150]
const SLOTS = 12
const SERVICE_MILLISECONDS = 50
const TIMEOUT_MILLISECONDS = 2000
const DURATION_MILLISECONDS = 40_000
const SEED = 3
const MIN_PERCENT = 95
/** Indexes of the customer that exceeds its rate: one of the largest weight and one of the smallest. */
const NOISY_CUSTOMERS = [0, 7]

/** Measures the service of the worst-served customer while another one sends several times its rate. */
export async function measureFairness (): Promise<MeasureReport> {
  const rows: MeasureRow[] = []
  for (const load of LOADS_PERCENT) {
    for (const overloadFactor of OVERLOAD_FACTORS) {
      for (const noisyCustomer of NOISY_CUSTOMERS) rows.push(await measureCase(load, overloadFactor, noisyCustomer))
    }
  }
  return { name: 'fairness', rows, notes: NOTES }
}

async function measureCase (load: number, overloadFactor: number, noisyCustomer: number): Promise<MeasureRow> {
  const customers = customersAt(load, overloadFactor, noisyCustomer)
  const fair = await worstServedPercent(customers, noisyCustomer, fairQueuePolicy)
  const none = await worstServedPercent(customers, noisyCustomer, noQueuePolicy)
  const shared = await worstServedPercent(customers, noisyCustomer, sharedQueuePolicy)
  const name = `load ${load} % of slots, customer of weight ${WEIGHTS[noisyCustomer]} sends ${overloadFactor} times its rate`
  return atLeast(`${name}: worst-served other customer`, fair, '% of its entitlement', MIN_PERCENT, `no queue ${none.toFixed(0)} %, one shared queue ${shared.toFixed(0)} %`)
}

/** Creates customers that use the given share of the slots at their rates, and lets one of them send a multiple of its rate. */
function customersAt (load: number, overloadFactor: number, noisyCustomer: number): FairnessCustomer[] {
  const capacity = SLOTS * 1000 / SERVICE_MILLISECONDS
  const perWeight = capacity * load / 100 / WEIGHTS.reduce((sum, weight) => sum + weight, 0)
  return WEIGHTS.map((weight, index) => ({
    name: `customer-${index}`,
    weight,
    requestsPerSecond: weight * perWeight * (index === noisyCustomer ? overloadFactor : 1)
  }))
}

/**
 * Returns the lowest percentage of its entitlement that any customer but the noisy one was served.
 * The entitlement is the smaller of what the customer sent and its max-min fair rate.
 */
async function worstServedPercent (customers: readonly FairnessCustomer[], noisyCustomer: number, create: CreatePolicy): Promise<number> {
  const clock = FakeClock.create()
  const settings = { durationMilliseconds: DURATION_MILLISECONDS, serviceMilliseconds: SERVICE_MILLISECONDS, timeoutMilliseconds: TIMEOUT_MILLISECONDS }
  const outcomes = await simulateArrivals(clock, SeededRandom.create(SEED), customers, create(clock, SLOTS), settings)
  const fairRates = maxMinFairRates(customers, SLOTS * 1000 / SERVICE_MILLISECONDS)
  const shares = customers.filter((_, index) => index !== noisyCustomer).map((customer) => {
    const { sent, served } = outcomes.get(customer.name) ?? { sent: 0, served: 0 }
    const entitledCount = Math.min(sent, (fairRates.get(customer.name) ?? 0) * DURATION_MILLISECONDS / 1000)
    return 100 * served / entitledCount
  })
  return Math.min(...shares)
}

const NOTES = [
  'Eight customers of weights 40, 40, 20, 20, 10, 10, 5 and 5, random arrivals, 12 slots, service 25 to 75 ms, deadline 2 s, 40 s of simulated time.',
  'The rate limiter is left out, so that only the queue protects the other customers. The entitlement of a customer is what it sends, or its max-min fair share by weight if less.'
]
