/** Compares placement by expected cost with the choice without the policy, on the same arrivals in simulated time. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { arrivals, heavyWork, runLoad, type LoadArrival, type LoadResult, type LoadUpstream } from './stepped-load.ts'

const ZONES = ['a', 'b', 'c'] as const
/** Others than the constants were chosen with. */
const SEEDS = [11, 12, 13] as const
/** Until then, the costs are learned. */
const LEARNED_AT = 5_000

interface Load {
  readonly upstreams: readonly LoadUpstream[]
  readonly arrivals: (seed: number) => LoadArrival[]
  readonly measuredFrom?: number
}

function pool (count: number, slots: number, slownessOf: (index: number) => number, nearlyFull = 1): LoadUpstream[] {
  return Array.from({ length: count }, (_, index) => ({ zone: ZONES[index % 3] as string, slots, slowness: slownessOf(index), nearlyFull }))
}

/** Between 0.6 and 2.8, most below 1.5. */
function unevenSlowness (index: number): number {
  return 0.6 + 2.24 * ((index * 7_919 + 13) % 101 / 101) ** 2
}

function evenZone (random: number): string {
  return ZONES[Math.floor(random * 3)] as string
}

/** Three of five requests come from one zone. */
function unevenZone (random: number): string {
  return random < 0.6 ? 'a' : random < 0.8 ? 'b' : 'c'
}

const CLAIMS = { route: 'claims', targetMilliseconds: 1_028, patienceMilliseconds: 4_113 }
const SLOW_CLAIMS = { route: 'claims', targetMilliseconds: 1_500, patienceMilliseconds: 5_000 }
const LIVE = { route: 'live', targetMilliseconds: 533, patienceMilliseconds: 2_120, mayRepeat: true, priority: 0 }
const HISTORY = { route: 'history', targetMilliseconds: 1_027, patienceMilliseconds: 3_082, mayRepeat: true, priority: 1 }
const TRACES = { route: 'traces', targetMilliseconds: 1_295, patienceMilliseconds: 5_319 }
const BALANCE = { route: 'balance', targetMilliseconds: 2_011, patienceMilliseconds: 6_000, mayRepeat: true }

function claims (rate: (at: number) => number, zoneOf: (random: number) => string, work = 199, until = 30_000): (seed: number) => LoadArrival[] {
  return (seed) => arrivals(seed, 0, until, rate, (random) => ({ zone: zoneOf(random.next()), work: heavyWork(random, work, 0.5, 0.03, 7), question: CLAIMS }))
}

const LOADS = {
  heavyTail: { upstreams: pool(24, 3, () => 1), arrivals: claims(() => 240, evenZone) },
  unevenSpeeds: { upstreams: pool(30, 3, unevenSlowness, 1.5), arrivals: claims(() => 230, evenZone) },
  fewRequests: { upstreams: pool(30, 3, unevenSlowness, 1.5), arrivals: claims(() => 120, evenZone) },
  unevenZones: { upstreams: pool(30, 3, () => 1, 1.5), arrivals: claims(() => 200, unevenZone) },
  /** Live reads of 78 ms share the pool with requests of 260 ms. */
  mixed: {
    upstreams: pool(12, 3, unevenSlowness),
    arrivals: (seed) => [
      ...arrivals(seed, 0, 30_000, () => 110, (random) => ({ zone: evenZone(random.next()), work: heavyWork(random, 78, 0.5, 0.03, 7), question: LIVE })),
      ...arrivals(seed + 50, 0, 30_000, () => 40, (random) => {
        return { zone: evenZone(random.next()), work: heavyWork(random, 260, 0.5, 0.03, 7), question: HISTORY }
      })
    ]
  },
  /** Three of ten bodies are large, and cost twelve times as much. */
  bimodal: {
    upstreams: pool(20, 3, unevenSlowness, 1.5),
    arrivals: (seed) => arrivals(seed, 0, 30_000, () => 110, (random) => {
      const isLarge = random.next() < 0.3
      const work = heavyWork(random, isLarge ? 700 : 60, 0.3, 0.01, 4)
      return { zone: evenZone(random.next()), work, question: { ...TRACES, bodyBytes: isLarge ? 300_000 : 9_000 } }
    })
  },
  /** Bursts of 2.4 times the usual requests. */
  bursts: {
    upstreams: pool(57, 6, unevenSlowness, 1.3),
    arrivals: (seed) => arrivals(seed, 0, 30_000, (at) => at % 10_000 < 3_000 ? 420 : 177, (random) => ({
      zone: evenZone(random.next()), work: heavyWork(random, 613, 0.6, 0.01, 4), question: BALANCE
    }))
  },
  /** The work of a request doubles within a second. */
  drifting: {
    upstreams: pool(30, 3, unevenSlowness, 1.5),
    arrivals: (seed) => arrivals(seed, 0, 40_000, () => 130, (random, at) => ({
      zone: evenZone(random.next()), work: heavyWork(random, at < 20_000 ? 120 : 240, 0.5, 0.03, 7), question: CLAIMS
    })),
    measuredFrom: 20_000
  },
  /** The work rises to more than the pool can do. */
  overload: {
    upstreams: pool(30, 3, unevenSlowness, 1.5),
    arrivals: (seed) => arrivals(seed, 0, 40_000, () => 130, (random, at) => ({
      zone: evenZone(random.next()), work: heavyWork(random, at < 20_000 ? 150 : 400, 0.5, 0.03, 7), question: SLOW_CLAIMS
    })),
    measuredFrom: 20_000
  }
} satisfies Record<string, Load>

