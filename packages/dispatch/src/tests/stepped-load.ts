/** Feeds a dispatcher with arrivals and ends in simulated time, so that two policies can be compared on the same arrivals. */
import { PlacementOutcome, type DispatchMessage, type PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import { SeededRandom, type RandomSource } from '@hickoryspoke/runtime/random'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { silentLogger } from '@hickoryspoke/telemetry/logger'
import { CustomerRateLimiter } from '../customer-rate-limiter.ts'
import { DEFAULT_DISPATCH_POLICY } from '../dispatch-policy.ts'
import { Dispatcher } from '../dispatcher.ts'
import type { EntryConnection } from '../entry-connection.ts'
import { UpstreamRegistry } from '../upstream-registry.ts'
import { announcement, question } from './fixture.ts'

/** An upstream of a load: its time of a request is work x slowness, times `nearlyFull` while more than 3/4 of its slots are taken. */
export interface LoadUpstream {
  readonly zone: string
  readonly slots: number
  readonly slowness: number
  readonly nearlyFull?: number
  /** Whether it answers each request at once with an error. */
  readonly fails?: boolean
}

/** A request of a load. */
export interface LoadArrival {
  readonly at: number
  readonly zone: string
  readonly work: number
  readonly question: Partial<PlacementQuestion>
}

/** What became of the requests. Shares are of all arrivals, times in simulated milliseconds from arrival to answer. */
export interface LoadResult {
  readonly onTimeShare: number
  readonly answeredShare: number
  readonly otherZoneShare: number
  readonly failed: number
  quantile (share: number): number
  readonly dispatcher: Dispatcher
  /** Number of requests that each upstream got. */
  readonly placed: readonly number[]
}

const ZONE_MILLISECONDS = 0.5
const TICK_MILLISECONDS = 50

/** Arrivals of one kind from `from` to `until`, at a rate per second that may depend on the time. */
export function arrivals (seed: number, from: number, until: number, rate: (at: number) => number, make: (random: RandomSource, at: number) => Omit<LoadArrival, 'at'>): LoadArrival[] {
  const random = SeededRandom.create(seed)
  const list: LoadArrival[] = []
  for (let at = from; at < until; at += 1) {
    for (let expected = rate(at) / 1_000; random.next() < expected; expected -= 1) list.push({ at, ...make(random, at) })
  }
  return list
}

/** A work of log-normal spread; with probability `heavyShare` it is `heavyFactor` times as much. */
export function heavyWork (random: RandomSource, mean: number, spread: number, heavyShare: number, heavyFactor: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
  const sigma = Math.sqrt(Math.log(1 + spread ** 2))
  return mean * Math.exp(sigma * normal - sigma ** 2 / 2) * (random.next() < heavyShare ? heavyFactor : 1)
}

/** Runs the load; requests that arrive before `measuredFrom` are not counted in the result. */
export function runLoad (upstreams: readonly LoadUpstream[], load: readonly LoadArrival[], expectedCost: boolean, measuredFrom = 0): LoadResult {
  const clock = FakeClock.create()
  const registry = UpstreamRegistry.create(clock)
  upstreams.forEach(({ zone, slots }, index) => registry.announce(announcement({ instance: `i-${index}`, address: `10.0.0.1:${8_000 + index}`, zone, slots })))
  const rates = CustomerRateLimiter.createWithFullBursts()
  const policy = () => ({ ...DEFAULT_DISPATCH_POLICY, expectedCost })
  const budget = { ratio: 0.2, slack: 10, windowMilliseconds: 10_000 }
  const dispatcher = Dispatcher.create({ clock, logger: silentLogger(), registry, rates, budget, floorShare: 0.7, policy })
  const running = upstreams.map(() => 0)
  const placed = upstreams.map(() => 0)
  const ends = new Map<number, (() => void)[]>()
  const times: number[] = []
  let onTime = 0
  let otherZone = 0
  let failed = 0
  const serve = (connection: EntryConnection, arrival: LoadArrival, ticket: number, instance: string): void => {
    const index = Number(instance.slice(2))
    const { zone, slots, slowness, nearlyFull = 1, fails = false } = upstreams[index] as LoadUpstream
    running[index] = running[index] as number + 1
    placed[index] = placed[index] as number + 1
    const isFull = running[index] as number > 0.75 * slots
    const served = arrival.work * slowness * (isFull ? nearlyFull : 1) + (zone === connection.zone ? 0 : ZONE_MILLISECONDS)
    const milliseconds = fails ? 1 : Math.max(1, Math.round(served))
    const isCounted = arrival.at >= measuredFrom
    if (isCounted && zone !== connection.zone) otherZone += 1
    const at = clock.monotonicMilliseconds() + milliseconds
    const outcome = fails ? PlacementOutcome.PLACEMENT_OUTCOME_SERVER_ERROR : PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED
    ends.set(at, [...ends.get(at) ?? [], () => {
      running[index] = running[index] as number - 1
      const time = at - arrival.at
      if (isCounted && fails) failed += 1
      else if (isCounted && time <= question(0, arrival.question).patienceMilliseconds) times.push(time)
      if (isCounted && !fails && time <= question(0, arrival.question).targetMilliseconds) onTime += 1
      dispatcher.end(connection, { ticket, outcome, milliseconds, load: undefined, statedLimit: undefined, notice: undefined, instance })
    }])
  }
  const handlers = new Map<number, (instance: string) => void>()
  const connect = (zone: string): EntryConnection => ({
    entry: `entry-${zone}`, zone, send: ({ body }: DispatchMessage) => { if (body?.$case === 'placement') handlers.get(body.value.ticket)?.(body.value.instance) }
  })
  const connections = new Map([...new Set(load.map(({ zone }) => zone))].map((zone) => [zone, connect(zone)]))
  const sorted = [...load].sort((left, right) => left.at - right.at)
  for (let next = 0; next < sorted.length || ends.size > 0;) {
    const now = clock.monotonicMilliseconds()
    for (const end of ends.get(now) ?? []) end()
    ends.delete(now)
    if (now % TICK_MILLISECONDS === 0) dispatcher.tick()
    for (; sorted[next]?.at === now; next += 1) {
      const ticket = next + 1
      const arrival = sorted[next] as LoadArrival
      const connection = connections.get(arrival.zone) as EntryConnection
      handlers.set(ticket, (instance) => serve(connection, arrival, ticket, instance))
      dispatcher.ask(connection, question(ticket, arrival.question))
    }
    clock.advance(1)
  }
  const counted = load.filter(({ at }) => at >= measuredFrom).length
  times.sort((left, right) => left - right)
  return {
    onTimeShare: onTime / counted,
    answeredShare: times.length / counted,
    otherZoneShare: otherZone / counted,
    failed,
    quantile: (share) => times[Math.floor(share * (times.length - 1))] ?? Infinity,
    dispatcher,
    placed
  }
}
