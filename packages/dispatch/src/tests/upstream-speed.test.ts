import { SeededRandom } from '@hickoryspoke/runtime/random'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { PoolSlowdown, UpstreamSpeed } from '../upstream-speed.ts'

/** After this time, the speed is computed again. */
const SETTLED = 500

/** Records responses 100 ms apart, with these factors and a spread of 30 %; returns a later time. */
function learn (speed: UpstreamSpeed, factors: readonly number[], fullShare = 0, from = 0, random = SeededRandom.create(1)): number {
  factors.forEach((factor, index) => speed.record(Math.log(factor * (0.7 + 0.6 * random.next())), fullShare, from + index * 100))
  return from + factors.length * 100 + SETTLED
}

function repeat (factor: number, count: number): number[] {
  return Array.from({ length: count }, () => factor)
}

test('an upstream without responses counts as usual', () => {
  assert.is(UpstreamSpeed.create(PoolSlowdown.create()).factor(0, 0), 1)
})

test('the speed of an upstream is learned and forgotten', () => {
  const speed = UpstreamSpeed.create(PoolSlowdown.create())
  const now = learn(speed, repeat(2, 60))
  assert.ok(speed.factor(0, now) > 1.6, `${speed.factor(0, now)}`)
  assert.ok(speed.factor(0, now + 120_000) < 1.05, 'it may have recovered since')
})

// Guards against avoiding a sound upstream because it got the one request of many times the usual work.
test('one long request says little about its upstream', () => {
  const speed = UpstreamSpeed.create(PoolSlowdown.create())
  const now = learn(speed, [...repeat(1, 40), 7])
  assert.ok(speed.factor(0, now) < 1.15, `${speed.factor(0, now)}`)
})

// Guards against an upstream that refuses all requests at once and looks fast by it.
test('answers that come at once do not make an upstream fast', () => {
  const speed = UpstreamSpeed.create(PoolSlowdown.create())
  const now = learn(speed, repeat(0.01, 60))
  assert.is(speed.factor(0, now), 1)
})

test('the slowdown of a nearly full upstream is told apart from its usual speed', () => {
  const speed = UpstreamSpeed.create(PoolSlowdown.create())
  const random = SeededRandom.create(2)
  let now = 0
  for (let turn = 0; turn < 60; turn += 1) {
    now = learn(speed, repeat(1, 1), 0, now, random) - SETTLED
    now = learn(speed, repeat(2, 1), 1, now, random) - SETTLED
  }
  now += SETTLED
  assert.ok(speed.factor(0, now) < 1.25, `${speed.factor(0, now)}`)
  assert.ok(speed.factor(1, now) / speed.factor(0, now) > 1.4, `${speed.factor(1, now)}`)
})

test('an upstream is expected to slow down as others of its pool do', () => {
  const pool = PoolSlowdown.create()
  const known = UpstreamSpeed.create(pool)
  const now = learn(known, repeat(3, 100), 1)
  const other = UpstreamSpeed.create(pool)
  assert.ok(other.factor(1, now) > 1.4, `${other.factor(1, now)}`)
  assert.is(other.factor(0, now), 1)
})

test.run()