/** The mean over the seeds of one quantity, without and with the policy. */
interface Comparison {
  readonly off: readonly LoadResult[]
  readonly on: readonly LoadResult[]
}

function compare ({ upstreams, arrivals: make, measuredFrom = LEARNED_AT }: Load): Comparison {
  const run = (expectedCost: boolean): LoadResult[] => SEEDS.map((seed) => runLoad(upstreams, make(seed), expectedCost, measuredFrom))
  return { off: run(false), on: run(true) }
}

function mean (results: readonly LoadResult[], valueOf: (result: LoadResult) => number): number {
  return results.reduce((sum, result) => sum + valueOf(result), 0) / results.length
}

/** Asserts that the mean of a quantity with the policy is at most this part of that without it. */
function assertLess ({ off, on }: Comparison, valueOf: (result: LoadResult) => number, part: number, what: string): void {
  const before = mean(off, valueOf)
  const after = mean(on, valueOf)
  assert.ok(after <= part * before, `${what}: ${after.toFixed(4)} with the policy, ${before.toFixed(4)} without`)
}

const lateShare = ({ onTimeShare }: LoadResult): number => 1 - onTimeShare
const highTime = ({ quantile }: LoadResult): number => quantile(0.95)
const otherZones = ({ otherZoneShare }: LoadResult): number => otherZoneShare

// Guards against constants that gain elsewhere at the cost of the plain case: equal upstreams, and nothing to choose by.
test('equal upstreams with heavy requests: not worse, and more requests stay in their zone', () => {
  const comparison = compare(LOADS.heavyTail)
  assertLess(comparison, lateShare, 1.03, 'late')
  assertLess(comparison, highTime, 1.05, '95th percentile')
  assertLess(comparison, otherZones, 0.95, 'other zones')
})

test('upstreams of uneven speed, nearly all slots taken: fewer late answers', () => {
  const comparison = compare(LOADS.unevenSpeeds)
  assertLess(comparison, lateShare, 0.92, 'late')
  assertLess(comparison, highTime, 0.95, '95th percentile')
})

// Guards against requests that leave their zone although its upstreams answer them in time.
test('upstreams of uneven speed, few slots taken: half as many requests leave their zone, and the answers come sooner', () => {
  const comparison = compare(LOADS.fewRequests)
  assertLess(comparison, otherZones, 0.6, 'other zones')
  assertLess(comparison, highTime, 0.95, '95th percentile')
  assertLess(comparison, lateShare, 1, 'late')
})

test('demand that is uneven by zone: fewer requests leave their zone, none is later', () => {
  const comparison = compare(LOADS.unevenZones)
  assertLess(comparison, otherZones, 0.95, 'other zones')
  assertLess(comparison, highTime, 1, '95th percentile')
  assertLess(comparison, lateShare, 1, 'late')
})

test('quick reads that share a pool with slower requests: fewer late answers', () => {
  const comparison = compare(LOADS.mixed)
  assertLess(comparison, lateShare, 0.95, 'late')
  assertLess(comparison, highTime, 0.9, '95th percentile')
})

test('bodies of two sizes: fewer late answers, as the large ones get the fast upstreams', () => {
  const comparison = compare(LOADS.bimodal)
  assertLess(comparison, lateShare, 0.85, 'late')
  assertLess(comparison, otherZones, 0.6, 'other zones')
})

test('bursts: fewer late answers, and fewer requests leave their zone', () => {
  const comparison = compare(LOADS.bursts)
  assertLess(comparison, lateShare, 0.95, 'late')
  assertLess(comparison, otherZones, 0.95, 'other zones')
})

test('work that doubles: fewer late answers in the time after that', () => {
  const comparison = compare(LOADS.drifting)
  assertLess(comparison, lateShare, 0.95, 'late')
  assertLess(comparison, highTime, 0.9, '95th percentile')
})

// Where every slot is taken, there is nothing to choose: the time reserved for a request decides. Guards against waits that are too long for an answer in time.
test('more work than the pool can do: about as many answers in time', () => {
  const comparison = compare(LOADS.overload)
  assertLess(comparison, lateShare, 1.1, 'late')
  assertLess(comparison, ({ answeredShare }) => 1 - answeredShare, 1.35, 'unanswered')
})

// Guards against an upstream that looks fast because it refuses all work at once.
test('an upstream that fails fast gets no more requests than without the policy', () => {
  const upstreams = pool(12, 3, () => 1).map((upstream, index) => ({ ...upstream, fails: index === 5 }))
  const comparison = compare({ upstreams, arrivals: claims(() => 80, evenZone, 199, 20_000) })
  assertLess(comparison, ({ failed }) => failed, 1.1, 'failed')
  assertLess(comparison, ({ placed }) => placed[5] as number, 1.1, 'placed there')
})

test.run()
