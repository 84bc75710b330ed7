import { SeededRandom } from '@hickoryspoke/runtime/random'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CostDistribution } from '../cost-distribution.ts'
import { heavyWork } from './stepped-load.ts'

/** Records costs one after the other, this many milliseconds apart; returns the distribution and the time of the last one. */
function record (costs: readonly number[], interval = 10) {
  const distribution = CostDistribution.create()
  costs.forEach((cost, index) => distribution.record(cost, index * interval))
  return { distribution, now: (costs.length - 1) * interval }
}

function isNear (actual: number, expected: number, share: number): void {
  assert.ok(Math.abs(actual - expected) <= share * expected, `${actual}, expected ${expected}`)
}

test('mean, quantiles and shares of a uniform load are near the true ones', () => {
  const random = SeededRandom.create(1)
  const { distribution } = record(Array.from({ length: 2_000 }, () => 100 + 100 * random.next()))
  isNear(distribution.mean, 150, 0.03)
  isNear(distribution.quantile(0.5), 150, 0.1)
  isNear(distribution.quantile(0.95), 195, 0.1)
  isNear(distribution.shareAbove(150), 0.5, 0.2)
  assert.is(distribution.shareAbove(0), 1)
  assert.is(distribution.shareAbove(300), 0)
})

// Guards against reserving the mean for requests of which a few cost seven times as much.
test('a rare heavy request shows in the high quantile and not in the median', () => {
  const random = SeededRandom.create(2)
  const { distribution } = record(Array.from({ length: 3_000 }, () => heavyWork(random, 100, 0.3, 0.03, 7)))
  assert.ok(distribution.quantile(0.5) < 120)
  assert.ok(distribution.quantile(0.99) > 500)
})

// Guards against taking a slot for nearly free because its request has run for longer than the mean.
test('the remainder of a request grows once it has run for longer than most', () => {
  const random = SeededRandom.create(3)
  const { distribution } = record(Array.from({ length: 3_000 }, () => heavyWork(random, 100, 0.3, 0.03, 7)))
  const fresh = distribution.remainder(0)
  isNear(fresh, 118, 0.15)
  assert.ok(distribution.remainder(80) < fresh)
  assert.ok(distribution.remainder(250) > 2 * fresh, `${distribution.remainder(250)}`)
  assert.ok(distribution.remainder(10_000) > 4_000, 'beyond all observations, what has run long is expected to run on')
})

test('a busy group follows a change within some hundred requests', () => {
  const { distribution } = record([...Array.from({ length: 2_000 }, () => 100), ...Array.from({ length: 900 }, () => 400)])
  assert.ok(distribution.mean > 340, `${distribution.mean}`)
})

test('observations lose weight with time', () => {
  const { distribution, now } = record(Array.from({ length: 100 }, () => 100))
  assert.ok(distribution.weight(now) > 80)
  isNear(distribution.weight(now + 15_000), distribution.weight(now) / 2, 0.01)
  assert.ok(distribution.weight(now + 300_000) < 0.01)
})

test('the sums stay finite over a long time', () => {
  const { distribution, now } = record(Array.from({ length: 30_000 }, () => 200), 1_000)
  isNear(distribution.mean, 200, 0.001)
  assert.ok(Number.isFinite(distribution.weight(now)) && distribution.weight(now) > 10)
})

test.run()
