import { SeededRandom } from '@hickoryspoke/runtime/random'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { type FairnessCustomer, maxMinFairRates, playArrivals, type SlotPolicy } from './fairness-arrivals.ts'
import { fairQueuePolicy, noQueuePolicy, sharedQueuePolicy } from './fairness-policies.ts'
import { atLeast, type MeasureReport, type MeasureRow } from './measure-report.ts'

type CreatePolicy = (clock: FakeClock, slots: number) => SlotPolicy

const WEIGHTS = [40, 40, 20, 20, 10, 10, 5, 5]
const EXCESSES = [5, 20]
const LOADS_PERCENT = [80, 100, 150]
const SLOTS = 12
const SERVICE_MILLISECONDS = 50
const TIMEOUT_MILLISECONDS = 2000
const DURATION_MILLISECONDS = 40_000
const SEED = 3
const LEAST_PERCENT = 95
/** The large and a small customer as the one that sends too much. */
const FLOODERS = [0, 7]

/** Measures how the worst-served other customer fares while one sends several times its rate. */
export async function measureFairness (): Promise<MeasureReport> {
  const rows: MeasureRow[] = []
  for (const load of LOADS_PERCENT) {
    for (const excess of EXCESSES) {
      for (const flooder of FLOODERS) rows.push(await measureCase(load, excess, flooder))
    }
  }
  return { name: 'fairness', rows, notes: NOTES }
}

async function measureCase (load: number, excess: number, flooder: number): Promise<MeasureRow> {
  const customers = customersAt(load, excess, flooder)
  const fair = await worstServed(customers, flooder, fairQueuePolicy)
  const none = await worstServed(customers, flooder, noQueuePolicy)
  const shared = await worstServed(customers, flooder, sharedQueuePolicy)
  const name = `load ${load} % of slots, customer of weight ${WEIGHTS[flooder]} sends ${excess} times its rate`
  return atLeast(`${name}: worst-served other`, fair, '% of its due', LEAST_PERCENT, `no queue ${none.toFixed(0)} %, one shared queue ${shared.toFixed(0)} %`)
}

/** All at their rates fill a share of the slots; one of them sends a multiple of its rate. */
function customersAt (load: number, excess: number, flooder: number): FairnessCustomer[] {
  const capacity = SLOTS * 1000 / SERVICE_MILLISECONDS
  const perWeight = capacity * load / 100 / WEIGHTS.reduce((sum, weight) => sum + weight, 0)
  return WEIGHTS.map((weight, index) => ({
    name: `customer-${index}`,
    weight,
    sendsPerSecond: weight * perWeight * (index === flooder ? excess : 1)
  }))
}

/** The worst share, in percent, of the lesser of what it would get alone and its max-min fair rate. */
async function worstServed (customers: readonly FairnessCustomer[], flooder: number, create: CreatePolicy): Promise<number> {
  const clock = FakeClock.create()
  const settings = { durationMilliseconds: DURATION_MILLISECONDS, serviceMilliseconds: SERVICE_MILLISECONDS, timeoutMilliseconds: TIMEOUT_MILLISECONDS }
  const outcomes = await playArrivals(clock, SeededRandom.create(SEED), customers, create(clock, SLOTS), settings)
  const due = maxMinFairRates(customers, SLOTS * 1000 / SERVICE_MILLISECONDS)
  const shares = customers.filter((_, index) => index !== flooder).map((customer) => {
    const { sent, served } = outcomes.get(customer.name) ?? { sent: 0, served: 0 }
    const dueCount = Math.min(sent, (due.get(customer.name) ?? 0) * DURATION_MILLISECONDS / 1000)
    return 100 * served / dueCount
  })
  return Math.min(...shares)
}

const NOTES = [
  'Eight customers of weights 40, 40, 20, 20, 10, 10, 5 and 5, random arrivals, 12 slots, service 25 to 75 ms, deadline 2 s, 40 s of simulated time.',
  'The rate limiter is left out, so that the queue alone stands against the flood. The due of a customer is what it sends, or its max-min fair share by weight if less.'
]
