/** The dispatcher with the policy: what it does while it knows nothing, what it reserves and how long it expects a request to wait. */
import type { PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DEFAULT_DISPATCH_POLICY } from '../dispatch-policy.ts'
import { PoolDispatcher } from '../pool-dispatcher.ts'
import { lateSlackOf, slackOf } from '../request-slack.ts'
import { UpstreamLimits } from '../upstream-limits.ts'
import { announcement, question } from './fixture.ts'
import { arrivals, heavyWork, runLoad, type LoadArrival, type LoadUpstream } from './stepped-load.ts'

const UPSTREAMS: readonly LoadUpstream[] = Array.from({ length: 9 }, (_, index) => ({ zone: 'a', slots: 3, slowness: index < 3 ? 2.5 : 1 }))

function load (until: number): LoadArrival[] {
  return arrivals(3, 0, until, () => 60, (random) => ({ zone: 'a', work: heavyWork(random, 100, 0.3, 0.02, 5), question: {} }))
}

/** A pool of upstreams with two slots each, which all have taken requests of the given age; it has learned costs of 100 ms. */
function createPool (expectedCost: boolean, upstreams: number, ageMilliseconds: number) {
  const clock = FakeClock.create()
  const pool = PoolDispatcher.create(clock, UpstreamLimits.create(clock), 0, () => ({ ...DEFAULT_DISPATCH_POLICY, expectedCost }))
  const names = Array.from({ length: upstreams }, (_, index) => `i-${index}`)
  names.forEach((instance, index) => pool.update({
    announced: announcement({ instance, address: `10.0.0.1:${8_000 + index}` }), warmupEndsAt: 0, heardAt: 0
  }))
  const random = SeededRandom.create(1)
  for (let ticket = 0; ticket < 400; ticket += 1) {
    clock.advance(10)
    const now = clock.monotonicMilliseconds()
    const cost = heavyWork(random, 100, 0.2, 0.05, 7)
    const work = pool.startWork(question(ticket), names[ticket % upstreams] as string, now)
    pool.responseTimes.record('withdraw', cost)
    if (work === undefined) continue
    pool.costs.end(work)
    pool.costs.learn(work, cost, now)
  }
  for (const instance of [...names, ...names]) {
    pool.standingOf(instance).place(clock.monotonicMilliseconds())
    pool.startWork(question(0), instance, clock.monotonicMilliseconds())
  }
  clock.advance(ageMilliseconds)
  return { pool, now: clock.monotonicMilliseconds() }
}

// Guards against a new leader that places requests by what it cannot know yet.
test('a new leader chooses as without the policy until enough requests were answered', () => {
  const first = load(150)
  assert.ok(first.length > 5 && first.length < 20)
  assert.equal(runLoad(UPSTREAMS, first, true).placed, runLoad(UPSTREAMS, first, false).placed)
})

test('a new leader avoids slow upstreams within seconds', () => {
  const shareOfSlow = ({ placed }: { placed: readonly number[] }): number => {
    return placed.slice(0, 3).reduce((sum, count) => sum + count, 0) / placed.reduce((sum, count) => sum + count, 0)
  }
  const early = shareOfSlow(runLoad(UPSTREAMS, load(3_000), true))
  const later = shareOfSlow(runLoad(UPSTREAMS, load(12_000), true))
  assert.ok(later < 0.2, `${later} of the requests to a third of the upstreams`)
  assert.ok(later < early)
})

// Guards against a leader that keeps a cost nobody can confirm: if no request is answered, it decides as without the policy.
test('without answers there is no estimate', () => {
  const upstreams = UPSTREAMS.map((upstream) => ({ ...upstream, fails: true }))
  const result = runLoad(upstreams, load(2_000), true)
  assert.equal(result.dispatcher.costs().map(({ routes }) => routes), [[]])
  assert.equal(result.placed, runLoad(upstreams, load(2_000), false).placed)
})

test('without the policy nothing is learned', () => {
  assert.equal(runLoad(UPSTREAMS, load(2_000), false).dispatcher.costs(), [])
})

test('learned costs and speeds can be read', () => {
  const [costs] = runLoad(UPSTREAMS, load(12_000), true).dispatcher.costs()
  assert.is(costs?.pool, 'ledger')
  assert.is(costs?.routes[0]?.route, 'withdraw')
  const { meanMilliseconds, highMilliseconds } = costs?.routes[0] ?? { meanMilliseconds: 0, highMilliseconds: 0 }
  assert.ok(meanMilliseconds > 80 && meanMilliseconds < 200, `${meanMilliseconds}`)
  assert.ok(highMilliseconds > meanMilliseconds)
  assert.ok((costs?.slowest ?? 0) > 1.4)
})

// Guards against callers that are told to return too early, as requests that have run for long do not end soon.
test('a request is expected to wait longer behind requests that have run for longer than most', () => {
  const usual = createPool(true, 8, 60)
  const long = createPool(true, 8, 250)
  assert.ok(long.pool.expectedWait(1, long.now) > 1.5 * usual.pool.expectedWait(1, usual.now))
  const before = createPool(false, 8, 60)
  const beforeLong = createPool(false, 8, 250)
  assert.is(before.pool.expectedWait(1, before.now), beforeLong.pool.expectedWait(1, beforeLong.now))
})

test('the time reserved for a request is a high quantile, and less than that for a tight target', () => {
  const { pool } = createPool(true, 8, 0)
  const reserved = (targetMilliseconds: number, changes: Partial<PlacementQuestion> = {}): number => {
    return targetMilliseconds - slackOf(question(1, { targetMilliseconds, ...changes }), pool)
  }
  const mean = pool.estimate(question(1))?.mean ?? 0
  const usual = reserved(2_000)
  assert.ok(usual > 120 && usual < 200, `${usual}: above most requests, below the heavy ones of some 700; mean ${mean}`)
  assert.ok(Math.abs(reserved(100) - 80) < 1e-9, 'a request with a tight target is not late from the start')
  assert.ok(lateSlackOf(question(1, { patienceMilliseconds: 2_000 }), pool) === 2_000 - usual)
})

// An answer that comes after the end was reported, or with a server error, teaches nothing.
test('only complete, successful answers teach costs', () => {
  const failing = UPSTREAMS.map((upstream, index) => ({ ...upstream, fails: index === 8 }))
  const [costs] = runLoad(failing, load(12_000), true).dispatcher.costs()
  assert.ok((costs?.fastest ?? 0) > 0.5, `${costs?.fastest}`)
  assert.ok((costs?.routes[0]?.meanMilliseconds ?? 0) > 80)
})

test.run()
