import { LimiterFleet } from '@hickoryspoke/limits/tests/limiter-fleet'
import { worstExcess } from '@hickoryspoke/limits/tests/bound-checker'
import { type CustomerRate, customerKey, shareKeyOf, slotOfShare } from '@hickoryspoke/limits/share-split'
import { randomBelow, SeededRandom } from '@hickoryspoke/runtime/random'
import { ConformingArrivals, type RateAndBurst } from './limit-arrivals.ts'
import { equalSplit, type LimitBaseline, type CounterOutage, NO_OUTAGE, oneCounter, threeCounters } from './limit-baselines.ts'
import { FAULT_DELAY_MILLISECONDS, type LimitScenario } from './limit-scenarios.ts'

/** Results of one rate and burst in one scenario. */
export interface RefusalStatistics {
  readonly requests: number
  /** Share of requests, from 0 to 1, that were refused although the customer stayed within its rate and burst. */
  readonly refusedShare: number
  readonly equalSplitShare: number
  readonly oneCounterShare: number
  readonly threeCountersShare: number
  /** Largest number of requests admitted above rate and burst in any window; at most 0 when the limit holds. */
  readonly worstExcess: number
  /** Decision latencies in milliseconds. */
  readonly latencies: readonly number[]
  readonly sentMessages: number
}

const ENTRIES = 44
const ZONES = 3
const MIN_WARM_UP_MILLISECONDS = 8000
const MAX_WARM_UP_MILLISECONDS = 520_000
const RUN_MILLISECONDS = 60_000
/** At high rates only the part of the minute around the fault is simulated. */
const SHORT_RUN_MILLISECONDS = 20_000
const SHORT_RUN_RATE_PER_SECOND = 500
const DRAIN_MILLISECONDS = 3000
const TARGET_REQUESTS_PER_SECOND = 60
const MAX_CUSTOMERS = 60
/** Time until a lost counter has a successor if that needs a new epoch: 10 s to remove the entry and 4.5 s of lease. */
const COUNTER_OUTAGE_MILLISECONDS = 14_500

/** Simulates one rate and burst in one scenario on a fleet of 44 entries in three zones. */
export async function measureRefusals (limit: RateAndBurst, scenario: LimitScenario, seed: number): Promise<RefusalStatistics> {
  const random = SeededRandom.create(seed)
  const fleet = LimiterFleet.create({ entries: ENTRIES, zones: ZONES, seed, network: { delayMilliseconds: zoneDelay, jitterMilliseconds: 0.2 } })
  const warmUp = warmUpDurationFor(limit)
  await fleet.run(warmUp)
  const holder = fleet.names[randomBelow(random, ENTRIES)] as string
  const customers = customersFor(limit, scenario, slotsHeldBy(fleet, holder))
  fleet.apply(customers)
  scenario.scheduleFault(fleet, holder)
  const outageStart = warmUp + FAULT_DELAY_MILLISECONDS
  const outage = scenario.affectedOnly ? { from: outageStart, until: outageStart + COUNTER_OUTAGE_MILLISECONDS } : NO_OUTAGE
  const baselines = customers.map((customer) => startCustomer(fleet, customer, random, outage))
  const sentBefore = fleet.network.sentMessages
  await fleet.run(runDurationFor(limit) + DRAIN_MILLISECONDS)
  return summarize(fleet, customers, baselines, fleet.network.sentMessages - sentBefore)
}

/** One-way network delay in milliseconds: 1.5 ms between zones, 0.3 ms within a zone. */
export function zoneDelay (from: string, to: string): number {
  return zoneOf(from) === zoneOf(to) ? 0.3 : 1.5
}

function zoneOf (name: string): number {
  return Number(name.slice('entry-'.length)) % ZONES
}

function slotsHeldBy (fleet: LimiterFleet, name: string): Set<number> {
  return new Set(fleet.limiter(name)?.view().heldSlots)
}

function customersFor (limit: RateAndBurst, scenario: LimitScenario, slots: ReadonlySet<number>): CustomerRate[] {
  const wanted = Math.max(1, Math.min(MAX_CUSTOMERS, Math.round(TARGET_REQUESTS_PER_SECOND / limit.rate)))
  const customers: CustomerRate[] = []
  for (let number = 0; customers.length < wanted; number += 1) {
    const name = `customer-${number}`
    if (!scenario.affectedOnly || slots.has(slotOfShare(shareKeyOf(customerKey(name), 0)))) customers.push({ name, ...limit })
  }
  return customers
}

interface BaselineCounts {
  refused: [number, number, number]
  requests: number
}

function runDurationFor (limit: RateAndBurst): number {
  return limit.rate >= SHORT_RUN_RATE_PER_SECOND ? SHORT_RUN_MILLISECONDS : RUN_MILLISECONDS
}

/** Time until every entry has its leases and until shares that started in an unknown state have refilled. */
function warmUpDurationFor (limit: RateAndBurst): number {
  return Math.min(MAX_WARM_UP_MILLISECONDS, MIN_WARM_UP_MILLISECONDS + limit.burst / limit.rate * 1000)
}

/** Sends a customer's requests to random entries and offers each of them to the baselines as well. */
function startCustomer (fleet: LimiterFleet, customer: CustomerRate, random: SeededRandom, outage: CounterOutage): BaselineCounts {
  const start = fleet.clock.monotonicMilliseconds()
  const arrivals = ConformingArrivals.create(customer, SeededRandom.create(randomBelow(random, 2 ** 31)), start)
  const baselines: LimitBaseline[] = [equalSplit(customer, ENTRIES), oneCounter(customer, outage), threeCounters(customer, outage)]
  const counts: BaselineCounts = { refused: [0, 0, 0], requests: 0 }
  const send = (): void => {
    const now = fleet.clock.monotonicMilliseconds()
    const names = fleet.names
    fleet.request(names[randomBelow(random, names.length)] as string, customer.name)
    counts.requests += 1
    baselines.forEach((baseline, index) => { if (!baseline.admit(randomBelow(random, ENTRIES), now)) counts.refused[index as 0] += 1 })
    scheduleNext()
  }
  const scheduleNext = (): void => {
    const at = arrivals.next()
    if (at < start + runDurationFor(customer)) fleet.clock.schedule(at - fleet.clock.monotonicMilliseconds(), send)
  }
  scheduleNext()
  return counts
}

function summarize (fleet: LimiterFleet, customers: readonly CustomerRate[], baselines: readonly BaselineCounts[], sentMessages: number): RefusalStatistics {
  const requests = fleet.decisions.length
  const refused = fleet.decisions.filter((decision) => !decision.admission.admitted).length
  const total = (index: 0 | 1 | 2): number => baselines.reduce((sum, counts) => sum + counts.refused[index], 0)
  const offered = Math.max(1, baselines.reduce((sum, counts) => sum + counts.requests, 0))
  const excesses = customers.map((customer) => worstExcess(fleet.admittedAt(customer.name), customer.rate, customer.burst))
  return {
    requests,
    refusedShare: requests === 0 ? 0 : refused / requests,
    equalSplitShare: total(0) / offered,
    oneCounterShare: total(1) / offered,
    threeCountersShare: total(2) / offered,
    worstExcess: Math.max(...excesses),
    latencies: fleet.decisions.map((decision) => decision.decidedAt - decision.arrivedAt),
    sentMessages
  }
}
